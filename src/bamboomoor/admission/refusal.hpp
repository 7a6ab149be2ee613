/**
 * The refusals that callers meet: their public codes, HTTP statuses, and the JSON of an error.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/http/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::admission
{

/** @brief Why a request got no answer of an upstream. */
enum class Refusal {
    InvalidKey,
    KeyWithdrawn,
    KeyInBody,
    UnknownModel,
    UnknownRoute,
    MalformedRequest,
    RateExceeded,
    QueueFull,
    DeadlineUnmeetable,
    NotFresh,
    NoUpstream,
    Draining,
    IdempotencyMismatch,
    InProgress,
    UpstreamFailed,
    OutcomeUnknown,
    Cancelled
};

/** @brief The public codes. */
inline constexpr auto REFUSAL_NAMES =
    base::makeNames<Refusal>("invalid_key", "key_withdrawn", "key_in_body", "unknown_model", "unknown_route",
        "malformed_request", "rate_exceeded", "queue_full", "deadline_unmeetable", "not_fresh", "no_upstream",
        "draining", "idempotency_mismatch", "in_progress", "upstream_failed", "outcome_unknown", "cancelled");

/**
 * @brief Names a refusal.
 * @param refusal The refusal.
 * @return Its public code.
 */
[[nodiscard]] constexpr std::string_view refusalName(Refusal refusal) noexcept
{
    return REFUSAL_NAMES.name(refusal);
}

/** @brief One error as a caller sees it. */
struct ErrorBody {
    Refusal refusal = Refusal::MalformedRequest;
    // One line for people.
    std::string message;
    // True: the request did not run; false: it ran; nothing: that is not known.
    std::optional<bool> notRun;
    // When to come back, in milliseconds; sent with statuses 429 and 503, in whole seconds, rounded up.
    base::Millis retryAfter{1'000};
};

/**
 * @brief Tells the HTTP status of a refusal.
 * @param refusal The refusal.
 * @return The status.
 */
[[nodiscard]] int statusOf(Refusal refusal) noexcept;

/**
 * @brief Writes an error.
 * @param error The error.
 * @return {"error":{"type","code","message","not_run"}} on one line.
 */
[[nodiscard]] std::string errorJson(const ErrorBody &error);

/**
 * @brief Makes a whole answer of an error.
 * @param error The error.
 * @return Status, Content-Type, Retry-After where the status asks for one, and the JSON.
 */
[[nodiscard]] http::Response errorResponse(const ErrorBody &error);

} // namespace bamboomoor::admission
