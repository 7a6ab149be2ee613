/**
 * Leader election: pre-votes, votes, leader stickiness and term checks of incoming messages.
 */
#include "bamboomoor/consensus/node.hpp"

#include "bamboomoor/base/overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboomoor::consensus
{

namespace
{

// Bounds the growth of the election timeout while elections fail.
constexpr int MAX_TIMEOUT_DOUBLINGS = 2;

} // namespace

void Node::onMessage(Message &&message)
{
    if (message.to != m_options.self || message.from == m_options.self || !checkTerm(message)) {
        return;
    }
    const VoterId from = std::move(message.from);
    const std::uint64_t term = message.term;
    std::visit(base::Overloaded{
                   [&](const VoteRequest &it) {
                       onVoteRequest(from, term, it);
                   },
                   [&](const VoteReply &it) {
                       onVoteReply(from, it);
                   },
                   [&](Append &it) {
                       onAppend(from, std::move(it));
                   },
                   [&](const AppendReply &it) {
                       onAppendReply(from, it);
                   },
                   [&](InstallSnapshot &it) {
                       onInstallSnapshot(from, std::move(it));
                   },
                   [&](const SnapshotReply &it) {
                       onSnapshotReply(from, it);
                   },
                   [&](const TimeoutNow &) {
                       onTimeoutNow(from);
                   },
               },
        message.body);
}

bool Node::checkTerm(const Message &message)
{
    const auto *request = std::get_if<VoteRequest>(&message.body);
    const auto *reply = std::get_if<VoteReply>(&message.body);
    if (request != nullptr) {
        if (!request->preVote && !request->transfer && hasRecentLeader()) {
            return false;
        }
        if (!request->preVote && message.term > m_hard.term) {
            becomeFollower(message.term, {}, RoleCause::HigherTerm);
        }
        return true;
    }
    if (reply != nullptr && reply->preVote && reply->granted) {
        return m_role == Role::PreCandidate && message.term == m_hard.term + 1;
    }
    if (message.term > m_hard.term) {
        becomeFollower(message.term, {}, RoleCause::HigherTerm);
    }
    if (message.term < m_hard.term
        && (std::holds_alternative<Append>(message.body) || std::holds_alternative<InstallSnapshot>(message.body))) {
        // Lets a leader of an older term discover the current one and step down.
        send(message.from, AppendReply{});
    }
    return message.term == m_hard.term;
}

void Node::onVoteRequest(const VoterId &from, std::uint64_t term, const VoteRequest &request)
{
    const bool upToDate = request.lastTerm > m_log.lastTerm()
        || (request.lastTerm == m_log.lastTerm() && request.lastIndex >= m_log.lastIndex());
    if (request.preVote) {
        // A vote that is being synced may elect another candidate, or this node, within the time of that sync.
        const bool granted =
            m_hard.joined && term > m_hard.term && upToDate && !hasRecentLeader() && !isHardStateSyncing();
        sendAs(granted ? term : m_hard.term, from, VoteReply{true, granted});
        return;
    }
    const bool voteAvailable = m_hard.votedFor.empty() || m_hard.votedFor == from;
    const bool granted = m_hard.joined && term == m_hard.term && upToDate && voteAvailable;
    if (!granted) {
        send(from, VoteReply{false, false});
        return;
    }
    setRole(Role::Follower, RoleCause::VoteGranted);
    setHardState(term, from);
    resetElectionTimer();
    sendDurable(from, VoteReply{false, true});
}

void Node::onVoteReply(const VoterId &from, const VoteReply &reply)
{
    const Role expected = reply.preVote ? Role::PreCandidate : Role::Candidate;
    if (m_role == expected && reply.granted) {
        m_granted.insert(from);
        countVotes();
    }
}

void Node::onTimeoutNow(const VoterId &from)
{
    if (from == m_leader && mayCampaign()) {
        startElection(true);
    }
}

void Node::onTransfer(const TransferLeadership &input)
{
    const auto it = m_progress.find(input.to);
    if (m_role != Role::Leader || m_transferDeadline != base::NEVER || it == m_progress.end() || !isVoter(input.to)
        || it->second.match != m_log.lastIndex()) {
        return;
    }
    // Proposals are rejected and no lease is reported until another node leads or this one has stepped down.
    m_transferDeadline = m_now + m_options.electionTimeout;
    send(input.to, TimeoutNow{});
}

std::optional<VoterId> Node::successor() const
{
    const internal::Progress *best = nullptr;
    std::optional<VoterId> id;
    for (const auto &[member, it] : m_progress) {
        const bool isEligible = isVoter(member) && it.match == m_log.lastIndex();
        if (isEligible && (best == nullptr || it.lastContact > best->lastContact)) {
            best = &it;
            id = member;
        }
    }
    return m_role == Role::Leader && m_transferDeadline == base::NEVER ? id : std::nullopt;
}

void Node::startPreVote()
{
    setRole(Role::PreCandidate, RoleCause::ElectionTimeout);
    m_leader.clear();
    m_granted = {m_options.self};
    resetElectionTimer();
    requestVotes(true, false);
    countVotes();
}

void Node::startElection(bool transfer)
{
    setHardState(m_hard.term + 1, m_options.self);
    setRole(Role::Candidate, transfer ? RoleCause::TransferRequested : RoleCause::PreVotesGranted);
    m_leader.clear();
    m_granted.clear();
    m_verified = m_commit;
    m_campaignSequence = m_sequence + 1;
    resetElectionTimer();
    requestVotes(false, transfer);
}

void Node::requestVotes(bool preVote, bool transfer)
{
    const VoteRequest request{preVote, transfer, m_log.lastIndex(), m_log.lastTerm()};
    for (const VoterId &it : membership().voters) {
        if (it == m_options.self) {
            continue;
        }
        if (preVote) {
            sendAs(m_hard.term + 1, it, request);
        } else {
            sendDurable(it, request);
        }
    }
}

void Node::countVotes()
{
    if (!hasQuorum(m_granted)) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        startElection(false);
    } else if (m_role == Role::Candidate) {
        becomeLeader();
    }
}

