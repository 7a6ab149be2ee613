/**
 * Selects the upstream of each attempt and tracks the attempts of this daemon in flight.
 *
 * The counts of attempts in flight are exact: every attempt that was begun is ended exactly once.
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

/** @brief Outcome of a choice. */
enum class ChoiceKind { Chosen, Wait, None };

/** @brief Names of the outcomes, used as metric labels. */
inline constexpr auto CHOICE_KIND_NAMES = base::makeNames<ChoiceKind>("chosen", "wait", "none");

/** @brief Result of selecting an upstream. */
struct Choice {
    // Wait: all candidates have reached their limit. None: there is no candidate.
    ChoiceKind kind = ChoiceKind::None;
    // Empty unless chosen.
    std::string upstream;
    // Unique id of the attempt within this router; 0 unless chosen.
    std::uint64_t attempt = 0;
    // True if the request failed at this upstream before and there was no other candidate.
    bool repeated = false;
};

/** @brief Settings of a router. */
struct RouterOptions {
    // Maximum number of attempts of this daemon in flight at one upstream.
    std::uint64_t engineDepth = 16;
    // Milliseconds for which an upstream is avoided after a failure; doubles with each consecutive failure.
    base::Millis cooldown{250};
    // Maximum cooldown in milliseconds.
    base::Millis cooldownLimit{5'000};
    PrefixIndexOptions prefix;
};

/** @brief Router of one daemon; not thread-safe. */
class Router
{
public:
    /**
     * @brief Constructs a router.
     * @param policy The policy, not null.
     * @param options The settings.
     */
    explicit Router(std::unique_ptr<Policy> policy, RouterOptions options = {});

    /**
     * @brief Selects an upstream and starts an attempt there.
     * @param now The current time.
     * @param request The request.
     * @param candidates The upstreams that can serve it, excluding those that are leaving.
     * @param excluded Upstreams at which this request failed; used only if there is no other candidate.
     * @return The choice.
     */
    [[nodiscard]] Choice begin(base::Millis now, const Request &request, std::span<const Candidate> candidates,
        std::span<const std::string> excluded = {});

    /**
     * @brief Records the first byte of a response.
     * @param now The current time.
     * @param attempt The attempt.
     * @return False if the attempt has ended or is unknown.
     */
    bool firstByte(base::Millis now, std::uint64_t attempt);

    /**
     * @brief Ends an attempt after a complete response.
     * @param now The current time.
     * @param attempt The attempt.
     * @param cachedTokens Prompt tokens that the upstream reported as cached, if any were reported.
     * @return False if the attempt has ended or is unknown.
     */
    bool done(base::Millis now, std::uint64_t attempt, std::optional<std::uint64_t> cachedTokens = std::nullopt);

    /**
     * @brief Ends a failed attempt and starts the cooldown of its upstream.
     * @param now The current time.
     * @param attempt The attempt.
     * @return False if the attempt has ended or is unknown.
     */
    bool failed(base::Millis now, std::uint64_t attempt);

    /**
     * @brief Ends an attempt that this daemon cancelled, for example because the caller disconnected.
     * @param attempt The attempt.
     * @return False if the attempt has ended or is unknown.
     */
    bool cancelled(std::uint64_t attempt);

    /**
     * @brief Returns the work of this daemon at an upstream.
     * @param upstream The upstream's id.
     * @return The exact counts.
     */
    [[nodiscard]] OwnLoad load(std::string_view upstream) const;

    /** @brief Returns the total number of attempts in flight. */
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    struct Attempt {
        std::string upstream;
        // Prompt tokens not expected to be cached at the upstream.
        std::uint64_t missingTokens = 0;
        std::vector<std::uint64_t> prefixChain;
        bool answered = false;
    };

    struct Upstream {
        // Sum over the entries of m_attempts for this upstream.
        OwnLoad own;
        // Consecutive failures.
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
