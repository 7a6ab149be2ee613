/**
 * Messages between the nodes of a group: plain structs that the transport converts to its wire format.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"

#include <variant>

namespace bamboomoor::consensus
{

/** @brief Requests a vote, or in a pre-vote asks whether one would be granted. */
struct VoteRequest {
    bool preVote = false;
    // True after a leadership transfer: the receiver grants votes even if it heard from the leader recently.
    bool transfer = false;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
};

/** @brief Reply to a VoteRequest. */
struct VoteReply {
    bool preVote = false;
    bool granted = false;
};

/** @brief Carries the entries after `prevIndex`; a heartbeat if it has none. */
struct Append {
    std::uint64_t prevIndex = 0;
    std::uint64_t prevTerm = 0;
    std::vector<Entry> entries;
    std::uint64_t commitIndex = 0;
    // Heartbeat round in which the message was sent.
    std::uint64_t round = 0;
    // Whether the receiver is a learner in the sender's newest membership.
    bool toLearner = false;
};

/** @brief Reply to an Append or to a completed InstallSnapshot. */
struct AppendReply {
    bool success = false;
    // prevIndex of the Append.
    std::uint64_t prevIndex = 0;
    // Newest entry that matches the leader's log and is synced to disk.
    std::uint64_t matchIndex = 0;
    // Newest entry that matches the leader's log, synced or not.
    std::uint64_t receivedIndex = 0;
    // After a conflict: term of the conflicting entry (0 if the log is too short) and first index of that term.
    std::uint64_t conflictTerm = 0;
    std::uint64_t conflictIndex = 0;
    std::uint64_t round = 0;
};

/** @brief Carries a chunk of a snapshot to a member whose next entry has been compacted. */
struct InstallSnapshot {
    std::uint64_t index = 0;
    std::uint64_t snapshotTerm = 0;
    std::vector<VoterId> voters;
    std::vector<VoterId> learners;
    // Offset of the chunk in the snapshot's data, in bytes.
    std::uint64_t offset = 0;
    std::string data;
    bool done = false;
    std::uint64_t round = 0;
    bool toLearner = false;
};

/** @brief Acknowledges the snapshot bytes received so far. */
struct SnapshotReply {
    std::uint64_t index = 0;
    std::uint64_t received = 0;
    std::uint64_t round = 0;
};

/** @brief Makes the receiver start an election immediately (leadership transfer). */
struct TimeoutNow {
};

/** @brief The contents of a message. */
using MessageBody =
    std::variant<VoteRequest, VoteReply, Append, AppendReply, InstallSnapshot, SnapshotReply, TimeoutNow>;

/** @brief A message from one member to another. */
struct Message {
    VoterId from;
    VoterId to;
    // The sender's term; in a pre-vote request and its grant, the term that the election would use.
    std::uint64_t term = 0;
    MessageBody body;
};

} // namespace bamboomoor::consensus
