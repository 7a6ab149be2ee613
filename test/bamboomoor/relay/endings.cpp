/**
 * A property of the request state machine in virtual time: whatever happens to upstreams, peers, the configuration and
 * the caller meanwhile, a request that was accepted ends exactly once, by its deadline.
 */
#include "ignoredeffects.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/relay/core.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bamboomoor;
using relay::AttemptEnd;
using relay::ResponseHead;
using relay::ResponseOwner;

namespace
{

constexpr int OK = 200;
constexpr int MISDIRECTED = 421;
constexpr int SERVER_ERROR = 500;
constexpr int UNAVAILABLE = 503;
constexpr std::int64_t START = 10'000;
constexpr std::int64_t TRAFFIC = 8'000;
constexpr std::int64_t MAX_TIMEOUT = 6'000;
// A request ends at its deadline, as far as this.
constexpr std::int64_t LATENESS = 20;
// The longest pause of a sound upstream.
constexpr std::int64_t SOUND_PAUSE = 1'500;
constexpr std::int64_t CONNECT_TIMEOUT = 400;
constexpr int MAX_ROUNDS = 10'000;

/** @brief What an upstream or a forwarding entry does with an attempt; sound ones answer completely. */
enum class Behaviour {
    Sound,
    Refuses,
    Fails,
    RefusesConnection,
    HangsConnection,
    LosesConnection,
    Truncates,
    StaysSilent,
    AnswersAnother,
    SignsNothing,
    SendsGarbage,
    Misdirects,
    PeerRefuses,
    PeerDies
};

/** @brief What happens beside the requests. */
struct Disturbances {
    bool configuration = false;
    bool upstreams = false;
    bool faults = false;
    bool partition = false;
    bool signals = false;
    bool quarantine = false;
    bool departures = false;
    bool drain = false;
    bool stop = false;
};

struct Caller {
    std::string path;
    base::Millis deadline;
    int ends = 0;
    bool begun = false;
    bool gone = false;
    // An attempt may have been executed.
    bool mayHaveRun = false;
    // The deadly part is in its prompt.
    bool isDeadly = false;
};

struct OpenAttempt {
    std::uint64_t exchange = 0;
    Behaviour behaviour = Behaviour::Sound;
};

std::string eventOf(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/** @brief Plays one entry against simulated upstreams and peers. */
class Play final : public relay::test::IgnoredEffects
{
public:
    Play(Disturbances disturbances, std::uint64_t seed, int requests)
        : m_disturbances(disturbances)
        , m_random(seed)
        , m_core(options(), *this)
    {
        changeConfiguration();
        changeUpstreams();
        for (int n = 0; n < requests; ++n) {
            at(below(TRAFFIC), [this] {
                arrive();
            });
        }
        const auto repeat = [this](bool active, int times, auto happen) {
            for (int n = 0; active && n < times; ++n) {
                at(below(TRAFFIC + MAX_TIMEOUT), happen);
            }
        };
        repeat(m_disturbances.configuration, 20, [this] {
            changeConfiguration();
        });
        repeat(m_disturbances.upstreams, 20, [this] {
            changeUpstreams();
        });
        repeat(m_disturbances.signals, 60, [this] {
            replyAsLeader();
        });
        repeat(m_disturbances.quarantine, 4, [this] {
            quarantine();
        });
        repeat(m_disturbances.partition, 6, [this] {
            m_isCutOff = !m_isCutOff;
        });
        repeat(m_disturbances.partition, 20, [this] {
            changePeers();
        });
        repeat(m_disturbances.drain, 1, [this] {
            m_core.drain();
        });
        repeat(m_disturbances.stop, 1, [this] {
            m_isStopped = true;
            m_core.stop(m_now);
        });
    }

    /** @brief Runs until all deadlines have passed. */
    void run()
    {
        const std::int64_t end = START + TRAFFIC + MAX_TIMEOUT + LATENESS;
        int rounds = 0;
        while (m_now.count < end && rounds < MAX_ROUNDS) {
            while (!m_events.empty() && m_events.begin()->first <= m_now.count) {
                const auto happen = m_events.begin()->second;
                m_events.erase(m_events.begin());
                happen();
            }
            m_core.tick(m_now);
            static_cast<void>(m_core.takeUrgent());
            static_cast<void>(m_core.takeBudgetRequest(m_now));
            const std::int64_t event = m_events.empty() ? end : m_events.begin()->first;
            const std::int64_t next = std::min({event, m_core.nextDeadline(m_now).count, end});
            rounds = next <= m_now.count ? rounds + 1 : 0;
            m_now = base::Millis{std::max(next, m_now.count)};
        }
        expect(rounds < MAX_ROUNDS, "the core asks for ticks without end", 0);
        for (const auto &[id, it] : m_callers) {
            expect(it.gone || it.ends == 1, "a request has no end", id);
        }
        expect(m_core.inProgress() == 0, "the core still holds requests", m_core.inProgress());
        expect(m_open.empty(), "attempts are open", m_open.size());
        for (const standing::Report &it : m_core.takeReports(m_now)) {
            expect(!it.room || it.room->running == 0, "an upstream's room is still taken", 0);
        }
    }

    std::vector<std::string> violations;

    void respond(std::uint64_t exchange, http::Response /*response*/) override
    {
        expect(!m_callers.at(exchange).begun, "a whole response after the head of a stream", exchange);
        end(exchange);
    }

    void sendLocalReply(std::uint64_t exchange, const relay::LocalReply &reply) override
    {
        const Caller &caller = m_callers.at(exchange);
        expect(!caller.begun, "a local reply after the head of a stream", exchange);
        expect(!reply.notRun || !caller.mayHaveRun, "a request that may have run is told as not run", exchange);
        end(exchange);
    }

    void beginStream(std::uint64_t exchange, int /*status*/, http::Headers /*headers*/) override
    {
        expect(!std::exchange(m_callers.at(exchange).begun, true), "a stream begins twice", exchange);
    }

    bool write(std::uint64_t exchange, std::string_view /*bytes*/) override
    {
        Caller &caller = m_callers.at(exchange);
        expect(caller.begun && caller.ends == 0, "an event outside of a stream", exchange);
        caller.gone = caller.gone || (m_disturbances.departures && below(100) == 0);
        return !caller.gone;
    }

    void endStream(std::uint64_t exchange) override
    {
        end(exchange);
    }

    void abortStream(std::uint64_t exchange) override
    {
        expect(m_callers.at(exchange).begun, "a stream that has not begun is aborted", exchange);
        end(exchange);
    }

    void send(const relay::Attempt &attempt, const relay::Request & /*request*/) override
    {
        Caller &caller = m_callers.at(attempt.exchange);
        expect(!caller.gone && caller.ends == 0, "an attempt for a request that has ended", attempt.exchange);
        expect(!caller.mayHaveRun || isRepeatable(caller), "a second run", attempt.exchange);
        expect(m_now + attempt.remaining <= caller.deadline, "an attempt outlasts its deadline", attempt.exchange);
        const Behaviour behaviour = chooseBehaviour(!attempt.via.empty());
        m_open.emplace(attempt.id, OpenAttempt{attempt.exchange, behaviour});
        const bool arrives = behaviour != Behaviour::RefusesConnection && behaviour != Behaviour::HangsConnection
            && behaviour != Behaviour::PeerRefuses && behaviour != Behaviour::Refuses
            && behaviour != Behaviour::Misdirects;
        caller.mayHaveRun = caller.mayHaveRun || arrives;
        play(attempt, behaviour);
    }

    void cancel(std::uint64_t attempt) override
    {
        const auto it = m_open.find(attempt);
        expect(it != m_open.end(), "an attempt that is not open is cancelled", attempt);
        if (it == m_open.end()) {
            return;
        }
        // It may be executed all the same.
        Caller &caller = m_callers.at(it->second.exchange);
        caller.mayHaveRun = true;
        const bool excused = caller.gone || m_now >= caller.deadline || caller.isDeadly || m_isStopped;
        expect(it->second.behaviour != Behaviour::Sound || !caller.begun || excused,
            "a stream is taken from an upstream that pauses", it->second.exchange);
        m_open.erase(it);
    }

private:
    static relay::CoreOptions options()
    {
        relay::CoreOptions out;
        out.retries.permille = 1'000;
        return out;
    }

    static bool isRepeatable(const Caller &caller)
    {
        return caller.path.starts_with("/again/") || caller.path.starts_with("/resume/")
            || caller.path.starts_with("/model/");
    }

    static bool isStream(const Caller &caller)
    {
        return caller.path.starts_with("/stream/") || caller.path.starts_with("/resume/")
            || caller.path.starts_with("/model/");
    }

    void expect(bool holds, const std::string &what, std::uint64_t id)
    {
        if (!holds) {
            violations.push_back(std::to_string(m_now.count) + ' ' + what + ' ' + std::to_string(id));
        }
    }

    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(bound));
    }

