/**
 * Plans the membership of a control group that forms by discovery: grows the group to its target size and replaces
 * failed members, one change at a time. Performs no I/O: the leader polls it and proposes the changes that it returns.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/consensus/types.hpp"

#include <map>
#include <optional>
#include <string>

namespace bamboomoor::consensus
{

/** @brief Settings of a group plan. */
struct GroupOptions {
    // Target number of voters: 2f + 1 to tolerate f failures.
    std::size_t size = 5;
    // A voter without contact for this time counts as failed and may be replaced.
    base::Millis voterTimeout{2'000};
    // A learner without contact for this time is removed.
    base::Millis learnerTimeout{10'000};
    // A candidate that has not repeated its request for this time is dropped; requests repeat every few hundred ms.
    base::Millis candidateTimeout{2'000};
};

/** @brief The group from the leader's point of view. */
struct GroupView {
    // The leader itself.
    VoterId self;
    Membership membership;
    // Time of the last contact with each other member.
    std::map<VoterId, base::Millis> lastContact;
};

/** @brief A membership change of one member. */
struct GroupChange {
    ChangeKind change = ChangeKind::AddLearner;
    VoterId id;

    friend bool operator==(const GroupChange &, const GroupChange &) = default;
};

/** @brief Derives membership changes from the leader's view and from pending join requests. */
class GroupPlanner
{
public:
    /** @brief Constructs a plan without candidates. @param options Settings. */
    explicit GroupPlanner(GroupOptions options) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Records that a disk asks to join the group.
     * @param now Current time.
     * @param id Identity of the disk.
     */
    void addCandidate(base::Millis now, const VoterId &id);

    /**
     * @brief Determines the next change. A replacement voter is added before the failed voter is removed, and both
     * changes require that the reachable voters form a majority afterwards.
     * @param now Current time.
     * @param view The group as the leader sees it.
     * @return The change, or nothing if none is needed or possible.
     */
    [[nodiscard]] std::optional<GroupChange> nextChange(base::Millis now, const GroupView &view);

private:
    // Another disk is served at the voter's address, so the voter's own disk is lost.
    [[nodiscard]] bool isSuperseded(const GroupView &view, const VoterId &id) const;
    [[nodiscard]] bool isReachable(
        base::Millis now, const GroupView &view, const VoterId &id, base::Millis limit) const;
    [[nodiscard]] std::size_t reachableVoters(base::Millis now, const GroupView &view) const;
    [[nodiscard]] bool needsVoter(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> removeVoter(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> promote(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> addLearner(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> removeLearner(base::Millis now, const GroupView &view) const;

    GroupOptions m_options;
    // Time of the last join request of each disk that is not a member.
    std::map<VoterId, base::Millis> m_candidates;
};

} // namespace bamboomoor::consensus
