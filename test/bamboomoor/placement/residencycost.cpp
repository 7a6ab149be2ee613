/**
 * Test of the processor time that planning takes for a large fleet.
 */
#include "bamboomoor/placement/residency.hpp"

#include <boost/test/unit_test.hpp>

#include <ctime>
#include <random>
#include <string>

using namespace bamboomoor;
using namespace bamboomoor::placement;

namespace
{

constexpr int MODELS = 150;
constexpr int WORKERS = 90;
constexpr int ENTRIES = 64;
// Intervals between plans and between demand reports of an entry.
constexpr base::Millis SPACING{50};
constexpr base::Millis REPORTS{200};
constexpr base::Millis PLAYED{10'000};
// The leader has 0.6 of a core for all its work; planning may use a tenth of that.
constexpr base::Millis ALLOWED = PLAYED * 6 / 100;

base::Millis processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return {used.tv_sec * 1'000 + used.tv_nsec / 1'000'000};
}

std::string modelName(int n)
{
    return "model" + std::to_string(n);
}

EngineSpec engine()
{
    EngineSpec spec;
    spec.memoryMib = 220'000;
    spec.adapterPlaces = 5;
    spec.loadsPerSecond = 13;
    for (int n = 0; n < MODELS; ++n) {
        spec.models[modelName(n)] = {n % 2 == 0 ? 65'100 : 72'700, n < 20 ? 20 : 0, 12, {1'500}};
    }
    return spec;
}

std::vector<WorkerReport> workers(std::mt19937 &random)
{
    std::vector<WorkerReport> reports;
    for (int n = 0; n < WORKERS; ++n) {
        WorkerReport it;
        it.id = "worker" + std::to_string(n);
        it.incarnation = 1;
        it.address = "10.0.0." + std::to_string(n) + ":80";
        it.service = "llm";
        it.sequence = 1;
        it.holdings.models[modelName(static_cast<int>(random() % 12))];
        it.holdings.models[modelName(n * 2 % MODELS)];
        it.holdings.models[modelName((n * 2 + 1) % MODELS)];
        reports.push_back(std::move(it));
    }
    return reports;
}

std::vector<ResidencyDemand> demand(int shift)
{
    std::vector<ResidencyDemand> out;
    for (int n = 0; n < 60; ++n) {
        const int model = (n + shift) % MODELS;
        out.push_back({modelName(model), "", n < 12 ? 0.5 : 0.05, 0});
        for (int k = 1; k <= 5 && model < 20; ++k) {
            out.push_back({modelName(model), "a" + std::to_string(k), 0.02, 0});
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(planning_for_a_large_fleet_takes_little_processor_time)
{
    std::mt19937 random(1);
    const std::vector<WorkerReport> reports = workers(random);
    Residency plan;
    plan.setEngines({{"llm", engine()}});
    base::Millis now{100'000};
    plan.begin(now, base::Millis{0});
    const base::Millis before = processorTime();
    for (int n = 0; n < PLAYED.count / SPACING.count; ++n) {
        now += SPACING;
        if (n % (REPORTS.count / SPACING.count) == 0) {
            for (int entry = 0; entry < ENTRIES; ++entry) {
                plan.setDemand(now, "entry" + std::to_string(entry), demand(n / 60 * 3));
            }
        }
        plan.setWorkers(now, reports);
        const ResidencyActions actions = plan.plan(now);
        for (const ResidencyOrder &it : actions.orders) {
            plan.ordered(now, it.worker, ResidencyOrderResult::Conflict);
        }
        for (const Inspection &it : actions.inspections) {
            plan.inspected(now, it.worker, InspectionResult{reports[0].holdings, 0, false});
        }
    }
    const base::Millis used = processorTime() - before;
    BOOST_TEST_MESSAGE("processor time: " << used.count << " ms for " << PLAYED.count << " ms");
    BOOST_TEST(used.count < ALLOWED.count);
}
