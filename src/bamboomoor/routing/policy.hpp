/**
 * Load-balancing policies, which select one of the upstreams that can serve a request.
 *
 * Policies are only asked about upstreams below their in-flight limit; random choices are seeded, so that tests are
 * reproducible.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/membership/announcement.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace bamboomoor::routing
{

/** @brief Configurable load-balancing policies. */
enum class PolicyKind { Random, LeastInFlight, TwoChoices, TimeToFirstToken };

/** @brief Names of the policies as used in the settings. */
inline constexpr auto POLICY_KIND_NAMES =
    base::makeNames<PolicyKind>("random", "least_in_flight", "two_choices", "time_to_first_token");

/** @brief Properties of a request that affect routing. */
struct Request {
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    std::string version;
    std::uint64_t promptTokens = 0;
    // Hashes of the prompt prefixes of one block, two blocks, and so on.
    std::vector<std::uint64_t> prefixChain;
    // Higher values are more urgent.
    int priority = 0;
};

/** @brief An upstream that can serve the request. */
struct Candidate {
    std::string upstream;
    membership::Load reported;
    // Milliseconds since the load was reported.
    base::Millis loadAge;
    // Increases with each start of the upstream's process.
    std::uint64_t incarnation = 0;
    // The version of its software; empty if it is not reported.
    std::string software = {};
};

/** @brief Exact count of the work of this daemon at an upstream. */
struct OwnLoad {
    std::uint64_t inFlight = 0;
    // Attempts without a first response byte; at most inFlight.
    std::uint64_t waiting = 0;
    // Prompt tokens of the waiting attempts that are not expected to be cached at the upstream.
    std::uint64_t waitingTokens = 0;
};

/** @brief A candidate and what this daemon knows about it. */
struct View {
    const Candidate *candidate = nullptr;
    OwnLoad own;
    // Prompt tokens expected to be cached at the upstream; at most the length of the prompt.
    std::uint64_t cachedTokens = 0;
};

/** @brief Interface of a load-balancing policy. */
class Policy
{
public:
    Policy() = default;
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;
    virtual ~Policy() = default;

    /**
     * @brief Selects one of several upstreams with capacity.
     * @param request The request.
     * @param views The upstreams, at least one.
     * @return Index into the views.
     */
    [[nodiscard]] virtual std::size_t choose(const Request &request, std::span<const View> views) = 0;
};

/** @brief Selects uniformly at random. */
class Random final : public Policy
{
public:
    /** @brief Constructs the policy. @param seed Seed of the random numbers. */
    explicit Random(std::uint64_t seed);
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

private:
    std::mt19937_64 m_random;
};

/** @brief Selects the upstream with the fewest own requests in flight; ties are broken uniformly. */
class LeastInFlight final : public Policy
{
public:
    /** @brief Constructs the policy. @param seed Seed of the random numbers. */
    explicit LeastInFlight(std::uint64_t seed);
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

private:
    std::mt19937_64 m_random;
};

/** @brief Power of two choices: draws two upstreams at random and selects the one with less own and reported work. */
class TwoChoices final : public Policy
{
public:
    /** @brief Constructs the policy. @param seed Seed of the random numbers. */
    explicit TwoChoices(std::uint64_t seed);
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

private:
    std::mt19937_64 m_random;
};

/** @brief Parameters of the estimated time to first token. */
struct EstimateOptions {
    // Prefill rate of an engine, in prompt tokens per millisecond.
    double prefillTokensPerMs = 8;
    // Milliseconds by which each running request delays the first token of a new one.
    double perRunningMs = 5;
    // Half-life in milliseconds of the weight of a reported load.
    double loadHalfLifeMs = 1'000;
    // Upstreams with more than this multiple of the mean work plus one request are not considered.
    double loadBound = 1.5;
};

/** @brief Selects the shortest estimated time to first token among upstreams within the load bound. */
class TimeToFirstToken final : public Policy
{
public:
    /** @brief Constructs the policy. @param seed Seed of the random numbers. @param options The settings. */
    explicit TimeToFirstToken(std::uint64_t seed, EstimateOptions options = {});
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

    /**
     * @brief Estimates the time to first token.
     * @param request The request.
     * @param view The upstream.
     * @return Time in milliseconds.
     */
    [[nodiscard]] double estimate(const Request &request, const View &view) const;

private:
    [[nodiscard]] double work(const View &view) const;

    EstimateOptions m_options;
    std::mt19937_64 m_random;
};

/**
 * @brief Creates a policy.
 * @param kind The kind of policy.
 * @param seed Seed of the random numbers.
 * @return The policy, owned by the caller.
 */
[[nodiscard]] std::unique_ptr<Policy> makePolicy(PolicyKind kind, std::uint64_t seed);

} // namespace bamboomoor::routing
