/**
 * Port, control paths, announcements and faults of every stand-in.
 */
#include "fakes/upstream.hpp"

#include "bamboomoor/http/fetch.hpp"

#include <utility>

namespace bamboomoor::fakes
{

namespace
{

// An announcement that takes longer is given up, in milliseconds.
constexpr base::Millis ANNOUNCE_TIMEOUT{2'000};

http::ServerOptions serverOptions()
{
    http::ServerOptions options;
    options.threads = 1;
    options.maxConnections = 4'000;
    return options;
}

bool carriesKey(const http::Request &request)
{
    const auto mentions = [](const std::string &text) {
        const std::string low = http::lowered(text);
        return low.find("bearer") != std::string::npos || low.find("secret") != std::string::npos;
    };
    for (const http::Header &it : request.headers) {
        if (mentions(it.value) || mentions(it.name) || http::equalsIgnoringCase(it.name, "authorization")) {
            return true;
        }
    }
    return mentions(request.query);
}

} // namespace

Upstream::Upstream(Surroundings &surroundings, unsigned index)
    : m_surroundings(surroundings)
    , m_index(index)
    , m_id(surroundings.options.idPrefix + "-" + std::to_string(index))
    , m_server(*this, serverOptions())
    , m_incarnation(base::wallClock().count)
{
}

base::Result<std::string, http::ServerError> Upstream::start()
{
    const FleetOptions &options = m_surroundings.options;
    const unsigned port = options.basePort == 0 ? 0 : options.basePort + m_index;
    auto started = m_server.start(options.bindAddress + ":" + std::to_string(port));
    if (started.has_value()) {
        m_address = started.value();
        // Spread over the interval, so that announcements do not come in bursts.
        const base::Millis offset{static_cast<std::int64_t>(m_index) * 37 % options.announceInterval.count};
        m_surroundings.timer.after(offset, [self = weak_from_this()] {
            if (const auto held = self.lock()) {
                held->announceAndPlan();
            }
        });
    }
    return started;
}

void Upstream::announceAndPlan()
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopped) {
            return;
        }
    }
    announce();
    m_surroundings.timer.after(m_surroundings.options.announceInterval, [self = weak_from_this()] {
        if (const auto held = self.lock()) {
            held->announceAndPlan();
        }
    });
}

nlohmann::json Upstream::announcement()
{
    nlohmann::json document;
    describe(document);
    const absl::MutexLock lock(&m_mutex);
    const auto &centres = m_surroundings.options.dataCentres;
    document["id"] = m_id;
    document["incarnation"] = m_incarnation;
    document["sequence"] = ++m_sequence;
    document["address"] = m_address;
    document["data_centre"] = centres[m_index % centres.size()];
    document["leaving"] = m_leaving;
    return document;
}

void Upstream::announce()
{
    const auto &entries = m_surroundings.options.entries;
    if (entries.empty() || takeFault(&Faults::mute)) {
        return;
    }
    const nlohmann::json document = announcement();
    const auto turn = static_cast<std::size_t>(document["sequence"].get<std::int64_t>()) + m_index;
    http::Call call;
    call.method = "POST";
    call.url = "http://" + entries[turn % entries.size()] + "/upstream/v1/announce";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = document.dump();
    call.totalTimeout = ANNOUNCE_TIMEOUT;
    call.freshConnection = false;
    http::fetchThen(m_surroundings.client, std::move(call), [](const http::Fetched &) {});
}

void Upstream::leave()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_leaving = true;
    }
    announce();
}

bool Upstream::stop(base::Millis limit)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopped = true;
    }
    return m_server.stop(limit);
}

