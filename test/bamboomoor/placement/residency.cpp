/**
 * Tests of the residency plan with simulated workers, which execute orders as engines do: one at a time, with an order
 * count, and with limits on memory and adapter slots that a wrong order would exceed. Simulated demand shows how many
 * requests are served.
 */
#include "bamboomoor/placement/residency.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

using namespace bamboomoor;
using namespace bamboomoor::placement;

namespace
{

constexpr std::int64_t MEMORY = 200;
constexpr std::int64_t PLACES = 4;
constexpr base::Millis STEP{50};

/** @brief A simulated worker that fails the test if an order exceeds its memory or adapter slots. */
struct FakeWorker {
    std::string id;
    Holdings holdings;
    std::set<std::string> localCopies;
    // False if every load uses the weight store.
    bool keepsCopies = true;
    base::Millis storeLoad{4'000};
    std::uint64_t incarnation = 1;
    std::uint64_t orders = 0;
    std::string loading;
    base::Millis loadedAt;
    // Content of the newest announcement that has arrived.
    Holdings announced;
    // Announcements in flight with their sequence, by arrival time.
    std::multimap<base::Millis, std::pair<std::uint64_t, Holdings>> onTheirWay;
    std::uint64_t sequence = 0;
    // Sequence of the newest announcement that has arrived.
    std::uint64_t arrived = 0;
    // Recent states of the worker, because its reports lag.
    std::deque<InspectionResult> past;
    // An order that was accepted without a response and is executed later.
    std::optional<ResidencyOrder> late;
    base::Millis lateAt;
};

class Engines
{
public:
    explicit Engines(int workers, std::uint64_t seed)
        : m_random(seed)
    {
        for (int n = 0; n < 8; ++n) {
            spec.models["m" + std::to_string(n)] = {90, n == 0 ? 5 : 1, 1, {4'000}};
        }
        spec.memoryMib = MEMORY;
        spec.adapterPlaces = PLACES;
        spec.loadsPerSecond = 2;
        for (int n = 0; n < workers; ++n) {
            FakeWorker it;
            it.id = "w" + std::to_string(n);
            it.holdings.models["m" + std::to_string(n % 8)];
            it.localCopies = {"m0", "m" + std::to_string(n % 8)};
            it.announced = it.holdings;
            list.push_back(it);
        }
        plan.setEngines({{"llm", spec}});
        plan.begin(now, now);
    }

    void step()
    {
        now += STEP;
        for (FakeWorker &it : list) {
            if (!it.loading.empty() && now >= it.loadedAt) {
                it.holdings.models.try_emplace(std::exchange(it.loading, {}));
                announce(it);
            }
            if (it.late && now >= it.lateAt) {
                const ResidencyOrder order = *std::exchange(it.late, std::nullopt);
                static_cast<void>(carryOut(it, order));
            }
            if (now.count % 1'200 == 0) {
                announce(it);
            }
            while (!it.onTheirWay.empty() && it.onTheirWay.begin()->first <= now) {
                const auto &[sequence, holdings] = it.onTheirWay.begin()->second;
                if (sequence > it.arrived) {
                    it.arrived = sequence;
                    it.announced = holdings;
                }
                it.onTheirWay.erase(it.onTheirWay.begin());
            }
            it.past.push_back({it.holdings, it.orders, !it.loading.empty()});
            while (it.past.size() > reportLag + 1) {
                it.past.pop_front();
            }
        }
        std::vector<WorkerReport> reports;
        for (const FakeWorker &it : list) {
            reports.push_back(
                {it.id, it.incarnation, "10.0.0.1:80", "llm", it.arrived, false, false, it.announced, it.localCopies});
        }
        plan.setWorkers(now, reports);
        const ResidencyActions actions = plan.plan(now);
        for (const Inspection &it : actions.inspections) {
            const FakeWorker &worker = find(it.worker);
            plan.inspected(now, it.worker, worker.past.front());
        }
        ordersGiven += actions.orders.size();
        onTheirWay.insert(onTheirWay.end(), actions.orders.begin(), actions.orders.end());
        if (now < stalledUntil) {
            return;
        }
        for (const ResidencyOrder &it : std::exchange(onTheirWay, {})) {
            FakeWorker &worker = find(it.worker);
            if (lateOrders > 0 && m_random() % 100 < static_cast<std::uint64_t>(lateOrders)) {
                worker.late = it;
                worker.lateAt = now + base::Millis{static_cast<std::int64_t>(m_random() % 5'000)};
                plan.ordered(now, it.worker, ResidencyOrderResult::Unknown);
            } else {
                plan.ordered(now, it.worker, carryOut(worker, it));
            }
        }
    }

    /** @brief Starts a worker anew, with nothing loaded. @param worker The worker. @param copies The content of its
     * disk. */
    static void restart(FakeWorker &worker, const std::set<std::string> &copies)
    {
        ++worker.incarnation;
        worker.orders = 0;
        worker.loading.clear();
        worker.holdings = {};
        worker.announced = {};
        worker.onTheirWay.clear();
        worker.past.clear();
        worker.localCopies = copies;
    }

    /** @brief Switches to another leader, which knows the announcements received so far. */
    void changeLeader()
    {
        plan = Residency();
        plan.setEngines({{"llm", spec}});
        plan.begin(now, base::Millis{0});
    }

    void demand(const std::string &model, double rate)
    {
        plan.setDemand(now, "entry", {{model, "", rate, 0}});
    }

    // Maximum number of loads from the store that began within any window.
    [[nodiscard]] std::ptrdiff_t mostStoreLoads(base::Millis window) const
    {
        std::ptrdiff_t most = 0;
        for (const base::Millis end : storeLoads) {
            most = std::max(most, std::count_if(storeLoads.begin(), storeLoads.end(), [&](base::Millis at) {
                return at <= end && end - at < window;
            }));
        }
        return most;
    }

    [[nodiscard]] int copies(const std::string &model) const
    {
        return static_cast<int>(std::count_if(list.begin(), list.end(), [&model](const FakeWorker &it) {
            return it.holdings.models.contains(model);
        }));
    }

    FakeWorker &find(const std::string &id)
    {
        return *std::find_if(list.begin(), list.end(), [&id](const FakeWorker &it) {
            return it.id == id;
        });
    }

    EngineSpec spec;
    std::vector<FakeWorker> list;
    Residency plan;
    base::Millis now{100'000};
    int lateOrders = 0;
    // Maximum delivery delay of an announcement, in milliseconds.
    std::uint64_t lateAnnouncements = 0;
    // Until then orders are delayed and get no response.
    base::Millis stalledUntil;
    std::vector<ResidencyOrder> onTheirWay;
    // Lag of reports in steps.
    std::size_t reportLag = 0;
    bool exceeded = false;
    std::vector<base::Millis> storeLoads;
    std::size_t ordersGiven = 0;

private:
    ResidencyOrderResult carryOut(FakeWorker &worker, const ResidencyOrder &order)
    {
        if (order.expected != worker.orders || !worker.loading.empty()) {
            return ResidencyOrderResult::Conflict;
        }
        ++worker.orders;
        if (order.kind == ResidencyOrderKind::Unload && order.adapter.empty()) {
            worker.holdings.models.erase(order.model);
        } else if (order.kind == ResidencyOrderKind::Unload) {
            worker.holdings.models[order.model].erase(order.adapter);
            // Takes effect immediately.
            return ResidencyOrderResult::AlreadyApplied;
        } else if (order.adapter.empty()) {
            worker.loading = order.model;
            const bool local = worker.localCopies.contains(order.model);
            worker.loadedAt = now + (local ? base::Millis{1'000} : worker.storeLoad);
            if (!local) {
                storeLoads.push_back(now);
            }
            if (worker.keepsCopies) {
                worker.localCopies.insert(order.model);
            }
        } else {
            worker.holdings.models[order.model].insert(order.adapter);
        }
        check(worker);
        return ResidencyOrderResult::Accepted;
    }

    void announce(FakeWorker &worker)
    {
        const auto delay = static_cast<std::int64_t>(lateAnnouncements > 0 ? m_random() % lateAnnouncements : 0);
        worker.onTheirWay.emplace(now + base::Millis{delay}, std::pair{++worker.sequence, worker.holdings});
    }

    void check(const FakeWorker &worker)
    {
        std::int64_t memory = worker.loading.empty() ? 0 : spec.models.at(worker.loading).memoryMib;
        std::int64_t places = 0;
        for (const auto &[model, adapters] : worker.holdings.models) {
            memory += spec.models.at(model).memoryMib + static_cast<std::int64_t>(adapters.size());
            places += static_cast<std::int64_t>(adapters.size());
        }
        exceeded = exceeded || memory > MEMORY || places > PLACES;
    }

    std::mt19937_64 m_random;
};

} // namespace

BOOST_AUTO_TEST_SUITE(residency)

BOOST_AUTO_TEST_CASE(a_model_is_not_lost_before_workers_had_time_to_announce_it)
{
    Engines it(8, 1);
    for (int n = 0; n < 40; ++n) {
        it.step();
    }
    for (const FakeWorker &worker : it.list) {
        BOOST_TEST(worker.holdings.models.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(lost_models_and_all_adapters_are_loaded)
{
    Engines it(8, 1);
    it.list[3].holdings.models.clear();
    it.list[3].announced = {};
    it.list[3].localCopies.clear();
    for (int n = 0; n < 300; ++n) {
        it.step();
    }
    for (const auto &[model, spec] : it.spec.models) {
        BOOST_TEST(it.copies(model) >= 1);
    }
    std::set<std::string> adapters;
    for (const FakeWorker &worker : it.list) {
        const auto held = worker.holdings.models.find("m0");
        if (held != worker.holdings.models.end()) {
            adapters.insert(held->second.begin(), held->second.end());
        }
    }
    // One worker has slots for four of the five adapters of m0.
    BOOST_TEST(adapters.size() == 4U);
    BOOST_TEST(!it.exceeded);
}

BOOST_AUTO_TEST_CASE(a_missed_adapter_replaces_one_without_demand)
{
    Engines it(8, 1);
    for (int n = 0; n < 200; ++n) {
        it.step();
    }
    it.plan.setDemand(it.now, "entry", {{"m0", "a5", 1, 3}});
    for (int n = 0; n < 60; ++n) {
        it.step();
    }
    BOOST_TEST(it.find("w0").holdings.models.at("m0").contains("a5"));
    BOOST_TEST(!it.exceeded);
}

// Demand shifts to another model, which gets several replicas within seconds because workers have local copies.
BOOST_AUTO_TEST_CASE(under_a_played_shift_of_demand_copies_follow_within_seconds)
{
    Engines it(12, 1);
    for (int n = 0; n < 100; ++n) {
        it.step();
    }
    BOOST_TEST(it.copies("m0") == 2);
    for (int n = 0; n < 120; ++n) {
        if (n % 5 == 0) {
            it.demand("m0", 40);
        }
        it.step();
    }
    BOOST_TEST(it.copies("m0") >= 6);
    for (const auto &[model, spec] : it.spec.models) {
        BOOST_TEST(it.copies(model) >= 1);
    }
    BOOST_TEST(!it.exceeded);
}

BOOST_AUTO_TEST_CASE(a_model_on_an_unreachable_worker_is_loaded_elsewhere_until_the_worker_announces_itself)
{
    Engines it(8, 1);
    for (int n = 0; n < 200; ++n) {
        it.step();
    }
    it.plan.unreachable("w3");
    for (int n = 0; n < 200; ++n) {
        // No further announcements arrive from it.
        it.find("w3").onTheirWay.clear();
        it.step();
    }
    BOOST_TEST(it.copies("m3") == 2);
    BOOST_TEST(!it.exceeded);
}

// The other workers are to load models that only the store has, and wait for its rate.
BOOST_AUTO_TEST_CASE(a_lost_busy_model_returns_from_a_local_copy_while_workers_wait_for_the_store)
{
    Engines it(4, 1);
    it.spec.loadsPerSecond = 0.2;
    it.plan.setEngines({{"llm", it.spec}});
    for (int n = 0; n < 200; ++n) {
        it.step();
    }
    for (const std::string id : {"w1", "w2", "w3"}) {
        Engines::restart(it.find(id), {"m0"});
    }
    for (int n = 0; n < 40; ++n) {
        it.demand("m0", 20);
        it.step();
    }
    it.plan.unreachable("w0");
    for (int n = 0; n < 60; ++n) {
        it.demand("m0", 20);
        it.find("w0").onTheirWay.clear();
        it.step();
    }
    const int elsewhere = it.copies("m0") - static_cast<int>(it.find("w0").holdings.models.count("m0"));
    BOOST_TEST(elsewhere >= 1);
    BOOST_TEST(!it.exceeded);
    BOOST_TEST(it.mostStoreLoads({5'000}) <= 4);
}

// Seven of twelve workers are lost for 3 s each, one a second. Each has the busiest model on its disk, and a lost idle
// model only the store has.
BOOST_AUTO_TEST_CASE(after_crashes_the_busiest_model_returns_before_workers_load_idle_models_from_the_store)
{
    constexpr int WORKERS = 12;
    constexpr int MODELS = 16;
    constexpr std::size_t FIRST_LOST = 5;
    constexpr double DEMAND = 60;
    Engines it(WORKERS, 1);
    for (int n = 0; n < MODELS; ++n) {
        it.spec.models["m" + std::to_string(n)] = {90, 0, 0, {8'000}};
    }
    for (int n = 0; n < WORKERS; ++n) {
        FakeWorker &worker = it.list[static_cast<std::size_t>(n)];
        worker.storeLoad = {8'000};
        worker.holdings.models.clear();
        worker.holdings.models["m" + std::to_string(n + 1)];
        worker.holdings.models[n < MODELS - WORKERS - 1 ? "m" + std::to_string(n + 1 + WORKERS) : "m0"];
        worker.announced = worker.holdings;
        worker.localCopies = {"m0"};
    }
    it.plan.setEngines({{"llm", it.spec}});
    const int copiesBefore = it.copies("m0");
    double served = 0;
    int counted = 0;
    for (int n = 0; n < 800; ++n) {
        const base::Millis sinceFirst{(n - 200) * STEP.count};
        for (std::size_t lost = FIRST_LOST; lost < it.list.size(); ++lost) {
            FakeWorker &worker = it.list[lost];
            const std::int64_t sinceCrash = sinceFirst.count - static_cast<std::int64_t>(lost - FIRST_LOST) * 1'000;
            if (sinceCrash >= 0 && sinceCrash < 3'000) {
                worker.holdings = {};
                it.plan.unreachable(worker.id);
            } else if (sinceCrash == 3'000) {
                Engines::restart(worker, {"m0"});
            }
        }
        if (n % 5 == 0) {
            std::vector<ResidencyDemand> demand{{"m0", "", DEMAND, 0}};
            for (int idle = 1; idle < MODELS; ++idle) {
                demand.push_back({"m" + std::to_string(idle), "", 0.2, 0});
            }
            it.plan.setDemand(it.now, "entry", demand);
        }
        it.step();
        if (sinceFirst >= base::Millis{6'000} && sinceFirst < base::Millis{14'000}) {
            served += std::min(1.0, static_cast<double>(it.copies("m0")) / copiesBefore);
            ++counted;
        }
    }
    BOOST_TEST(served / counted >= 0.5);
    for (const auto &[model, spec] : it.spec.models) {
        BOOST_TEST(it.copies(model) >= 1);
    }
    BOOST_TEST(!it.exceeded);
    BOOST_TEST(it.mostStoreLoads({5'000}) <= 10);
}

namespace
{

/** @brief Six full workers, of which three have a copy of the busiest model beside an idle one, and the last has two
 * idle models that no other has. It is lost after 10 s. */
class FullWorkers : public Engines
{
public:
    FullWorkers()
        : Engines(6, 1)
    {
        constexpr int MODELS = 10;
        for (int n = 0; n < MODELS; ++n) {
            spec.models["m" + std::to_string(n)] = {90, 0, 0, {4'000}};
        }
        int next = 1;
        for (std::size_t n = 0; n < list.size(); ++n) {
            list[n].holdings.models.clear();
            list[n].holdings.models[n < 3 ? "m0" : "m" + std::to_string(next++)];
            list[n].holdings.models["m" + std::to_string(next++)];
            list[n].announced = list[n].holdings;
            list[n].localCopies = {"m0"};
        }
        plan.setEngines({{"llm", spec}});
    }

    /** @brief Plays 50 ms. @param isGone Whether the last worker is gone. */
    void play(bool isGone)
    {
        if (isGone) {
            list.back().holdings = {};
            plan.unreachable(list.back().id);
        }
        std::vector<ResidencyDemand> demand{{"m0", "", 60, 0}};
        for (const auto &[model, ignored] : spec.models) {
            if (model != "m0") {
                demand.push_back({model, "", 0.2, 0});
            }
        }
        plan.setDemand(now, "entry", demand);
        step();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(copies_of_the_busiest_model_are_not_evicted_for_idle_models_of_a_worker_that_restarts)
{
    FullWorkers it;
    int fewest = it.copies("m0");
    for (int n = 0; n < 600; ++n) {
        const base::Millis sinceCrash{(n - 200) * STEP.count};
        if (sinceCrash == base::Millis{3'000}) {
            Engines::restart(it.list.back(), {"m0"});
        }
        it.play(sinceCrash >= base::Millis{} && sinceCrash < base::Millis{3'000});
        fewest = std::min(fewest, it.copies("m0"));
    }
    BOOST_TEST(fewest == 3);
    for (const auto &[model, spec] : it.spec.models) {
        BOOST_TEST(it.copies(model) >= 1);
    }
    BOOST_TEST(!it.exceeded);
}

BOOST_AUTO_TEST_CASE(idle_models_of_a_worker_that_is_gone_are_loaded_in_place_of_copies_of_the_busiest_model)
{
    FullWorkers it;
    for (int n = 0; n < 800; ++n) {
        it.play(n >= 200);
    }
    for (const auto &[model, spec] : it.spec.models) {
        BOOST_TEST(it.copies(model) >= 1);
    }
    BOOST_TEST(!it.exceeded);
}

// Two workers have memory for four of eight models: models in demand are loaded, and models in use are kept.
BOOST_AUTO_TEST_CASE(a_model_in_demand_replaces_an_idle_one_if_not_all_fit)
{
    Engines it(2, 1);
    for (FakeWorker &worker : it.list) {
        worker.localCopies.clear();
        worker.keepsCopies = false;
    }
    for (int n = 0; n < 400; ++n) {
        it.step();
    }
    std::string missing;
    std::string idle;
    for (const auto &[model, spec] : it.spec.models) {
        (it.copies(model) == 0 ? missing : idle) = model;
    }
    const std::size_t loadsBefore = it.storeLoads.size();
    int served = 0;
    for (int n = 0; n < 600; ++n) {
        if (n % 5 == 0) {
            it.plan.setDemand(it.now, "entry", {{missing, "", 2, it.copies(missing) == 0 ? 1U : 0U}, {idle, "", 2, 0}});
        }
        it.step();
        served += it.copies(missing) > 0 && it.copies(idle) > 0 ? 1 : 0;
    }
    // A load takes 4 s, and the plan waits some seconds before it treats a model as lost: at least 20 of 30 s.
    BOOST_TEST(served >= 400);
    // Models are not swapped back and forth.
    BOOST_TEST(it.storeLoads.size() - loadsBefore <= 4U);
    BOOST_TEST(!it.exceeded);
}

// While a replica is loaded from the store, the evicted model in use has one replica less.
BOOST_AUTO_TEST_CASE(a_copy_in_use_is_evicted_for_a_fast_load_but_not_for_a_slow_one)
{
    for (const bool local : {false, true}) {
        Engines it(4, 1);
        it.spec.models.erase("m6");
        it.spec.models.erase("m7");
        for (auto &[model, spec] : it.spec.models) {
            spec.loadTime = {9'000};
        }
        const std::vector<std::vector<std::string>> held{{"m0", "m2"}, {"m0", "m3"}, {"m1", "m4"}, {"m1", "m5"}};
        for (std::size_t n = 0; n < held.size(); ++n) {
            FakeWorker &worker = it.list[n];
            worker.holdings.models.clear();
            for (const std::string &model : held[n]) {
                worker.holdings.models[model];
            }
            worker.announced = worker.holdings;
            worker.localCopies.clear();
            if (local) {
                worker.localCopies.insert("m0");
            }
        }
        it.plan.setEngines({{"llm", it.spec}});
        int fewest = 2;
        for (int n = 0; n < 260; ++n) {
            if (n >= 200 && n % 5 == 0) {
                it.plan.setDemand(it.now, "entry", {{"m0", "", 60, 0}, {"m1", "", 20, 0}});
            }
            it.step();
            fewest = std::min(fewest, it.copies("m1"));
        }
        BOOST_TEST(fewest == (local ? 1 : 2));
        BOOST_TEST(!it.exceeded);
    }
}

// One model gets more than two replicas although each must be loaded from the store.
BOOST_AUTO_TEST_CASE(under_a_played_load_of_one_model_copies_from_the_store_follow)
{
    Engines it(12, 1);
    for (FakeWorker &worker : it.list) {
        worker.localCopies.clear();
    }
    for (int n = 0; n < 400; ++n) {
        if (n >= 100 && n % 5 == 0) {
            it.demand("m0", 40);
        }
        it.step();
    }
    BOOST_TEST(it.copies("m0") >= 5);
    BOOST_TEST(!it.exceeded);
}

// Small idle models are packed on one worker so that memory for a whole model becomes free on the other.
BOOST_AUTO_TEST_CASE(idle_models_are_packed_on_a_worker_that_they_fill)
{
    Residency plan;
    EngineSpec spec;
    spec.memoryMib = MEMORY;
    spec.loadsPerSecond = 2;
    spec.models["large"] = {72, 0, 1, {4'000}};
    spec.models["small1"] = spec.models["small2"] = spec.models["small3"] = {65, 0, 1, {4'000}};
    plan.setEngines({{"llm", spec}});
    base::Millis now{100'000};
    plan.begin(now, base::Millis{0});
    Holdings mixed;
    mixed.models["large"];
    mixed.models["small1"];
    Holdings smalls;
    smalls.models["small2"];
    smalls.models["small3"];
    const std::vector<WorkerReport> reports{{"mixed", 1, "10.0.0.1:80", "llm", 1, false, false, mixed, {}},
        {"smalls", 1, "10.0.0.2:80", "llm", 1, false, false, smalls, {}}};
    std::vector<ResidencyOrder> orders;
    for (int n = 0; n < 60; ++n) {
        now += STEP;
        plan.setWorkers(now, reports);
        for (const ResidencyOrder &it : plan.plan(now).orders) {
            orders.push_back(it);
            plan.ordered(now, it.worker, ResidencyOrderResult::Accepted);
        }
    }
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].worker == "smalls");
    BOOST_TEST(orders[0].model == "small1");
    BOOST_TEST(orders[0].reason == "pack");
    BOOST_TEST(plan.recentHoldings(now).size() == 1U);
}

// Guards against a loop of evictions: a missing adapter that was loaded at another worker in the meantime must not
// evict further adapters.
BOOST_AUTO_TEST_CASE(adapters_are_not_swapped_back_and_forth)
{
    Engines it(8, 1);
    for (int n = 0; n < 200; ++n) {
        it.step();
    }
    const auto before = it.ordersGiven;
    for (int n = 0; n < 400; ++n) {
        if (n % 10 == 0) {
            it.plan.setDemand(it.now, "entry", {{"m0", "a1", 1, 2}, {"m0", "a5", 1, 2}, {"m1", "a1", 1, 1}});
        }
        it.step();
    }
    BOOST_TEST(it.ordersGiven - before < 100U);
}

// An announcement that predates an order must not free the adapter slot that the order occupies.
BOOST_AUTO_TEST_CASE(a_late_announcement_does_not_free_an_occupied_adapter_slot)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Engines it(8, seed);
        it.lateAnnouncements = 4'000;
        it.reportLag = 3;
        for (int n = 0; n < 400; ++n) {
            if (n > 100 && n % 20 == 0) {
                it.plan.setDemand(it.now, "entry", {{"m0", "a" + std::to_string(1 + n / 20 % 5), 1, 3}});
                it.demand("m" + std::to_string(n / 40 % 8), 30);
            }
            if (n % 90 == 89) {
                it.changeLeader();
            }
            it.step();
        }
        BOOST_TEST(!it.exceeded);
    }
}

// A new leader inspects a worker whose newest announcement it has not received yet.
BOOST_AUTO_TEST_CASE(an_older_announcement_does_not_override_an_inspection)
{
    Residency plan;
    EngineSpec spec;
    spec.memoryMib = MEMORY;
    spec.loadsPerSecond = 2;
    for (const char *it : {"m0", "m1", "m2"}) {
        spec.models[it] = {90, 0, 1, {4'000}};
    }
    plan.setEngines({{"llm", spec}});
    base::Millis now{100'000};
    plan.begin(now, base::Millis{0});
    Holdings announced;
    announced.models["m0"];
    const std::vector<WorkerReport> reports{{"w", 1, "10.0.0.1:80", "llm", 4, false, false, announced, {}}};
    plan.setWorkers(now, reports);
    Holdings found = announced;
    found.models["m1"];
    plan.inspected(now, "w", InspectionResult{found, 6, false});
    for (int n = 0; n < 100; ++n) {
        now += STEP;
        plan.setWorkers(now, reports);
        BOOST_TEST(plan.plan(now).orders.empty());
    }
}

BOOST_AUTO_TEST_CASE(orders_executed_late_never_exceed_the_capacity_of_a_worker)
{
    BOOST_TEST(rc::check([] {
        Engines it(6, *rc::gen::arbitrary<std::uint64_t>());
        it.lateOrders = *rc::gen::inRange(0, 60);
        it.lateAnnouncements = *rc::gen::inRange<std::uint64_t>(0, 4'000);
        it.reportLag = *rc::gen::inRange<std::size_t>(0, 6);
        const int steps = *rc::gen::inRange(50, 400);
        for (int n = 0; n < steps; ++n) {
            if (n % 6 == 0) {
                it.demand("m" + std::to_string(*rc::gen::inRange(0, 8)), *rc::gen::inRange(0, 40));
            }
            if (*rc::gen::inRange(0, 120) == 0) {
                it.changeLeader();
            }
            if (*rc::gen::inRange(0, 150) == 0) {
                FakeWorker &worker = it.list[*rc::gen::inRange<std::size_t>(0, 6)];
                worker.holdings = worker.announced = {};
                worker.loading.clear();
                worker.late.reset();
                worker.onTheirWay.clear();
                worker.past.clear();
                worker.past.push_back({});
                worker.orders = 0;
                ++worker.incarnation;
            }
            it.step();
        }
        RC_ASSERT(!it.exceeded);
        RC_ASSERT(it.mostStoreLoads({5'000}) <= 5 * 2 + 3);
    }));
}

namespace
{

/** @brief A fleet whose demand shifts constantly between models, so that the weight store is used to its limit. */
Engines busyFleet(std::uint64_t seed)
{
    Engines it(120, seed);
    it.spec.loadsPerSecond = 13;
    it.plan.setEngines({{"llm", it.spec}});
    for (FakeWorker &worker : it.list) {
        worker.localCopies.clear();
        worker.keepsCopies = false;
    }
    return it;
}

// Loads that the store allows in five seconds: 13 per second, plus a tenth, plus 3.
constexpr std::ptrdiff_t STORE_CEILING = 74;

} // namespace

BOOST_AUTO_TEST_CASE(delayed_orders_do_not_exceed_the_rate_of_the_store)
{
    Engines it = busyFleet(1);
    for (int n = 0; n < 800; ++n) {
        if (n % 5 == 0) {
            it.demand("m" + std::to_string(n / 60 % 8), 600);
        }
        if (n % 200 == 100) {
            it.stalledUntil = it.now + base::Millis{4'000};
        }
        it.step();
    }
    BOOST_TEST(it.mostStoreLoads({5'000}) <= STORE_CEILING);
    // The store is used between the stalls.
    BOOST_TEST(it.storeLoads.size() > 100U);
    BOOST_TEST(!it.exceeded);
}

BOOST_AUTO_TEST_CASE(orders_without_response_count_against_the_rate_of_the_store)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Engines it = busyFleet(seed);
        for (int n = 0; n < 800; ++n) {
            if (n % 5 == 0) {
                it.demand("m" + std::to_string(n / 60 % 8), 600);
            }
            it.lateOrders = n >= 100 && n < 300 ? 60 : 0;
            it.step();
        }
        BOOST_TEST(it.mostStoreLoads({5'000}) <= STORE_CEILING);
        BOOST_TEST(it.storeLoads.size() > 100U);
        BOOST_TEST(!it.exceeded);
    }
}

BOOST_AUTO_TEST_SUITE_END()
