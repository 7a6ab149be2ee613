/**
 * The traits of all refusals and the JSON form of errors.
 */
#include "bamboomoor/admission/refusal.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace bamboomoor::admission
{

namespace
{
constexpr int MILLIS_PER_SECOND = 1'000;
constexpr int MAX_RETRY_SECONDS = 3'600;

// In the order of the enumerators of Refusal.
constexpr std::array TRAITS = {
    RefusalTraits{401, ErrorType::Authentication, Execution::NotRun, false},
    RefusalTraits{401, ErrorType::Authentication, std::nullopt, false},
    RefusalTraits{404, ErrorType::NotFound, Execution::NotRun, false},
    RefusalTraits{404, ErrorType::NotFound, Execution::NotRun, false},
    RefusalTraits{403, ErrorType::Permission, Execution::NotRun, false},
    RefusalTraits{429, ErrorType::RateLimit, Execution::NotRun, true},
    RefusalTraits{503, ErrorType::Unavailable, Execution::NotRun, true},
    RefusalTraits{503, ErrorType::Unavailable, Execution::NotRun, true},
    RefusalTraits{503, ErrorType::Unavailable, Execution::NotRun, true},
    RefusalTraits{503, ErrorType::Unavailable, Execution::NotRun, true},
    RefusalTraits{503, ErrorType::Unavailable, Execution::NotRun, true},
    RefusalTraits{413, ErrorType::InvalidRequest, Execution::NotRun, false},
    RefusalTraits{400, ErrorType::InvalidRequest, Execution::NotRun, false},
    RefusalTraits{502, ErrorType::Upstream, std::nullopt, false},
    RefusalTraits{502, ErrorType::Upstream, Execution::Unknown, false},
    RefusalTraits{400, ErrorType::InvalidRequest, Execution::NotRun, false},
    RefusalTraits{422, ErrorType::InvalidRequest, Execution::NotRun, false},
    RefusalTraits{409, ErrorType::Conflict, Execution::Unknown, false},
    RefusalTraits{499, ErrorType::InvalidRequest, std::nullopt, false},
    RefusalTraits{405, ErrorType::InvalidRequest, Execution::NotRun, false},
    RefusalTraits{503, ErrorType::Unavailable, Execution::NotRun, true},
    RefusalTraits{500, ErrorType::Unavailable, std::nullopt, false},
    RefusalTraits{503, ErrorType::Unavailable, Execution::NotRun, true},
};
static_assert(TRAITS.size() == REFUSAL_NAMES.size());
} // namespace

RefusalTraits traits(Refusal refusal) noexcept
{
    const auto n = static_cast<std::size_t>(refusal);
    assert(n < TRAITS.size());
    return TRAITS[n];
}

std::string toJson(const ErrorBody &body)
{
    const RefusalTraits fixed = traits(body.refusal);
    const Execution execution = fixed.execution.value_or(body.execution);
    nlohmann::ordered_json error;
    error["type"] = ERROR_TYPE_NAMES.name(fixed.type);
    error["code"] = REFUSAL_NAMES.name(body.refusal);
    error["message"] = body.message;
    error["not_run"] = execution == Execution::Unknown ? nlohmann::ordered_json()
                                                       : nlohmann::ordered_json(execution == Execution::NotRun);
    nlohmann::ordered_json whole;
    whole["error"] = std::move(error);
    return whole.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

int retryAfterSeconds(base::Millis span) noexcept
{
    const std::int64_t bounded =
        std::min<std::int64_t>(span.count, std::int64_t{MAX_RETRY_SECONDS} * MILLIS_PER_SECOND);
    const std::int64_t n = (bounded + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    return static_cast<int>(std::max<std::int64_t>(n, 1));
}

} // namespace bamboomoor::admission
