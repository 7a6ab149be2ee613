/**
 * Answers the calls of other daemons from the parts of this one.
 */
#pragma once

#include "bamboomoor/control/budgetthread.hpp"
#include "bamboomoor/control/configurationthread.hpp"
#include "bamboomoor/control/demandreceiver.hpp"
#include "bamboomoor/control/membershipthread.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/peer/server.hpp"

#include <optional>

namespace bamboomoor::daemon
{

/** @brief The parts of a voter that answer peers. */
struct VoterParts {
    control::VoterThread &desk;
    control::ConfigurationThread &freshen;
    control::BudgetThread &budget;
    control::DemandReceiver &demand;
};

/** @brief The calls of peers; a daemon that is no voter answers that it does not lead. */
class PeerService final : public peer::Handler
{
public:
    /**
     * @brief Makes the service.
     * @param voter The parts of this daemon's voter, if it is one; they outlive the service.
     * @param book The upstreams known here; outlives the service.
     * @param clock The time; outlives the service.
     * @param warmUntil Until when upstreams that live may be missing in the book.
     */
    PeerService(std::optional<VoterParts> voter, entry::UpstreamBook &book, const base::Clock &clock,
        base::Millis warmUntil) noexcept
        : m_voter(voter)
        , m_book(book)
        , m_clock(clock)
        , m_warmUntil(warmUntil)
    {
    }

    void deliver(const peer::wire::Envelope &envelope) override;
    void propose(const peer::wire::ProposeRequest &request, peer::Answer<peer::wire::ProposeReply> answer) override;
    void freshen(const peer::wire::FreshenRequest &request, peer::Answer<peer::wire::FreshenReply> answer) override;
    void fetchPiece(const peer::wire::PieceRequest &request, peer::Answer<peer::wire::PieceReply> answer) override;
    void witness(const peer::wire::WitnessRequest &request, peer::Answer<peer::wire::WitnessReply> answer) override;
    void ask(const peer::wire::BudgetAsk &request, peer::Answer<peer::wire::BudgetReply> answer) override;
    void syncUpstreams(const peer::wire::UpstreamSync &request, peer::Answer<peer::wire::UpstreamSync> answer) override;
    void history(const peer::wire::HistoryRequest &request, peer::Answer<peer::wire::HistoryReply> answer) override;
    void reportDemand(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer) override;
    void join(const peer::wire::JoinRequest &request, peer::Answer<peer::wire::JoinReply> answer) override;

    void resolveOrigin(const peer::wire::OriginRequest &request, peer::Answer<peer::wire::OriginReply> answer) override;

    /** @brief Answers questions for a place from now on. @param group Outlives the service. */
    void setGroup(control::MembershipThread &group) noexcept
    {
        m_group = &group;
    }

private:
    std::optional<VoterParts> m_voter;
    // Null in a group whose voters are in the settings.
    control::MembershipThread *m_group = nullptr;
    entry::UpstreamBook &m_book;
    const base::Clock &m_clock;
    const base::Millis m_warmUntil;
};

} // namespace bamboomoor::daemon
