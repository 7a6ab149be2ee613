/**
 * Chooses the upstream of each attempt and keeps this daemon's exact count of work in flight.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/routing/policy.hpp"
#include "bamboomoor/routing/prefixindex.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboomoor::routing
{

/** @brief What a choice came to. */
enum class ChoiceKind { Chosen, Wait, None };

/** @brief Names of the kinds of choice, for counters. */
inline constexpr auto CHOICE_KIND_NAMES = base::makeNames<ChoiceKind>("chosen", "wait", "none");

/** @brief A choice of an upstream. */
struct Choice {
    // Wait: every candidate is full; None: there is no candidate.
    ChoiceKind kind = ChoiceKind::None;
    // Empty unless chosen.
    std::string upstream;
    // Different for each attempt of this router; 0 unless chosen.
    std::uint64_t attempt = 0;
    // True when the upstream had failed this request before and there was no other.
    bool repeated = false;
};

/** @brief Settings of a router. */
struct RouterOptions {
    // The most attempts of this daemon in flight at one upstream.
    std::uint64_t engineDepth = 16;
    // Milliseconds for which an upstream is passed over after its first failure in a row; doubles with each further.
    base::Millis cooldown{250};
    // The longest such time in milliseconds.
    base::Millis cooldownLimit{5'000};
    PrefixIndexOptions prefix;
};

/** @brief The router of one daemon. */
class Router
{
public:
    /**
     * @brief Makes a router.
     * @param policy The policy, not null.
     * @param options Its settings.
     */
    explicit Router(std::unique_ptr<Policy> policy, RouterOptions options = {});

    /**
     * @brief Chooses an upstream and counts an attempt there.
     * @param now The present time.
     * @param request The request.
     * @param candidates The upstreams that can serve it, without leaving ones.
     * @param excluded Upstreams that failed this request; taken only when there is no other candidate.
     * @return The choice.
     */
    [[nodiscard]] Choice begin(base::Millis now, const Request &request, std::span<const Candidate> candidates,
        std::span<const std::string> excluded = {});

    /**
     * @brief Notes the first byte of an answer.
     * @param now The present time.
     * @param attempt The attempt.
     * @return False when the attempt is over or unknown.
     */
    bool firstByte(base::Millis now, std::uint64_t attempt);

    /**
     * @brief Ends an attempt that answered whole.
     * @param now The present time.
     * @param attempt The attempt.
     * @param cachedTokens Prompt tokens that the upstream reported as cached, if it did.
     * @return False when the attempt is over or unknown.
     */
    bool done(base::Millis now, std::uint64_t attempt, std::optional<std::uint64_t> cachedTokens = std::nullopt);

    /**
     * @brief Ends an attempt that failed, and passes over its upstream for a while.
     * @param now The present time.
     * @param attempt The attempt.
     * @return False when the attempt is over or unknown.
     */
    bool failed(base::Millis now, std::uint64_t attempt);

    /**
     * @brief Ends an attempt that this daemon gave up, such as for a caller that left.
     * @param attempt The attempt.
     * @return False when the attempt is over or unknown.
     */
    bool cancelled(std::uint64_t attempt);

    /**
     * @brief Tells this daemon's work at an upstream.
     * @param upstream The upstream's id.
     * @return The exact counts.
     */
    [[nodiscard]] OwnLoad load(std::string_view upstream) const;

    /** @brief Counts all attempts in flight. @return The number of attempts. */
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    struct Attempt {
        std::string upstream;
        // Prompt tokens that the upstream was not expected to have cached.
        std::uint64_t missingTokens = 0;
        std::vector<std::uint64_t> prefixChain;
        bool answered = false;
    };

    struct Upstream {
        // The sum over m_attempts of this upstream.
        OwnLoad own;
        // Failures in a row.
        std::uint32_t failures = 0;
        base::Millis avoidUntil;
    };

    [[nodiscard]] Choice chooseAmong(
        base::Millis now, const Request &request, const std::vector<const Candidate *> &candidates);
    [[nodiscard]] bool isAvoided(base::Millis now, const Candidate &candidate) const;
    Upstream *endAttempt(std::uint64_t attempt);

    std::unique_ptr<Policy> m_policy;
    RouterOptions m_options;
    PrefixIndex m_prefixes;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    // Upstreams with work in flight or recent failures.
    std::map<std::string, Upstream, std::less<>> m_upstreams;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace bamboomoor::routing
