/**
 * Provides the thread of the budget authority. The authority exists only while this voter is the leader; on any other
 * voter token requests are answered with the name of the current leader.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/budget/authority.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/peer/server.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

namespace bamboomoor::control
{

/** @brief Runs the budget authority on the leader. */
class BudgetThread final : public VoterObserver
{
public:
    /**
     * @brief Creates the object without starting its thread.
     * @param options The settings of the authority; `term` is overwritten whenever this voter becomes leader.
     * @param voter Commits the ceilings; must outlive this object.
     * @param clock The source of time; must outlive this object.
     */
    BudgetThread(budget::AuthorityOptions options, VoterThread &voter, const base::Clock &clock);
    ~BudgetThread() override;
    BudgetThread(const BudgetThread &) = delete;
    BudgetThread &operator=(const BudgetThread &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Stops and joins the thread; pending requests are answered as on a voter that is not the leader. */
    void stop();

    /**
     * @brief Handles a token request; if this voter is not the leader, the reply names the leader instead.
     * @param request The token request.
     * @param answer Called with the reply.
     */
    void ask(const peer::wire::BudgetAsk &request, peer::Answer<peer::wire::BudgetReply> answer);

    void onLeading(std::uint64_t term, const state::Machine &machine) override;
    void onNotLeading() override;
    void onConfiguration(const state::Machine &machine) override;

private:
    struct AskEvent {
        peer::wire::BudgetAsk request;
        peer::Answer<peer::wire::BudgetReply> answer;
    };
    struct Leading {
        std::uint64_t term = 0;
        std::vector<budget::CeilingEntry> ceilings;
        std::vector<budget::Limit> limits;
    };
    struct NotLeading {
    };
    struct LimitsChanged {
        std::vector<budget::Limit> limits;
    };
    struct CeilingDone {
        std::uint64_t term = 0;
        std::uint64_t number = 0;
        consensus::ProposalStatus status = consensus::ProposalStatus::Unknown;
    };
    using Event = std::variant<AskEvent, Leading, NotLeading, LimitsChanged, CeilingDone>;

    void run();
    void on(AskEvent &event);
    void on(Leading &event);
    void on(NotLeading &event);
    void on(LimitsChanged &event);
    void on(CeilingDone &event);
    void confirmLeadership();
    void proposeCeiling();
    void post(Event event);
    void refuse(AskEvent &event) const;

    budget::AuthorityOptions m_options;
    VoterThread &m_voter;
    const base::Clock &m_clock;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // Present only while this voter is the leader; accessed by this object's thread only.
    std::optional<budget::Authority> m_authority;
    std::uint64_t m_term = 0;
};

} // namespace bamboomoor::control
