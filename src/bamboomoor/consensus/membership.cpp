/**
 * Single-member membership changes; a change takes effect as soon as its entry is in the log.
 */
#include "bamboomoor/consensus/node.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace bamboomoor::consensus
{

namespace
{
bool has(const std::vector<VoterId> &ids, const VoterId &id)
{
    return std::binary_search(ids.begin(), ids.end(), id);
}

void insert(std::vector<VoterId> &ids, const VoterId &id)
{
    ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
}

Membership applied(Membership membership, const ProposeVoters &input)
{
    std::erase(membership.learners, input.id);
    std::erase(membership.voters, input.id);
    if (input.change == ChangeKind::AddLearner) {
        insert(membership.learners, input.id);
    } else if (input.change == ChangeKind::Promote) {
        insert(membership.voters, input.id);
    }
    return membership;
}
} // namespace

void Node::onProposeVoters(const ProposeVoters &input)
{
    const RejectReason reason = checkChange(input);
    if (reason != RejectReason::None) {
        rejectProposal(input.requestId, reason);
        return;
    }
    const std::uint64_t index = m_log.lastIndex() + 1;
    m_proposals[index] = {input.requestId, 0};
    appendEntry({index, m_hard.term, EntryKind::Voters, encodeMembership(applied(membership(), input))});
    syncProgress();
    advanceCommit();
}

RejectReason Node::checkChange(const ProposeVoters &input) const
{
    if (m_role != Role::Leader) {
        return RejectReason::NotLeader;
    }
    if (m_transferDeadline != base::NEVER) {
        return RejectReason::Transferring;
    }
    // Committing an entry of the current term first rules out an uncommitted change of an earlier leader.
    if (m_memberships.rbegin()->first > m_commit || m_commit < m_leaderStart) {
        return RejectReason::ChangeInProgress;
    }
    const Membership &present = membership();
    const bool isLearner = has(present.learners, input.id);
    const bool isVoterNow = has(present.voters, input.id);
    switch (input.change) {
    case ChangeKind::AddLearner: {
        const bool valid = !input.id.empty() && input.id.find('\n') == VoterId::npos;
        return valid && !isLearner && !isVoterNow ? RejectReason::None : RejectReason::InvalidChange;
    }
    case ChangeKind::Promote: {
        if (!isLearner) {
            return RejectReason::InvalidChange;
        }
        const internal::Progress &progress = m_progress.at(input.id);
        const bool fresh = m_now - progress.lastContact < m_options.electionTimeout;
        return fresh && progress.match >= m_commit ? RejectReason::None : RejectReason::NotCaughtUp;
    }
    case ChangeKind::Remove: {
        const bool lastVoter = isVoterNow && present.voters.size() == 1;
        return (isLearner || isVoterNow) && !lastVoter ? RejectReason::None : RejectReason::InvalidChange;
    }
    }
    return RejectReason::InvalidChange;
}

void Node::syncProgress()
{
    const Membership &present = membership();
    std::erase_if(m_progress, [&present](const auto &it) {
        return !has(present.voters, it.first) && !has(present.learners, it.first);
    });
    for (const auto *ids : {&present.voters, &present.learners}) {
        for (const VoterId &id : *ids) {
            if (id == m_options.self || m_progress.contains(id)) {
                continue;
            }
            internal::Progress progress;
            progress.next = m_log.lastIndex() + 1;
            progress.lastContact = m_now;
            m_progress.emplace(id, progress);
        }
    }
}

void Node::recordMembership(const Entry &entry)
{
    if (entry.kind == EntryKind::Voters) {
        m_memberships[entry.index] = decodeMembership(entry.payload.str());
    }
}

std::map<VoterId, base::Millis> Node::lastContact() const
{
    std::map<VoterId, base::Millis> heard;
    if (m_role == Role::Leader) {
        for (const auto &[id, progress] : m_progress) {
            heard.emplace(id, progress.lastContact);
        }
    }
    return heard;
}

const Membership &Node::membershipAt(std::uint64_t index) const
{
    const auto it = m_memberships.upper_bound(index);
    assert(it != m_memberships.begin());
    return std::prev(it)->second;
}

void Node::stepDownIfRemoved()
{
    const bool settled = m_memberships.rbegin()->first <= m_commit;
    if (m_role == Role::Leader && settled && !isVoter(m_options.self)) {
        // The other members learn of the commit before their leader stops sending.
        flush();
        becomeFollower(m_hard.term, {}, RoleCause::Removed);
    }
}

} // namespace bamboomoor::consensus
