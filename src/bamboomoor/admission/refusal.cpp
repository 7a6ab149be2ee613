/**
 * The refusals that callers meet.
 */
#include "bamboomoor/admission/refusal.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bamboomoor::admission
{

namespace
{

constexpr std::int64_t MILLIS_PER_SECOND = 1'000;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int UNAVAILABLE = 503;

/** @brief The `type` field, by which clients tell whose fault it was. */
std::string_view typeOf(int status) noexcept
{
    switch (status) {
    case 401:
        return "authentication_error";
    case TOO_MANY_REQUESTS:
        return "rate_limit_error";
    default:
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}

} // namespace

int statusOf(Refusal refusal) noexcept
{
    switch (refusal) {
    case Refusal::InvalidKey:
    case Refusal::KeyWithdrawn:
        return 401;
    case Refusal::KeyInBody:
    case Refusal::MalformedRequest:
        return 400;
    case Refusal::UnknownModel:
    case Refusal::UnknownRoute:
        return 404;
    case Refusal::RateExceeded:
        return TOO_MANY_REQUESTS;
    case Refusal::IdempotencyMismatch:
        return 422;
    case Refusal::InProgress:
        return 409;
    case Refusal::UpstreamFailed:
    case Refusal::OutcomeUnknown:
        return 502;
    case Refusal::Cancelled:
        return 499;
    case Refusal::QueueFull:
    case Refusal::DeadlineUnmeetable:
    case Refusal::NotFresh:
    case Refusal::NoUpstream:
    case Refusal::Draining:
        return UNAVAILABLE;
    }
    return UNAVAILABLE;
}

std::string errorJson(const ErrorBody &error)
{
    nlohmann::json inner{{"type", typeOf(statusOf(error.refusal))}, {"code", refusalName(error.refusal)},
        {"message", error.message}, {"not_run", nullptr}};
    if (error.notRun) {
        inner["not_run"] = *error.notRun;
    }
    return nlohmann::json{{"error", std::move(inner)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::Response errorResponse(const ErrorBody &error)
{
    const int status = statusOf(error.refusal);
    http::Response response{status, {{"Content-Type", "application/json"}}, errorJson(error) + '\n'};
    if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) {
        const std::int64_t seconds = (error.retryAfter.count + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
    }
    return response;
}

} // namespace bamboomoor::admission
