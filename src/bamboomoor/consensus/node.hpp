/**
 * One node of the replicated log (Raft): leader election with pre-vote and check-quorum, log replication, snapshots,
 * single-member membership changes and linearizable reads. Deterministic and free of I/O: step() takes time and events
 * and returns the effects.
 */
#pragma once

#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/consensus/log.hpp"
#include "bamboomoor/consensus/progress.hpp"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace bamboomoor::consensus
{

/** @brief Raft state machine of one member of the group. */
class Node
{
public:
    /**
     * @brief Constructs a node from its stored state.
     * @param options Settings.
     * @param recovered Contents of the storage, all synced to disk.
     */
    Node(Options options, RecoveredState recovered);

    /**
     * @brief Handles one event.
     * @param now Monotonic time of this node in milliseconds; never decreases.
     * @param input The event.
     * @return The effects.
     */
    [[nodiscard]] Outputs step(base::Millis now, Input input);

    /**
     * @brief Handles several events as a batch, so that their entries share messages and syncs.
     * @param now Monotonic time of this node in milliseconds; never decreases.
     * @param inputs The events in order.
     * @return The effects.
     */
    [[nodiscard]] Outputs stepAll(base::Millis now, std::vector<Input> inputs);

    /**
     * @brief Returns when the next Tick is due.
     * @return Time in milliseconds; base::NEVER if only a message can change the state.
     */
    [[nodiscard]] base::Millis nextDeadline() const noexcept;

    [[nodiscard]] Role role() const noexcept
    {
        return m_role;
    }

    /**
     * @brief Returns the current term.
     * @return The term; 0 before the first election.
     */
    [[nodiscard]] std::uint64_t term() const noexcept
    {
        return m_hard.term;
    }

    /**
     * @brief Returns the current leader.
     * @return Id of the leader that this node has heard lately, its own id if it leads, or empty.
     */
    [[nodiscard]] const VoterId &leader() const noexcept;

    /**
     * @brief Returns the commit index.
     * @return Index of the newest entry known to be committed, or 0.
     */
    [[nodiscard]] std::uint64_t commitIndex() const noexcept
    {
        return m_commit;
    }

    /**
     * @brief Returns the last log index.
     * @return Index of the newest entry, or 0.
     */
    [[nodiscard]] std::uint64_t lastIndex() const noexcept
    {
        return m_log.lastIndex();
    }

    /**
     * @brief Returns the size of the log in memory.
     * @return Bytes of all entries that are not compacted.
     */
    [[nodiscard]] std::size_t logBytes() const noexcept
    {
        return m_log.bytes();
    }

    /**
     * @brief Returns the newest membership in the log, committed or not.
     * @return Reference that is valid until the next step.
     */
    [[nodiscard]] const Membership &membership() const noexcept
    {
        return m_memberships.rbegin()->second;
    }

    /**
     * @brief Returns whether this node may vote.
     * @return False for a node that started with an empty disk, until a current leader lists it as a learner.
     */
    [[nodiscard]] bool joined() const noexcept
    {
        return m_hard.joined;
    }

    /**
     * @brief Returns the start of the current leader lease.
     * @return Send time in milliseconds of the newest heartbeat round acknowledged by a quorum; nothing if this node
     * does not lead, has committed nothing in its term, or is transferring leadership. No other leader is elected
     * until the election timeout has passed since then, by the clocks of the voters.
     */
    [[nodiscard]] std::optional<base::Millis> confirmedAt() const noexcept;

    /**
     * @brief Returns the time of the last contact with each other member.
     * @return Times in milliseconds by member; empty if this node does not lead.
     */
    [[nodiscard]] std::map<VoterId, base::Millis> lastContact() const;

    /**
     * @brief Returns the voter to which this node could transfer its leadership.
     * @return The voter with this node's whole log that was heard last; nothing if there is none, or if this node does
     * not lead or is transferring leadership.
     */
    [[nodiscard]] std::optional<VoterId> successor() const;

private:
    struct PendingPersist {
        std::uint64_t sequence = 0;
        base::Millis startedAt;
        // Newest entry that becomes durable with the sequence; lowered by truncation.
        std::uint64_t lastIndex = 0;
    };
    struct HeldMessage {
        std::uint64_t sequence = 0;
        Message message;
    };
    struct PendingProposal {
        std::uint64_t requestId = 0;
        std::size_t bytes = 0;
    };
    struct PendingRead {
        std::uint64_t requestId = 0;
        // First heartbeat round that began after the request.
        std::uint64_t round = 0;
    };
    struct IncomingSnapshot {
        // Without its data.
        Snapshot snapshot;
        std::string data;
    };
    struct SentRound {
        std::uint64_t round = 0;
        base::Millis sentAt;
    };

    // node.cpp: dispatch, persistence and completion of a step.
    void handle(Input input);
    void onTick();
    void onPersistDone(std::uint64_t sequence);
    void onCompact(Compact &&input);
    void finish();
    void buildPersist();
    void releaseHeld();
    void emitCommitted();
    void send(const VoterId &to, MessageBody body);
    void sendAs(std::uint64_t term, const VoterId &to, MessageBody body);
    void sendDurable(const VoterId &to, MessageBody body);
    void appendEntry(Entry entry);
    void truncateFrom(std::uint64_t index);
    void setHardState(std::uint64_t term, const VoterId &votedFor);
    void markJoined();

    // election.cpp
    void onMessage(Message &&message);
    [[nodiscard]] bool checkTerm(const Message &message);
    void onVoteRequest(const VoterId &from, std::uint64_t term, const VoteRequest &request);
    void onVoteReply(const VoterId &from, const VoteReply &reply);
    void onTimeoutNow(const VoterId &from);
    void onTransfer(const TransferLeadership &input);
    void startPreVote();
    void startElection(bool transfer);
    void requestVotes(bool preVote, bool transfer);
    void countVotes();
    void becomeFollower(std::uint64_t term, const VoterId &leader, RoleCause cause);
    void setRole(Role role, RoleCause cause);
    void becomeLeader();
    void resetElectionTimer();
    void abandonRequests();
    [[nodiscard]] bool hasRecentLeader() const noexcept;
    [[nodiscard]] bool isHardStateSyncing() const noexcept;
    [[nodiscard]] bool mayCampaign() const noexcept;
    [[nodiscard]] bool isVoter(const VoterId &id) const noexcept;
    [[nodiscard]] bool hasQuorum(const std::set<VoterId> &ids) const noexcept;

    // follower.cpp
    void onAppend(const VoterId &from, Append &&append);
    void onInstallSnapshot(const VoterId &from, InstallSnapshot &&install);
    void followLeader(const VoterId &from, bool toLearner);
    void rejectAppend(const VoterId &from, const Append &append);
    void acceptAppend(Append &&append);
    void installSnapshot(Snapshot &&snapshot);
    void replyProgress(const VoterId &to, std::uint64_t prevIndex, std::uint64_t round);

    // leader.cpp
    void onPropose(Propose &&input);
    void onReadRequest(const ReadRequest &input);
    void onAppendReply(const VoterId &from, const AppendReply &reply);
    void onSnapshotReply(const VoterId &from, const SnapshotReply &reply);
    void onRejection(internal::Progress &progress, const AppendReply &reply);
    void recordContact(internal::Progress &progress, std::uint64_t round);
    void leaderTick();
    void beginRound();
    void flush();
    void sendTo(const VoterId &to, internal::Progress &progress, bool always);
    void sendEntries(const VoterId &to, internal::Progress &progress, bool always);
    void sendSnapshotChunk(const VoterId &to, internal::Progress &progress);
    void advanceCommit();
    void confirmReads();
    void resolveProposals();
    void rejectProposal(std::uint64_t requestId, RejectReason reason);
    [[nodiscard]] std::uint64_t quorumRound() const;
    [[nodiscard]] bool hasLostQuorum() const;

    // membership.cpp
    void onProposeVoters(const ProposeVoters &input);
    [[nodiscard]] RejectReason checkChange(const ProposeVoters &input) const;
    void syncProgress();
    void recordMembership(const Entry &entry);
    [[nodiscard]] const Membership &membershipAt(std::uint64_t index) const;
    void stepDownIfRemoved();

    const Options m_options;
    std::mt19937_64 m_random;
    base::Millis m_now;
    bool m_started = false;

    Role m_role = Role::Follower;
    HardState m_hard;
    VoterId m_leader;
    internal::Log m_log;
    // Newest snapshot; index 0 if there is none. Its index is at least the base of the log.
    std::shared_ptr<const Snapshot> m_snapshot;
    // Memberships by index of their entry; never empty. The first one belongs to the snapshot.
    std::map<std::uint64_t, Membership> m_memberships;
    // Never decreases; at most lastIndex().
    std::uint64_t m_commit = 0;
    // Newest entry emitted in Outputs; at most m_commit.
    std::uint64_t m_emitted = 0;
    // Newest entry known to match the log of this term's leader; at least m_commit.
    std::uint64_t m_verified = 0;
    // Newest entry that is synced to disk.
    std::uint64_t m_durable = 0;

    std::uint64_t m_sequence = 0;
    std::deque<PendingPersist> m_pending;
    // Sequence of the newest Persist with a hard state.
    std::uint64_t m_hardSequence = 0;
    // Duration of the latest Persist.
    base::Millis m_syncTime;
    // In sequence order; sent once their sequence is durable.
    std::deque<HeldMessage> m_heldMessages;
    std::vector<Message> m_deferred;
    bool m_hardChanged = false;
    // First entry that is not yet part of a Persist; 0 if there is none.
    std::uint64_t m_dirtyFrom = 0;
    std::optional<Snapshot> m_snapshotToPersist;

    base::Millis m_electionDeadline;
    // Terms that this node has seen begin since it last led or heard a leader.
    int m_leaderlessTerms = 0;
    // Last contact with the leader, or the start of this node.
    base::Millis m_leaderContactAt;
    std::set<VoterId> m_granted;
    // Sequence of the Persist after which a candidate's vote for itself counts.
    std::uint64_t m_campaignSequence = 0;
    // Partially received snapshot from this term's leader.
    std::optional<IncomingSnapshot> m_incoming;

    // The fields below are valid on a leader only.
    std::map<VoterId, internal::Progress> m_progress;
    // Index of the Noop entry with which the current leadership began.
    std::uint64_t m_leaderStart = 0;
    base::Millis m_heartbeatDeadline;
    base::Millis m_transferDeadline = base::NEVER;
    bool m_broadcast = false;
    std::uint64_t m_round = 0;
    std::optional<base::Millis> m_confirmedAt;
    std::deque<SentRound> m_sentRounds;
    std::map<std::uint64_t, PendingProposal> m_proposals;
    std::size_t m_pendingBytes = 0;
    // In round order.
    std::deque<PendingRead> m_reads;

    Outputs m_out;
};

} // namespace bamboomoor::consensus
