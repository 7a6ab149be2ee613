/**
 * Decoding of the headers by which upstreams tell of themselves, and selection of those that are open.
 */
#include "bamboomoor/entry/upstreamaccess.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>
#include <string>

namespace bamboomoor::entry
{

namespace
{

constexpr int UNAVAILABLE = 503;
constexpr double MILLIS_PER_SECOND = 1'000.0;
// A longer closure is a mistake of the upstream.
constexpr base::Millis MAX_MEANT_CLOSURE{1'000'000'000};
constexpr const char *HTTP_DATE = "%a, %d %b %Y %H:%M:%S GMT";
// Callers of closed upstreams are spread over this time, in so many steps.
constexpr base::Millis RETRY_SPREAD{2'000};
constexpr std::int64_t RETRY_SPREAD_STEPS = 16;

std::optional<base::Millis> readSeconds(std::string_view value)
{
    double seconds = 0;
    const char *const end = value.data() + value.size();
    const auto [last, ec] = std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    const bool isNumber = ec == std::errc() && last == end && std::isfinite(seconds) && !std::signbit(seconds);
    if (!isNumber || seconds * MILLIS_PER_SECOND > static_cast<double>(MAX_MEANT_CLOSURE.count)) {
        return std::nullopt;
    }
    return base::Millis{static_cast<std::int64_t>(std::ceil(seconds * MILLIS_PER_SECOND))};
}

/** @brief Reads a delay in seconds, or up to a date, which is compared with the date of the answer. */
std::optional<base::Millis> readDelay(std::string_view value, std::string_view date)
{
    if (const auto delay = readSeconds(value)) {
        return delay;
    }
    absl::Time until;
    absl::Time since;
    std::string error;
    if (!absl::ParseTime(HTTP_DATE, std::string(value), &until, &error)
        || !absl::ParseTime(HTTP_DATE, std::string(date), &since, &error)) {
        return std::nullopt;
    }
    const base::Millis delay{std::max<std::int64_t>(0, absl::ToInt64Milliseconds(until - since))};
    return delay > MAX_MEANT_CLOSURE ? std::nullopt : std::optional(delay);
}

} // namespace

standing::UpstreamSignal readSignal(int status, const http::Headers &headers)
{
    standing::UpstreamSignal signal;
    int delays = 0;
    std::optional<base::Millis> delay;
    for (const http::Header &it : headers) {
        if (http::equalsIgnoringCase(it.name, LEAVING_HEADER)) {
            signal.leaving = signal.leaving || http::trimmed(it.value) != "0";
        } else if (status == UNAVAILABLE && http::equalsIgnoringCase(it.name, "Retry-After")) {
            ++delays;
            delay = readDelay(http::trimmed(it.value), http::trimmed(http::headerValue(headers, "Date")));
        }
    }
    signal.malformed = delays > 1 || (delays == 1 && !delay);
    if (!signal.malformed && delay && *delay > base::Millis{}) {
        signal.closedFor = delay;
    }
    return signal;
}

std::vector<routing::Candidate> selectOpen(
    base::Millis now, const standing::UpstreamTracker &standing, const std::vector<routing::Candidate> &candidates)
{
    std::vector<routing::Candidate> open;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(open), [&](const routing::Candidate &it) {
        return standing.access(now, {it.upstream, it.incarnation}) == standing::Access::Open;
    });
    return open;
}

base::Millis earliestOpening(
    base::Millis now, const standing::UpstreamTracker &standing, const std::vector<routing::Candidate> &candidates)
{
    base::Millis earliest = base::NEVER;
    for (const routing::Candidate &it : candidates) {
        earliest = std::min(earliest, standing.opensIn(now, {it.upstream, it.incarnation}, 0));
    }
    return std::max(earliest, base::Millis{});
}

base::Millis spreadRetry(base::Millis opening, std::uint64_t exchange) noexcept
{
    const auto step = static_cast<std::int64_t>(exchange % static_cast<std::uint64_t>(RETRY_SPREAD_STEPS));
    return opening + RETRY_SPREAD * step / RETRY_SPREAD_STEPS;
}

} // namespace bamboomoor::entry
