/**
 * Placement planner: keeps every model reachable within the memory of the accelerators and assigns the remaining memory
 * by demand.
 *
 * Only the leader of the control group plans. The intent of an order is committed before the order is sent, and the
 * ledger accounts for the memory of an order until it is settled. A model is removed from an accelerator in three
 * steps: drain, unload, settle.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/placement/internal/chooser.hpp"
#include "bamboomoor/placement/ledger.hpp"
#include "bamboomoor/placement/message.hpp"
#include "bamboomoor/placement/target.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bamboomoor::placement
{

/** @brief Settings of a planner. */
struct PlannerOptions {
    // Loads per second that the weight store can serve.
    double loadsPerSecond = 2;
    // Concurrent loads of models that the weight store serves at full speed.
    std::uint32_t maxModelLoads = 16;
    // Concurrent loads of adapters.
    std::uint32_t maxAdapterLoads = 130;
    // Milliseconds after which an unconfirmed load no longer delays other orders; its memory stays accounted for.
    base::Millis loadTimeout{120'000};
    // Milliseconds after which an unconfirmed unload no longer delays other orders.
    base::Millis unloadTimeout{15'000};
    // Milliseconds for which a new leader collects reports before it plans.
    base::Millis settle{3'000};
    // Interval in milliseconds at which StartDrain and ProposeClose are repeated.
    base::Millis repeat{2'000};
    // Milliseconds after loading during which a replica is not evicted for the sake of demand.
    base::Millis minStay{120'000};
    // Milliseconds for which freed memory stays reserved for the load that it was freed for.
    base::Millis claim{60'000};
    // Half-life of the demand of a model, in milliseconds.
    base::Millis demandHalfLife{120'000};
    // Maximum number of eviction searches per planning cycle.
    std::uint32_t roomSearches = 4;
};

/** @brief Placement planner of one daemon; not thread-safe. */
class Planner
{
public:
    /**
     * @brief Constructs a planner that is not the leader.
     * @param policy The target policy, not null.
     * @param options The settings.
     */
    explicit Planner(std::unique_ptr<TargetPolicy> policy, PlannerOptions options = {});

    /**
     * @brief Processes one input.
     * @param now The current time; never decreases.
     * @param input The input.
     * @return Actions to execute, in order.
     */
    [[nodiscard]] std::vector<Output> step(base::Millis now, const Input &input);

    /** @brief Returns whether this planner is the leader, from BecomeLeader to StopLeading. */
    [[nodiscard]] bool isLeading() const noexcept;

    /** @brief Returns the memory ledger. */
    [[nodiscard]] const Ledger &ledger() const noexcept;

private:
    struct DecayedDemand {
        double arrivals = 0;
        // Rises immediately and decays with the half-life.
        double decayed = 0;
    };

    void take(const Tick &input);
    void take(const Report &input);
    void take(const UpstreamExpired &input);
    void take(const Demand &input);
    void take(const Catalogue &input);
    void take(const IntentCommitted &input);
    void take(const IntentRefused &input);
    void take(const CloseCommitted &input);
    void take(const OrderReply &input);
    void take(const DrainConfirmed &input);
    void take(const BecomeLeader &input);
    void take(const StopLeading &input);

    [[nodiscard]] internal::Timeouts timeouts() const noexcept;
    [[nodiscard]] internal::Scene scene() const noexcept;
    [[nodiscard]] internal::Survey survey() const;
    void refillLoads();
    void proposeHoldsAndCloses();
    void expireClaims();
    void setTargets(internal::Survey &survey);
    void advanceDrains(internal::Survey &survey);
    void adoptUnloads();
    void advanceDrain(internal::Survey &survey, const internal::DrainKey &key, internal::Drain &drain);
    void proposeUnload(const internal::DrainKey &key, internal::Drain &drain, const Slot &slot);
    void retireUnlisted(internal::Survey &survey);
    void probeMissingHolds();
    [[nodiscard]] std::vector<internal::Need> needs(internal::Survey &survey) const;
    void load(internal::Survey &survey);
    [[nodiscard]] const internal::Claim *claimOf(const ModelRef &ref) const;
    void loadCopies(internal::Survey &survey, const internal::Need &need);
    void loadCopy(internal::Survey &survey, const internal::Need &need);
    [[nodiscard]] bool mayLoad(const internal::Survey &survey, const ModelRef &ref) const;
    void proposeLoad(internal::Survey &survey, const internal::Need &need, const internal::Site &site);
    void makeRoom(internal::Survey &survey, const internal::Need &need, const internal::Room &room);
    void startDrain(internal::Survey &survey, const internal::Site &site, const ModelRef &ref);
    [[nodiscard]] bool isSafeToUnload(internal::Survey &survey, const ModelRef &ref) const;
    void noteReachability(internal::Survey &survey);
    void propose(Order order);

    std::unique_ptr<TargetPolicy> m_policy;
    PlannerOptions m_options;
    Ledger m_ledger;
    // Sorted by reference, without duplicates.
    std::vector<CatalogueEntry> m_catalogue;
    std::map<ModelRef, DecayedDemand> m_demand;
    base::Millis m_demandAt;
    internal::Drains m_drains;
    internal::Claims m_claims;
    // Models that were last logged as having no live replica.
    std::set<ModelRef> m_unreachable;
    // Token bucket of loads; holds at most the loads of one second.
    double m_loadTokens = 0;
    base::Millis m_loadTokensAt;
    bool m_leading = false;
    base::Millis m_leadingSince;
    std::uint64_t m_lastFencing = 0;
    // Time and outputs of the step in progress.
    base::Millis m_now;
    std::vector<Output> m_outputs;
};

} // namespace bamboomoor::placement
