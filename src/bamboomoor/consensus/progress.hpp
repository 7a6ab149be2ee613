/**
 * What a leader knows about each other member.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"

#include <memory>

namespace bamboomoor::consensus::internal
{

/** @brief How entries are sent to a member. */
enum class SendMode {
    // One message at a time, until the logs are known to meet.
    Probe,
    // Ahead of acknowledgements.
    Replicate,
    // A snapshot in pieces.
    Snapshot,
};

/** @brief The leader's view of one other member. */
struct Progress {
    SendMode mode = SendMode::Probe;
    // The newest entry known to be on the member's synced disk; never decreases in a term.
    std::uint64_t match = 0;
    // The next entry to send; above match.
    std::uint64_t next = 1;
    // In Probe: a message is under way, and no entries are sent before the next heartbeat.
    bool paused = false;
    // The newest heartbeat round that the member has answered.
    std::uint64_t round = 0;
    base::Millis heardAt;
    // In Snapshot: what is sent, and how many bytes of it have arrived.
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t offset = 0;
};

} // namespace bamboomoor::consensus::internal
