/**
 * Retry decisions for failed attempts, with at-most-once execution of requests that are not idempotent.
 *
 * A non-idempotent request is never retried once any of its bytes may have reached an upstream, even if the upstream
 * reports that it did not run the request. FailNotRun is returned only if it is certain for every attempt.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::routing
{

/** @brief Failure mode of an attempt. */
enum class FailureKind {
    ConnectRefused,
    ConnectTimeout,
    // The connection failed before any byte of the request was written.
    SentNothing,
    ResetBeforeResponse,
    ResetDuringResponse,
    // The response ended before its declared length or terminator.
    Truncated,
    // No progress within the deadline.
    Stalled,
    // The response could not be parsed.
    Malformed,
    // A complete error response stating that the request was not run.
    UpstreamNotRun,
    // Any other complete error response.
    UpstreamError
};

/** @brief Names of the failures; also the retry reasons used as metric labels. */
inline constexpr auto FAILURE_KIND_NAMES =
    base::makeNames<FailureKind>("connect_refused", "connect_timeout", "sent_nothing", "reset_before_answer",
        "reset_during", "truncated", "silent", "garbage", "upstream_not_run", "upstream_error");

/** @brief A retry is attributed to the failure that preceded it. */
using RetryReason = FailureKind;

/** @brief Names of the retry reasons, used as metric labels. */
inline constexpr auto RETRY_REASON_NAMES = FAILURE_KIND_NAMES;

/** @brief Action to take after a failed attempt. */
enum class Decision {
    // Retry the request from the beginning.
    Retry,
    // Retry a generation, continuing after the tokens already delivered.
    Resume,
    // Report to the caller that the request did not run.
    FailNotRun,
    // Report to the caller that the outcome is unknown.
    FailUnknown,
    // Report to the caller that the request ran and failed.
    FailRun
};

/** @brief Names of the decisions, used as metric labels. */
inline constexpr auto DECISION_NAMES =
    base::makeNames<Decision>("retry", "resume", "fail_not_run", "fail_unknown", "fail_run");

/** @brief Reason for not retrying a request. */
enum class GiveUpReason {
    NotRepeatable,
    AttemptsExhausted,
    OrganisationBudget,
    UpstreamBudget,
    Deadline,
    NoUpstream,
    Closed
};

/** @brief Names of the reasons, used as metric labels. */
inline constexpr auto GIVE_UP_REASON_NAMES = base::makeNames<GiveUpReason>(
    "not_repeatable", "attempts_spent", "organisation_budget", "upstream_budget", "deadline", "no_upstream", "closed");

/** @brief Input of a retry decision. */
struct Situation {
    // Whether the request may safely run more than once.
    bool idempotent = false;
    // Whether the call is made under a claim and must run at most once.
    bool claimed = false;
    // Whether the request is a generation, which can be resumed from its tokens.
    bool generation = false;
    // Whether an earlier attempt may have run.
    bool mayHaveRunBefore = false;
    // False if the attempt limit, a retry budget or the deadline rules out another attempt.
    bool mayTryAgain = true;
    // Request bytes that may have been sent in this attempt.
    std::uint64_t bytesSent = 0;
    // Tokens delivered to the caller, over all attempts.
    std::uint64_t deliveredTokens = 0;
    // Response bytes delivered to the caller, over all attempts.
    std::uint64_t deliveredBytes = 0;
    FailureKind failure = FailureKind::Stalled;
};

/**
 * @brief Returns whether a failed attempt certainly did not run.
 * @param failure The failure.
 * @param bytesSent Request bytes that may have been sent.
 * @return False if it may have run.
 */
[[nodiscard]] bool isProvablyNotRun(FailureKind failure, std::uint64_t bytesSent) noexcept;

/**
 * @brief Decides how to proceed after a failed attempt.
 * @param situation The input of the decision.
 * @return The decision.
 */
[[nodiscard]] Decision decide(const Situation &situation) noexcept;

/** @brief Properties of a request; see Situation. */
struct DeliveryOptions {
    bool idempotent = false;
    bool claimed = false;
    bool generation = false;
    // Maximum number of attempts, at least 1.
    std::uint32_t maxAttempts = 4;
};

/** @brief Tracks the attempts of one request. At most one attempt is open; events of other attempts are ignored. */
class Delivery
{
public:
    /** @brief Constructs a delivery without attempts. @param options Properties of the request. */
    explicit Delivery(DeliveryOptions options) noexcept;

    /**
     * @brief Starts an attempt; no attempt may be open.
     * @param attempt Its id, not 0.
     * @param upstream Its upstream.
     */
    void start(std::uint64_t attempt, std::string upstream);

    /**
     * @brief Records request bytes; call before writing them to the connection.
     * @param attempt The attempt.
     * @param bytes The number of bytes.
     * @return False if the attempt is not the open one.
     */
    bool sent(std::uint64_t attempt, std::uint64_t bytes) noexcept;

    /**
     * @brief Records that no byte of the request left after all, such as when its connection was refused.
     * @param attempt The attempt.
     * @return False if the attempt is not the open one.
     */
    bool nothingSent(std::uint64_t attempt) noexcept;

    /**
     * @brief Records a part of the response; call before forwarding it to the caller.
     * @param attempt The attempt.
     * @param tokens Generated tokens in the part; 0 for a plain service.
     * @param bytes Size of the part in bytes.
     * @return False if the attempt is not the open one; the part must then be discarded.
     */
    bool delivered(std::uint64_t attempt, std::uint64_t tokens, std::uint64_t bytes) noexcept;

    /**
     * @brief Ends the request after a complete response.
     * @param attempt The attempt.
     * @return False if the attempt is not the open one; the response must then be discarded.
     */
    bool finished(std::uint64_t attempt) noexcept;

    /**
     * @brief Ends an attempt after a failure.
     * @param attempt The attempt.
     * @param failure The failure.
     * @param mayTryAgain False if a budget or the deadline rules out another attempt.
     * @return The decision, or std::nullopt if the attempt is not the open one.
     */
    std::optional<Decision> failed(std::uint64_t attempt, FailureKind failure, bool mayTryAgain = true);

    /**
     * @brief Ends the request without another attempt, for example because no upstream is available.
     * @return FailNotRun, FailUnknown or FailRun.
     */
    [[nodiscard]] Decision giveUp() noexcept;

    /** @brief Returns whether the request has ended by a complete response or a final failure. */
    [[nodiscard]] bool isOver() const noexcept;

    /** @brief Returns the ids of the upstreams at which this request failed. */
    [[nodiscard]] const std::vector<std::string> &excluded() const noexcept;

    /** @brief Returns the number of tokens delivered to the caller. */
    [[nodiscard]] std::uint64_t deliveredTokens() const noexcept;

    /** @brief Returns the number of attempts so far. */
    [[nodiscard]] std::uint32_t attempts() const noexcept;

private:
    DeliveryOptions m_options;
    // Id of the open attempt; 0 for none.
    std::uint64_t m_open = 0;
    std::string m_upstream;
    std::uint32_t m_attempts = 0;
    // Of the open attempt.
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_deliveredTokens = 0;
    std::uint64_t m_deliveredBytes = 0;
    // Whether an ended attempt may have run.
    bool m_mayHaveRun = false;
    bool m_over = false;
    std::vector<std::string> m_excluded;
};

} // namespace bamboomoor::routing
