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
    RefusalTraits{401, ErrorType::Authentication, Ran::No, false},
    RefusalTraits{401, ErrorType::Authentication, std::nullopt, false},
    RefusalTraits{404, ErrorType::NotFound, Ran::No, false},
    RefusalTraits{404, ErrorType::NotFound, Ran::No, false},
    RefusalTraits{403, ErrorType::Permission, Ran::No, false},
    RefusalTraits{429, ErrorType::RateLimit, Ran::No, true},
    RefusalTraits{503, ErrorType::Unavailable, Ran::No, true},
    RefusalTraits{503, ErrorType::Unavailable, Ran::No, true},
    RefusalTraits{503, ErrorType::Unavailable, Ran::No, true},
    RefusalTraits{503, ErrorType::Unavailable, Ran::No, true},
    RefusalTraits{503, ErrorType::Unavailable, Ran::No, true},
    RefusalTraits{413, ErrorType::InvalidRequest, Ran::No, false},
    RefusalTraits{400, ErrorType::InvalidRequest, Ran::No, false},
    RefusalTraits{502, ErrorType::Upstream, std::nullopt, false},
    RefusalTraits{502, ErrorType::Upstream, Ran::Unknown, false},
    RefusalTraits{400, ErrorType::InvalidRequest, Ran::No, false},
    RefusalTraits{422, ErrorType::InvalidRequest, Ran::No, false},
    RefusalTraits{409, ErrorType::Conflict, Ran::Unknown, false},
    RefusalTraits{499, ErrorType::InvalidRequest, std::nullopt, false},
    RefusalTraits{405, ErrorType::InvalidRequest, Ran::No, false},
    RefusalTraits{503, ErrorType::Unavailable, Ran::No, true},
    RefusalTraits{500, ErrorType::Unavailable, std::nullopt, false},
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
    const Ran execution = fixed.ran.value_or(body.ran);
    nlohmann::ordered_json error;
    error["type"] = ERROR_TYPE_NAMES.name(fixed.type);
    error["code"] = REFUSAL_NAMES.name(body.refusal);
    error["message"] = body.message;
    error["not_run"] =
        execution == Ran::Unknown ? nlohmann::ordered_json() : nlohmann::ordered_json(execution == Ran::No);
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
