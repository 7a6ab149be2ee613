/**
 * Implements the membership plan of a group.
 */
#include "bamboomoor/consensus/groupplanner.hpp"

#include <algorithm>

namespace bamboomoor::consensus
{

namespace
{

bool contains(const std::vector<VoterId> &ids, const VoterId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::size_t majorityOf(std::size_t voters) noexcept
{
    return voters / 2 + 1;
}

} // namespace

void GroupPlanner::addCandidate(base::Millis now, const VoterId &id)
{
    m_candidates[id] = now;
}

std::optional<GroupChange> GroupPlanner::nextChange(base::Millis now, const GroupView &view)
{
    std::erase_if(m_candidates, [&](const auto &it) {
        return now - it.second > m_options.candidateTimeout;
    });
    if (auto change = removeVoter(now, view)) {
        return change;
    }
    if (auto change = promote(now, view)) {
        return change;
    }
    if (auto change = addLearner(now, view)) {
        return change;
    }
    return removeLearner(now, view);
}

bool GroupPlanner::isSuperseded(const GroupView &view, const VoterId &id) const
{
    const std::string address = addressIn(id);
    const auto replaces = [&](const VoterId &other) {
        return other != id && addressIn(other) == address;
    };
    const auto &learners = view.membership.learners;
    return !address.empty() && id != view.self
        && (std::any_of(learners.begin(), learners.end(), replaces)
            || std::any_of(m_candidates.begin(), m_candidates.end(), [&](const auto &it) {
                   return replaces(it.first);
               }));
}

bool GroupPlanner::isReachable(base::Millis now, const GroupView &view, const VoterId &id, base::Millis limit) const
{
    const auto it = view.lastContact.find(id);
    const bool heard = it != view.lastContact.end() && now - it->second <= limit;
    return id == view.self || (heard && !isSuperseded(view, id));
}

std::size_t GroupPlanner::reachableVoters(base::Millis now, const GroupView &view) const
{
    const auto &voters = view.membership.voters;
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const VoterId &it) {
        return isReachable(now, view, it, m_options.voterTimeout);
    }));
}

bool GroupPlanner::needsVoter(base::Millis now, const GroupView &view) const
{
    const auto &voters = view.membership.voters;
    return voters.size() < m_options.size || std::any_of(voters.begin(), voters.end(), [&](const VoterId &it) {
        return !isReachable(now, view, it, m_options.voterTimeout);
    });
}

std::optional<GroupChange> GroupPlanner::removeVoter(base::Millis now, const GroupView &view) const
{
    const auto &voters = view.membership.voters;
    if (voters.size() <= m_options.size || reachableVoters(now, view) < majorityOf(voters.size() - 1)) {
        return std::nullopt;
    }
    const VoterId *stalest = nullptr;
    base::Millis heardAt = base::NEVER;
    for (const VoterId &it : voters) {
        const auto heard = view.lastContact.find(it);
        if (!isReachable(now, view, it, m_options.voterTimeout) && heard != view.lastContact.end()
            && heard->second < heardAt) {
            stalest = &it;
            heardAt = heard->second;
        }
    }
    if (stalest == nullptr) {
        return std::nullopt;
    }
    return GroupChange{ChangeKind::Remove, *stalest};
}

std::optional<GroupChange> GroupPlanner::promote(base::Millis now, const GroupView &view) const
{
    const std::size_t votersAfter = view.membership.voters.size() + 1;
    // At most one voter above the target size: a replaced voter is removed before the next one is promoted.
    if (votersAfter > m_options.size + 1 || reachableVoters(now, view) + 1 < majorityOf(votersAfter)
        || !needsVoter(now, view)) {
        return std::nullopt;
    }
    for (const VoterId &it : view.membership.learners) {
        if (isReachable(now, view, it, m_options.voterTimeout)) {
            return GroupChange{ChangeKind::Promote, it};
        }
    }
    return std::nullopt;
}

std::optional<GroupChange> GroupPlanner::addLearner(base::Millis now, const GroupView &view) const
{
    if (!needsVoter(now, view)) {
        return std::nullopt;
    }
    for (const auto &[id, askedAt] : m_candidates) {
        if (!contains(view.membership.voters, id) && !contains(view.membership.learners, id)) {
            return GroupChange{ChangeKind::AddLearner, id};
        }
    }
    return std::nullopt;
}

std::optional<GroupChange> GroupPlanner::removeLearner(base::Millis now, const GroupView &view) const
{
    for (const VoterId &it : view.membership.learners) {
        if (!isReachable(now, view, it, m_options.learnerTimeout)) {
            return GroupChange{ChangeKind::Remove, it};
        }
    }
    return std::nullopt;
}

} // namespace bamboomoor::consensus
