/**
 * One member of the replicated log: election with pre-vote and check-quorum, replication, snapshots,
 * membership changes, and reads that a quorum confirms. Pure: time and events enter by step(), effects leave it.
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

/** @brief The roles of a member. */
enum class Role { Follower, PreCandidate, Candidate, Leader };

/** @brief The names of the roles. */
inline constexpr auto ROLE_NAMES = base::makeNames<Role>("follower", "pre-candidate", "candidate", "leader");

/** @brief One member of the group. */
class Node
{
public:
    /**
     * @brief Makes a member from what its storage held.
     * @param options The settings.
     * @param recovered The contents of the storage; everything in it is on synced disk.
     */
    Node(Options options, Recovered recovered);

    /**
     * @brief Handles one event.
     * @param now The member's monotonic time in milliseconds; never decreases.
     * @param input The event.
     * @return The effects.
     */
    [[nodiscard]] Outputs step(base::Millis now, Input input);

    /**
     * @brief Handles several events together, so that their entries share messages and syncs.
     * @param now The member's monotonic time in milliseconds; never decreases.
     * @param inputs The events in their order.
     * @return The effects.
     */
    [[nodiscard]] Outputs stepAll(base::Millis now, std::vector<Input> inputs);

    /**
     * @brief Tells when the next Tick is due.
     * @return A point of time in milliseconds; base::NEVER when only a message can change anything.
     */
    [[nodiscard]] base::Millis nextDeadline() const noexcept;

    /**
     * @brief Tells the present role.
     * @return The role.
     */
    [[nodiscard]] Role role() const noexcept
    {
        return m_role;
    }

    /**
     * @brief Tells the present term.
     * @return The term; 0 before the first one.
     */
    [[nodiscard]] std::uint64_t term() const noexcept
    {
        return m_hard.term;
    }

    /**
     * @brief Tells the leader known to this member.
     * @return Its id, this member's own when it leads, or empty.
     */
    [[nodiscard]] const VoterId &leader() const noexcept
    {
        return m_leader;
    }

    /**
     * @brief Tells the newest entry known to be committed.
     * @return Its index, or 0.
     */
    [[nodiscard]] std::uint64_t commitIndex() const noexcept
    {
        return m_commit;
    }

    /**
     * @brief Tells the newest entry of the log.
     * @return Its index, or 0.
     */
    [[nodiscard]] std::uint64_t lastIndex() const noexcept
    {
        return m_log.lastIndex();
    }

    /**
     * @brief Tells the newest membership in the log, committed or not.
     * @return The membership; valid until the next step.
     */
    [[nodiscard]] const Membership &membership() const noexcept
    {
        return m_memberships.rbegin()->second;
    }

    /**
     * @brief Tells whether the member may vote.
     * @return False for a disk that started empty, until a present leader lists it as a learner.
     */
    [[nodiscard]] bool joined() const noexcept
    {
        return m_hard.joined;
    }

    /**
     * @brief Tells how recently a quorum is known to have followed this leader.
     * @return When the newest heartbeat round answered by a quorum was sent, in milliseconds; nothing when this
     * member does not lead, has committed nothing in its term, or hands its role over. No other leader is elected
     * before the election timeout has passed since then, by the clocks of the voters.
     */
    [[nodiscard]] std::optional<base::Millis> confirmedAt() const noexcept;

    /**
     * @brief Tells when this leader heard each other member last.
     * @return Points of time by member; empty when this member does not lead.
     */
    [[nodiscard]] std::map<VoterId, base::Millis> heardAt() const;

private:
    struct PendingPersist {
        std::uint64_t sequence = 0;
        // The newest entry that is durable once the sequence is; lowered by truncation.
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
        // The first heartbeat round that began after the request.
        std::uint64_t round = 0;
    };
    struct SentRound {
        std::uint64_t round = 0;
        base::Millis sentAt;
    };

