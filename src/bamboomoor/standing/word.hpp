/**
 * What an upstream says of itself in the heads of its answers.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace bamboomoor::standing
{

/** @brief One run of an upstream's process. */
struct Run {
    std::string id;
    // Greater at every later run of the same id.
    std::uint64_t incarnation = 0;

    friend bool operator==(const Run &, const Run &) = default;
};

/** @brief What one answer says of the upstream that gave it. */
struct Word {
    // Thousandths of requests a second that the upstream takes from all entries together; nothing without a limit.
    std::optional<std::int64_t> limit;
    // It is about to end, and takes no new requests.
    bool leaving = false;
    // It takes nothing from this entry for so long; nothing when it does not say.
    std::optional<base::Millis> closedFor;
    // The answer has a line of this kind that cannot be read; it counts as absent.
    bool unreadable = false;

    friend bool operator==(const Word &, const Word &) = default;
};

} // namespace bamboomoor::standing
