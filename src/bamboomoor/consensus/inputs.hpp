/**
 * What enters and leaves one step of a member.
 */
#pragma once

#include "bamboomoor/consensus/messages.hpp"

#include <optional>

namespace bamboomoor::consensus
{

/** @brief Lets time pass; due at Node::nextDeadline() at the latest. */
struct Tick {
};

/** @brief Asks to append a command. */
struct Propose {
    std::uint64_t requestId = 0;
    std::string payload;
    // When given, the proposal is refused in any other term.
    std::optional<std::uint64_t> expectedTerm;
};

/** @brief Asks for a commit index that a quorum confirms after this request. */
struct ReadRequest {
    std::uint64_t requestId = 0;
};

/** @brief The one-member changes of the membership. */
enum class ChangeKind { AddLearner, Promote, Remove };

/** @brief The names of the changes. */
inline constexpr auto CHANGE_KIND_NAMES = base::makeNames<ChangeKind>("add-learner", "promote", "remove");

/** @brief Asks for one change of the membership. */
struct ProposeVoters {
    std::uint64_t requestId = 0;
    ChangeKind change = ChangeKind::AddLearner;
    VoterId id;
};

/** @brief Tells that all persist work up to and including `sequence` is on synced disk. */
struct PersistDone {
    std::uint64_t sequence = 0;
};

/** @brief Hands over the state machine's contents after the applied entry `index`. */
struct Compact {
    std::uint64_t index = 0;
    std::string data;
};

/** @brief Asks the leader to hand its role to a voter that has the whole log. */
struct TransferLeadership {
    VoterId to;
};

/** @brief All that may enter a step. */
using Input =
    std::variant<Tick, Message, Propose, ReadRequest, ProposeVoters, PersistDone, Compact, TransferLeadership>;

/**
 * @brief Work for the storage, in this order: hard state, snapshot, then entries.
 * All parts must be on synced disk, in order of their sequences, before PersistDone reports them.
 */
struct Persist {
    // Counts up from 1 without gaps.
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot;
    // The stored log ends before the first of the entries; older entries from there on are dropped.
    std::vector<Entry> entries;
};

/** @brief The verdict on a proposal; each proposal gets exactly one, unless the member stops first. */
enum class ProposalStatus {
    // Committed at the result's index; the entry is in Outputs::committed of the same or an earlier step.
    Committed,
    // Not appended; it will never take effect.
    Rejected,
    // Appended, but the leader stepped down; it may or may not take effect.
    Unknown,
};

/** @brief The names of the verdicts. */
inline constexpr auto PROPOSAL_STATUS_NAMES = base::makeNames<ProposalStatus>("committed", "rejected", "unknown");

/** @brief Why a request was refused. */
enum class RejectReason {
    None,
    NotLeader,
    TermChanged,
    Overloaded,
    ChangeInProgress,
    InvalidChange,
    NotCaughtUp,
    Transferring,
};

/** @brief The names of the reasons. */
inline constexpr auto REJECT_REASON_NAMES = base::makeNames<RejectReason>("none", "not-leader", "term-changed",
    "overloaded", "change-in-progress", "invalid-change", "not-caught-up", "transferring");

/** @brief The result of a Propose or ProposeVoters. */
struct ProposalResult {
    std::uint64_t requestId = 0;
    ProposalStatus status = ProposalStatus::Rejected;
    RejectReason reason = RejectReason::None;
    // The entry's index when committed or unknown; else 0.
    std::uint64_t index = 0;
    // The leader known to this member, or empty.
    VoterId leader;
};

/** @brief The result of a ReadRequest. */
struct ReadResult {
    std::uint64_t requestId = 0;
    // False when refused; the request may be repeated at the leader.
    bool confirmed = false;
    RejectReason reason = RejectReason::None;
    // No commit acknowledged before the request has a higher index.
    std::uint64_t index = 0;
    VoterId leader;
};

/** @brief All that leaves a step; the core itself holds back what must wait for the storage. */
struct Outputs {
    // May be sent at once, in any order, lost and repeated.
    std::vector<Message> messages;
    std::optional<Persist> persist;
    // Replaces the state machine's contents, before `committed` is applied.
    std::optional<Snapshot> installed;
    // In the order of their indexes, each entry once in the life of the member.
    std::vector<Entry> committed;
    std::vector<ProposalResult> proposals;
    std::vector<ReadResult> reads;
};

} // namespace bamboomoor::consensus
