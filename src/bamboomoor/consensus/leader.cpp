/**
 * Leader side: proposals, replication, commitment, heartbeat rounds and linearizable reads.
 */
#include "bamboomoor/consensus/node.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::consensus
{

namespace
{
/**
 * @brief Computes the value that a quorum has reached.
 * @param values Value reached by each voter; not empty.
 * @return Greatest value that more than half of the voters have reached.
 */
template<class Value>
Value quorumValue(std::vector<Value> values)
{
    assert(!values.empty());
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}
} // namespace

void Node::onPropose(Propose &&input)
{
    if (m_role != Role::Leader) {
        rejectProposal(input.requestId, RejectReason::NotLeader);
    } else if (m_transferDeadline != base::NEVER) {
        rejectProposal(input.requestId, RejectReason::Transferring);
    } else if (input.expectedTerm && *input.expectedTerm != m_hard.term) {
        rejectProposal(input.requestId, RejectReason::TermChanged);
    } else if (m_pendingBytes + input.payload.size() > m_options.maxPendingBytes) {
        rejectProposal(input.requestId, RejectReason::Overloaded);
    } else if (m_log.bytes() > m_options.maxLogBytes) {
        rejectProposal(input.requestId, RejectReason::LogFull);
    } else {
        const std::uint64_t index = m_log.lastIndex() + 1;
        m_proposals[index] = {input.requestId, input.payload.size()};
        m_pendingBytes += input.payload.size();
        appendEntry({index, m_hard.term, EntryKind::Command, std::move(input.payload)});
    }
}

void Node::rejectProposal(std::uint64_t requestId, RejectReason reason)
{
    m_out.proposals.push_back({requestId, ProposalStatus::Rejected, reason, 0, leader()});
}

void Node::onReadRequest(const ReadRequest &input)
{
    if (m_role != Role::Leader) {
        m_out.reads.push_back({input.requestId, false, RejectReason::NotLeader, 0, leader()});
        return;
    }
    m_reads.push_back({input.requestId, m_round + 1});
}

void Node::onAppendReply(const VoterId &from, const AppendReply &reply)
{
    const auto it = m_progress.find(from);
    if (m_role != Role::Leader || it == m_progress.end()) {
        return;
    }
    internal::Progress &progress = it->second;
    recordContact(progress, reply.round);
    if (!reply.success) {
        onRejection(progress, reply);
        return;
    }
    if (progress.mode == internal::SendMode::Snapshot) {
        if (reply.receivedIndex < progress.snapshot->index) {
            return;
        }
        progress.snapshot.reset();
    }
    progress.mode = internal::SendMode::Replicate;
    progress.paused = false;
    progress.match = std::max(progress.match, std::min(reply.matchIndex, m_log.lastIndex()));
    progress.next = std::max(progress.next, std::min(reply.receivedIndex, m_log.lastIndex()) + 1);
    advanceCommit();
}

void Node::onRejection(internal::Progress &progress, const AppendReply &reply)
{
    const bool stale = reply.prevIndex <= progress.match
        || (progress.mode == internal::SendMode::Probe && reply.prevIndex != progress.next - 1);
    if (stale || progress.mode == internal::SendMode::Snapshot) {
        return;
    }
    std::uint64_t next = reply.conflictIndex;
    if (reply.conflictTerm != 0) {
        // Both logs may match up to the last local entry whose term is not newer than the conflicting one.
        const std::uint64_t candidate = m_log.lastAtMost(reply.conflictTerm, reply.prevIndex - 1);
        if (m_log.termAt(candidate) == reply.conflictTerm) {
            next = candidate + 1;
        }
    }
    progress.mode = internal::SendMode::Probe;
    progress.paused = false;
    progress.next = std::max(progress.match + 1, std::min(next, reply.prevIndex));
}

void Node::onSnapshotReply(const VoterId &from, const SnapshotReply &reply)
{
    const auto it = m_progress.find(from);
    if (m_role != Role::Leader || it == m_progress.end()) {
        return;
    }
    internal::Progress &progress = it->second;
    recordContact(progress, reply.round);
    if (progress.mode != internal::SendMode::Snapshot || progress.snapshot->index != reply.index) {
        return;
    }
    const bool grew = reply.received > progress.offset;
    progress.offset = std::min<std::uint64_t>(reply.received, progress.snapshot->data.size());
    if (grew) {
        sendSnapshotChunk(from, progress);
    }
}

void Node::recordContact(internal::Progress &progress, std::uint64_t round)
{
    progress.lastContact = m_now;
    if (round > progress.round) {
        progress.round = round;
        confirmReads();
    }
}

void Node::leaderTick()
{
    if (hasLostQuorum()) {
        becomeFollower(m_hard.term, {}, RoleCause::QuorumSilent);
        return;
    }
    if (m_now >= m_transferDeadline) {
        becomeFollower(m_hard.term, {}, RoleCause::TransferTimeout);
        return;
    }
    if (m_now >= m_heartbeatDeadline) {
        for (auto &[id, it] : m_progress) {
            it.paused = false;
        }
        beginRound();
    }
}

void Node::beginRound()
{
    ++m_round;
    m_sentRounds.push_back({m_round, m_now});
    m_heartbeatDeadline = m_now + m_options.heartbeat;
    m_broadcast = true;
    confirmReads();
}

void Node::flush()
{
    const bool roundStarted = !m_reads.empty() && m_reads.front().round <= m_round;
    if (!m_reads.empty() && !roundStarted) {
        beginRound();
    }
    for (auto &[id, it] : m_progress) {
        sendTo(id, it, m_broadcast);
    }
    m_broadcast = false;
}

void Node::sendTo(const VoterId &to, internal::Progress &progress, bool always)
{
    if (progress.mode != internal::SendMode::Snapshot && m_log.termAt(progress.next - 1)) {
        sendEntries(to, progress, always);
        return;
    }
    if (progress.mode != internal::SendMode::Snapshot) {
        progress.mode = internal::SendMode::Snapshot;
        progress.snapshot = m_snapshot;
        progress.offset = 0;
        always = true;
    }
    if (always) {
        sendSnapshotChunk(to, progress);
    }
}

void Node::sendEntries(const VoterId &to, internal::Progress &progress, bool always)
{
    const std::uint64_t ceiling = std::min(m_log.lastIndex(), progress.match + m_options.maxInflightEntries);
    bool more = true;
    while (more) {
        const bool isWindowFull = progress.mode == internal::SendMode::Replicate
            && m_log.bytesBetween(progress.match, progress.next - 1) >= m_options.maxInflightBytes;
        const bool hasEntries = progress.next <= ceiling && !progress.paused && !isWindowFull;
        if (!hasEntries && !always) {
            return;
        }
        always = false;
        Append append;
        append.prevIndex = progress.next - 1;
        append.prevTerm = m_log.termAt(append.prevIndex).value();
        if (hasEntries) {
            append.entries = m_log.slice(progress.next, ceiling, m_options.maxBatchBytes);
        }
        append.commitIndex = m_commit;
        append.round = m_round;
        append.toLearner = !isVoter(to);
        if (progress.mode == internal::SendMode::Replicate) {
            progress.next += append.entries.size();
        } else {
            progress.paused = true;
        }
        send(to, std::move(append));
        more = hasEntries;
    }
}

void Node::sendSnapshotChunk(const VoterId &to, internal::Progress &progress)
{
    const Snapshot &snapshot = *progress.snapshot;
    InstallSnapshot install;
    install.index = snapshot.index;
    install.snapshotTerm = snapshot.term;
    install.voters = snapshot.voters;
    install.learners = snapshot.learners;
    install.offset = progress.offset;
    install.data = snapshot.data.str().substr(progress.offset, m_options.maxBatchBytes);
    install.done = install.offset + install.data.size() == snapshot.data.size();
    install.round = m_round;
    install.toLearner = !isVoter(to);
    send(to, std::move(install));
}

void Node::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const VoterId &it : membership().voters) {
        const auto found = m_progress.find(it);
        matches.push_back(found == m_progress.end() ? m_durable : found->second.match);
    }
    const std::uint64_t reached = quorumValue(std::move(matches));
    // An entry of an older term is committed only together with one of the current term.
    if (reached <= m_commit || m_log.termAt(reached) != m_hard.term) {
        return;
    }
    m_commit = reached;
    m_broadcast = true;
    resolveProposals();
    confirmReads();
    stepDownIfRemoved();
}

