/**
 * The whole answers by which callers meet refusals and failures.
 */
#pragma once

#include "bamboomoor/admission/refusal.hpp"
#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/http/message.hpp"

namespace bamboomoor::entry
{

/**
 * @brief Makes a whole answer of an error.
 * @param error The error.
 * @param retryAfter When to come back, in milliseconds; sent where the refusal is worth a further try.
 * @return Status, headers and the JSON of the error.
 */
[[nodiscard]] inline http::Response errorResponse(
    const admission::ErrorBody &error, base::Millis retryAfter = base::Millis{1'000})
{
    const admission::RefusalTraits traits = admission::traits(error.refusal);
    http::Response response{traits.httpStatus, {{"Content-Type", "application/json"}}, admission::toJson(error) + '\n'};
    if (traits.retryable) {
        response.headers.push_back({"Retry-After", std::to_string(admission::retryAfterSeconds(retryAfter))});
    }
    return response;
}

} // namespace bamboomoor::entry
