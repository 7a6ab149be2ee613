/**
 * Keeps every model reachable within the memory of the accelerators, and follows the demand with what is left.
 *
 * Only the leader of the control group plans. Each order's intent is committed before the order is sent; the ledger
 * counts an order's memory until it is settled. Models leave an accelerator in three steps: drain, unload, settle.
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
    // Loads that the weight store serves per second.
    double loadsPerSecond = 2;
    // Loads of models that it serves at once at full speed.
    std::uint32_t loadsAtOnce = 16;
    // Loads of adapters that it serves at once.
    std::uint32_t adaptersInFlight = 130;
    // Milliseconds after which an unconfirmed load no longer holds back others; its memory stays counted.
    base::Millis loadTimeout{120'000};
    // The same for an unload.
    base::Millis unloadTimeout{15'000};
    // Milliseconds that a new leader waits for reports.
    base::Millis settle{3'000};
    // Milliseconds after which StartDrain and ProposeClose are repeated.
    base::Millis repeat{2'000};
    // Milliseconds for which a replica is not moved for demand.
    base::Millis minStay{120'000};
    // Milliseconds for which freed memory is kept for the load that it was freed for.
    base::Millis claim{60'000};
    // Milliseconds in which the demand of a model halves after its arrivals stop.
    base::Millis demandHalfLife{120'000};
    // The most searches for room in one planning.
    std::uint32_t roomSearches = 4;
};

/** @brief The planner of one daemon. */
class Planner
{
public:
    /**
     * @brief Makes a planner that does not lead.
     * @param policy The target policy, not null.
     * @param options Its settings.
     */
    explicit Planner(std::unique_ptr<TargetPolicy> policy, PlannerOptions options = {});

    /**
     * @brief Takes one input.
     * @param now The present time; never decreases.
     * @param input The input.
     * @return What is to be done, in order.
     */
    [[nodiscard]] std::vector<Output> step(base::Millis now, const Input &input);

    /** @brief Tells whether this planner decides. @return True from BecomeLeader to StopLeading. */
    [[nodiscard]] bool isLeading() const noexcept;

    /** @brief Reads the ledger. @return The ledger. */
    [[nodiscard]] const Ledger &ledger() const noexcept;

private:
    struct DecayedDemand {
        double arrivals = 0;
        // Rises at once and decays by the half-life.
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
    // Each reference once.
    std::vector<CatalogueEntry> m_catalogue;
    std::map<ModelRef, DecayedDemand> m_demand;
    base::Millis m_demandAt;
    internal::Drains m_drains;
    internal::Claims m_claims;
    // Models without a live replica, as last logged.
    std::set<ModelRef> m_unreachable;
    // Loads that may start now; not above one second's worth.
    double m_loadTokens = 0;
    base::Millis m_loadTokensAt;
    bool m_leading = false;
    base::Millis m_leadingSince;
    std::uint64_t m_lastFencing = 0;
    // Of the step in progress.
    base::Millis m_now;
    std::vector<Output> m_outputs;
};

} // namespace bamboomoor::placement
