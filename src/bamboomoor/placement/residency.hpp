/**
 * Decides which models and adapters the workers of engines hold, where an engine takes one order at a time and counts
 * its orders.
 *
 * The load that it answers: a few models get most requests, and which ones they are changes within seconds, while
 * every model and adapter must stay reachable and the weight store serves few loads a second. Lost models come first,
 * then the adapters that callers missed, then copies of the model whose workers are loaded most.
 *
 * Every order names the number of orders that its worker has accepted before, so that of several orders in doubt at
 * most one takes effect; memory and places of an order count from its sending.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/placement/storewindow.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace bamboomoor::placement
{

/** @brief Settings of a residency. */
struct ResidencyOptions {
    // A report so soon after an order may be from before it; engines report with a lag of some hundred milliseconds.
    base::Millis reportLag{1'000};
    // How long an adapter is told to entries; announcements show it by then.
    base::Millis placedTime{3'000};
    // A load that takes so much longer than it should is looked at.
    base::Millis loadGrace{4'000};
    // Between the word to entries that a model drains and its unloading.
    base::Millis drain{600};
    // The pause before a worker is tried again that was busy or did not answer.
    base::Millis retry{300};
    // How long a VM hears announcements before it takes a model for lost; a few heartbeats.
    base::Millis settle{4'000};
    // How long a new leader waits at least, as it may have been cut off from the others before.
    base::Millis takeover{800};
    // Between two decisions about copies of models.
    base::Millis review{250};
    // A copy that is younger is not evicted.
    base::Millis minStay{5'000};
    // Demand counts half after this time.
    base::Millis halfLife{1'500};
    // The trend of demand is how its short mean differs from one of this half-life.
    base::Millis trendHalfLife{4'000};
    // How much of that difference is added to the short mean of growing demand.
    double trend = 0.7;
    // Demand of a model, in requests a second, below which it is not copied.
    double leastDemand = 0.7;
    // Demand of a model, in requests a second, below which nothing is drained before it is unloaded.
    double idleDemand = 0.05;
    // The least gain of a copy: by how much the sum of the squared loads of all workers falls, in requests a second
    // squared, weighed by the part of the horizon in which the copy serves.
    double leastGain = 2.0;
    // How long a copy is expected to be of use.
    base::Millis horizon{12'000};
    // How long a model takes that the worker has on its disk; what engines announce is a second or two.
    base::Millis localLoad{2'000};
    // How much room for another copy, in copies of the largest model, a second copy of an idle model must make.
    double leastRoom = 0.4;
    // Idle models that are loaded at once elsewhere to make room.
    std::size_t packing = 4;
    // Models that are looked at for one copy.
    std::size_t candidates = 8;
    // Copies decided in one review.
    int copies = 4;
    // Where not all models fit, one that no worker holds takes the place of a sole copy that is asked for less than
    // this part of it.
    double replaceBelow = 0.25;
    // The part of the workers' memory that models of different sizes fill at best.
    double fillable = 0.9;
    // Loads that the store's rate allows at once.
    double burst = 3;
    StoreWindowOptions store = {};
};

/** @brief A model that is to be reachable. */
struct ModelSpec {
    std::int64_t memoryMib = 0;
    // Adapters named a1, a2 and so on.
    std::int64_t adapters = 0;
    std::int64_t adapterMemoryMib = 0;
    base::Millis loadTime;
};

/** @brief The engine of a service and its models. */
struct EngineSpec {
    std::int64_t memoryMib = 0;
    std::int64_t adapterPlaces = 0;
    // Loads from the weight store a second, over all workers.
    double loadsPerSecond = 0;
    std::map<std::string, ModelSpec> models;
};

/** @brief What a worker holds, by its own word. */
struct Holdings {
    // The adapters of each model.
    std::map<std::string, std::set<std::string>> models;

    friend bool operator==(const Holdings &, const Holdings &) = default;
};

/** @brief A worker as it announced itself. */
struct WorkerReport {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string service;
    // Grows with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    bool leaving = false;
    // It has not announced itself for longer than it should.
    bool overdue = false;
    Holdings holdings;
    // Models that it loads from its own disk or memory: fast, and not from the store.
    std::set<std::string> localCopies;
};

/** @brief What an order does. */
enum class ResidencyOrderKind { Load, Unload };

/** @brief The names of the kinds. */
inline constexpr auto RESIDENCY_ORDER_NAMES = base::makeNames<ResidencyOrderKind>("load", "unload");

/** @brief Where a worker takes the weights of a load from. */
enum class LoadSource {
    // The weight store, whose loads are limited.
    Store,
    // A copy in the worker's own memory or on its disk.
    Local
};

/** @brief The names of the sources. */
inline constexpr auto LOAD_SOURCE_NAMES = base::makeNames<LoadSource>("store", "local");

/** @brief An order to a worker. */
struct ResidencyOrder {
    std::string worker;
    std::string address;
    ResidencyOrderKind kind = ResidencyOrderKind::Load;
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    // The orders that the worker has accepted before.
    std::uint64_t expected = 0;
    // Why it is given, for the log.
    std::string_view reason;
    // Where the weights are expected to come from, for the load of a model.
    std::optional<LoadSource> source = {};
    // Since the arrival of the announcement that names the worker's copies, for the load of a model.
    base::Millis announcementAge = {};
};

/** @brief A look at what a worker holds. */
struct Inspection {
    std::string worker;
    std::string address;
};

/** @brief What became of an order. */
enum class OrderVerdict {
    // It is being carried out.
    Accepted,
    // It held already.
    Holds,
    // Another order is under way, or the number of orders differs.
    Conflict,
    // Another leader has ordered since.
    Fenced,
    // The worker is another one, or knows no such order.
    Rejected,
    // It never left, so that it takes no effect.
    NotSent,
    // It may or may not take effect.
    Unknown
};

/** @brief The names of the verdicts. */
inline constexpr auto ORDER_VERDICT_NAMES =
    base::makeNames<OrderVerdict>("accepted", "holds", "conflict", "fenced", "rejected", "not_sent", "unknown");

/** @brief What an inspection found. */
struct Inspected {
    Holdings holdings;
    std::uint64_t orders = 0;
    bool busy = false;
};

/** @brief Demand for a model or adapter in one report. */
struct ResidencyDemand {
    std::string model;
    std::string adapter;
    // Requests a second, weighed by the length of their prompts.
    double rate = 0;
    // Requests that found it nowhere.
    std::uint64_t missed = 0;
};

/** @brief A model or adapter that comes to a worker, or came to it so lately that announcements may not show it. */
struct PlacedHolding {
    std::string worker;
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    // 0 when it is there.
    base::Millis readyIn;
};

/** @brief A model that came to a worker, for the log. */
struct ModelArrival {
    std::string worker;
    std::string model;
    // Nothing when no accepted order explains it.
    std::optional<LoadSource> source;
    // Since the last order to the worker, or its answer.
    base::Millis sinceOrder;
};

/** @brief What is to be done now. */
struct ResidencyActions {
    std::vector<ResidencyOrder> orders;
    std::vector<Inspection> inspections;
    // Since the last decision.
    std::vector<ModelArrival> arrivals;
};

/** @brief The plan of one leader. */
class Residency
{
public:
    /** @brief Makes a plan that knows nothing. @param options The settings. */
    explicit Residency(ResidencyOptions options = {}) noexcept
        : m_options(options)
        , m_store(options.store)
    {
    }

    /** @brief Takes the engines. @param engines Engines by service. */
    void setEngines(std::map<std::string, EngineSpec> engines);

    /**
     * @brief Begins to lead; the engines are known.
     * @param now The present time.
     * @param listeningSince Since when this VM hears announcements.
     */
    void begin(base::Millis now, base::Millis listeningSince)
    {
        m_settledAt = std::max(now + m_options.takeover, listeningSince + m_options.settle);
        m_loadsAt = now;
        m_store.assumeFull(now);
    }

    /** @brief Takes all live workers. @param now The present time. @param workers Their announcements. */
    void setWorkers(base::Millis now, const std::vector<WorkerReport> &workers);

    /**
     * @brief Takes an entry's demand since its last report.
     * @param now The present time.
     * @param entry Names the entry.
     * @param demand The demand.
     */
    void setDemand(base::Millis now, const std::string &entry, const std::vector<ResidencyDemand> &demand);

    /** @brief Takes an order's outcome. @param now The present time. @param worker Whose. @param verdict The outcome.
     */
    void ordered(base::Millis now, const std::string &worker, OrderVerdict verdict);

    /** @brief Takes what a look found. @param now The present time. @param worker Whose. @param found The find. */
    void inspected(base::Millis now, const std::string &worker, const std::optional<Inspected> &found);

    /** @brief Decides. @param now The present time. @return Orders and looks, at most one for each worker. */
    [[nodiscard]] ResidencyActions plan(base::Millis now);

    /**
     * @brief Notes that a worker accepts no connection; it counts as gone until it announces itself again.
     * @param worker Which.
     */
    void unreachable(const std::string &worker);

    /** @brief Lists what comes to workers or came lately. @param now The present time. @return All of it. */
    [[nodiscard]] std::vector<PlacedHolding> placed(base::Millis now) const;

    /** @brief Counts the loads from the store that began in the last window or may still begin. @return Their number.
     */
    [[nodiscard]] std::size_t storeLoads() const noexcept
    {
        return m_store.size();
    }

    /** @brief Lists what entries must not use any more. @return Worker and model. */
    [[nodiscard]] std::set<std::pair<std::string, std::string>> draining() const;

private:
    // A model that is to come to a worker, and those that must go for it.
    struct Task {
        std::string model;
        std::vector<std::string> evicted;
        std::string_view reason;
        // When the entries no longer use what goes.
        base::Millis drainedAt;
        // Tasks of greater urgency take the loads that the store's rate allows.
        double urgency = 0;
        // What is evicted may be the only copy.
        bool replaces = false;
    };
    struct State {
        WorkerReport report;
        Holdings view;
        std::map<std::string, base::Millis> heldSince;
        // Nothing until it was seen or guessed.
        std::optional<std::uint64_t> orders;
        // The worker has accepted so many at least.
        std::uint64_t leastOrders = 0;
        // Its own counted answers and reports say what it holds, not its announcements.
        bool counted = false;
        std::optional<ResidencyOrder> underWay;
        bool inspecting = false;
        bool mustInspect = false;
        // Adapters that were loaded lately.
        std::map<std::pair<std::string, std::string>, base::Millis> placedAt;
        // It accepts no connection; no announcement came since.
        bool unreachable = false;
        // A model whose load was accepted and that is not there yet.
        std::string loading;
        // Where its weights are expected to come from.
        LoadSource source = LoadSource::Store;
        // The arrival of the newest announcement.
        base::Millis announcedAt;
        base::Millis orderedAt;
        base::Millis notBefore;
        std::optional<Task> task;
    };
    // Requests a second, as means of two half-lives.
    struct Rate {
        double recent = 0;
        double lasting = 0;
        base::Millis at;
    };
    struct AdapterNeed {
        double need = 0;
        std::string adapter;
    };
    // Sums over workers as of one moment.
    struct Survey {
        // Ids of the workers that hold a model, or will, by service and model.
        std::map<std::pair<std::string, std::string>, std::vector<std::string>> holders;
        // Those of them that hold it now and announce themselves in time.
        std::map<std::pair<std::string, std::string>, std::size_t> ready;
        // Workers that hold an adapter, by service, model and adapter.
        std::map<std::tuple<std::string, std::string, std::string>, std::size_t> adapters;
        // Adapters that are worth a place at a worker, by service and model, the most needed first.
        std::map<std::pair<std::string, std::string>, std::vector<AdapterNeed>> adapterNeeds;
    };
    // Requests a second as of one moment.
    struct Demand {
        // By model and adapter.
        std::map<std::pair<std::string, std::string>, double> exact;
        // By model, with the trend.
        std::map<std::string, double> models;
    };

    [[nodiscard]] static bool isGone(const State &state) noexcept
    {
        return state.report.leaving || state.unreachable;
    }
    [[nodiscard]] const EngineSpec *engineOf(const State &state) const;
    [[nodiscard]] const ModelSpec *modelOf(const State &state, const std::string &model) const;
    [[nodiscard]] std::int64_t usedMib(const State &state) const;
    [[nodiscard]] std::size_t usedPlaces(const State &state) const;
    [[nodiscard]] bool holdsOrLoads(const State &state, const std::string &model) const;
    [[nodiscard]] bool isEvicting(const State &state, const std::string &model) const;
    [[nodiscard]] std::size_t replicas(const std::string &service, const std::string &model) const;
    [[nodiscard]] double demandOf(const std::string &model, const std::string &adapter) const;
    [[nodiscard]] double modelDemand(const std::string &model) const;
    [[nodiscard]] double loadOf(const State &state) const;
    [[nodiscard]] static double kept(base::Millis age, base::Millis halfLife) noexcept;
    void sumDemand(base::Millis now);
    void surveyWorkers();
    void surveyWorker(const State &state);
    [[nodiscard]] const std::vector<AdapterNeed> &adapterNeeds(
        const std::string &service, const std::string &model, const ModelSpec &spec);
    [[nodiscard]] bool isIdle(base::Millis now, const State &state) const;
    [[nodiscard]] bool hasLocalCopy(const State &state, const std::string &model) const;
    [[nodiscard]] base::Millis drainedAt(base::Millis now, const std::vector<std::string> &evicted) const;
    // Loads from the weight store a second, over all workers.
    [[nodiscard]] double storeRate() const noexcept;
    void refillLoads(base::Millis now);
    void pruneTasks();
    void continueTask(base::Millis now, State &state, ResidencyActions &out);
    void orderAdapter(base::Millis now, State &state, ResidencyActions &out);
    [[nodiscard]] std::optional<std::pair<std::string, std::string>> wantedAdapter(const State &state);
    [[nodiscard]] std::optional<std::pair<std::string, std::string>> spareAdapter(
        const State &state, double above) const;
    [[nodiscard]] std::size_t adapterReplicas(
        const std::string &service, const std::string &model, const std::string &adapter) const;
    void reviewModels(base::Millis now, const std::string &service, const EngineSpec &engine);
    void placeLost(base::Millis now, const std::string &service, const EngineSpec &engine);
    [[nodiscard]] std::vector<State *> byUrgency();
    [[nodiscard]] bool addCopy(base::Millis now, const std::string &service, const EngineSpec &engine);
    [[nodiscard]] std::map<std::string, double> loads(const std::string &service) const;
    [[nodiscard]] std::vector<std::string> busiestModels(const std::string &service, const EngineSpec &engine) const;
    [[nodiscard]] bool pack(const std::string &service, const EngineSpec &engine);
    [[nodiscard]] static double roomOf(const std::set<std::int64_t> &sizes, std::int64_t freeMib);
    void spread(const std::string &service, const std::string &model, double change,
        std::map<std::string, double> &changes) const;
    // By how much the sum of the squared loads falls; with Arrival::Pending the evicted copies are gone and the new one
    // has not come.
    enum class Arrival { Pending, There };
    [[nodiscard]] double gainOf(const State &state, const std::string &model, const std::vector<std::string> &evicted,
        const std::map<std::string, double> &loads, Arrival arrival) const;
    // A sole copy is evicted only if its model is asked for less than soleBelow.
    [[nodiscard]] std::optional<std::vector<std::string>> evictionsFor(
        base::Millis now, const State &state, std::int64_t neededMib, double soleBelow = 0) const;
    [[nodiscard]] bool fitsAll(const std::string &service, const EngineSpec &engine) const;
    void send(base::Millis now, State &state, ResidencyOrder order, ResidencyActions &out);
    void carryOut(base::Millis now, State &state, const ResidencyOrder &order);
    [[nodiscard]] static bool isStoreLoad(const ResidencyOrder &order) noexcept
    {
        return order.source == LoadSource::Store;
    }
    void noteStoreLoad(base::Millis now, const State &state, const ResidencyOrder &order, OrderVerdict verdict);
    void noteArrival(base::Millis now, const State &state, const std::string &model);

    ResidencyOptions m_options;
    std::map<std::string, EngineSpec> m_engines;
    std::map<std::string, State> m_workers;
    // By model and adapter; the means of all entries have the same half-lives, so that their sum decays like each.
    std::map<std::pair<std::string, std::string>, Rate> m_demand;
    // When each entry reported last.
    std::map<std::string, base::Millis> m_reportedAt;
    // Adapters that callers missed, until they are ordered.
    std::set<std::pair<std::string, std::string>> m_missed;
    // Models that came to workers since the last decision.
    std::vector<ModelArrival> m_arrivals;
    // Loads from the store that may start now at an even pace.
    double m_loads = 0;
    // Bounds the loads of each window, whatever becomes of orders on their way.
    StoreWindow m_store;
    base::Millis m_loadsAt;
    base::Millis m_reviewAt;
    // Until then workers that live may not have announced themselves.
    base::Millis m_settledAt;
    Survey m_survey;
    Demand m_summed;
};

} // namespace bamboomoor::placement
