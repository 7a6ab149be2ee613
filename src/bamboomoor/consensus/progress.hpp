/**
 * Replication state that a leader keeps for each other member.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"

#include <memory>

namespace bamboomoor::consensus::internal
{

/** @brief How the leader sends entries to a member. */
enum class SendMode {
    // One message at a time, until the point where both logs match is known.
    Probe,
    // Pipelined, ahead of acknowledgements.
    Replicate,
    // A snapshot in chunks.
    Snapshot,
};

/** @brief Replication progress of one other member. */
struct Progress {
    SendMode mode = SendMode::Probe;
    // Newest entry known to be synced to the member's disk; never decreases in a term.
    std::uint64_t match = 0;
    // Next entry to send; above match.
    std::uint64_t next = 1;
    // In Probe: a message is in flight; no entries are sent until the next heartbeat.
    bool paused = false;
    // Newest heartbeat round that the member has acknowledged.
    std::uint64_t round = 0;
    base::Millis lastContact;
    // In Snapshot: the snapshot being sent, and the number of bytes acknowledged.
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t offset = 0;
};

} // namespace bamboomoor::consensus::internal
