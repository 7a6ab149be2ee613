/**
 * Policies that compute the target number of replicas of each model.
 *
 * A target is never below the minimum of its model and never changes what is resident by itself; the planner moves
 * towards it.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/placement/order.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace bamboomoor::placement
{

/** @brief Configurable target policies. */
enum class PolicyKind { DemandAware, StaticSpread, GreedyDemand };

/** @brief Names of the target policies as used in the settings. */
inline constexpr auto POLICY_KIND_NAMES = base::makeNames<PolicyKind>("demand_aware", "static_spread", "greedy_demand");

/** @brief Input of a target policy for one model or adapter. */
struct ModelView {
    ModelRef ref;
    std::uint64_t memoryMib = 0;
    // At least 1.
    std::uint32_t minReplicas = 1;
    // Requests per second that one replica can serve; greater than 0.
    double ratePerReplica = 1;
    // Most recent arrival rate in requests per second.
    double arrivals = 0;
    // Smoothed demand in requests per second, including queued requests: rises at once and decays slowly.
    double demand = 0;
};

/** @brief Input of a target policy. */
struct TargetInput {
    std::vector<ModelView> models;
    // Total memory of all usable accelerators, in MiB.
    std::uint64_t totalMib = 0;
    // Number of usable upstreams, which bounds the replicas of one model.
    std::uint32_t upstreams = 0;
    std::uint32_t dataCentres = 0;
};

/** @brief Interface of a target policy. */
class TargetPolicy
{
public:
    TargetPolicy() = default;
    TargetPolicy(const TargetPolicy &) = delete;
    TargetPolicy &operator=(const TargetPolicy &) = delete;
    virtual ~TargetPolicy() = default;

    /**
     * @brief Computes the targets.
     * @param now The current time.
     * @param input Models and capacity.
     * @return Number of replicas for each model in the order of the input, at least its minimum.
     */
    [[nodiscard]] virtual std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) = 0;
};

/** @brief Settings of the demand-aware policy. */
struct DemandAwareOptions {
    // Fraction of the memory that targets may fill; the rest lets a new replica load before an old one is unloaded.
    double fill = 0.9;
    // Capacity to provision, as a multiple of the demand.
    double headroom = 1.1;
    // Milliseconds for which a target is kept after its demand has fallen.
    base::Millis hold{600'000};
};

/** @brief Assigns the minimum, then a second replica wherever memory allows, then replicas by smoothed demand. */
class DemandAware final : public TargetPolicy
{
public:
    /** @brief Constructs the policy. @param options The settings. */
    explicit DemandAware(DemandAwareOptions options = {}) noexcept;
    [[nodiscard]] std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) override;

private:
    struct Past {
        std::uint32_t replicas = 0;
        // Time at which the demand last justified them.
        base::Millis at;
    };

    void keepPast(
        base::Millis now, const TargetInput &input, std::vector<std::uint32_t> &counts, std::uint64_t &spareMib);

    DemandAwareOptions m_options;
    std::map<ModelRef, Past> m_past;
};

/** @brief Assigns equal numbers of replicas, regardless of demand. */
class StaticSpread final : public TargetPolicy
{
public:
    [[nodiscard]] std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) override;
};

/** @brief Assigns the minimum, then replicas by the most recent arrival rate. */
class GreedyDemand final : public TargetPolicy
{
public:
    [[nodiscard]] std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) override;
};

/**
 * @brief Creates a target policy.
 * @param kind The kind of policy.
 * @return The policy, owned by the caller.
 */
[[nodiscard]] std::unique_ptr<TargetPolicy> makeTargetPolicy(PolicyKind kind);

} // namespace bamboomoor::placement