    void at(std::int64_t time, std::function<void()> happen)
    {
        m_events.emplace(START + time, std::move(happen));
    }

    void later(std::int64_t delay, std::function<void()> happen)
    {
        m_events.emplace(m_now.count + delay, std::move(happen));
    }

    void end(std::uint64_t exchange)
    {
        Caller &caller = m_callers.at(exchange);
        expect(++caller.ends == 1, "a second end", exchange);
        expect(m_now <= caller.deadline + base::Millis{LATENESS}, "an end after the deadline", exchange);
    }

    void changeConfiguration()
    {
        auto document = std::make_shared<config::Document>();
        document->services.push_back({"plain", 10, {}});
        document->services.push_back({"other", 10, {}});
        document->services.push_back({"engines", 10, config::Engine{}});
        const std::vector<std::pair<std::string, config::Repeat>> routes{{"/once/", config::Repeat::AtMostOnce},
            {"/again/", config::Repeat::Idempotent}, {"/stream/", config::Repeat::Stream},
            {"/resume/", config::Repeat::Stream}, {"/model/", config::Repeat::Stream}};
        for (const auto &[prefix, repeat] : routes) {
            config::Relay route;
            route.name = prefix;
            route.host = "h";
            route.prefix = prefix;
            route.repeat = repeat;
            route.resumable = prefix == "/resume/" || prefix == "/model/";
            route.attempts = 1 + below(3);
            route.timeout = base::Millis{500 + below(MAX_TIMEOUT - 500)};
            route.objective = base::Millis{100 + below(1'000)};
            route.pauseObjective = base::Millis{400};
            route.shares = {{prefix == "/model/" ? "engines" : below(2) == 0 ? "plain" : "other", 1}};
            route.open = below(2) == 0;
            if (m_version == 0 || below(5) > 0) {
                document->relays.push_back(route);
            }
        }
        for (const char *name : {"unlimited", "limited"}) {
            config::Organisation organisation;
            organisation.name = name;
            organisation.unlimited = organisation.name == "unlimited";
            organisation.keys.push_back({"k", base::sha256(organisation.name), false});
            if (m_version == 0 || below(5) > 0) {
                document->organisations.push_back(organisation);
            }
        }
        m_table = std::make_shared<const relay::RouteTable>(++m_version, document);
        m_core.setTable(m_table);
    }

    void changeUpstreams()
    {
        std::vector<relay::Worker> workers;
        for (const char *service : {"plain", "other", "engines"}) {
            for (int n = 0; n < 4; ++n) {
                relay::Worker worker;
                worker.id = service + std::to_string(n);
                worker.address = "10.0.0.1:" + worker.id;
                worker.service = service;
                worker.slots = 4;
                std::uint64_t &incarnation = m_incarnations[worker.id];
                incarnation += incarnation == 0 || below(5) == 0 ? 1 : 0;
                worker.incarnation = incarnation;
                worker.sequence = ++m_sequence;
                if (worker.service == "engines" && below(4) > 0) {
                    worker.holdings = {"m"};
                }
                if (!m_disturbances.upstreams || below(4) > 0) {
                    workers.push_back(worker);
                }
            }
        }
        m_core.setWorkers(std::move(workers));
    }

    void changePeers()
    {
        std::vector<std::string> peers;
        for (std::int64_t n = below(4); n > 0; --n) {
            peers.push_back("10.0.2.1:" + std::to_string(n));
        }
        m_core.setPeers(m_now, std::move(peers), below(3) == 0 ? 2 : 1);
    }

    void replyAsLeader()
    {
        const std::vector<standing::Report> reports = m_core.takeReports(m_now);
        std::vector<standing::LeaderReport> replies;
        for (const standing::Report &it : reports) {
            standing::LeaderReport reply;
            reply.run = it.run;
            reply.limit = it.limit;
            reply.limitReceivedAt = it.limitReceivedAt;
            reply.permits = below(3);
            reply.requestedAt = m_now;
            if (it.room) {
                reply.room = standing::RoomGrant{
                    it.room->brittle, it.room->receivedAt, below(4), static_cast<std::uint64_t>(++m_sequence), 6, 3};
            }
            replies.push_back(reply);
        }
        m_core.onLeaderReports(m_now, replies);
        std::vector<relay::PlacedHolding> placed;
        if (below(2) == 0) {
            placed.push_back({"engines" + std::to_string(below(4)), "m", base::Millis{below(500)}});
        }
        m_core.setPlacements(m_now, placed);
    }

    void quarantine()
    {
        quarantine::LeaderReply reply;
        reply.term = 1;
        if (below(2) == 0) {
            reply.quarantines.push_back({"deadly", m_now + base::Millis{1'000}});
        }
        m_core.onQuarantineReply(m_now, reply);
    }

    void arrive()
    {
        static const std::vector<std::string> prefixes{
            "/once/", "/again/", "/stream/", "/resume/", "/model/", "/none/"};
        if (m_isStopped) {
            return;
        }
        const std::uint64_t id = ++m_lastExchange;
        Caller caller;
        caller.path = prefixes[static_cast<std::size_t>(below(static_cast<std::int64_t>(prefixes.size())))] + "x";
        caller.isDeadly = m_disturbances.quarantine && below(4) == 0;
        relay::Request request;
        request.id = "r" + std::to_string(id);
        request.host = "h";
        request.path = caller.path;
        request.parts = {{caller.isDeadly ? "deadly" : "shared", 100}, {"own" + std::to_string(id), 10}};
        request.key = below(4) == 0 ? "limited" : "unlimited";
        if (below(2) == 0) {
            request.timeout = base::Millis{200 + below(MAX_TIMEOUT - 200)};
        }
        if (caller.path.starts_with("/model/")) {
            request.model = "m";
            request.promptTokens = below(3'000);
        }
        const config::Relay *route = m_table->find("h", caller.path);
        caller.deadline = m_now
            + (route == nullptr ? base::Millis{} : std::min(route->timeout, request.timeout.value_or(route->timeout)));
        m_callers.emplace(id, caller);
        if (m_disturbances.departures && below(5) == 0) {
            later(below(2'000), [this, id] {
                leave(id);
            });
        }
        m_core.onRequest(m_now, id, std::move(request));
    }

    void leave(std::uint64_t exchange)
    {
        Caller &caller = m_callers.at(exchange);
        if (caller.ends == 0 && !caller.gone) {
            caller.gone = true;
            m_core.onCallerDisconnected(m_now, exchange);
        }
    }

    Behaviour chooseBehaviour(bool isForwarded)
    {
        if (m_isCutOff && !isForwarded) {
            return Behaviour::HangsConnection;
        }
        if (!m_disturbances.faults || below(2) == 0) {
            return m_disturbances.signals && below(4) == 0 ? Behaviour::Refuses : Behaviour::Sound;
        }
        const int last = static_cast<int>(isForwarded ? Behaviour::PeerDies : Behaviour::Misdirects);
        return static_cast<Behaviour>(below(last + 1));
    }

    /** @brief Schedules an action on an attempt unless it has ended by then. */
    void onOpen(std::int64_t delay, std::uint64_t attempt, std::function<void()> happen)
    {
        later(delay, [this, attempt, happen = std::move(happen)] {
            if (m_open.contains(attempt)) {
                happen();
            }
        });
    }

    void finish(std::int64_t delay, std::uint64_t attempt, AttemptEnd ending)
    {
        onOpen(delay, attempt, [this, attempt, ending] {
            m_open.erase(attempt);
            m_core.onAttemptEnded(m_now, attempt, ending);
        });
    }

    void head(std::int64_t delay, std::uint64_t attempt, int status, ResponseOwner owner = ResponseOwner::Same,
        bool isSigned = true)
    {
        ResponseHead out;
        out.status = status;
        out.owner = owner;
        out.isSigned = isSigned;
        out.isEventStream = status == OK;
        out.notRun = status == UNAVAILABLE;
        out.misdirected = status == MISDIRECTED;
        if (m_disturbances.signals) {
            out.signal.brittle = below(2) == 0 ? std::optional(below(4)) : std::nullopt;
            out.signal.limit = below(8) == 0 ? std::optional(below(3'000)) : std::nullopt;
            out.signal.leaving = below(50) == 0;
            out.signal.closedFor = below(20) == 0 ? std::optional(base::Millis{below(2'000)}) : std::nullopt;
        }
        onOpen(delay, attempt, [this, attempt, out] {
            m_core.onResponseHead(m_now, attempt, out);
        });
    }

    void play(const relay::Attempt &attempt, Behaviour behaviour)
    {
        const std::uint64_t id = attempt.id;
        const std::int64_t delay = 1 + below(100);
        AttemptEnd ending;
        ending.reason = "test";
        switch (behaviour) {
        case Behaviour::Sound:
        case Behaviour::Truncates:
            answer(attempt, behaviour == Behaviour::Truncates);
            return;
        case Behaviour::Refuses:
        case Behaviour::Fails:
        case Behaviour::Misdirects:
            head(delay, id,
                behaviour == Behaviour::Refuses     ? UNAVAILABLE
                    : behaviour == Behaviour::Fails ? SERVER_ERROR
                                                    : MISDIRECTED);
            ending.complete = true;
            finish(delay + 1, id, ending);
            return;
        case Behaviour::RefusesConnection:
        case Behaviour::HangsConnection:
            ending.bytesSent = false;
            ending.connectTimedOut = behaviour == Behaviour::HangsConnection;
            finish(ending.connectTimedOut ? CONNECT_TIMEOUT : 1, id, ending);
            return;
        case Behaviour::LosesConnection:
            ending.lostConnection = true;
            finish(delay, id, ending);
            return;
        case Behaviour::StaysSilent:
            return;
        case Behaviour::AnswersAnother:
            head(delay, id, OK, ResponseOwner::Other);
            return;
        case Behaviour::SignsNothing:
            head(delay, id, OK, ResponseOwner::Same, false);
            return;
        case Behaviour::SendsGarbage:
            ending.malformed = true;
            finish(delay, id, ending);
            return;
        case Behaviour::PeerRefuses:
        case Behaviour::PeerDies:
            ending.peerFailed = true;
            ending.bytesSent = behaviour == Behaviour::PeerDies;
            finish(delay, id, ending);
            return;
        }
    }

    /** @brief Answers with up to ten events, and one pause at any point. */
    void answer(const relay::Attempt &attempt, bool truncates)
    {
        const std::uint64_t id = attempt.id;
        const bool streams = isStream(m_callers.at(attempt.exchange));
        const std::int64_t events = streams ? 1 + below(10) : 1;
        const std::int64_t pauseBefore = below(2) == 0 ? below(events + 2) : -1;
        const int first = std::atoi(attempt.lastEventId.c_str()) + 1;
        std::int64_t time = pauseBefore == 0 ? SOUND_PAUSE : 1 + below(100);
        head(time, id, OK);
        for (std::int64_t n = 1; n <= events; ++n) {
            time += pauseBefore == n ? SOUND_PAUSE - 100 : 1 + below(50);
            onOpen(time, id, [this, id, text = eventOf(first + static_cast<int>(n))] {
                m_core.onResponseData(m_now, id, text);
            });
        }
        AttemptEnd ending;
        ending.complete = !truncates;
        ending.truncated = truncates;
        ending.reason = "test";
        finish(time + (pauseBefore == events + 1 ? SOUND_PAUSE : 1), id, ending);
    }

    const Disturbances m_disturbances;
    std::mt19937_64 m_random;
    relay::Core m_core;
    base::Millis m_now{START};
    std::multimap<std::int64_t, std::function<void()>> m_events;
    std::shared_ptr<const relay::RouteTable> m_table;
    std::uint64_t m_version = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastExchange = 0;
    bool m_isCutOff = false;
    bool m_isStopped = false;
    std::map<std::string, std::uint64_t> m_incarnations;
    std::map<std::uint64_t, Caller> m_callers;
    std::map<std::uint64_t, OpenAttempt> m_open;
};

} // namespace

BOOST_AUTO_TEST_SUITE(relay_endings)

BOOST_AUTO_TEST_CASE(every_accepted_request_ends_exactly_once_by_its_deadline)
{
    BOOST_TEST(rc::check([] {
        Disturbances disturbances;
        disturbances.configuration = *rc::gen::arbitrary<bool>();
        disturbances.upstreams = *rc::gen::arbitrary<bool>();
        disturbances.faults = *rc::gen::arbitrary<bool>();
        disturbances.partition = *rc::gen::arbitrary<bool>();
        disturbances.signals = *rc::gen::arbitrary<bool>();
        disturbances.quarantine = *rc::gen::arbitrary<bool>();
        disturbances.departures = *rc::gen::arbitrary<bool>();
        disturbances.drain = *rc::gen::arbitrary<bool>();
        disturbances.stop = *rc::gen::inRange(0, 4) == 0;
        const int requests = *rc::gen::inRange(1, 400);
        Play play(disturbances, *rc::gen::arbitrary<std::uint64_t>(), requests);
        play.run();
        for (const std::string &it : play.violations) {
            RC_LOG(it + '\n');
        }
        RC_ASSERT(play.violations.empty());
    }));
}

BOOST_AUTO_TEST_SUITE_END()