void Node::resolveProposals()
{
    while (!m_proposals.empty() && m_proposals.begin()->first <= m_commit) {
        const auto &[index, it] = *m_proposals.begin();
        m_out.proposals.push_back({it.requestId, ProposalStatus::Committed, RejectReason::None, index, m_options.self});
        m_pendingBytes -= it.bytes;
        m_proposals.erase(m_proposals.begin());
    }
}

void Node::confirmReads()
{
    const std::uint64_t round = quorumRound();
    while (!m_sentRounds.empty() && m_sentRounds.front().round <= round) {
        m_confirmedAt = m_sentRounds.front().sentAt;
        m_sentRounds.pop_front();
    }
    // A new leader's commit index covers all earlier commits only once its own first entry is committed.
    if (m_commit < m_leaderStart) {
        return;
    }
    while (!m_reads.empty() && m_reads.front().round <= round) {
        m_out.reads.push_back({m_reads.front().requestId, true, RejectReason::None, m_commit, m_options.self});
        m_reads.pop_front();
    }
}

std::uint64_t Node::quorumRound() const
{
    std::vector<std::uint64_t> rounds;
    for (const VoterId &it : membership().voters) {
        const auto found = m_progress.find(it);
        rounds.push_back(found == m_progress.end() ? m_round : found->second.round);
    }
    return quorumValue(std::move(rounds));
}

bool Node::hasLostQuorum() const
{
    std::vector<base::Millis> heardAt;
    for (const VoterId &it : membership().voters) {
        const auto found = m_progress.find(it);
        heardAt.push_back(found == m_progress.end() ? m_now : found->second.lastContact);
    }
    return m_now - quorumValue(std::move(heardAt)) >= m_options.electionTimeout;
}

} // namespace bamboomoor::consensus
