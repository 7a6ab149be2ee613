/**
 * Implements the thread of the budget authority.
 */
#include "bamboomoor/control/budgetthread.hpp"
#include "bamboomoor/control/budgetwire.hpp"

#include <glog/logging.h>

#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr std::size_t RING_SIZE = 16'384;
constexpr base::Millis TICK{20};
constexpr base::Millis IDLE_TICK{500};

std::vector<budget::Limit> limitsOf(const state::Machine &machine)
{
    std::vector<budget::Limit> limits;
    for (const config::Organisation &it : machine.configuration().document()->organisations) {
        limits.push_back({it.name, it.rate, it.burst});
    }
    return limits;
}

std::vector<budget::CeilingEntry> ceilingsOf(const state::Machine &machine)
{
    std::vector<budget::CeilingEntry> entries;
    for (const state::OrganisationCeiling &it : machine.leaderLog().ceiling().organisations) {
        entries.push_back({it.organisation, it.level, it.exposure});
    }
    return entries;
}

} // namespace

BudgetThread::BudgetThread(budget::AuthorityOptions options, VoterThread &voter, const base::Clock &clock)
    : m_options(options)
    , m_voter(voter)
    , m_clock(clock)
    , m_ring(RING_SIZE)
{
}

BudgetThread::~BudgetThread()
{
    stop();
}

void BudgetThread::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void BudgetThread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void BudgetThread::ask(const peer::wire::BudgetAsk &request, peer::Answer<peer::wire::BudgetReply> answer)
{
    post(AskEvent{request, std::move(answer)});
}

void BudgetThread::onLeading(std::uint64_t term, const state::Machine &machine)
{
    post(Leading{term, ceilingsOf(machine), limitsOf(machine)});
}

void BudgetThread::onNotLeading()
{
    post(NotLeading{});
}

void BudgetThread::onConfiguration(const state::Machine &machine)
{
    post(LimitsChanged{limitsOf(machine)});
}

void BudgetThread::post(Event event)
{
    if (m_ring.push(std::move(event))) {
        return;
    }
    // A rejected push does not move from the event.
    if (auto *ask = std::get_if<AskEvent>(&event)) { // NOLINT(bugprone-use-after-move)
        refuse(*ask);
    } else if (!m_ring.closed()) {
        LOG(FATAL) << "event=budget_ring_full";
    }
}

void BudgetThread::refuse(AskEvent &event) const
{
    peer::wire::BudgetReply reply;
    reply.set_leader(m_voter.status().leader);
    event.answer(std::move(reply));
}

void BudgetThread::run()
{
    while (!m_stopping) {
        auto event = m_ring.pop(m_authority ? TICK : IDLE_TICK);
        while (event) {
            std::visit(
                [this](auto &it) {
                    on(it);
                },
                *event);
            event = m_ring.pop({0});
        }
        if (m_authority) {
            confirmLeadership();
            m_authority->tick(m_clock.now());
            proposeCeiling();
        }
    }
    while (auto event = m_ring.pop({0})) {
        if (auto *ask = std::get_if<AskEvent>(&*event)) {
            refuse(*ask);
        }
    }
}

void BudgetThread::on(AskEvent &event)
{
    if (!m_authority) {
        refuse(event);
        return;
    }
    event.answer(toWire(m_authority->onRequest(m_clock.now(), fromWire(event.request))));
    proposeCeiling();
}

void BudgetThread::on(Leading &event)
{
    m_term = event.term;
    m_options.term = event.term;
    m_authority.emplace(m_options, m_clock.now(), event.ceilings);
    m_authority->setLimits(m_clock.now(), event.limits);
}

void BudgetThread::on(NotLeading & /*event*/)
{
    m_authority.reset();
}

void BudgetThread::on(LimitsChanged &event)
{
    if (m_authority) {
        m_authority->setLimits(m_clock.now(), event.limits);
    }
}

void BudgetThread::on(CeilingDone &event)
{
    if (!m_authority || event.term != m_term) {
        return;
    }
    if (event.status == consensus::ProposalStatus::Committed) {
        m_authority->onCeilingCommitted(m_clock.now(), event.number);
    } else {
        m_authority->onCeilingUnknown(event.number);
    }
}

void BudgetThread::confirmLeadership()
{
    const VoterStatus status = m_voter.status();
    if (status.term == m_term && status.confirmedAt) {
        m_authority->onLeadershipConfirmed(*status.confirmedAt);
    }
}

void BudgetThread::proposeCeiling()
{
    const auto ceiling = m_authority->nextCeiling(m_clock.now());
    if (!ceiling) {
        return;
    }
    state::RaiseCeiling command;
    command.term = m_term;
    for (const budget::CeilingEntry &it : ceiling->entries) {
        command.organisations.push_back({it.organisation, it.level, it.exposure});
    }
    m_voter.propose(state::encode(command), m_term,
        [this, term = m_term, number = ceiling->number](const ProposalOutcome &verdict) {
            post(CeilingDone{term, number, verdict.status});
        });
}

} // namespace bamboomoor::control
