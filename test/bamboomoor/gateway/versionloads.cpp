/**
 * Tests of loads for interrupted streams, which only upstreams of their own software version can go on with.
 */
#include "bamboomoor/placement/residency.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace bamboomoor;
using namespace bamboomoor::placement;

namespace
{

constexpr base::Millis STEP{50};
constexpr base::Millis CALLERS_WAIT{2'000};

WorkerReport workerWith(const std::string &id, const std::string &model)
{
    WorkerReport out;
    out.id = id;
    out.incarnation = 1;
    out.sequence = 1;
    out.address = "10.0.0.1:" + id.substr(1);
    out.service = "llm";
    out.holdings.models[model];
    out.localCopies = {"m", model};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(versionloads)

// The upstreams 1 to 3 run one version, 4 to 6 another, which has the only copy that is left.
BOOST_AUTO_TEST_CASE(a_model_is_loaded_at_the_version_whose_last_copy_was_lost_amid_its_streams)
{
    EngineSpec engine;
    engine.memoryMib = 200;
    engine.adapterPlaces = 4;
    engine.loadsPerSecond = 2;
    engine.models["m"] = {90, 0, 0, {4'000}};
    engine.models["n"] = {90, 0, 0, {4'000}};
    Residency plan(ResidencyOptions{});
    base::Millis now{10'000};
    plan.setEngines({{"llm", engine}});
    plan.begin(now, now);
    std::vector<WorkerReport> workers;
    for (int n = 2; n <= 6; ++n) {
        workers.push_back(workerWith("w" + std::to_string(n), n == 6 ? "m" : "n"));
    }
    std::vector<std::string> loaded;
    for (const base::Millis end = now + CALLERS_WAIT; now < end; now += STEP) {
        plan.setWorkers(now, workers);
        // The interrupted streams of the first version found no copy; the others are served.
        plan.setDemand(now, "vm", {{"m", "", 2, 3}, {"n", "", 2, 0}});
        const ResidencyActions actions = plan.plan(now);
        for (const Inspection &it : actions.inspections) {
            const auto worker = std::find_if(workers.begin(), workers.end(), [&it](const WorkerReport &report) {
                return report.id == it.worker;
            });
            plan.inspected(now, it.worker, InspectionResult{worker->holdings, 0, false});
        }
        for (const ResidencyOrder &it : actions.orders) {
            if (it.kind == ResidencyOrderKind::Load && it.model == "m") {
                loaded.push_back(it.worker);
            }
            plan.ordered(now, it.worker, ResidencyOrderResult::Accepted);
        }
    }
    BOOST_TEST(std::any_of(loaded.begin(), loaded.end(), [](const std::string &it) {
        return it == "w2" || it == "w3";
    }));
}

BOOST_AUTO_TEST_SUITE_END()
