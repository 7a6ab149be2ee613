/**
 * Answers the calls of other daemons from the parts of this one.
 */
#include "bamboomoor/daemon/peerservice.hpp"
#include "bamboomoor/control/consensuswire.hpp"
#include "bamboomoor/entry/upstreamsync.hpp"
#include "bamboomoor/peer/channel.hpp"

#include <utility>

namespace bamboomoor::daemon
{

namespace
{

// A voter that follows no leader for so long is taken for cut off from the others; an election takes less.
constexpr base::Millis CUT_OFF_AFTER{1'500};

peer::wire::ProposeReply describe(const control::ProposalOutcome &verdict)
{
    peer::wire::ProposeReply reply;
    reply.set_leader(verdict.leader);
    reply.set_reason(std::string(consensus::REJECT_REASON_NAMES.name(verdict.reason)));
    if (verdict.status == consensus::ProposalStatus::Committed && verdict.outcome) {
        reply.set_verdict(peer::wire::APPLIED);
        reply.set_outcome(state::encode(*verdict.outcome));
    } else if (verdict.status != consensus::ProposalStatus::Rejected) {
        reply.set_verdict(peer::wire::UNKNOWN);
    } else if (verdict.reason == consensus::RejectReason::NotLeader) {
        reply.set_verdict(peer::wire::NOT_LEADER);
    } else {
        reply.set_verdict(peer::wire::REFUSED);
    }
    return reply;
}

peer::wire::VersionRecord describe(const state::VersionInfo &info, bool withDocument)
{
    peer::wire::VersionRecord record;
    record.set_version(info.version);
    record.set_digest(info.digest);
    record.set_author(info.author);
    record.set_change_id(info.changeId);
    record.set_wall_ms(info.wallMillis);
    record.set_summary(info.summary);
    if (withDocument && info.text) {
        record.set_has_document(true);
        record.set_document(*info.text);
    }
    if (withDocument && info.source) {
        record.set_has_source(true);
        record.set_source(*info.source);
    }
    return record;
}

peer::wire::HistoryReply readHistory(const control::ReadOutcome &outcome, std::uint64_t version)
{
    peer::wire::HistoryReply reply;
    reply.set_leader(outcome.leader);
    reply.set_confirmed(outcome.confirmed);
    if (!outcome.confirmed) {
        return reply;
    }
    const state::ConfigHistory &history = outcome.machine->configuration();
    if (version == peer::VERSION_IN_FORCE) {
        *reply.add_records() = describe(history.current(), true);
        return reply;
    }
    if (version != peer::ALL_VERSIONS) {
        if (const state::VersionInfo *info = history.find(version)) {
            *reply.add_records() = describe(*info, true);
        }
        return reply;
    }
    for (const state::VersionInfo &it : history.versions()) {
        *reply.add_records() = describe(it, false);
    }
    return reply;
}

} // namespace

void PeerService::deliver(const peer::wire::Envelope &envelope)
{
    auto message = control::fromWire(envelope);
    if (m_voter && message) {
        m_voter->desk.deliver(*std::move(message));
    }
}

void PeerService::propose(const peer::wire::ProposeRequest &request, peer::Answer<peer::wire::ProposeReply> answer)
{
    if (!m_voter) {
        peer::wire::ProposeReply reply;
        reply.set_verdict(peer::wire::NOT_LEADER);
        answer(std::move(reply));
        return;
    }
    m_voter->desk.propose(
        request.command(), std::nullopt, [answer = std::move(answer)](const control::ProposalOutcome &verdict) {
            answer(describe(verdict));
        });
}

void PeerService::freshen(const peer::wire::FreshenRequest &request, peer::Answer<peer::wire::FreshenReply> answer)
{
    if (!m_voter) {
        answer({});
        return;
    }
    m_voter->freshen.freshen(request, std::move(answer));
}

void PeerService::fetchPiece(const peer::wire::PieceRequest &request, peer::Answer<peer::wire::PieceReply> answer)
{
    if (!m_voter) {
        answer({});
        return;
    }
    m_voter->freshen.fetchPiece(request, std::move(answer));
}

void PeerService::witness(const peer::wire::WitnessRequest & /*request*/, peer::Answer<peer::wire::WitnessReply> answer)
{
    if (!m_voter) {
        answer({});
        return;
    }
    m_voter->desk.reportLocalLog([answer = std::move(answer)](const control::LocalLogReport &testimony) {
        peer::wire::WitnessReply reply;
        reply.set_usable(testimony.usable);
        reply.set_version(testimony.version);
        reply.mutable_voters()->Add(testimony.voters.begin(), testimony.voters.end());
        answer(std::move(reply));
    });
}

void PeerService::ask(const peer::wire::BudgetAsk &request, peer::Answer<peer::wire::BudgetReply> answer)
{
    if (!m_voter) {
        answer({});
        return;
    }
    m_voter->budget.ask(request, std::move(answer));
}

void PeerService::syncUpstreams(const peer::wire::UpstreamSync &request, peer::Answer<peer::wire::UpstreamSync> answer)
{
    const base::Millis now = m_clock.now();
    if (!m_voter) {
        answer(entry::answerSync(request, m_book, now, true));
        return;
    }
    const control::VoterStatus status = m_voter->desk.status();
    // Upstreams are pushed to voters only, so that any other daemon may lack some.
    peer::wire::UpstreamSync reply = entry::answerSync(request, m_book, now, now < m_warmUntil || !status.votes);
    reply.set_cut_off(now - status.ledAt > CUT_OFF_AFTER);
    answer(std::move(reply));
}

void PeerService::history(const peer::wire::HistoryRequest &request, peer::Answer<peer::wire::HistoryReply> answer)
{
    if (!m_voter) {
        answer({});
        return;
    }
    m_voter->desk.read([version = request.version(), answer = std::move(answer)](const control::ReadOutcome &it) {
        answer(readHistory(it, version));
    });
}

void PeerService::reportDemand(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer)
{
    if (!m_voter) {
        answer({});
        return;
    }
    m_voter->demand.report(request, std::move(answer));
}

void PeerService::resolveOrigin(const peer::wire::OriginRequest &request, peer::Answer<peer::wire::OriginReply> answer)
{
    if (!m_voter) {
        answer({});
        return;
    }
    // A deposed leader may lack the version that began the stream.
    m_voter->desk.read([this, request, answer = std::move(answer)](const control::ReadOutcome &it) {
        if (!it.confirmed) {
            peer::wire::OriginReply reply;
            reply.set_leader(it.leader);
            answer(std::move(reply));
            return;
        }
        const state::SoftwareVersions &recorded = it.machine->software().versions();
        const auto versions = recorded.find(request.service());
        m_voter->demand.resolveOrigin(
            request, versions == recorded.end() ? std::set<std::string>{} : versions->second, answer);
    });
}

void PeerService::join(const peer::wire::JoinRequest &request, peer::Answer<peer::wire::JoinReply> answer)
{
    if (m_group == nullptr) {
        answer({});
        return;
    }
    m_group->join(request, answer);
}

} // namespace bamboomoor::daemon
