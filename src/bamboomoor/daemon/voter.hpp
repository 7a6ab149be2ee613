/**
 * What a daemon runs in addition when it is a voter: the voter's thread and the desks that act while it leads.
 */
#pragma once

#include "bamboomoor/control/budgetdesk.hpp"
#include "bamboomoor/control/freshendesk.hpp"
#include "bamboomoor/control/placementdesk.hpp"
#include "bamboomoor/control/voterdesk.hpp"
#include "bamboomoor/settings/settings.hpp"

namespace bamboomoor::daemon
{

/** @brief The parts of a voter. */
class Voter
{
public:
    /**
     * @brief Makes a voter that does not run yet.
     * @param settings The settings; its data folder is held.
     * @param peers Connections to the voters; outlives the voter.
     * @param upstreams Lists the live upstreams.
     * @param client Sends orders; outlives the voter.
     * @param clock The time; outlives the voter.
     * @param seed Seed of the election's random numbers.
     */
    Voter(const settings::Settings &settings, const control::PeerBook &peers, control::ListUpstreams upstreams,
        http::Client &client, const base::Clock &clock, std::uint64_t seed);

    /**
     * @brief Starts all threads.
     * @return Nothing, or one line that says why the storage cannot be used.
     */
    [[nodiscard]] base::Result<void, std::string> start();

    /** @brief Ends all threads. */
    void stop();

    /** @brief The voter's thread. @return The desk. */
    [[nodiscard]] control::VoterDesk &desk() noexcept
    {
        return m_desk;
    }

    /** @brief The thread that answers for freshness. @return The desk. */
    [[nodiscard]] control::FreshenDesk &freshen() noexcept
    {
        return m_freshen;
    }

    /** @brief The thread of the budget authority. @return The desk. */
    [[nodiscard]] control::BudgetDesk &budget() noexcept
    {
        return m_budget;
    }

    /** @brief The thread of placement. @return The desk. */
    [[nodiscard]] control::PlacementDesk &placement() noexcept
    {
        return m_placement;
    }

private:
    control::VoterDesk m_desk;
    control::FreshenDesk m_freshen;
    control::BudgetDesk m_budget;
    control::PlacementDesk m_placement;
};

} // namespace bamboomoor::daemon
