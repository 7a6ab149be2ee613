/**
 * Simulations of sound upstreams that fall silent for a second or so and go on, beside changes of the configuration:
 * what callers get, and what the entries make of it.
 */
#include "ignoredeffects.hpp"

#include "bamboomoor/relay/core.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr int OK = 200;
constexpr int UNAVAILABLE = 503;
constexpr std::int64_t START = 10'000;
constexpr std::int64_t PAUSES_FROM = START + 4'000;
constexpr std::int64_t PAUSE_INTERVAL = 6'000;
constexpr std::int64_t PAUSES = 3;
constexpr std::int64_t END = PAUSES_FROM + PAUSES * PAUSE_INTERVAL;
// Requests that arrived by then are waited for.
constexpr std::int64_t DONE = END + 6'000;
constexpr std::int64_t TICK = 10;
constexpr std::int64_t RUN_TIME = 300;
constexpr std::int64_t EVENT_INTERVAL = 100;
constexpr std::int64_t EVENTS = 15;
constexpr std::int64_t CONNECT_TIMEOUT = 400;
constexpr std::int64_t OBJECTIVE = 3'000;
constexpr std::int64_t CHANGE_BEFORE_PAUSE = 600;

/** @brief A fleet, its load, and how its upstreams pause. */
struct Scenario {
    std::size_t entries = 4;
    std::size_t upstreams = 4;
    bool isEngine = false;
    std::int64_t slots = 16;
    // Has room for what arrives during a pause.
    std::int64_t queue = 48;
    double load = 0.3;
    std::int64_t pause = 1'300;
    // The share of the upstreams that pause, in percent.
    std::size_t share = 100;
    // A paused upstream accepts no connections; else the kernel does, and the upstream reads them later.
    bool hangs = false;
    // The entries know each other, so that one which takes a pause for a partition forwards.
    bool hasPeers = false;
    // The configuration changes shortly before each pause.
    bool changes = true;
};

/** @brief The kinds of routes. */
enum class Kind { Once, Again, Stream, Resumable };

constexpr std::array KINDS{Kind::Once, Kind::Again, Kind::Stream, Kind::Resumable};

const char *prefixOf(Kind kind)
{
    switch (kind) {
    case Kind::Once:
        return "/once/";
    case Kind::Again:
        return "/again/";
    case Kind::Stream:
        return "/stream/";
    case Kind::Resumable:
        return "/resume/";
    }
    return "";
}

bool isStream(Kind kind)
{
    return kind == Kind::Stream || kind == Kind::Resumable;
}

/** @brief Simulates entries and upstreams that pause in virtual time. */
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : m_scenario(scenario)
        , m_upstreams(scenario.upstreams)
    {
        std::vector<relay::Worker> workers;
        for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
            relay::Worker worker;
            worker.id = "w" + std::to_string(n);
            worker.address = "10.0.0.1:" + std::to_string(n + 1);
            worker.service = "svc";
            worker.incarnation = 1;
            worker.slots = scenario.slots;
            if (scenario.isEngine) {
                worker.holdings = {"m"};
            }
            workers.push_back(worker);
        }
        for (std::size_t n = 0; n < scenario.entries; ++n) {
            m_entries.push_back(std::make_unique<Entry>(*this, n));
            relay::CoreOptions options;
            options.fleet.seed = n + 1;
            m_cores.push_back(std::make_unique<relay::Core>(options, *m_entries.back()));
            m_cores.back()->setTable(makeTable());
            m_cores.back()->setWorkers(workers);
            std::vector<std::string> peers;
            for (std::size_t peer = 0; scenario.hasPeers && peer < scenario.entries; ++peer) {
                if (peer != n) {
                    peers.push_back(std::to_string(peer));
                }
            }
            m_cores.back()->setPeers({START}, std::move(peers), 1);
        }
    }

    void run()
    {
        const double capacity = static_cast<double>(m_scenario.slots) * static_cast<double>(m_scenario.upstreams);
        std::exponential_distribution<double> interval(capacity * m_scenario.load / 900);
        auto next = static_cast<double>(START);
        for (; m_now < DONE; m_now += TICK) {
            while (next <= static_cast<double>(m_now) && m_now < END) {
                arrive();
                next += interval(m_random);
            }
            if (m_scenario.changes && (m_now - PAUSES_FROM + CHANGE_BEFORE_PAUSE) % PAUSE_INTERVAL == 0) {
                for (const auto &it : m_cores) {
                    it->setTable(makeTable());
                }
            }
            for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
                advance(n);
            }
            deliverEvents();
            for (const auto &it : m_cores) {
                it->tick({m_now});
                static_cast<void>(it->takeReports({m_now}));
            }
        }
        for (const auto &[id, caller] : m_callers) {
            unended += caller.ends == 1 ? 0 : 1;
            doubled += caller.kind != Kind::Again && caller.kind != Kind::Resumable && caller.runs > 1 ? 1 : 0;
        }
    }

    std::int64_t offered = 0;
    std::int64_t served = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t aborted = 0;
    std::int64_t unended = 0;
    std::int64_t doubled = 0;
    // Answers that took longer than the objective and their own length.
    std::int64_t late = 0;
    // Arrivals at upstreams, and those beyond the first of each request.
    std::int64_t arrivals = 0;
    std::int64_t repeats = 0;
    std::int64_t rejections = 0;
    std::int64_t quarantines = 0;
    std::int64_t partitions = 0;
    std::map<std::string, int> reasons;

