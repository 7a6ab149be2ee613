/**
 * What a daemon runs in addition when it is a voter: the voter's thread and the desks that act while it leads.
 */
#pragma once

#include "bamboomoor/control/budgetthread.hpp"
#include "bamboomoor/control/configurationthread.hpp"
#include "bamboomoor/control/placementthread.hpp"
#include "bamboomoor/control/voterthread.hpp"
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
    Voter(const settings::Settings &settings, const control::PeerRegistry &peers, control::ListUpstreams upstreams,
        http::Client &client, const base::Clock &clock, std::uint64_t seed);

    /**
     * @brief Starts all threads.
     * @return Nothing, or one line that says why the storage cannot be used.
     */
    [[nodiscard]] base::Result<void, std::string> start();

    /** @brief Ends all threads. */
    void stop();

    /** @brief The voter's thread. @return The desk. */
    [[nodiscard]] control::VoterThread &desk() noexcept
    {
        return m_desk;
    }

    /** @brief The thread that answers for freshness. @return The desk. */
    [[nodiscard]] control::ConfigurationThread &freshen() noexcept
    {
        return m_freshen;
    }

    /** @brief The thread of the budget authority. @return The desk. */
    [[nodiscard]] control::BudgetThread &budget() noexcept
    {
        return m_budget;
    }

    /** @brief The thread of placement. @return The desk. */
    [[nodiscard]] control::PlacementThread &placement() noexcept
    {
        return m_placement;
    }

private:
    control::VoterThread m_desk;
    control::ConfigurationThread m_freshen;
    control::BudgetThread m_budget;
    control::PlacementThread m_placement;
};

} // namespace bamboomoor::daemon
