/**
 * Tests of the common part of the leader's replies.
 */
#include "bamboomoor/gateway/planreply.hpp"

#include <boost/test/unit_test.hpp>

#include <ctime>
#include <string>

using namespace bamboomoor;
using namespace bamboomoor::placement;
using gateway::PlanReply;

namespace
{

constexpr int WORKERS = 140;
constexpr int ADAPTERS = 8;
constexpr int REPORTS_PER_SECOND = 345;
constexpr base::Millis SPACING{50};
constexpr base::Millis PLAYED{10'000};
// The leader has 0.6 of a core for all its work; this part of the replies may use a tenth of that.
constexpr base::Millis ALLOWED = PLAYED * 6 / 100;

base::Millis processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return {used.tv_sec * 1'000 + used.tv_nsec / 1'000'000};
}

/** @brief A plan whose workers load an adapter each whenever it decides. */
class Play
{
public:
    explicit Play(int adapters = ADAPTERS)
        : m_adapters(adapters)
    {
        EngineSpec engine;
        engine.memoryMib = 200;
        engine.adapterPlaces = ADAPTERS;
        engine.loadsPerSecond = 20;
        engine.models["m"] = {90, ADAPTERS, 1, {1'500}};
        plan.setEngines({{"llm", engine}});
        plan.begin(now, base::Millis{0});
        for (int n = 0; n < WORKERS; ++n) {
            WorkerReport it{
                "worker" + std::to_string(n), 1, "10.0.0.1:" + std::to_string(n), "llm", 1, false, false, {}, {}};
            it.holdings.models["m"];
            m_reports.push_back(std::move(it));
        }
    }

    void decide()
    {
        std::vector<ResidencyDemand> demand{{"m", "", 50, 0}};
        for (int n = 1; n <= m_adapters; ++n) {
            demand.push_back({"m", "a" + std::to_string(n), 20, 5});
        }
        plan.setDemand(now, "entry", demand);
        plan.setWorkers(now, m_reports);
        const ResidencyActions actions = plan.plan(now);
        for (const ResidencyOrder &it : actions.orders) {
            plan.ordered(now, it.worker, ResidencyOrderResult::Accepted);
        }
        for (const Inspection &it : actions.inspections) {
            plan.inspected(now, it.worker, InspectionResult{m_reports[0].holdings, 0, false});
        }
    }

    Residency plan;
    base::Millis now{100'000};

private:
    int m_adapters;
    std::vector<WorkerReport> m_reports;
};

} // namespace

BOOST_AUTO_TEST_SUITE(planreply)

BOOST_AUTO_TEST_CASE(a_reply_has_what_the_plan_has_ordered_and_the_same_until_it_decides_again)
{
    Play play(1);
    PlanReply part(SPACING);
    play.decide();
    peer::wire::DemandReply reply;
    reply.set_served(true);
    part.addTo(play.now, play.plan, reply);
    const int placements = reply.placements_size();
    BOOST_TEST(placements > 0);
    BOOST_TEST(reply.served());
    play.now += base::Millis{3'000};
    peer::wire::DemandReply later;
    part.addTo(play.now, play.plan, later);
    BOOST_TEST(later.placements_size() != placements);
    play.decide();
    part.invalidate();
    peer::wire::DemandReply next;
    part.addTo(play.now, play.plan, next);
    BOOST_TEST(next.placements_size() == static_cast<int>(play.plan.recentHoldings(play.now).size()));
}

// The leader's HTTP client got no processor time beside it, and inspections of crashed upstreams came seconds late.
BOOST_AUTO_TEST_CASE(replies_to_a_large_fleet_take_little_processor_time_while_adapters_are_loaded)
{
    Play play;
    PlanReply part(SPACING);
    base::Millis used{};
    std::size_t placements = 0;
    for (int n = 0; n < PLAYED.count / SPACING.count; ++n) {
        play.now += SPACING;
        play.decide();
        part.invalidate();
        const base::Millis before = processorTime();
        for (int it = 0; it < REPORTS_PER_SECOND * SPACING.count / 1'000; ++it) {
            peer::wire::DemandReply reply;
            part.addTo(play.now, play.plan, reply);
            placements += static_cast<std::size_t>(reply.placements_size());
        }
        used += processorTime() - before;
    }
    BOOST_TEST_MESSAGE("processor time: " << used.count << " ms, " << placements << " placements");
    BOOST_TEST(placements > 0U);
    BOOST_TEST(used.count < ALLOWED.count);
}

BOOST_AUTO_TEST_SUITE_END()