    // node.cpp: dispatch, persistence and the end of a step.
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
    [[nodiscard]] bool passesTerm(const Message &message);
    void onVoteRequest(const VoterId &from, std::uint64_t term, const VoteRequest &request);
    void onVoteReply(const VoterId &from, const VoteReply &reply);
    void onTimeoutNow(const VoterId &from);
    void onTransfer(const TransferLeadership &input);
    void startPreVote();
    void startElection(bool transfer);
    void requestVotes(bool preVote, bool transfer);
    void countVotes();
    void becomeFollower(std::uint64_t term, const VoterId &leader);
    void becomeLeader();
    void resetElectionTimer();
    void abandonRequests();
    [[nodiscard]] bool leaderIsFresh() const noexcept;
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
    void heard(internal::Progress &progress, std::uint64_t round);
    void leaderTick();
    void beginRound();
    void flush();
    void sendTo(const VoterId &to, internal::Progress &progress, bool always);
    void sendEntries(const VoterId &to, internal::Progress &progress, bool always);
    void sendSnapshotPiece(const VoterId &to, internal::Progress &progress);
    void advanceCommit();
    void confirmReads();
    void resolveProposals();
    void rejectProposal(std::uint64_t requestId, RejectReason reason);
    [[nodiscard]] std::uint64_t quorumRound() const;
    [[nodiscard]] bool quorumIsSilent() const;

    // membership.cpp
    void onProposeVoters(const ProposeVoters &input);
    [[nodiscard]] RejectReason checkChange(const ProposeVoters &input) const;
    void syncProgress();
    void recordMembership(const Entry &entry);
    [[nodiscard]] const Membership &membershipAt(std::uint64_t index) const;
    void leaveIfRemoved();

    const Options m_options;
    std::mt19937_64 m_random;
    base::Millis m_now;
    bool m_started = false;

    Role m_role = Role::Follower;
    HardState m_hard;
    VoterId m_leader;
    internal::Log m_log;
    // The newest snapshot; index 0 when there is none. Its index is at least the log's base.
    std::shared_ptr<const Snapshot> m_snapshot;
    // The memberships by the index of their entry; the first is that of the snapshot, and there is always one.
    std::map<std::uint64_t, Membership> m_memberships;
    // Never decreases; at most lastIndex().
    std::uint64_t m_commit = 0;
    // The newest entry handed out in Outputs; at most m_commit.
    std::uint64_t m_emitted = 0;
    // The newest entry known to match the log of this term's leader; at least m_commit.
    std::uint64_t m_verified = 0;
    // The newest entry on synced disk.
    std::uint64_t m_durable = 0;

    std::uint64_t m_sequence = 0;
    std::deque<PendingPersist> m_pending;
    // In the order of their sequences; sent once these are durable.
    std::deque<HeldMessage> m_held;
    std::vector<Message> m_holding;
    bool m_hardChanged = false;
    // The first entry that no Persist has carried yet; 0 for none.
    std::uint64_t m_dirtyFrom = 0;
    std::optional<Snapshot> m_snapshotToPersist;

    base::Millis m_electionDeadline;
    // When this member last heard its leader, or started.
    base::Millis m_heardAt;
    std::set<VoterId> m_granted;
    // The Persist after which a candidate's vote for itself counts.
    std::uint64_t m_campaignSequence = 0;
    // The pieces of a snapshot that have arrived from this term's leader.
    std::optional<Snapshot> m_incoming;

    // The members below are meaningful for a leader only.
    std::map<VoterId, internal::Progress> m_progress;
    // The Noop with which the present term of leadership began.
    std::uint64_t m_leaderStart = 0;
    base::Millis m_heartbeatDeadline;
    base::Millis m_transferDeadline = base::NEVER;
    bool m_broadcast = false;
    std::uint64_t m_round = 0;
    std::optional<base::Millis> m_confirmedAt;
    std::deque<SentRound> m_sentRounds;
    std::map<std::uint64_t, PendingProposal> m_proposals;
    std::size_t m_pendingBytes = 0;
    // In the order of their rounds.
    std::deque<PendingRead> m_reads;

    Outputs m_out;
};

} // namespace bamboomoor::consensus
