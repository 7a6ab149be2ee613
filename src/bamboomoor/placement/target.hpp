/**
 * Policies that decide how many replicas each model is to have.
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

/** @brief The target policies that can be set. */
enum class PolicyKind { DemandAware, StaticSpread, GreedyDemand };

/** @brief Names of the target policies in the settings. */
inline constexpr auto POLICY_KIND_NAMES = base::makeNames<PolicyKind>("demand_aware", "static_spread", "greedy_demand");

/** @brief A model or adapter, as a target policy sees it. */
struct ModelView {
    ModelRef ref;
    std::uint64_t memoryMib = 0;
    // At least 1.
    std::uint32_t minReplicas = 1;
    // Arrivals per second that one replica can serve; greater than 0.
    double ratePerReplica = 1;
    // Latest arrivals per second.
    double arrivals = 0;
    // Arrivals per second that rise at once and decay slowly, with queued requests added.
    double demand = 0;
};

/** @brief What a target policy decides on. */
struct TargetInput {
    std::vector<ModelView> models;
    // Memory of all usable accelerators, in mebibytes.
    std::uint64_t totalMib = 0;
    // The most replicas of one model: the number of usable upstreams.
    std::uint32_t upstreams = 0;
    std::uint32_t dataCentres = 0;
};

/** @brief Decides the number of replicas of each model. */
class TargetPolicy
{
public:
    TargetPolicy() = default;
    TargetPolicy(const TargetPolicy &) = delete;
    TargetPolicy &operator=(const TargetPolicy &) = delete;
    virtual ~TargetPolicy() = default;

    /**
     * @brief Decides the targets.
     * @param now The present time.
     * @param input What they depend on.
     * @return A number of replicas for each model of the input, at least its minimum.
     */
    [[nodiscard]] virtual std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) = 0;
};

/** @brief Settings of the policy by demand. */
struct DemandAwareOptions {
    // Share of the memory that targets may fill; the rest lets a new replica load before an old one unloads.
    double fill = 0.9;
    // Multiple of the demand that is provided for.
    double headroom = 1.1;
    // Milliseconds for which a target outlives its demand.
    base::Millis hold{600'000};
};

/** @brief The minimum, a second replica wherever memory allows, and the rest by decayed demand. */
class DemandAware final : public TargetPolicy
{
public:
    /** @brief Makes the policy. @param options Its settings. */
    explicit DemandAware(DemandAwareOptions options = {}) noexcept;
    [[nodiscard]] std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) override;

private:
    struct Past {
        std::uint32_t replicas = 0;
        // When the demand last justified them.
        base::Millis at;
    };

    void keepPast(
        base::Millis now, const TargetInput &input, std::vector<std::uint32_t> &counts, std::uint64_t &spareMib);

    DemandAwareOptions m_options;
    std::map<ModelRef, Past> m_past;
};

/** @brief Equal numbers of replicas, whatever the demand. */
class StaticSpread final : public TargetPolicy
{
public:
    [[nodiscard]] std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) override;
};

/** @brief The minimum, and the rest by the latest arrivals. */
class GreedyDemand final : public TargetPolicy
{
public:
    [[nodiscard]] std::vector<std::uint32_t> targets(base::Millis now, const TargetInput &input) override;
};

/**
 * @brief Makes a target policy by its kind.
 * @param kind The kind.
 * @return The policy.
 */
[[nodiscard]] std::unique_ptr<TargetPolicy> makeTargetPolicy(PolicyKind kind);

} // namespace bamboomoor::placement
