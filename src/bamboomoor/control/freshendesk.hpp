/**
 * Answers the daemons' questions for the configuration in force: at once when they know another one, else when it
 * changes or after a short while, so that a change reaches every daemon as soon as it is committed.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/voterdesk.hpp"
#include "bamboomoor/peer/server.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bamboomoor::control
{

/** @brief Serves freshness at a voter. */
class FreshenDesk final : public VoterWatcher
{
public:
    /**
     * @brief Makes a desk that does not run yet.
     * @param voter Confirms reads; outlives the desk.
     * @param clock The time; outlives the desk.
     */
    FreshenDesk(VoterDesk &voter, const base::Clock &clock);
    ~FreshenDesk() override;
    FreshenDesk(const FreshenDesk &) = delete;
    FreshenDesk &operator=(const FreshenDesk &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread; questions that wait are answered unconfirmed. */
    void stop();

    /**
     * @brief Answers a question; the answer holds what a quorum confirmed after it was received.
     * @param request The question.
     * @param answer Takes the reply.
     */
    void freshen(const peer::wire::FreshenRequest &request, peer::Answer<peer::wire::FreshenReply> answer);

    void onLeading(std::uint64_t term, const state::Machine &machine) override;
    void onNotLeading() override;
    void onConfiguration(const state::Machine &machine) override;

private:
    struct Waiter {
        peer::Answer<peer::wire::FreshenReply> answer;
        peer::wire::FreshenReply unchanged;
        base::Millis until;
    };
    struct Changed {
        peer::wire::FreshenReply reply;
    };
    struct Stopped {
    };
    using Event = std::variant<Waiter, Changed, Stopped>;

    void run();
    void on(Waiter &event);
    void on(Changed &event);
    void on(Stopped &event);
    void answerDue();

    VoterDesk &m_voter;
    const base::Clock &m_clock;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // Used by the desk's thread only; by growing `until`.
    std::vector<Waiter> m_waiters;
    // The latest change, for waiters that arrive behind it.
    std::uint64_t m_version = 0;
    peer::wire::FreshenReply m_latest;
};

} // namespace bamboomoor::control