void Node::setRole(Role role, RoleCause cause)
{
    if (role == Role::Follower && m_role == Role::Follower) {
        return;
    }
    const bool campaigned = m_role == Role::PreCandidate || m_role == Role::Candidate;
    const bool ownVoteSynced = m_role != Role::Candidate || m_granted.contains(m_options.self);
    m_out.roleChanges.push_back({m_role, role, cause, m_hard.term, campaigned ? m_granted.size() : 0, ownVoteSynced});
    m_role = role;
}

void Node::becomeFollower(std::uint64_t term, const VoterId &leader, RoleCause cause)
{
    if (m_role == Role::Leader) {
        abandonRequests();
    }
    if (term != m_hard.term) {
        setHardState(term, {});
        m_verified = m_commit;
        m_incoming.reset();
    }
    setRole(Role::Follower, cause);
    m_leader = leader;
    m_progress.clear();
    m_transferDeadline = base::NEVER;
    resetElectionTimer();
}

void Node::becomeLeader()
{
    setRole(Role::Leader, RoleCause::Elected);
    m_leader = m_options.self;
    m_progress.clear();
    m_reads.clear();
    m_proposals.clear();
    m_sentRounds.clear();
    m_confirmedAt.reset();
    m_pendingBytes = 0;
    m_round = 0;
    m_leaderlessTerms = 0;
    m_transferDeadline = base::NEVER;
    m_leaderStart = m_log.lastIndex() + 1;
    syncProgress();
    appendEntry({m_leaderStart, m_hard.term, EntryKind::Noop, {}});
    beginRound();
}

void Node::resetElectionTimer()
{
    // Votes that come slowly, for whatever reason, need a longer attempt; the first repetition may be a split vote.
    const int doublings = std::clamp(m_leaderlessTerms - 1, 0, MAX_TIMEOUT_DOUBLINGS);
    // The others sync their votes too, and a rival is noticed only after the sync of its vote.
    const base::Millis sync = m_leaderlessTerms > 0 ? m_syncTime : base::Millis{};
    const base::Millis shortest = m_options.electionTimeout * (1 << doublings) + sync;
    std::uniform_int_distribution<std::int64_t> extra(0, shortest.count);
    m_electionDeadline = m_now + shortest + base::Millis{extra(m_random)};
}

bool Node::isHardStateSyncing() const noexcept
{
    return !m_pending.empty() && m_pending.front().sequence <= m_hardSequence;
}

void Node::abandonRequests()
{
    for (const auto &[index, it] : m_proposals) {
        m_out.proposals.push_back({it.requestId, ProposalStatus::Unknown, RejectReason::NotLeader, index, {}});
    }
    for (const PendingRead &it : m_reads) {
        m_out.reads.push_back({it.requestId, false, RejectReason::NotLeader, 0, {}});
    }
    m_proposals.clear();
    m_reads.clear();
}

bool Node::hasRecentLeader() const noexcept
{
    return m_role == Role::Leader || m_now - m_leaderContactAt < m_options.electionTimeout;
}

bool Node::mayCampaign() const noexcept
{
    // A voter whose removal is not known to be committed may hold the only log that can commit the removal.
    const auto settled = std::prev(m_memberships.upper_bound(m_commit));
    const bool listed = std::any_of(settled, m_memberships.end(), [this](const auto &it) {
        return std::binary_search(it.second.voters.begin(), it.second.voters.end(), m_options.self);
    });
    return m_hard.joined && listed;
}

bool Node::isVoter(const VoterId &id) const noexcept
{
    const std::vector<VoterId> &voters = membership().voters;
    return std::binary_search(voters.begin(), voters.end(), id);
}

bool Node::hasQuorum(const std::set<VoterId> &ids) const noexcept
{
    const std::vector<VoterId> &voters = membership().voters;
    const auto count = std::count_if(voters.begin(), voters.end(), [&ids](const VoterId &it) {
        return ids.contains(it);
    });
    return static_cast<std::size_t>(count) > voters.size() / 2;
}

} // namespace bamboomoor::consensus
