/**
 * Inputs and outputs of one step of a consensus node.
 */
#pragma once

#include "bamboomoor/consensus/messages.hpp"

#include <optional>

namespace bamboomoor::consensus
{

/** @brief Advances time; must be passed by Node::nextDeadline() at the latest. */
struct Tick {
};

/** @brief Requests that a command be appended. */
struct Propose {
    std::uint64_t requestId = 0;
    base::SharedBytes payload;
    // If set, the proposal is rejected in any other term.
    std::optional<std::uint64_t> expectedTerm;
};

/** @brief Requests a commit index for a linearizable read; a quorum confirms it after this request. */
struct ReadRequest {
    std::uint64_t requestId = 0;
};

/** @brief Membership changes; each affects one member. */
enum class ChangeKind { AddLearner, Promote, Remove };

/** @brief Names of the membership changes. */
inline constexpr auto CHANGE_KIND_NAMES = base::makeNames<ChangeKind>("add-learner", "promote", "remove");

/** @brief Requests one membership change. */
struct ProposeVoters {
    std::uint64_t requestId = 0;
    ChangeKind change = ChangeKind::AddLearner;
    VoterId id;
};

/** @brief Reports that each Persist up to and including `sequence` has been synced to disk. */
struct PersistDone {
    std::uint64_t sequence = 0;
};

/** @brief Provides the state machine's contents after the applied entry `index` for a snapshot. */
struct Compact {
    std::uint64_t index = 0;
    base::SharedBytes data;
};

/** @brief Requests a leadership transfer to a voter whose log is complete. */
struct TransferLeadership {
    VoterId to;
};

/** @brief Input of a step. */
using Input =
    std::variant<Tick, Message, Propose, ReadRequest, ProposeVoters, PersistDone, Compact, TransferLeadership>;

/**
 * @brief Data for the storage, to be written in this order: hard state, snapshot, entries.
 * All parts must be synced to disk, in sequence order, before PersistDone reports them.
 */
struct Persist {
    // Consecutive, starting at 1.
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot;
    // Stored entries from the first index on are replaced by these.
    std::vector<Entry> entries;
};

/** @brief Outcome of a proposal. Each proposal gets exactly one, unless the node stops first. */
enum class ProposalStatus {
    // Committed at the result's index; the entry is in Outputs::committed of the same or an earlier step.
    Committed,
    // Not appended; will never take effect.
    Rejected,
    // Appended, but the leader stepped down; may or may not take effect.
    Unknown,
};

/** @brief Names of the outcomes. */
inline constexpr auto PROPOSAL_STATUS_NAMES = base::makeNames<ProposalStatus>("committed", "rejected", "unknown");

/** @brief Reason for rejecting a request. */
enum class RejectReason {
    None,
    NotLeader,
    TermChanged,
    Overloaded,
    // The log has reached its limit, and waits for a snapshot.
    LogFull,
    ChangeInProgress,
    InvalidChange,
    NotCaughtUp,
    Transferring,
};

/** @brief Names of the rejection reasons. */
inline constexpr auto REJECT_REASON_NAMES = base::makeNames<RejectReason>("none", "not-leader", "term-changed",
    "overloaded", "log-full", "change-in-progress", "invalid-change", "not-caught-up", "transferring");

/** @brief Result of a Propose or ProposeVoters. */
struct ProposalResult {
    std::uint64_t requestId = 0;
    ProposalStatus status = ProposalStatus::Rejected;
    RejectReason reason = RejectReason::None;
    // Index of the entry if committed or unknown; otherwise 0.
    std::uint64_t index = 0;
    // Leader known to this node, or empty.
    VoterId leader;
};

/** @brief Result of a ReadRequest. */
struct ReadResult {
    std::uint64_t requestId = 0;
    // False if rejected; the request may be retried at the leader.
    bool confirmed = false;
    RejectReason reason = RejectReason::None;
    // At least the index of every commit acknowledged before the request.
    std::uint64_t index = 0;
    VoterId leader;
};

/** @brief Raft roles of a node. */
enum class Role { Follower, PreCandidate, Candidate, Leader };

/** @brief Names of the roles. */
inline constexpr auto ROLE_NAMES = base::makeNames<Role>("follower", "pre-candidate", "candidate", "leader");

/** @brief Why a node changed its role, or began another attempt to be elected. */
enum class RoleCause {
    // No leader was heard, or an attempt to be elected got too few votes in time.
    ElectionTimeout,
    PreVotesGranted,
    TransferRequested,
    Elected,
    VoteGranted,
    LeaderHeard,
    HigherTerm,
    // The leader heard nothing from a quorum for an election timeout.
    QuorumSilent,
    TransferTimeout,
    Removed,
};

/** @brief Names of the causes. */
inline constexpr auto ROLE_CAUSE_NAMES =
    base::makeNames<RoleCause>("election-timeout", "pre-votes-granted", "transfer-requested", "elected", "vote-granted",
        "leader-heard", "higher-term", "quorum-silent", "transfer-timeout", "removed");

/** @brief A change of a node's role. */
struct RoleChange {
    Role from = Role::Follower;
    Role to = Role::Follower;
    RoleCause cause = RoleCause::ElectionTimeout;
    // After the change.
    std::uint64_t term = 0;
    // Votes or pre-votes that the node held before the change, its own included.
    std::size_t votes = 0;
    // False if the change ended a candidacy whose vote for itself was not synced yet.
    bool ownVoteSynced = true;
};

/** @brief Output of a step. Messages that depend on unsynced data are deferred by the node itself. */
struct Outputs {
    // May be sent immediately; the protocol tolerates reordering, loss and duplication.
    std::vector<Message> messages;
    std::optional<Persist> persist;
    // Replaces the state machine's contents before `committed` is applied.
    std::optional<Snapshot> installed;
    // In index order; each entry is emitted once in the lifetime of the node.
    std::vector<Entry> committed;
    std::vector<ProposalResult> proposals;
    std::vector<ReadResult> reads;
    // In order; a repeated attempt to be elected counts as a change.
    std::vector<RoleChange> roleChanges;
};

} // namespace bamboomoor::consensus
