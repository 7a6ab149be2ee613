/**
 * Error responses as seen by callers: error code, HTTP status, error type, and whether the request has run.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::admission
{

/** @brief The reason why a request is refused or fails; the names are the public error codes. */
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
    Internal,
    Quarantined
};

/** @brief The public error codes. */
inline constexpr auto REFUSAL_NAMES =
    base::makeNames<Refusal>("invalid_key", "key_withdrawn", "unknown_model", "unknown_route", "wrong_organisation",
        "rate_exceeded", "queue_full", "deadline_unmeetable", "not_fresh", "no_upstream", "draining", "body_too_large",
        "malformed_request", "upstream_failed", "outcome_unknown", "key_in_body", "idempotency_mismatch", "in_progress",
        "cancelled", "method_not_allowed", "overloaded", "internal", "quarantined");

/** @brief Whether a request has been executed. */
enum class Execution { NotRun, Run, Unknown };

/** @brief The names of Execution. */
inline constexpr auto EXECUTION_NAMES = base::makeNames<Execution>("no", "yes", "unknown");

/** @brief The error categories in responses to callers. */
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

/** @brief The properties that all errors with the same refusal share. */
struct RefusalTraits {
    int httpStatus = 500;
    ErrorType type = ErrorType::Unavailable;
    // Nothing if it depends on the progress of the request.
    std::optional<Execution> execution;
    // The response has a Retry-After header.
    bool retryable = false;
};

/**
 * @brief Returns the properties of a refusal.
 * @param refusal The refusal.
 * @return HTTP status, error type, execution and retryability.
 */
[[nodiscard]] RefusalTraits traits(Refusal refusal) noexcept;

/** @brief The content of an error response. */
struct ErrorBody {
    Refusal refusal = Refusal::Internal;
    std::string message;
    // Used only if the traits do not define it.
    Execution execution = Execution::Unknown;
};

/**
 * @brief Serialises an error.
 * @param body The error.
 * @return {"error":{"type","code","message","not_run"}}, where not_run is null if the outcome is unknown.
 */
[[nodiscard]] std::string toJson(const ErrorBody &body);

/**
 * @brief Computes the value of the Retry-After header.
 * @param span The delay in milliseconds.
 * @return Whole seconds, rounded up, from 1 to 3600.
 */
[[nodiscard]] int retryAfterSeconds(base::Millis span) noexcept;

} // namespace bamboomoor::admission
