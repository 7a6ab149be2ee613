/**
 * The thread that serves operators at any entry.
 */
#include "bamboomoor/daemon/operatordesk.hpp"
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/consensus/types.hpp"
#include "bamboomoor/operators/wire.hpp"
#include "bamboomoor/peer/channel.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <charconv>
#include <utility>

namespace bamboomoor::daemon
{

namespace
{

constexpr int OK = 200;
constexpr int CONFLICT = 409;
constexpr int UNAVAILABLE = 503;
constexpr int GATEWAY_TIMEOUT = 504;
constexpr std::size_t RING_SIZE = 64;
constexpr base::Millis WAIT{1'000};
constexpr base::Millis CALL_TIMEOUT{2'000};
constexpr base::Millis CHANGE_DEADLINE{8'000};
constexpr base::Millis RETRY_PAUSE{50};
constexpr std::string_view BEARER = "Bearer ";
constexpr std::string_view VERSION_QUERY = "version=";

http::Response respond(int status, const operators::Reply &reply)
{
    return {status, {{"Content-Type", "application/json"}}, operators::encode(reply) + '\n'};
}

http::Response refused(int status, const char *code, const std::string &message)
{
    operators::Reply reply;
    reply.verdict = operators::Verdict::Refused;
    reply.code = code;
    reply.message = message;
    http::Response response = respond(status, reply);
    if (status == UNAVAILABLE) {
        response.headers.push_back({"Retry-After", "1"});
    }
    return response;
}

/** @brief Compares by digests, so that the time does not depend on where the texts differ. */
bool presentsToken(const http::Request &request, const std::string &token)
{
    const std::string value(request.header("Authorization"));
    return value.size() > BEARER.size() && value.compare(0, BEARER.size(), BEARER) == 0
        && base::sha256(std::string_view(value).substr(BEARER.size())) == base::sha256(token);
}

/** @brief A command, or nothing for an unknown path. */
using ReadChange = base::Result<std::optional<state::Command>, operators::WireError>;

ReadChange readChange(const std::string &path, const std::string &body)
{
    const std::int64_t wallMillis = base::wallClock().count;
    if (path == operators::APPLY_PATH) {
        BOOST_OUTCOME_TRY(it, operators::decodeApply(body));
        return state::ApplyConfig{it.changeId, it.author, wallMillis, it.baseVersion, it.baseDigest, it.document};
    }
    if (path == operators::ADD_KEY_PATH) {
        BOOST_OUTCOME_TRY(it, operators::decodeAddKey(body));
        return state::AddKey{it.changeId, it.author, wallMillis, it.organisation, it.keyId, it.hash};
    }
    if (path == operators::WITHDRAW_KEY_PATH) {
        BOOST_OUTCOME_TRY(it, operators::decodeWithdrawKey(body));
        return state::WithdrawKey{it.changeId, it.author, wallMillis, it.organisation, it.keyId};
    }
    return std::optional<state::Command>();
}

operators::VersionLine describe(const peer::wire::VersionRecord &record)
{
    operators::VersionLine line;
    line.version = record.version();
    line.digest = record.digest();
    line.author = record.author();
    line.changeId = record.change_id();
    line.wallMillis = record.wall_ms();
    line.summary = record.summary();
    return line;
}

http::Response describe(const state::ChangeOutcome &outcome)
{
    const bool accepted = outcome.code == state::ChangeCode::Accepted;
    operators::Reply reply;
    reply.verdict = accepted ? operators::Verdict::Done : operators::Verdict::Refused;
    reply.code = state::CHANGE_CODE_NAMES.name(outcome.code);
    reply.message = outcome.message;
    reply.version.version = outcome.version;
    reply.version.digest = outcome.digest;
    reply.version.author = outcome.author;
    return respond(accepted ? OK : CONFLICT, reply);
}

} // namespace

OperatorDesk::OperatorDesk(std::string token, const control::PeerRegistry &peers, entry::LeaderHint &leader,
    std::function<nlohmann::json()> status, std::function<void()> drain)
    : m_token(std::move(token))
    , m_peers(peers)
    , m_leader(leader)
    , m_status(std::move(status))
    , m_drain(std::move(drain))
    , m_ring(RING_SIZE)
{
}

OperatorDesk::~OperatorDesk()
{
    stop();
}

void OperatorDesk::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void OperatorDesk::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void OperatorDesk::handle(http::Request request, const std::shared_ptr<http::Responder> &responder)
{
    if (!presentsToken(request, m_token)) {
        responder->respond(refused(401, "invalid_token", "the operator's token is missing or wrong"));
        return;
    }
    if (auto response = serveLocally(request)) {
        responder->respond(*std::move(response));
        return;
    }
    if (!m_ring.push(Job{std::move(request), responder})) {
        responder->respond(refused(503, "overloaded", "too many operators' requests wait"));
    }
}

void OperatorDesk::run()
{
    while (!m_stopping) {
        if (auto job = m_ring.pop(WAIT)) {
            job->responder->respond(serve(job->request));
        }
    }
    while (auto job = m_ring.pop({0})) {
        job->responder->respond(refused(503, "draining", "the daemon stops"));
    }
}

std::optional<http::Response> OperatorDesk::serveLocally(const http::Request &request)
{
    const bool reads = request.method == "GET";
    operators::Reply reply;
    if (reads && request.path == operators::STATUS_PATH) {
        reply.status = m_status().dump();
        return respond(OK, reply);
    }
    if (!reads && request.path == operators::DRAIN_PATH) {
        m_drain();
        reply.message = "the daemon drains";
        return respond(OK, reply);
    }
    return std::nullopt;
}

http::Response OperatorDesk::serve(const http::Request &request)
{
    const bool reads = request.method == "GET";
    if (reads && request.path == operators::SHOW_PATH) {
        return show(request.query);
    }
    if (reads && request.path == operators::HISTORY_PATH) {
        return history();
    }
    return change(request);
}

http::Response OperatorDesk::change(const http::Request &request)
{
    const auto command = readChange(request.method == "POST" ? request.path : std::string(), request.body);
    if (!command) {
        return refused(400, "malformed_request", command.error().message);
    }
    if (!command.value()) {
        return refused(404, "unknown_path", "there is no such operator's call");
    }
    return propose(*command.value());
}

template<class Request, class Reply>
std::optional<Reply> OperatorDesk::callLeader(const Request &request)
{
    const std::string voter = m_leader.get();
    auto answers = std::make_shared<base::Ring<std::optional<Reply>>>(1);
    m_peers.find(voter)->call(request, CALL_TIMEOUT, [answers](std::optional<Reply> reply) {
        static_cast<void>(answers->push(std::move(reply)));
    });
    const auto answer = answers->pop(CALL_TIMEOUT * 2);
    if (!answer || !*answer || (*answer)->leader().empty()) {
        m_leader.skip(voter);
    } else {
        m_leader.learn((*answer)->leader());
    }
    return answer ? *answer : std::nullopt;
}

http::Response OperatorDesk::propose(const state::Command &command)
{
    peer::wire::ProposeRequest request;
    request.set_command(state::encode(command));
    if (request.command().size() > consensus::MAX_PROPOSAL_BYTES) {
        return refused(413, "document_too_large",
            "the change has " + std::to_string(request.command().size()) + " bytes in the log, at most "
                + std::to_string(consensus::MAX_PROPOSAL_BYTES) + " are accepted");
    }
    const base::Millis deadline = m_clock.now() + CHANGE_DEADLINE;
    bool mayHaveRun = false;
    // The change id makes every resend safe.
    while (m_clock.now() < deadline && !m_stopping) {
        const auto reply = callLeader<peer::wire::ProposeRequest, peer::wire::ProposeReply>(request);
        if (reply && reply->verdict() == peer::wire::APPLIED) {
            const auto outcome = state::decodeOutcome(reply->outcome());
            if (outcome && std::holds_alternative<state::ChangeOutcome>(outcome.value())) {
                return describe(std::get<state::ChangeOutcome>(outcome.value()));
            }
            return refused(400, "malformed_request", "the change is not readable");
        }
        mayHaveRun = mayHaveRun || !reply || reply->verdict() == peer::wire::UNKNOWN;
        std::this_thread::sleep_for(std::chrono::milliseconds(RETRY_PAUSE.count));
    }
    if (mayHaveRun) {
        operators::Reply reply;
        reply.verdict = operators::Verdict::Unknown;
        reply.code = "outcome_unknown";
        reply.message = "the change may be in force; send it again under the same change id";
        return respond(GATEWAY_TIMEOUT, reply);
    }
    return refused(503, "no_leader", "no voter leads; nothing was changed");
}

std::optional<peer::wire::HistoryReply> OperatorDesk::readHistory(std::uint64_t version)
{
    peer::wire::HistoryRequest request;
    request.set_version(version);
    const base::Millis deadline = m_clock.now() + CHANGE_DEADLINE;
    while (m_clock.now() < deadline && !m_stopping) {
        auto reply = callLeader<peer::wire::HistoryRequest, peer::wire::HistoryReply>(request);
        if (reply && reply->confirmed()) {
            return reply;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(RETRY_PAUSE.count));
    }
    return std::nullopt;
}

http::Response OperatorDesk::show(const std::string &query)
{
    std::uint64_t version = peer::VERSION_IN_FORCE;
    if (query.compare(0, VERSION_QUERY.size(), VERSION_QUERY) == 0) {
        const char *end = query.data() + query.size();
        const auto read = std::from_chars(query.data() + VERSION_QUERY.size(), end, version);
        if (read.ec != std::errc() || read.ptr != end || version == peer::ALL_VERSIONS) {
            return refused(400, "malformed_request", "version: a whole number from 1 is allowed");
        }
    }
    const auto reply = readHistory(version);
    if (!reply) {
        return refused(503, "not_confirmed", "no quorum of the voters confirms what is in force");
    }
    if (reply->records().empty()) {
        return refused(404, "unknown_version", "there is no such version, or it is not kept any more");
    }
    const peer::wire::VersionRecord &record = reply->records(0);
    operators::Reply shown;
    shown.version = describe(record);
    if (record.has_document()) {
        shown.document = record.document();
    }
    return respond(OK, shown);
}

http::Response OperatorDesk::history()
{
    const auto reply = readHistory(peer::ALL_VERSIONS);
    if (!reply) {
        return refused(503, "not_confirmed", "no quorum of the voters confirms what is in force");
    }
    operators::Reply listed;
    for (const auto &it : reply->records()) {
        listed.history.push_back(describe(it));
    }
    return respond(OK, listed);
}

} // namespace bamboomoor::daemon
