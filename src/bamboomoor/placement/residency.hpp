/**
 * Plans which models and adapters each worker has loaded, for engines that execute one order at a time and count the
 * orders that they accept.
 *
 * The plan is designed for skewed demand: a few models receive most requests, and which ones they are changes within
 * seconds. Every model and adapter must stay reachable, and the weight store serves few loads per second. Models
 * without a replica have priority, then adapters that requests found nowhere, then copies of the models with the
 * highest load per replica.
 *
 * Every order carries the number of orders that the worker is expected to have accepted before it, so that at most one
 * of several orders without a response takes effect. The memory and adapter slots of an order are accounted for from
 * the moment it is sent.
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

/** @brief Settings of a residency plan. */
struct ResidencyOptions {
    // A report within this time after an order may predate it; reports of engines lag by some hundred milliseconds.
    base::Millis reportLag{1'000};
    // Time for which a newly loaded adapter is published to the entries; announcements list it by then.
    base::Millis placedTime{3'000};
    // Time beyond the expected load time after which the worker is inspected.
    base::Millis loadGrace{4'000};
    // Time between publishing a drain to the entries and the unload order.
    base::Millis drain{600};
    // Delay before retrying a worker that was busy or did not respond.
    base::Millis retry{300};
    // Time for which a VM must have received announcements before it treats a model as lost; a few heartbeats.
    base::Millis settle{4'000};
    // Minimum delay before a new leader decides, because it may have been partitioned before its election.
    base::Millis takeover{800};
    // Interval between reviews of model replicas.
    base::Millis review{250};
    // Minimum age of a replica before it may be evicted.
    base::Millis minStay{5'000};
    // Half-life of the short-term mean of demand.
    base::Millis halfLife{1'500};
    // Half-life of the long-term mean; the trend is the short-term mean minus the long-term mean.
    base::Millis trendHalfLife{4'000};
    // Fraction of a positive trend that is added to the short-term mean.
    double trend = 0.7;
    // Demand in requests per second below which a model is not replicated further.
    double leastDemand = 0.7;
    // Demand in requests per second below which a model is unloaded without draining.
    double idleDemand = 0.05;
    // Minimum gain of a replica: the decrease of the sum of the squared loads of all workers, in (requests/s)^2,
    // weighted by the fraction of the horizon during which the replica serves.
    double leastGain = 2.0;
    // Time for which a replica is expected to be useful.
    base::Millis horizon{12'000};
    // Time to load a model from the disk of the worker; engines announce one to two seconds.
    base::Millis localLoad{2'000};
    // Minimum space, in units of the largest model, that packing an idle model must free.
    double leastRoom = 0.4;
    // Maximum number of concurrent packing tasks.
    std::size_t packing = 4;
    // Number of models considered for each additional replica.
    std::size_t candidates = 8;
    // Maximum number of additional replicas per review.
    int copies = 4;
    // Time for which a model without a replica waits for a worker where its load costs others less than it is worth.
    base::Millis lostPatience{6'000};
    // If not all models fit, a model without a replica replaces the only replica of a model whose demand is less than
    // this fraction of its own.
    double replaceBelow = 0.25;
    // Fraction of the memory of the workers that models of different sizes can fill at best.
    double fillable = 0.9;
    // Burst size of the token bucket for loads from the store.
    double burst = 3;
    StoreWindowOptions store = {};
};

/** @brief A model that must stay reachable. */
struct ModelSpec {
    std::int64_t memoryMib = 0;
    // Adapters named a1, a2 and so on.
    std::int64_t adapters = 0;
    std::int64_t adapterMemoryMib = 0;
    base::Millis loadTime;
};

/** @brief Engine of a service and the models that it serves. */
struct EngineSpec {
    std::int64_t memoryMib = 0;
    std::int64_t adapterPlaces = 0;
    // Loads from the weight store per second, over all workers.
    double loadsPerSecond = 0;
    std::map<std::string, ModelSpec> models;
};

/** @brief Models and adapters that a worker reports as loaded. */
struct Holdings {
    // The adapters of each model.
    std::map<std::string, std::set<std::string>> models;

    friend bool operator==(const Holdings &, const Holdings &) = default;
};

/** @brief Latest announcement of a worker. */
struct WorkerReport {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string service;
    // Increases with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    bool leaving = false;
    // No announcement has arrived within the expected interval.
    bool overdue = false;
    Holdings holdings;
    // Models that it can load from its own disk or memory, without using the weight store.
    std::set<std::string> localCopies;
};

enum class ResidencyOrderKind { Load, Unload };

inline constexpr auto RESIDENCY_ORDER_KIND_NAMES = base::makeNames<ResidencyOrderKind>("load", "unload");

/** @brief Where a worker reads the weights of a model from. */
enum class LoadSource {
    // The shared weight store, whose load rate is limited.
    Store,
    // A copy in the memory or on the disk of the worker.
    Local
};

inline constexpr auto LOAD_SOURCE_NAMES = base::makeNames<LoadSource>("store", "local");

/** @brief An order to a worker. */
struct ResidencyOrder {
    std::string worker;
    std::string address;
    ResidencyOrderKind kind = ResidencyOrderKind::Load;
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    // Number of orders that the worker is expected to have accepted before.
    std::uint64_t expected = 0;
    // Reason of the order, for the log.
    std::string_view reason;
    // Expected source of the weights; set only for the load of a model.
    std::optional<LoadSource> source = {};
    // Time since the announcement that lists the local copies of the worker arrived; set only for the load of a model.
    base::Millis announcementAge = {};
};

/** @brief A query of the models and adapters that a worker has loaded. */
struct Inspection {
    std::string worker;
    std::string address;
};

/** @brief Result of an order. */
enum class ResidencyOrderResult {
    // The order is being executed.
    Accepted,
    // The requested state already applied.
    AlreadyApplied,
    // Another order is in progress, or the expected number of orders does not match.
    Conflict,
    // A newer leader has sent an order.
    Fenced,
    // The worker has another identity or does not support the order.
    Rejected,
    // The order was not sent and has no effect.
    NotSent,
    // No response; the order may still take effect.
    Unknown
};

inline constexpr auto RESIDENCY_ORDER_RESULT_NAMES =
    base::makeNames<ResidencyOrderResult>("accepted", "holds", "conflict", "fenced", "rejected", "not_sent", "unknown");

/** @brief Result of an inspection. */
struct InspectionResult {
    Holdings holdings;
    std::uint64_t orders = 0;
    bool busy = false;
};

/** @brief Demand for a model or adapter, as reported by an entry. */
struct ResidencyDemand {
    std::string model;
    std::string adapter;
    // Requests per second, weighted by the length of their prompts.
    double rate = 0;
    // Requests that found no replica.
    std::uint64_t missed = 0;
};

/** @brief A model or adapter that is being loaded, or was loaded so recently that announcements may not list it yet. */
struct RecentHolding {
    std::string worker;
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    // Remaining load time; 0 if loaded.
    base::Millis readyIn;
};

/** @brief A model that became available at a worker, for the log. */
struct ModelArrival {
    std::string worker;
    std::string model;
    // Empty if no accepted order explains it.
    std::optional<LoadSource> source;
    // Time since the last order to the worker or the response to it.
    base::Millis sinceOrder;
};

/** @brief Actions to execute. */
struct ResidencyActions {
    std::vector<ResidencyOrder> orders;
    std::vector<Inspection> inspections;
    // Models that arrived since the last plan.
    std::vector<ModelArrival> arrivals;
};

/** @brief Residency plan of one leader; not thread-safe. */
class Residency
{
public:
    /** @brief Constructs an empty plan. @param options The settings. */
    explicit Residency(ResidencyOptions options = {}) noexcept
        : m_options(options)
        , m_store(options.store)
    {
    }

    /** @brief Replaces the engines. @param engines Engines by service. */
    void setEngines(std::map<std::string, EngineSpec> engines);

    /**
     * @brief Starts leading; setEngines must have been called.
     * @param now The current time.
     * @param listeningSince Time since which this VM has received announcements.
     */
    void begin(base::Millis now, base::Millis listeningSince)
    {
        m_settledAt = std::max(now + m_options.takeover, listeningSince + m_options.settle);
        m_loadsAt = now;
        m_store.assumeFull(now);
    }

    /** @brief Replaces the set of live workers. @param now The current time. @param workers Their latest
     * announcements. */
    void setWorkers(base::Millis now, const std::vector<WorkerReport> &workers);

    /**
     * @brief Adds the demand that an entry has seen since its last report.
     * @param now The current time.
     * @param entry Id of the entry.
     * @param demand The demand.
     */
    void setDemand(base::Millis now, const std::string &entry, const std::vector<ResidencyDemand> &demand);

    /** @brief Processes the result of an order. @param now The current time. @param worker The worker. @param verdict
     * The result.
     */
    void ordered(base::Millis now, const std::string &worker, ResidencyOrderResult verdict);

    /** @brief Processes the result of an inspection. @param now The current time. @param worker The worker. @param
     * found The result, or std::nullopt if the worker did not respond. */
    void inspected(base::Millis now, const std::string &worker, const std::optional<InspectionResult> &found);

    /** @brief Computes the next actions. @param now The current time. @return Orders and inspections, at most one per
     * worker. */
    [[nodiscard]] ResidencyActions plan(base::Millis now);

    /**
     * @brief Records that a worker refused a connection; it is ignored until its next announcement.
     * @param worker The worker.
     */
    void unreachable(const std::string &worker);

    /** @brief Lists the models and adapters that are being loaded or were loaded recently. @param now The current time.
     */
    [[nodiscard]] std::vector<RecentHolding> recentHoldings(base::Millis now) const;

    /** @brief Returns the number of loads from the store that began in the last window or may still begin.
     */
    [[nodiscard]] std::size_t storeLoads() const noexcept
    {
        return m_store.size();
    }

    /** @brief Lists the replicas that entries must no longer use, as pairs of worker and model. */
    [[nodiscard]] std::set<std::pair<std::string, std::string>> draining() const;

private:
    // A planned load at a worker and the models to evict for it.
    struct Task {
        std::string model;
        std::vector<std::string> evicted;
        std::string_view reason;
        // Time from which entries no longer use the models to evict.
        base::Millis drainedAt;
        // Tasks with higher urgency are served first when the rate of the store is limited.
        double urgency = 0;
        // Whether the last replica of a model may be evicted.
        bool replaces = false;
    };
    struct State {
        WorkerReport report;
        Holdings view;
        std::map<std::string, base::Millis> heldSince;
        // Accepted orders of the worker; empty if unknown.
        std::optional<std::uint64_t> orders;
        // Lower bound of the accepted orders.
        std::uint64_t leastOrders = 0;
        // True once responses and inspections, which carry the order count, determine the view instead of
        // announcements.
        bool counted = false;
        std::optional<ResidencyOrder> underWay;
        bool inspecting = false;
        bool mustInspect = false;
        // Load times of recently loaded adapters.
        std::map<std::pair<std::string, std::string>, base::Millis> placedAt;
        // A connection was refused and no announcement has arrived since.
        bool unreachable = false;
        // Model whose load was accepted and has not completed; empty for none.
        std::string loading;
        // Expected source of its weights.
        LoadSource source = LoadSource::Store;
        // Arrival time of the newest announcement.
        base::Millis announcedAt;
        base::Millis orderedAt;
        base::Millis notBefore;
        std::optional<Task> task;
    };
    // Requests per second, as exponential means with two half-lives.
    struct Rate {
        double recent = 0;
        double lasting = 0;
        base::Millis at;
    };
    struct AdapterNeed {
        double need = 0;
        std::string adapter;
    };
    // Snapshot of replica counts over all workers.
    struct Survey {
        // Ids of the workers that have or will have a model loaded, by service and model.
        std::map<std::pair<std::string, std::string>, std::vector<std::string>> holders;
        // Number of them that have it loaded now and are not overdue.
        std::map<std::pair<std::string, std::string>, std::size_t> ready;
        // Number of workers that have an adapter loaded, by service, model and adapter.
        std::map<std::tuple<std::string, std::string, std::string>, std::size_t> adapters;
        // Adapters worth loading, by service and model, in order of descending need.
        std::map<std::pair<std::string, std::string>, std::vector<AdapterNeed>> adapterNeeds;
    };
    // Snapshot of demand in requests per second.
    struct Demand {
        // By model and adapter.
        std::map<std::pair<std::string, std::string>, double> exact;
        // By model, including the trend.
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
    // Loads from the weight store per second, over all workers.
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
    // Takes back tasks that only wait for the store, so that their workers can load what is more urgent or local.
    void releaseWaiting(base::Millis now, const std::string &service);
    // Tells whether another load from the store can start soon; more tasks would only block their workers.
    [[nodiscard]] bool mayWaitForStore(const std::string &service) const;
    void placeLost(base::Millis now, const std::string &service, const EngineSpec &engine);
    void noteLost(
        base::Millis now, const std::string &service, const std::vector<std::pair<double, std::string>> &lost);
    // A copy that a worker can load from its own disk or memory, without evictions.
    struct QuickCopy {
        std::int64_t memoryMib = 0;
        double gain = 0;
    };
    // By worker.
    using QuickCopies = std::map<std::string, std::vector<QuickCopy>>;
    [[nodiscard]] QuickCopies quickCopies(const std::string &service, const EngineSpec &engine) const;
    // Tells whether the worker loads a copy before a lost model that leaves it freeMib.
    [[nodiscard]] static bool loadsCopyFirst(
        const QuickCopies &copies, const std::string &worker, std::int64_t freeMib, double urgency);
    // Fraction of the horizon during which a replica serves.
    [[nodiscard]] double servedPart(base::Millis loadTime) const noexcept;
    [[nodiscard]] std::vector<State *> byUrgency();
    [[nodiscard]] bool addCopy(base::Millis now, const std::string &service, const EngineSpec &engine);
    [[nodiscard]] std::map<std::string, double> loads(const std::string &service) const;
    [[nodiscard]] std::vector<std::string> busiestModels(const std::string &service, const EngineSpec &engine) const;
    [[nodiscard]] bool pack(const std::string &service, const EngineSpec &engine);
    [[nodiscard]] static double roomOf(const std::set<std::int64_t> &sizes, std::int64_t freeMib);
    void spread(const std::string &service, const std::string &model, double change,
        std::map<std::string, double> &changes) const;
    // Decrease of the sum of the squared loads. Arrival::Pending: the evicted replicas are gone and the new one is not
    // loaded yet.
    enum class Arrival { Pending, There };
    [[nodiscard]] double gainOf(const State &state, const std::string &model, const std::vector<std::string> &evicted,
        const std::map<std::string, double> &loads, Arrival arrival) const;
    // Increase of the sum of the squared loads until the evicted replicas are loaded again.
    [[nodiscard]] double evictionCost(
        const State &state, const std::vector<std::string> &evicted, const std::map<std::string, double> &loads) const;
    // The last replica of a model is evicted only if the demand of the model is less than soleBelow.
    [[nodiscard]] std::optional<std::vector<std::string>> evictionsFor(
        base::Millis now, const State &state, std::int64_t neededMib, double soleBelow = 0) const;
    [[nodiscard]] bool fitsAll(const std::string &service, const EngineSpec &engine) const;
    void send(base::Millis now, State &state, ResidencyOrder order, ResidencyActions &out);
    void carryOut(base::Millis now, State &state, const ResidencyOrder &order);
    [[nodiscard]] static bool isStoreLoad(const ResidencyOrder &order) noexcept
    {
        return order.source == LoadSource::Store;
    }
    void noteStoreLoad(base::Millis now, const State &state, const ResidencyOrder &order, ResidencyOrderResult verdict);
    void noteArrival(base::Millis now, const State &state, const std::string &model);

    ResidencyOptions m_options;
    std::map<std::string, EngineSpec> m_engines;
    std::map<std::string, State> m_workers;
    // By model and adapter, summed over all entries; possible because the means of all entries share their half-lives.
    std::map<std::pair<std::string, std::string>, Rate> m_demand;
    // Time of the last report of each entry.
    std::map<std::string, base::Millis> m_reportedAt;
    // Adapters that requests did not find, until they are loaded.
    std::set<std::pair<std::string, std::string>> m_missed;
    // When models without a replica were first found to have none, by service and model.
    std::map<std::pair<std::string, std::string>, base::Millis> m_lostSince;
    // Models that arrived at workers since the last plan.
    std::vector<ModelArrival> m_arrivals;
    // Token bucket that paces loads from the store.
    double m_loads = 0;
    // Limits the loads in any window, including orders that are delayed or got no response.
    StoreWindow m_store;
    base::Millis m_loadsAt;
    base::Millis m_reviewAt;
    // Before this time, live workers may not have announced themselves.
    base::Millis m_settledAt;
    Survey m_survey;
    Demand m_summed;
};

} // namespace bamboomoor::placement
