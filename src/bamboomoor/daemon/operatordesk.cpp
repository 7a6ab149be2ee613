/**
 * The thread that serves operators at any entry.
 */
#include "bamboomoor/daemon/operatordesk.hpp"
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/peer/channel.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <charconv>
#include <utility>

namespace bamboomoor::daemon
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t RING_SIZE = 64;
constexpr base::Millis WAIT{1'000};
constexpr base::Millis CALL_TIMEOUT{2'000};
constexpr base::Millis CHANGE_DEADLINE{8'000};
constexpr base::Millis RETRY_PAUSE{50};
constexpr std::string_view BEARER = "Bearer ";
constexpr std::string_view VERSION_QUERY = "version=";

http::Response respond(int status, const Json &body)
{
    return {status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n'};
}

http::Response refused(int status, const char *code, const std::string &message)
{
    http::Response response = respond(status, {{"outcome", "refused"}, {"code", code}, {"message", message}});
    if (status == 503) {
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

std::optional<state::Command> readChange(const std::string &path, const Json &json)
{
    const std::int64_t wallMillis = base::wallClock().count;
    const std::string changeId = json.at("change_id").get<std::string>();
    const std::string author = json.at("author").get<std::string>();
    if (path == "/operator/v1/apply") {
        return state::ApplyConfig{changeId,
                                  author,
                                  wallMillis,
                                  json.at("base_version").get<std::uint64_t>(),
                                  json.at("base_digest").get<std::string>(),
                                  json.at("document").get<std::string>()};
    }
    const std::string organisation = json.at("organisation").get<std::string>();
    const std::string keyId = json.at("key_id").get<std::string>();
    if (path == "/operator/v1/keys/add") {
        return state::AddKey{changeId, author, wallMillis, organisation, keyId, json.at("hash").get<std::string>()};
    }
    if (path == "/operator/v1/keys/withdraw") {
        return state::WithdrawKey{changeId, author, wallMillis, organisation, keyId};
    }
    return std::nullopt;
}

Json describe(const peer::wire::VersionRecord &record)
{
    Json json{{"version", record.version()},     {"digest", record.digest()},   {"author", record.author()},
              {"change_id", record.change_id()}, {"wall_ms", record.wall_ms()}, {"summary", record.summary()}};
    if (record.has_document()) {
        json["document"] = record.document();
    }
    return json;
}

http::Response describe(const state::ChangeOutcome &outcome)
{
    const bool accepted = outcome.code == state::ChangeCode::Accepted;
    return respond(accepted ? 200 : 409,
                   {{"outcome", accepted ? "done" : "refused"},
                    {"code", state::CHANGE_CODE_NAMES.name(outcome.code)},
                    {"message", outcome.message},
                    {"version", outcome.version},
                    {"digest", outcome.digest},
                    {"author", outcome.author}});
}

} // namespace

OperatorDesk::OperatorDesk(std::string token, const control::PeerBook &peers, entry::LeaderHint &leader,
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
    m_thread = std::thread([this] { run(); });
}

void OperatorDesk::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void OperatorDesk::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    if (!presentsToken(request, m_token)) {
        responder->respond(refused(401, "invalid_token", "the operator's token is missing or wrong"));
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

http::Response OperatorDesk::serve(const http::Request &request)
{
    if (request.method == "GET" && request.path == "/operator/v1/show") {
        return show(request.query);
    }
    if (request.method == "GET" && request.path == "/operator/v1/history") {
        return history();
    }
    if (request.method == "GET" && request.path == "/operator/v1/status") {
        return respond(200, m_status());
    }
    if (request.method == "POST" && request.path == "/operator/v1/drain") {
        m_drain();
        return respond(200, {{"outcome", "done"}, {"message", "the daemon drains"}});
    }
    return change(request);
}

http::Response OperatorDesk::change(const http::Request &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    try {
        const auto command = request.method == "POST" ? readChange(request.path, json) : std::nullopt;
        return command ? propose(*command) : refused(404, "unknown_path", "there is no such operator's call");
    } catch (const Json::exception &error) {
        return refused(400, "malformed_request", error.what());
    }
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
        return respond(504, {{"outcome", "unknown"},
                             {"code", "outcome_unknown"},
                             {"message", "the change may be in force; send it again under the same change id"}});
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
    Json json = describe(reply->records(0));
    json["outcome"] = "done";
    return respond(200, json);
}

http::Response OperatorDesk::history()
{
    const auto reply = readHistory(peer::ALL_VERSIONS);
    if (!reply) {
        return refused(503, "not_confirmed", "no quorum of the voters confirms what is in force");
    }
    Json versions = Json::array();
    for (const auto &it : reply->records()) {
        versions.push_back(describe(it));
    }
    return respond(200, {{"outcome", "done"}, {"versions", std::move(versions)}});
}

} // namespace bamboomoor::daemon
