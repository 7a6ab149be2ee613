/**
 * Decides what follows a failed attempt, so that a request that must not run twice never does.
 *
 * A request that may not be repeated is never sent again once a byte may have reached an upstream, even when the
 * upstream says that it did not run it. "Not run" is said only when it is provable for every attempt.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::routing
{

/** @brief How an attempt failed. */
enum class FailureKind {
    ConnectRefused,
    ConnectTimeout,
    // The connection failed before any byte of the request was written.
    SentNothing,
    ResetBeforeAnswer,
    ResetDuring,
    // The answer ended before its length or terminator.
    Truncated,
    // No progress within the deadline.
    Silent,
    // The answer could not be read.
    Garbage,
    // A whole error answer that says that the request was not run.
    UpstreamNotRun,
    // Any other whole error answer.
    UpstreamError
};

/** @brief Names of the failures; also the reasons by which retries are counted. */
inline constexpr auto FAILURE_KIND_NAMES =
    base::makeNames<FailureKind>("connect_refused", "connect_timeout", "sent_nothing", "reset_before_answer",
        "reset_during", "truncated", "silent", "garbage", "upstream_not_run", "upstream_error");

/** @brief The reason of a retry is the failure before it. */
using RetryReason = FailureKind;

/** @brief Names of the retry reasons, for counters. */
inline constexpr auto RETRY_REASON_NAMES = FAILURE_KIND_NAMES;

/** @brief What follows a failed attempt. */
enum class Decision {
    // Send the request again from its start.
    Retry,
    // Send a generation again, continued from the tokens delivered.
    Resume,
    // Tell the caller that the request did not run.
    FailNotRun,
    // Tell the caller that the outcome is unknown.
    FailUnknown,
    // Tell the caller that the request ran and failed.
    FailRun
};

/** @brief Names of the decisions, for counters. */
inline constexpr auto DECISION_NAMES =
    base::makeNames<Decision>("retry", "resume", "fail_not_run", "fail_unknown", "fail_run");

/** @brief Why a request was not tried again. */
enum class GiveUpReason { NotRepeatable, AttemptsSpent, OrganisationBudget, UpstreamBudget, Deadline, NoUpstream };

/** @brief Names of the reasons, for counters. */
inline constexpr auto GIVE_UP_REASON_NAMES = base::makeNames<GiveUpReason>(
    "not_repeatable", "attempts_spent", "organisation_budget", "upstream_budget", "deadline", "no_upstream");

/** @brief All that a decision depends on. */
struct Situation {
    // True when running the request twice does no harm.
    bool idempotent = false;
    // True for a call under a claim, which runs at most once.
    bool claimed = false;
    // True for a generation, which can be continued from its tokens.
    bool generation = false;
    // True when an earlier attempt may have run.
    bool mayHaveRunBefore = false;
    // False when attempts, budget or deadline forbid another attempt.
    bool mayTryAgain = true;
    // Bytes of the request that may have left in this attempt.
    std::uint64_t bytesSent = 0;
    // Tokens that the caller has, over all attempts.
    std::uint64_t deliveredTokens = 0;
    // Bytes of the answer that the caller has, over all attempts.
    std::uint64_t deliveredBytes = 0;
    FailureKind failure = FailureKind::Silent;
};

/**
 * @brief Tells whether a failed attempt has provably not run.
 * @param failure The failure.
 * @param bytesSent Bytes of the request that may have left.
 * @return False when it may have run.
 */
[[nodiscard]] bool isProvablyNotRun(FailureKind failure, std::uint64_t bytesSent) noexcept;

/**
 * @brief Decides what follows a failed attempt.
 * @param situation All that it depends on.
 * @return The decision.
 */
[[nodiscard]] Decision decide(const Situation &situation) noexcept;

/** @brief The nature of a request. */
struct DeliveryOptions {
    bool idempotent = false;
    bool claimed = false;
    bool generation = false;
    // The most attempts, at least 1.
    std::uint32_t maxAttempts = 4;
};

/** @brief The attempts of one request; at most one is open, and events of others are dropped. */
class Delivery
{
public:
    /** @brief Makes a request without attempts. @param options Its nature. */
    explicit Delivery(DeliveryOptions options) noexcept;

    /**
     * @brief Opens an attempt; none may be open.
     * @param attempt Its id, not 0.
     * @param upstream Its upstream.
     */
    void start(std::uint64_t attempt, std::string upstream);

    /**
     * @brief Notes request bytes just before they may leave.
     * @param attempt The attempt.
     * @param bytes The number of bytes.
     * @return False when the attempt is not the open one.
     */
    bool sent(std::uint64_t attempt, std::uint64_t bytes) noexcept;

    /**
     * @brief Notes a part of the answer before it goes to the caller.
     * @param attempt The attempt.
     * @param tokens Its generated tokens; 0 for a plain service.
     * @param bytes Its bytes.
     * @return False when the attempt is not the open one: the part must be dropped.
     */
    bool delivered(std::uint64_t attempt, std::uint64_t tokens, std::uint64_t bytes) noexcept;

    /**
     * @brief Ends the request with a whole answer.
     * @param attempt The attempt.
     * @return False when the attempt is not the open one: the answer must be dropped.
     */
    bool finished(std::uint64_t attempt) noexcept;

    /**
     * @brief Ends an attempt by a failure.
     * @param attempt The attempt.
     * @param failure The failure.
     * @param mayTryAgain False when budget or deadline forbid another attempt.
     * @return The decision, or nothing when the attempt is not the open one.
     */
    std::optional<Decision> failed(std::uint64_t attempt, FailureKind failure, bool mayTryAgain = true);

    /**
     * @brief Tells the outcome when the request ends without another attempt, such as for want of an upstream.
     * @return FailNotRun, FailUnknown or FailRun.
     */
    [[nodiscard]] Decision giveUp() noexcept;

    /** @brief Tells whether the request is over. @return True after a whole answer or a final failure. */
    [[nodiscard]] bool isOver() const noexcept;

    /** @brief Lists the upstreams that failed this request. @return Their ids. */
    [[nodiscard]] const std::vector<std::string> &excluded() const noexcept;

    /** @brief Counts the tokens that the caller has. @return The number of tokens. */
    [[nodiscard]] std::uint64_t deliveredTokens() const noexcept;

    /** @brief Counts the attempts. @return The number of attempts. */
    [[nodiscard]] std::uint32_t attempts() const noexcept;

private:
    DeliveryOptions m_options;
    // 0 when none is open.
    std::uint64_t m_open = 0;
    std::string m_upstream;
    std::uint32_t m_attempts = 0;
    // Of the open attempt.
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_deliveredTokens = 0;
    std::uint64_t m_deliveredBytes = 0;
    // True once an ended attempt may have run.
    bool m_mayHaveRun = false;
    bool m_over = false;
    std::vector<std::string> m_excluded;
};

} // namespace bamboomoor::routing
