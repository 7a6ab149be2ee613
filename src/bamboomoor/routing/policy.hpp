/**
 * Policies that choose one of the upstreams able to serve a request.
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

/** @brief The policies that can be set. */
enum class PolicyKind { Random, LeastInFlight, TwoChoices, TimeToFirstToken };

/** @brief Names of the policies in the settings. */
inline constexpr auto POLICY_KIND_NAMES =
    base::makeNames<PolicyKind>("random", "least_in_flight", "two_choices", "time_to_first_token");

/** @brief What a request asks for. */
struct Request {
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    std::string version;
    std::uint64_t promptTokens = 0;
    // Hash of the first block of the prompt, of the first two blocks, and so on.
    std::vector<std::uint64_t> prefixChain;
    // Greater is more urgent.
    int priority = 0;
};

/** @brief An upstream that can serve the request. */
struct Candidate {
    std::string upstream;
    membership::Load reported;
    // Milliseconds since the load was reported.
    base::Millis loadAge;
};

/** @brief This daemon's own work at an upstream; exact. */
struct OwnLoad {
    std::uint64_t inFlight = 0;
    // Attempts without a first byte; not above inFlight.
    std::uint64_t waiting = 0;
    // Prompt tokens of the waiting attempts that the upstream was not expected to have cached.
    std::uint64_t waitingTokens = 0;
};

/** @brief A candidate with what this daemon knows about it. */
struct View {
    const Candidate *candidate = nullptr;
    OwnLoad own;
    // Prompt tokens that the upstream is expected to have cached; not above the prompt.
    std::uint64_t cachedTokens = 0;
};

/** @brief Chooses an upstream. */
class Policy
{
public:
    Policy() = default;
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;
    virtual ~Policy() = default;

    /**
     * @brief Chooses one of several upstreams with room.
     * @param request The request.
     * @param views The upstreams, at least one.
     * @return An index into the views.
     */
    [[nodiscard]] virtual std::size_t choose(const Request &request, std::span<const View> views) = 0;
};

/** @brief Chooses evenly at random. */
class Random final : public Policy
{
public:
    /** @brief Makes the policy. @param seed Seed of its random numbers. */
    explicit Random(std::uint64_t seed);
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

private:
    std::mt19937_64 m_random;
};

/** @brief Chooses the fewest own requests in flight; ties fall evenly. */
class LeastInFlight final : public Policy
{
public:
    /** @brief Makes the policy. @param seed Seed of its random numbers. */
    explicit LeastInFlight(std::uint64_t seed);
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

private:
    std::mt19937_64 m_random;
};

/** @brief Draws two at random and takes the one with less work, own and reported. */
class TwoChoices final : public Policy
{
public:
    /** @brief Makes the policy. @param seed Seed of its random numbers. */
    explicit TwoChoices(std::uint64_t seed);
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

private:
    std::mt19937_64 m_random;
};

/** @brief Settings of the estimate of the time to the first token. */
struct EstimateOptions {
    // Prompt tokens that an engine processes per millisecond.
    double prefillTokensPerMs = 8;
    // Milliseconds that each running request adds to the first token of a new one.
    double perRunningMs = 5;
    // Age in milliseconds at which a reported load counts half.
    double loadHalfLifeMs = 1'000;
    // An upstream with more than this multiple of the mean work, plus one request, is passed over.
    double loadBound = 1.5;
};

/** @brief Takes the shortest estimated time to the first token, within a bound on the load. */
class TimeToFirstToken final : public Policy
{
public:
    /** @brief Makes the policy. @param seed Seed of its random numbers. @param options Its settings. */
    explicit TimeToFirstToken(std::uint64_t seed, EstimateOptions options = {});
    [[nodiscard]] std::size_t choose(const Request &request, std::span<const View> views) override;

    /**
     * @brief Estimates the time to the first token.
     * @param request The request.
     * @param view The upstream.
     * @return Milliseconds.
     */
    [[nodiscard]] double estimate(const Request &request, const View &view) const;

private:
    [[nodiscard]] double work(const View &view) const;

    EstimateOptions m_options;
    std::mt19937_64 m_random;
};

/**
 * @brief Makes a policy by its kind.
 * @param kind The kind.
 * @param seed Seed of its random numbers.
 * @return The policy.
 */
[[nodiscard]] std::unique_ptr<Policy> makePolicy(PolicyKind kind, std::uint64_t seed);

} // namespace bamboomoor::routing