private:
    struct Caller {
        Kind kind = Kind::Once;
        std::int64_t arrivedAt = 0;
        int ends = 0;
        int arrivals = 0;
        int runs = 0;
    };
    struct Job {
        std::size_t entry = 0;
        std::uint64_t attempt = 0;
        std::uint64_t exchange = 0;
        // Left to do; of a stream until its next event.
        std::int64_t left = 0;
        std::int64_t events = 0;
        bool begun = false;
    };
    struct Upstream {
        // Sent while it paused, not read yet.
        std::deque<Job> unread;
        std::vector<Job> running;
        std::deque<Job> queue;
        // Entries with a connection in their pools.
        std::set<std::size_t> pooled;
    };
    struct Event {
        std::int64_t at = 0;
        std::size_t entry = 0;
        std::uint64_t attempt = 0;
        // The forwarding entry refused.
        bool peerFailed = false;

        friend bool operator>(const Event &lhs, const Event &rhs)
        {
            return std::tie(lhs.at, lhs.entry, lhs.attempt) > std::tie(rhs.at, rhs.entry, rhs.attempt);
        }
    };

    /** @brief Executes the effects of one entry's core. */
    class Entry final : public relay::test::IgnoredEffects
    {
    public:
        Entry(Simulation &simulation, std::size_t index)
            : m_simulation(simulation)
            , m_index(index)
        {
        }
        void respond(std::uint64_t exchange, http::Response response) override
        {
            m_simulation.end(exchange, response.status == OK ? m_simulation.served : m_simulation.failed);
        }
        void sendLocalReply(std::uint64_t exchange, const relay::LocalReply &reply) override
        {
            ++m_simulation.reasons[std::string(relay::REASON_NAMES.name(reply.reason))];
            m_simulation.end(exchange, reply.notRun ? m_simulation.refused : m_simulation.failed);
        }
        void endStream(std::uint64_t exchange) override
        {
            m_simulation.end(exchange, m_simulation.served);
        }
        void abortStream(std::uint64_t exchange) override
        {
            m_simulation.end(exchange, m_simulation.aborted);
        }
        void send(const relay::Attempt &attempt, const relay::Request & /*request*/) override
        {
            m_simulation.receive(m_index, attempt);
        }
        void cancel(std::uint64_t attempt) override
        {
            m_simulation.m_cancelled.insert({m_index, attempt});
        }
        void logQuarantine(const quarantine::Finding & /*finding*/, bool /*byLeader*/) override
        {
            ++m_simulation.quarantines;
        }
        void logReach(const relay::ReachChange &change) override
        {
            m_simulation.partitions += change.cutOff ? 1 : 0;
        }

    private:
        Simulation &m_simulation;
        const std::size_t m_index;
    };

    // Each version has another route, timeout and objective that leave the requests enough.
    std::shared_ptr<const relay::RouteTable> makeTable()
    {
        ++m_version;
        auto document = std::make_shared<config::Document>();
        config::Service service{"svc", 10, {}};
        if (m_scenario.isEngine) {
            service.engine = config::Engine{};
        }
        document->services.push_back(service);
        for (const Kind kind : KINDS) {
            config::Relay route;
            route.name = prefixOf(kind);
            route.host = "h";
            route.prefix = prefixOf(kind);
            route.repeat = isStream(kind) ? config::Repeat::Stream
                : kind == Kind::Once      ? config::Repeat::AtMostOnce
                                          : config::Repeat::Idempotent;
            route.resumable = kind == Kind::Resumable;
            route.attempts = 2;
            route.timeout = base::Millis{9'000 - 500 * static_cast<std::int64_t>(m_version % 2)};
            route.objective = {OBJECTIVE};
            route.pauseObjective = {600};
            route.shares = {{"svc", 1}};
            route.open = true;
            document->relays.push_back(route);
        }
        if (m_version % 2 == 0) {
            config::Relay added = document->relays.front();
            added.name = "added";
            added.prefix = "/added/";
            document->relays.push_back(added);
        }
        return std::make_shared<const relay::RouteTable>(m_version, document);
    }

    [[nodiscard]] bool isPaused(std::size_t upstream) const
    {
        const std::int64_t since = m_now - PAUSES_FROM;
        return since >= 0 && m_now < END && since % PAUSE_INTERVAL < m_scenario.pause
            && upstream * 100 < m_scenario.share * m_upstreams.size();
    }

    void arrive()
    {
        ++offered;
        const std::uint64_t id = ++m_lastRequest;
        const Kind kind = KINDS[m_random() % KINDS.size()];
        m_callers[id] = {kind, m_now, 0, 0, 0};
        relay::Request request;
        request.id = std::to_string(id);
        request.host = "h";
        request.path = prefixOf(kind);
        if (m_scenario.isEngine) {
            request.model = "m";
            request.promptTokens = 100;
            request.parts = {{"shared", 50}, {request.id, 50}};
        }
        m_cores[m_random() % m_cores.size()]->onRequest({m_now}, id, std::move(request));
    }

    void end(std::uint64_t exchange, std::int64_t &count)
    {
        Caller &caller = m_callers.at(exchange);
        ++caller.ends;
        ++count;
        const std::int64_t length = isStream(caller.kind) ? EVENTS * EVENT_INTERVAL : RUN_TIME;
        late += m_now - caller.arrivedAt > length + OBJECTIVE ? 1 : 0;
    }

    void receive(std::size_t entry, const relay::Attempt &attempt)
    {
        const std::size_t index = std::stoul(attempt.upstream.substr(1));
        Upstream &upstream = m_upstreams[index];
        const std::size_t sender = attempt.via.empty() ? entry : std::stoul(attempt.via);
        if (sender != entry && m_cores[sender]->reach().isCutOff()) {
            m_failures.push({m_now + TICK, entry, attempt.id, true});
            return;
        }
        const bool connects = attempt.freshConnection || !upstream.pooled.contains(sender);
        if (isPaused(index) && connects && m_scenario.hangs) {
            m_failures.push({m_now + CONNECT_TIMEOUT, entry, attempt.id, false});
            return;
        }
        upstream.pooled.insert(sender);
        Caller &caller = m_callers.at(attempt.exchange);
        ++arrivals;
        repeats += ++caller.arrivals > 1 ? 1 : 0;
        const std::int64_t first = attempt.lastEventId.empty() ? 0 : std::stoll(attempt.lastEventId);
        const std::int64_t left = isStream(caller.kind) ? EVENT_INTERVAL : RUN_TIME;
        upstream.unread.push_back({entry, attempt.id, attempt.exchange, left, first, false});
    }

    void advance(std::size_t index)
    {
        if (isPaused(index)) {
            return;
        }
        Upstream &upstream = m_upstreams[index];
        for (; !upstream.unread.empty(); upstream.unread.pop_front()) {
            const Job job = upstream.unread.front();
            if (static_cast<std::int64_t>(upstream.running.size()) < m_scenario.slots) {
                start(upstream, job);
            } else if (static_cast<std::int64_t>(upstream.queue.size()) < m_scenario.queue) {
                upstream.queue.push_back(job);
            } else {
                reject(job);
            }
        }
        std::vector<Job> running = std::exchange(upstream.running, {});
        for (Job &it : running) {
            if (!m_cancelled.contains({it.entry, it.attempt}) && proceed(it)) {
                upstream.running.push_back(it);
            }
        }
        while (!upstream.queue.empty() && static_cast<std::int64_t>(upstream.running.size()) < m_scenario.slots) {
            if (!m_cancelled.contains({upstream.queue.front().entry, upstream.queue.front().attempt})) {
                start(upstream, upstream.queue.front());
            }
            upstream.queue.pop_front();
        }
    }

    // An upstream that reads a request does not see yet that its caller has left.
    void start(Upstream &upstream, const Job &job)
    {
        ++m_callers.at(job.exchange).runs;
        upstream.running.push_back(job);
    }

    // Returns whether the job goes on.
    bool proceed(Job &job)
    {
        relay::Core &core = *m_cores[job.entry];
        job.left -= TICK;
        if (job.left > 0) {
            return true;
        }
        const bool streams = isStream(m_callers.at(job.exchange).kind);
        if (!std::exchange(job.begun, true)) {
            core.onResponseHead({m_now}, job.attempt, headOf(OK));
        }
        if (streams) {
            const std::string id = std::to_string(++job.events);
            core.onResponseData({m_now}, job.attempt, "id: " + id + "\ndata: " + id + "\n\n");
            job.left = EVENT_INTERVAL;
        }
        if (streams && job.events < EVENTS) {
            return true;
        }
        core.onAttemptEnded({m_now}, job.attempt, {true, true, false, "complete"});
        return false;
    }

    void reject(const Job &job)
    {
        ++rejections;
        relay::ResponseHead head = headOf(UNAVAILABLE);
        head.notRun = true;
        m_cores[job.entry]->onResponseHead({m_now}, job.attempt, head);
        m_cores[job.entry]->onAttemptEnded({m_now}, job.attempt, {true, true, false, "complete"});
    }

    static relay::ResponseHead headOf(int status)
    {
        relay::ResponseHead head;
        head.status = status;
        head.owner = relay::ResponseOwner::Same;
        head.isSigned = true;
        return head;
    }

    void deliverEvents()
    {
        while (!m_failures.empty() && m_failures.top().at <= m_now) {
            const Event event = m_failures.top();
            m_failures.pop();
            relay::AttemptEnd end;
            end.bytesSent = false;
            end.peerFailed = event.peerFailed;
            end.connectTimedOut = !event.peerFailed;
            end.reason = event.peerFailed ? "peer_refused" : "connect_timeout";
            m_cores[event.entry]->onAttemptEnded({m_now}, event.attempt, end);
        }
    }

    const Scenario m_scenario;
    std::mt19937_64 m_random{42};
    std::int64_t m_now = START;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastRequest = 0;
    std::vector<Upstream> m_upstreams;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_failures;
    std::set<std::pair<std::size_t, std::uint64_t>> m_cancelled;
    std::map<std::uint64_t, Caller> m_callers;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<relay::Core>> m_cores;
};

