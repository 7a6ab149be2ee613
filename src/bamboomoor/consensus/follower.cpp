/**
 * Follower side of replication: appends, conflicts and incoming snapshots.
 */
#include "bamboomoor/consensus/node.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::consensus
{

namespace
{
bool isContiguous(const Append &append)
{
    std::uint64_t index = append.prevIndex;
    return std::all_of(append.entries.begin(), append.entries.end(), [&index](const Entry &it) {
        return it.index == ++index;
    });
}
} // namespace

void Node::followLeader(const VoterId &from, bool toLearner)
{
    if (m_role != Role::Follower || m_leader != from) {
        becomeFollower(m_hard.term, from, RoleCause::LeaderHeard);
    }
    m_leaderContactAt = m_now;
    m_leaderlessTerms = 0;
    resetElectionTimer();
    if (toLearner) {
        markJoined();
    }
}

void Node::onAppend(const VoterId &from, Append &&append)
{
    if (m_role == Role::Leader || !isContiguous(append)) {
        return;
    }
    followLeader(from, append.toLearner);
    const bool matches = append.prevIndex <= m_commit || m_log.termAt(append.prevIndex) == append.prevTerm;
    if (!matches) {
        rejectAppend(from, append);
        return;
    }
    const std::uint64_t prevIndex = append.prevIndex;
    const std::uint64_t round = append.round;
    acceptAppend(std::move(append));
    replyProgress(from, prevIndex, round);
}

void Node::rejectAppend(const VoterId &from, const Append &append)
{
    AppendReply reply;
    reply.prevIndex = append.prevIndex;
    reply.round = append.round;
    const auto term = m_log.termAt(append.prevIndex);
    reply.conflictTerm = term.value_or(0);
    reply.conflictIndex = term ? m_log.firstOfTerm(append.prevIndex) : m_log.lastIndex() + 1;
    send(from, reply);
}

void Node::acceptAppend(Append &&append)
{
    const std::uint64_t reached = append.prevIndex + append.entries.size();
    for (Entry &it : append.entries) {
        // Committed entries match every leader's log, even if only a snapshot still contains them.
        if (it.index <= m_commit || m_log.termAt(it.index) == it.term) {
            continue;
        }
        if (it.index <= m_log.lastIndex()) {
            truncateFrom(it.index);
        }
        appendEntry(std::move(it));
    }
    m_verified = std::max({m_verified, m_commit, reached});
    m_commit = std::max(m_commit, std::min(append.commitIndex, m_verified));
}

void Node::onInstallSnapshot(const VoterId &from, InstallSnapshot &&install)
{
    if (m_role == Role::Leader) {
        return;
    }
    followLeader(from, install.toLearner);
    if (install.index <= m_commit || m_log.termAt(install.index) == install.snapshotTerm) {
        m_verified = std::max(m_verified, install.index);
        m_commit = std::max(m_commit, install.index);
        m_incoming.reset();
        replyProgress(from, install.index, install.round);
        return;
    }
    if (!m_incoming || m_incoming->snapshot.index != install.index) {
        m_incoming.emplace();
        m_incoming->snapshot = {
            install.index, install.snapshotTerm, std::move(install.voters), std::move(install.learners), {}};
    }
    std::string &data = m_incoming->data;
    if (install.offset == data.size()) {
        data += install.data;
        if (install.done) {
            m_incoming->snapshot.data = std::move(data);
            installSnapshot(std::move(m_incoming->snapshot));
            m_incoming.reset();
            replyProgress(from, install.index, install.round);
            return;
        }
    }
    send(from, SnapshotReply{install.index, data.size(), install.round});
}

void Node::installSnapshot(Snapshot &&snapshot)
{
    m_log.reset(snapshot.index, snapshot.term);
    m_memberships.clear();
    m_memberships[snapshot.index] = {snapshot.voters, snapshot.learners};
    // Until the snapshot is synced, only the entries up to the old commit index are durable.
    m_durable = std::min(m_durable, m_commit);
    for (PendingPersist &it : m_pending) {
        it.lastIndex = std::min(it.lastIndex, m_commit);
    }
    m_dirtyFrom = 0;
    m_commit = m_emitted = m_verified = snapshot.index;
    m_snapshot = std::make_shared<const Snapshot>(snapshot);
    m_snapshotToPersist = snapshot;
    m_out.committed.clear();
    m_out.installed = std::move(snapshot);
}

void Node::replyProgress(const VoterId &to, std::uint64_t prevIndex, std::uint64_t round)
{
    AppendReply reply;
    reply.success = true;
    reply.prevIndex = prevIndex;
    reply.matchIndex = std::min(m_verified, m_durable);
    reply.receivedIndex = m_verified;
    reply.round = round;
    send(to, reply);
}

} // namespace bamboomoor::consensus
