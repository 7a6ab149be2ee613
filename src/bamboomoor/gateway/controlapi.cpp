/**
 * Implements the HTTP API of a control VM for operators and upstreams.
 */
#include "bamboomoor/gateway/controlapi.hpp"

#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/consensus/types.hpp"
#include "bamboomoor/gateway/controlmetrics.hpp"
#include "bamboomoor/peer/channel.hpp"
#include "bamboomoor/state/command.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr int OK = 200;

/** @brief Names the outcome of a change that was not applied: a rejected one never takes effect. */
std::string_view unappliedOutcome(const std::optional<peer::wire::ProposeReply> &reply)
{
    const bool rejected =
        reply && (reply->verdict() == peer::wire::NOT_LEADER || reply->verdict() == peer::wire::REFUSED);
    return rejected ? "rejected" : "unknown";
}

} // namespace

void ControlApi::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    if (request.method == "GET" && request.path == "/metrics") {
        responder->respond({OK, {{"Content-Type", "text/plain; version=0.0.4"}}, m_context.metrics.text()});
        return;
    }
    ControlCall call = m_context.dialect.read(request);
    std::visit(
        [this, &responder](auto &it) {
            on(it, responder);
        },
        call);
}

void ControlApi::on(BadCall &call, const Responder &responder)
{
    if (isNewProblem(call.reason)) {
        m_context.log.write(
            base::LogLine("call_unreadable").add("reason", call.reason).add("status", call.answer.status));
    }
    responder->respond(std::move(call.answer));
}

bool ControlApi::isNewProblem(const std::string &reason)
{
    const absl::MutexLock lock(&m_mutex);
    return m_unreadable.isNew(m_context.clock.now(), reason);
}

bool ControlApi::isLed()
{
    const std::int64_t now = m_context.clock.now().count;
    if (!m_context.group.leader().empty()) {
        m_ledAt = now;
    }
    return now - m_ledAt <= m_options.leaderlessTimeout.count;
}

std::string ControlApi::modelsOf(const membership::Announcement &announcement)
{
    std::string models;
    for (const membership::Accelerator &accelerator : announcement.accelerators) {
        for (const membership::Resident &it : accelerator.resident) {
            if (it.adapter.empty()) {
                models += (models.empty() ? "" : ",") + it.model;
            }
        }
    }
    return models;
}

void ControlApi::announce(membership::Announcement announcement)
{
    const base::Millis now = m_context.clock.now();
    const std::string id = announcement.id;
    const auto incarnation = static_cast<std::int64_t>(announcement.incarnation);
    const auto sequence = static_cast<std::int64_t>(announcement.sequence);
    const std::string holds = modelsOf(announcement);
    m_context.heard.announce(now, announcement);
    const membership::AnnounceOutcome verdict = m_context.book.announce(now, std::move(announcement));
    m_context.metrics.announced(membership::ANNOUNCE_OUTCOME_NAMES.name(verdict));
    if (verdict != membership::AnnounceOutcome::Renewed) {
        m_context.log.write(base::LogLine("upstream")
                                .add("verdict", membership::ANNOUNCE_OUTCOME_NAMES.name(verdict))
                                .add("upstream", id)
                                .add("incarnation", incarnation)
                                .add("sequence", sequence)
                                .add("holds", holds));
    }
}

void ControlApi::on(AnnounceCall &call, const Responder &responder)
{
    const std::string upstream = call.announcement.id;
    const std::uint64_t incarnation = call.announcement.incarnation;
    const bool isLeaving = call.announcement.leaving;
    announce(std::move(call.announcement));
    if (isLeaving) {
        confirmWithdrawal(upstream, incarnation, responder);
        return;
    }
    responder->respond(isLed() ? m_context.dialect.done() : m_context.dialect.unavailable("no leader is known here"));
}

void ControlApi::on(const WithdrawCall &call, const Responder &responder)
{
    const auto incarnation = call.incarnation ? call.incarnation : m_context.book.lastIncarnationOf(call.id);
    if (!incarnation) {
        m_context.metrics.withdrawn("unknown_upstream");
        m_context.log.write(
            base::LogLine("upstream_withdrawal").add("upstream", call.id).add("outcome", "unknown_upstream"));
        // Another VM may know it; a confirmation would end the search.
        responder->respond(m_context.dialect.unavailable("the upstream is not known here"));
        return;
    }
    const base::Millis now = m_context.clock.now();
    m_context.heard.withdraw(now, call.id, *incarnation);
    m_context.book.withdraw(now, call.id, *incarnation);
    confirmWithdrawal(call.id, *incarnation, responder);
}