std::string nameOf(const Scenario &scenario)
{
    return std::to_string(scenario.upstreams) + (scenario.isEngine ? " engines, " : " plain upstreams, ")
        + std::to_string(scenario.share) + "% pause for " + std::to_string(scenario.pause) + " ms, load "
        + std::to_string(scenario.load) + (scenario.hangs ? ", connections hang" : "")
        + (scenario.hasPeers ? ", peers" : "") + (scenario.changes ? ", configuration changes" : "");
}

std::vector<Scenario> scenarios(bool hangs, bool hasPeers)
{
    std::vector<Scenario> all;
    for (const bool isEngine : {false, true}) {
        for (const std::size_t upstreams : {1, 4}) {
            for (const std::size_t share : {60, 100}) {
                for (const std::int64_t pause : {1'000, 1'300}) {
                    for (const double load : {0.3, 0.5}) {
                        Scenario scenario;
                        scenario.isEngine = isEngine;
                        scenario.upstreams = upstreams;
                        scenario.share = share;
                        scenario.pause = pause;
                        scenario.load = load;
                        scenario.hangs = hangs;
                        scenario.hasPeers = hasPeers;
                        all.push_back(scenario);
                    }
                }
            }
        }
    }
    return all;
}

void check(const Scenario &scenario)
{
    Simulation simulation(scenario);
    simulation.run();
    std::string reasons;
    for (const auto &[reason, count] : simulation.reasons) {
        reasons += " " + reason + "=" + std::to_string(count);
    }
    BOOST_TEST_MESSAGE(nameOf(scenario) << ": " << simulation.offered << " offered, " << simulation.served
                                        << " served, " << simulation.refused << " refused, " << simulation.failed
                                        << " failed, " << simulation.aborted << " aborted, " << simulation.late
                                        << " late, " << simulation.repeats << " repeats, " << simulation.rejections
                                        << " rejections, " << simulation.partitions << " partitions;" << reasons);
    BOOST_TEST_CONTEXT(nameOf(scenario))
    {
        BOOST_TEST(simulation.unended == 0);
        BOOST_TEST(simulation.doubled == 0);
        BOOST_TEST(simulation.refused == 0);
        BOOST_TEST(simulation.failed == 0);
        BOOST_TEST(simulation.aborted == 0);
        BOOST_TEST(simulation.late == 0);
        BOOST_TEST(simulation.repeats * 5 <= simulation.offered);
        BOOST_TEST(simulation.quarantines == 0);
        // Upstreams that all answer no connection attempt cannot be told from a partition.
        BOOST_TEST((scenario.hangs || simulation.partitions == 0));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(pauses)

BOOST_AUTO_TEST_CASE(callers_are_served_by_sound_upstreams_that_pause_beside_changes_of_the_configuration)
{
    for (const Scenario &it : scenarios(false, false)) {
        check(it);
    }
}

BOOST_AUTO_TEST_CASE(callers_are_served_by_sound_upstreams_that_answer_no_connection_attempt_while_they_pause)
{
    for (const Scenario &it : scenarios(true, false)) {
        check(it);
    }
}

BOOST_AUTO_TEST_CASE(callers_are_served_by_entries_that_take_a_pause_of_all_upstreams_for_a_partition)
{
    for (const Scenario &it : scenarios(true, true)) {
        check(it);
    }
}

BOOST_AUTO_TEST_SUITE_END()
