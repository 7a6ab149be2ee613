/**
 * The signals about its own state that an upstream sends in the headers of its responses.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace bamboomoor::standing
{

/** @brief One incarnation of an upstream's process. */
struct Run {
    std::string id;
    // Increases whenever the process with this id restarts.
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const Run &, const Run &) = default;
};

/** @brief The signals of one response. */
struct UpstreamSignal {
    // The rate limit for all entries together, in thousandths of requests per second; unset without a limit.
    std::optional<std::int64_t> limit;
    // The upstream crashes if it has to reject more requests than this in one second for lack of room; unset unless it
    // signals that it is brittle.
    std::optional<std::int64_t> brittle;
    // The upstream is shutting down and accepts no new requests.
    bool leaving = false;
    // For how long the upstream accepts no requests from this entry; unset if not signalled.
    std::optional<base::Millis> closedFor;
    // The response has a malformed signal header, which is treated as absent.
    bool malformed = false;

    friend bool operator==(const UpstreamSignal &, const UpstreamSignal &) = default;
};

} // namespace bamboomoor::standing
