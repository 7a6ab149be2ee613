/**
 * The reasons for which a request is refused or fails, as callers see them: code, HTTP status, type, and whether the
 * request has run.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::admission
{

/** @brief Why a request is refused or fails; the names are the public error codes. */
enum class Refusal {
    InvalidKey,
    KeyWithdrawn,
    UnknownModel,
    UnknownRoute,
    WrongOrganisation,
    RateExceeded,
    QueueFull,
    DeadlineUnmeetable,
    NotFresh,
    NoUpstream,
    Draining,
    BodyTooLarge,
    MalformedRequest,
    UpstreamFailed,
    OutcomeUnknown,
    KeyInBody,
    IdempotencyMismatch,
    InProgress,
    Cancelled,
    MethodNotAllowed,
    Overloaded,
    Internal
};

/** @brief The public error codes. */
inline constexpr auto REFUSAL_NAMES = base::makeNames<Refusal>("invalid_key", "key_withdrawn", "unknown_model",
    "unknown_route", "wrong_organisation", "rate_exceeded", "queue_full", "deadline_unmeetable", "not_fresh",
    "no_upstream", "draining", "body_too_large", "malformed_request", "upstream_failed", "outcome_unknown",
    "key_in_body", "idempotency_mismatch", "in_progress", "cancelled", "method_not_allowed", "overloaded", "internal");

/** @brief Whether a request has had an effect. */
enum class Ran { No, Yes, Unknown };

/** @brief The names of Ran. */
inline constexpr auto RAN_NAMES = base::makeNames<Ran>("no", "yes", "unknown");

/** @brief The kinds of errors, as callers see them. */
enum class ErrorType {
    Authentication,
    Permission,
    InvalidRequest,
    NotFound,
    RateLimit,
    Conflict,
    Unavailable,
    Upstream
};

/** @brief The public error types. */
inline constexpr auto ERROR_TYPE_NAMES =
    base::makeNames<ErrorType>("authentication_error", "permission_error", "invalid_request_error", "not_found_error",
        "rate_limit_error", "conflict_error", "unavailable_error", "upstream_error");

/** @brief What is fixed for a refusal. */
struct RefusalTraits {
    int httpStatus = 500;
    ErrorType type = ErrorType::Unavailable;
    // Nothing where it depends on how far the request got.
    std::optional<Ran> ran;
    // The answer carries Retry-After.
    bool retryable = false;
};

/**
 * @brief Looks up what is fixed for a refusal.
 * @param refusal The refusal.
 * @return Status, type and effect.
 */
[[nodiscard]] RefusalTraits traits(Refusal refusal) noexcept;

/** @brief An error as a caller receives it. */
struct ErrorBody {
    Refusal refusal = Refusal::Internal;
    std::string message;
    // Counts only where the traits leave it open.
    Ran ran = Ran::Unknown;
};

/**
 * @brief Writes an error.
 * @param body The error.
 * @return {"error":{"type","code","message","not_run"}}, not_run being null when the outcome is unknown.
 */
[[nodiscard]] std::string toJson(const ErrorBody &body);

/**
 * @brief Computes the value of the Retry-After header.
 * @param span A time in milliseconds.
 * @return Whole seconds, rounded up, from 1 to 3600.
 */
[[nodiscard]] int retryAfterSeconds(base::Millis span) noexcept;

} // namespace bamboomoor::admission