void Upstream::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    if (control(request, responder)) {
        return;
    }
    noteKeys(request);
    FaultKind fault = FaultKind::None;
    base::Millis delay;
    http::Headers refusal;
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_requests;
        fault = request.path == "/order" ? FaultKind::None : m_faults.takeNext();
        m_faulted += fault == FaultKind::None ? 0 : 1;
        delay = m_faults.delay;
        refusal = request.path == "/order" ? http::Headers() : m_refusal;
    }
    if (!refusal.empty()) {
        refusal.push_back({"X-Request-Id", std::string(request.header("X-Request-Id"))});
        responder->respond({503, std::move(refusal), R"({"error":{"not_run":true}})"});
        return;
    }
    if (fault == FaultKind::ResetBefore) {
        responder->abort();
    } else if (fault == FaultKind::Silent) {
        keepSilent(responder);
    } else if (delay.count == 0) {
        serve(request, responder, fault);
    } else {
        m_surroundings.timer.after(delay, [self = shared_from_this(), request = std::move(request), responder, fault] {
            self->serve(request, responder, fault);
        });
    }
}

bool Upstream::control(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    if (request.path == "/fake/stats") {
        answer(responder, 200, stats());
    } else if (request.path == "/fake/runs") {
        answer(responder, 200, runs());
    } else if (request.path == "/fake/faults") {
        const auto document = nlohmann::json::parse(request.body, nullptr, false);
        if (!document.is_object()) {
            answer(responder, 400, {{"error", "not a JSON object"}});
            return true;
        }
        change(document);
        answer(responder, 200, {{"outcome", "done"}});
    } else {
        return false;
    }
    return true;
}

void Upstream::change(const nlohmann::json &document)
{
    if (document.value("restart", false)) {
        restart();
    }
    bool leaving = false;
    {
        const absl::MutexLock lock(&m_mutex);
        m_faults.read(document);
        if (document.value("restart", false)) {
            ++m_incarnation;
            m_sequence = 0;
        }
        leaving = document.value("leaving", false);
        if (document.contains("refuse_with")) {
            m_refusal.clear();
            for (const auto &[name, value] : document["refuse_with"].items()) {
                m_refusal.push_back({name, value.get<std::string>()});
            }
        }
    }
    if (leaving) {
        leave();
    }
}

void Upstream::noteKeys(const http::Request &request)
{
    if (carriesKey(request)) {
        const absl::MutexLock lock(&m_mutex);
        ++m_keysSeen;
    }
}

nlohmann::json Upstream::stats() const
{
    nlohmann::json document;
    report(document);
    const absl::MutexLock lock(&m_mutex);
    document["id"] = m_id;
    document["address"] = m_address;
    document["incarnation"] = m_incarnation;
    document["requests"] = m_requests;
    document["keys_seen"] = m_keysSeen;
    document["faulted"] = m_faulted;
    return document;
}

bool Upstream::takeFault(std::int64_t Faults::*which)
{
    const absl::MutexLock lock(&m_mutex);
    return Faults::take(m_faults.*which);
}

void Upstream::answer(const std::shared_ptr<http::Responder> &responder, int status, const nlohmann::json &document)
{
    const auto text = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    responder->respond({status, {{"Content-Type", "application/json"}}, text});
}

void Upstream::answerWithFault(
    const std::shared_ptr<http::Responder> &responder, const std::string &body, FaultKind fault)
{
    const http::Headers headers{{"Content-Type", "application/json"}};
    if (fault == FaultKind::None) {
        responder->respond({200, headers, body});
        return;
    }
    if (fault == FaultKind::Garbage) {
        responder->respond({200, headers, std::string("\xff\x00{garbage", 10)});
        return;
    }
    responder->begin(200, headers);
    responder->write(body.substr(0, body.size() / 2));
    if (fault == FaultKind::Truncate) {
        responder->end();
    } else if (fault == FaultKind::SilentDuring) {
        keepSilent(responder);
    } else {
        // Later, so that the first half reaches the caller.
        m_surroundings.timer.after({20}, [responder] {
            responder->abort();
        });
    }
}

void Upstream::keepSilent(const std::shared_ptr<http::Responder> &responder)
{
    // The callback holds the responder until the caller disconnects or the server stops.
    responder->onGone([responder] {
        responder->abort();
    });
}

} // namespace bamboomoor::fakes
