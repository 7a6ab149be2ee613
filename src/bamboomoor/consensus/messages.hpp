/**
 * The messages between members: plain structs that the shell converts to its wire format.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"

#include <variant>

namespace bamboomoor::consensus
{

/** @brief Asks for a vote, or in a pre-vote whether one would be given. */
struct VoteRequest {
    bool preVote = false;
    // True after a leadership transfer: the receiver need not wait for silence of the leader.
    bool transfer = false;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
};

/** @brief Answers a VoteRequest. */
struct VoteReply {
    bool preVote = false;
    bool granted = false;
};

/** @brief Carries entries behind `prevIndex`; without entries it is a heartbeat. */
struct Append {
    std::uint64_t prevIndex = 0;
    std::uint64_t prevTerm = 0;
    std::vector<Entry> entries;
    std::uint64_t commitIndex = 0;
    // The heartbeat round in which the message was sent.
    std::uint64_t round = 0;
    // Whether the receiver is a learner in the sender's newest membership.
    bool toLearner = false;
};

/** @brief Answers an Append or a finished InstallSnapshot. */
struct AppendReply {
    bool success = false;
    // The prevIndex of the Append.
    std::uint64_t prevIndex = 0;
    // The newest entry that matches the leader's log and is on synced disk.
    std::uint64_t matchIndex = 0;
    // The newest entry that matches the leader's log, synced or not.
    std::uint64_t receivedIndex = 0;
    // After a conflict: the term of the conflicting entry (0: the log is too short) and that term's first index.
    std::uint64_t conflictTerm = 0;
    std::uint64_t conflictIndex = 0;
    std::uint64_t round = 0;
};

/** @brief Carries one piece of a snapshot to a member whose next entry is compacted away. */
struct InstallSnapshot {
    std::uint64_t index = 0;
    std::uint64_t snapshotTerm = 0;
    std::vector<VoterId> voters;
    std::vector<VoterId> learners;
    // Where in the snapshot's data the piece begins, in bytes.
    std::uint64_t offset = 0;
    std::string data;
    bool done = false;
    std::uint64_t round = 0;
    bool toLearner = false;
};

/** @brief Tells how many bytes of a snapshot have arrived. */
struct SnapshotReply {
    std::uint64_t index = 0;
    std::uint64_t received = 0;
    std::uint64_t round = 0;
};

/** @brief Tells a member to start an election at once. */
struct TimeoutNow {
};

/** @brief The contents of a message. */
using MessageBody =
    std::variant<VoteRequest, VoteReply, Append, AppendReply, InstallSnapshot, SnapshotReply, TimeoutNow>;

/** @brief A message from one member to another. */
struct Message {
    VoterId from;
    VoterId to;
    // The sender's term; in a pre-vote and its consent, the term that would be started.
    std::uint64_t term = 0;
    MessageBody body;
};

} // namespace bamboomoor::consensus
