/**
 * Decides which disks belong to a control group that finds itself: it brings the group to its size, replaces members
 * that are gone, and changes one member at a time. Pure: the leader asks it at intervals and proposes what it says.
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

/** @brief The settings of a plan. */
struct GroupOptions {
    // Voters wanted; twice the losses to be borne, and one.
    std::size_t size = 5;
    // A member that was not heard for this time may be replaced.
    base::Millis silence{2'000};
    // A learner that was not heard for this time loses its place.
    base::Millis learnerSilence{10'000};
    // A disk that has not asked again for this time does not want in any more; it asks every few hundred ms.
    base::Millis candidacy{2'000};
};

/** @brief What the leader sees of its group. */
struct GroupView {
    // The leader itself.
    VoterId self;
    Membership membership;
    // When the leader heard each other member last.
    std::map<VoterId, base::Millis> heardAt;
};

/** @brief One change of the membership. */
struct GroupChange {
    ChangeKind change = ChangeKind::AddLearner;
    VoterId id;

    friend bool operator==(const GroupChange &, const GroupChange &) = default;
};

/** @brief Plans the membership of a group. */
class GroupPlan
{
public:
    /** @brief Makes a plan without candidates. @param options The settings. */
    explicit GroupPlan(GroupOptions options) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Notes that a disk asks for a place.
     * @param now The present time.
     * @param id Its identity.
     */
    void ask(base::Millis now, const VoterId &id);

    /**
     * @brief Decides the next change. A voter is added before the one that it replaces is removed, and neither
     * happens unless the voters that are heard are a majority afterwards.
     * @param now The present time.
     * @param view The group as the leader sees it.
     * @return The change, or nothing while the group is as it should be.
     */
    [[nodiscard]] std::optional<GroupChange> next(base::Millis now, const GroupView &view);

private:
    // Another disk serves at the voter's address, so that the voter's own disk is gone.
    [[nodiscard]] bool isSuperseded(const GroupView &view, const VoterId &id) const;
    [[nodiscard]] bool isHeard(base::Millis now, const GroupView &view, const VoterId &id, base::Millis limit) const;
    [[nodiscard]] std::size_t heardVoters(base::Millis now, const GroupView &view) const;
    [[nodiscard]] bool hasRoom(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> removeVoter(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> promote(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> addLearner(base::Millis now, const GroupView &view) const;
    [[nodiscard]] std::optional<GroupChange> removeLearner(base::Millis now, const GroupView &view) const;

    GroupOptions m_options;
    // When each disk without a place asked last.
    std::map<VoterId, base::Millis> m_candidates;
};

} // namespace bamboomoor::consensus