void ControlApi::confirmWithdrawal(
    const std::string &upstream, std::uint64_t incarnation, const Responder &responder) const
{
    // An upstream that is leaving says so with each announcement.
    if (m_context.withdrawals.contains(upstream, incarnation)) {
        responder->respond(m_context.dialect.done());
        return;
    }
    peer::Client *leader = this->leader();
    if (leader == nullptr) {
        m_context.metrics.withdrawn("rejected");
        m_context.log.write(base::LogLine("upstream_withdrawal")
                                .add("upstream", upstream)
                                .add("incarnation", static_cast<std::int64_t>(incarnation))
                                .add("outcome", "rejected")
                                .add("reason", "no_leader_known"));
        responder->respond(m_context.dialect.unavailable("no leader is known here"));
        return;
    }
    const state::RecordWithdrawal command{upstream, incarnation, base::wallClock().count};
    peer::wire::ProposeRequest request;
    request.set_command(state::encode(command));
    leader->call(request, m_options.timeout,
        [this, responder, upstream, incarnation, asked = leader->address()](
            const std::optional<peer::wire::ProposeReply> &reply) {
            responder->respond(answerWithdrawal(upstream, incarnation, asked, reply));
        });
}

http::Response ControlApi::answerWithdrawal(const std::string &upstream, std::uint64_t incarnation,
    const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const
{
    base::LogLine line("upstream_withdrawal");
    line.add("upstream", upstream).add("incarnation", static_cast<std::int64_t>(incarnation));
    if (!reply || reply->verdict() != peer::wire::APPLIED) {
        m_context.metrics.withdrawn(unappliedOutcome(reply));
        return refuseUnapplied(line, asked, reply);
    }
    const auto outcome = state::decodeOutcome(reply->outcome());
    const auto *recorded = outcome ? std::get_if<state::CountOutcome>(&outcome.value()) : nullptr;
    const bool isRecorded = recorded != nullptr && recorded->count > 0;
    const std::string_view name = isRecorded ? "recorded" : "invalid";
    m_context.metrics.withdrawn(name);
    m_context.log.write(line.add("outcome", name));
    return isRecorded ? m_context.dialect.done() : m_context.dialect.unavailable("the group cannot record this");
}

peer::Client *ControlApi::leader() const
{
    const std::string name = m_context.group.leader();
    return name.empty() ? nullptr : m_context.peers.find(name);
}

void ControlApi::refuseInvalid(std::uint64_t version, const std::string &reason, const Responder &responder) const
{
    m_context.metrics.changed("invalid");
    m_context.log.write(base::LogLine("configuration_refused")
                            .add("version", static_cast<std::int64_t>(version))
                            .add("reason", reason));
    responder->respond(m_context.dialect.invalid(reason));
}

void ControlApi::on(const ReplaceCall &call, const Responder &responder)
{
    if (const auto problem = config::check(call.document)) {
        refuseInvalid(call.version, problem->place + ": " + problem->message, responder);
        return;
    }
    peer::Client *leader = this->leader();
    if (leader == nullptr) {
        m_context.log.write(base::LogLine("configuration_call")
                                .add("version", static_cast<std::int64_t>(call.version))
                                .add("outcome", "rejected")
                                .add("reason", "no_leader_known"));
        responder->respond(m_context.dialect.unavailable("no leader is known here"));
        return;
    }
    state::ReplaceConfig command;
    command.author = "operator";
    command.wallMillis = base::wallClock().count;
    command.version = call.version;
    command.documentText = config::print(call.document);
    command.source = call.source;
    peer::wire::ProposeRequest request;
    request.set_command(state::encode(command));
    if (request.command().size() > consensus::MAX_PROPOSAL_BYTES) {
        refuseInvalid(call.version,
            "the configuration is too large: " + std::to_string(request.command().size())
                + " bytes in the log, at most " + std::to_string(consensus::MAX_PROPOSAL_BYTES),
            responder);
        return;
    }
    leader->call(request, m_options.timeout,
        [this, responder, version = call.version, asked = leader->address()](
            const std::optional<peer::wire::ProposeReply> &reply) {
            responder->respond(answerReplace(version, asked, reply));
        });
}

http::Response ControlApi::refuseUnapplied(
    base::LogLine &line, const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const
{
    m_context.log.write(line.add("outcome", unappliedOutcome(reply))
                            .add("reason", reply ? reply->reason() : "no_answer")
                            .add("asked", asked)
                            .add("leader", reply ? reply->leader() : std::string()));
    return m_context.dialect.unavailable("the leader did not confirm the change");
}

http::Response ControlApi::answerReplace(
    std::uint64_t version, const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const
{
    base::LogLine line("configuration_call");
    line.add("version", static_cast<std::int64_t>(version));
    if (!reply || reply->verdict() != peer::wire::APPLIED) {
        m_context.metrics.changed(unappliedOutcome(reply));
        return refuseUnapplied(line, asked, reply);
    }
    const auto outcome = state::decodeOutcome(reply->outcome());
    const auto *change = outcome ? std::get_if<state::ChangeOutcome>(&outcome.value()) : nullptr;
    if (change == nullptr) {
        m_context.metrics.changed("unreadable");
        m_context.log.write(line.add("outcome", "unreadable"));
        return m_context.dialect.unavailable("the leader's answer cannot be read");
    }
    m_context.metrics.changed(state::CHANGE_CODE_NAMES.name(change->code));
    m_context.log.write(line.add("outcome", state::CHANGE_CODE_NAMES.name(change->code))
                            .add("in_force", static_cast<std::int64_t>(change->version)));
    return change->code == state::ChangeCode::Accepted ? m_context.dialect.done()
                                                       : m_context.dialect.invalid(change->message);
}

void ControlApi::on(const EvacuateCall &call, const Responder &responder)
{
    const auto refuse = [&](std::string_view outcome, const std::string &reason, http::Response response) {
        m_context.metrics.evacuated(outcome);
        m_context.log.write(base::LogLine("evacuation_call")
                                .add("data_centre", call.dataCentre)
                                .add("change", call.evacuated ? "begin" : "end")
                                .add("outcome", outcome)
                                .add("reason", reason));
        responder->respond(std::move(response));
    };
    const auto &known = m_options.dataCentres;
    if (call.dataCentre.empty()
        || (!known.empty() && std::find(known.begin(), known.end(), call.dataCentre) == known.end())) {
        const std::string reason = "the deployment has no data centre of this name";
        refuse("invalid", reason, m_context.dialect.invalid(reason));
        return;
    }
    peer::Client *leader = this->leader();
    if (leader == nullptr) {
        const std::string reason = "no leader is known here";
        refuse("rejected", reason, m_context.dialect.unavailable(reason));
        return;
    }
    state::SetEvacuation command;
    command.author = "operator";
    command.wallMillis = base::wallClock().count;
    command.dataCentre = call.dataCentre;
    command.evacuated = call.evacuated;
    command.base = m_context.evacuations.changedAt(call.dataCentre);
    peer::wire::ProposeRequest request;
    request.set_command(state::encode(command));
    leader->call(request, m_options.timeout,
        [this, responder, call, asked = leader->address()](const std::optional<peer::wire::ProposeReply> &reply) {
            responder->respond(answerEvacuate(call, asked, reply));
        });
}

http::Response ControlApi::answerEvacuate(
    const EvacuateCall &call, const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const
{
    base::LogLine line("evacuation_call");
    line.add("data_centre", call.dataCentre).add("change", call.evacuated ? "begin" : "end");
    if (!reply || reply->verdict() != peer::wire::APPLIED) {
        m_context.metrics.evacuated(unappliedOutcome(reply));
        return refuseUnapplied(line, asked, reply);
    }
    const auto outcome = state::decodeOutcome(reply->outcome());
    const auto *change = outcome ? std::get_if<state::EvacuationOutcome>(&outcome.value()) : nullptr;
    const std::string_view name = change == nullptr ? "unreadable" : state::EVACUATION_CODE_NAMES.name(change->code);
    m_context.metrics.evacuated(name);
    m_context.log.write(line.add("outcome", name));
    if (change == nullptr) {
        return m_context.dialect.unavailable("the leader's answer cannot be read");
    }
    switch (change->code) {
    case state::EvacuationCode::Accepted:
        return m_context.dialect.done();
    case state::EvacuationCode::Stale:
        return m_context.dialect.unavailable("another change of the data centre came first");
    default:
        return m_context.dialect.invalid("too many data centres, or too long a name");
    }
}

void ControlApi::on(const ReadCall & /*call*/, const Responder &responder)
{
    peer::Client *leader = this->leader();
    if (leader == nullptr) {
        m_context.log.write(base::LogLine("configuration_read").add("outcome", "no_leader_known"));
        responder->respond(m_context.dialect.unavailable("no leader is known here"));
        return;
    }
    peer::wire::HistoryRequest request;
    request.set_version(peer::VERSION_IN_FORCE);
    leader->call(request, m_options.timeout,
        [this, responder, asked = leader->address()](const std::optional<peer::wire::HistoryReply> &reply) {
            const bool confirmed = reply && reply->confirmed() && !reply->records().empty();
            if (!confirmed || !reply->records(0).has_source()) {
                m_context.log.write(base::LogLine("configuration_read")
                                        .add("outcome", reply ? "unconfirmed" : "no_answer")
                                        .add("asked", asked)
                                        .add("leader", reply ? reply->leader() : std::string()));
                responder->respond(m_context.dialect.unavailable("no quorum confirms a configuration"));
                return;
            }
            responder->respond(m_context.dialect.document(reply->records(0).source()));
        });
}

} // namespace bamboomoor::gateway
