/**
 * What an upstream says of itself in the head of an answer, and which upstreams take requests after it.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/http/message.hpp"
#include "bamboomoor/routing/policy.hpp"
#include "bamboomoor/standing/upstreamtracker.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace bamboomoor::entry
{

/** @brief By this header an upstream says that it leaves; any value but 0 does. */
inline constexpr std::string_view LEAVING_HEADER = "X-Bamboomoor-Leaving";

/**
 * @brief Reads what an answer says of its upstream.
 * @param status The answer's status; only with 503 does Retry-After close the upstream.
 * @param headers The answer's headers.
 * @return The signal; malformed if Retry-After is repeated, negative, unreadable or beyond all reason, as which it
 * closes nothing.
 */
[[nodiscard]] standing::UpstreamSignal readSignal(int status, const http::Headers &headers);

/**
 * @brief Selects the upstreams that take requests.
 * @param now The present time.
 * @param standing What the upstreams said of themselves.
 * @param candidates The upstreams to select from.
 * @return Those that neither leave nor are closed, in the same order.
 */
[[nodiscard]] std::vector<routing::Candidate> selectOpen(
    base::Millis now, const standing::UpstreamTracker &standing, const std::vector<routing::Candidate> &candidates);

/**
 * @brief Finds when the first of some upstreams takes requests again.
 * @param now The present time.
 * @param standing What the upstreams said of themselves.
 * @param candidates The upstreams.
 * @return The time until then; 0 if one is open, base::NEVER if all leave or there is none.
 */
[[nodiscard]] base::Millis earliestOpening(
    base::Millis now, const standing::UpstreamTracker &standing, const std::vector<routing::Candidate> &candidates);

/**
 * @brief Staggers the retries of callers that are refused at the same time because all upstreams are closed.
 * @param opening The time until the first upstream opens.
 * @param exchange The caller's request.
 * @return When the caller is told to come back: not before the opening.
 */
[[nodiscard]] base::Millis spreadRetry(base::Millis opening, std::uint64_t exchange) noexcept;

} // namespace bamboomoor::entry
