/**
 * Simulations of engines of different speed and prompts of different length with several entries that do not see each
 * other's requests. They compare what callers get with the default settings and with settings tuned for the engine.
 */
#include "ignoredeffects.hpp"
#include "outcome.hpp"

#include "bamboomoor/relay/core.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace bamboomoor;
using relay::test::Outcome;

namespace
{

constexpr int ENTRIES = 7;
constexpr std::int64_t START = 10'000;
constexpr std::int64_t LENGTH = 120'000;
constexpr std::int64_t TICK = 5;
constexpr std::int64_t STEP = 10;
constexpr std::int64_t CHUNK = 4'096;
constexpr std::int64_t PAUSE_OBJECTIVE = 400;

/** @brief An engine's rate, the length of its prompts, and the load relative to its rate. */
struct Load {
    std::string name;
    double readPerMilli = 19.2;
    std::int64_t shortest = 600;
    std::int64_t longest = 3'400;
    std::int64_t objective = 1'200;
    double share = 0.6;
};

/** @brief Simulates several entries and one engine in virtual time. */
class Play
{
public:
    Play(Load load, const relay::CoreOptions &options)
        : m_load(std::move(load))
    {
        auto document = std::make_shared<config::Document>();
        document->services.push_back({"svc", 10, config::Engine{}});
        config::Relay route;
        route.name = "s";
        route.host = "h";
        route.prefix = "/s/";
        route.repeat = config::Repeat::Stream;
        route.attempts = 1;
        route.timeout = {8'000};
        route.objective = {m_load.objective};
        route.pauseObjective = {PAUSE_OBJECTIVE};
        route.shares = {{"svc", 1}};
        route.open = true;
        document->relays.push_back(route);
        const auto table = std::make_shared<const relay::RouteTable>(1, document);
        relay::Worker engine;
        engine.id = "w1";
        engine.address = "10.0.0.1:1";
        engine.service = "svc";
        engine.holdings = {"m"};
        for (int n = 0; n < ENTRIES; ++n) {
            m_entries.push_back(std::make_unique<Entry>(*this, n));
            m_cores.push_back(std::make_unique<relay::Core>(options, *m_entries.back()));
            m_cores.back()->setTable(table);
            m_cores.back()->setWorkers({engine});
        }
    }

    Outcome run()
    {
        const double prompt = static_cast<double>(m_load.shortest + m_load.longest) / 2;
        std::mt19937_64 arrivals{42};
        std::exponential_distribution<double> pause(m_load.readPerMilli * m_load.share / prompt);
        double next = static_cast<double>(START);
        while (m_now < START + LENGTH) {
            std::int64_t room = CHUNK;
            for (Stream &it : m_streams) {
                const std::int64_t part = std::min(room, it.unread);
                it.unread -= part;
                room -= part;
            }
            const std::int64_t end =
                m_now + STEP + static_cast<std::int64_t>(static_cast<double>(CHUNK - room) / m_load.readPerMilli);
            for (; m_now < end; m_now += TICK) {
                while (next <= static_cast<double>(m_now)) {
                    arrive(arrivals);
                    next += pause(arrivals);
                }
                for (const auto &core : m_cores) {
                    core->tick({m_now});
                }
            }
            yieldTokens();
        }
        return m_outcome;
    }

private:
    /** @brief A request in progress at the engine. */
    struct Stream {
        std::uint64_t attempt = 0;
        std::uint64_t exchange = 0;
        std::size_t entry = 0;
        std::int64_t unread = 0;
        std::int64_t tokensLeft = 0;
        int events = 0;
    };

    /** @brief What one caller observed. */
    struct Caller {
        std::int64_t arrivedAt = 0;
        std::int64_t prompt = 0;
        std::int64_t eventAt = 0;
        bool late = false;
    };

    /** @brief Executes the effects of one entry's core. */
    class Entry final : public relay::test::IgnoredEffects
    {
    public:
        Entry(Play &play, int index)
            : m_play(play)
            , m_index(static_cast<std::size_t>(index))
        {
        }
        void sendLocalReply(std::uint64_t exchange, const relay::LocalReply & /*refused*/) override
        {
            ++m_play.m_outcome.refused;
            m_play.m_callers.erase(exchange);
        }
        bool write(std::uint64_t exchange, std::string_view /*bytes*/) override
        {
            Caller &it = m_play.m_callers.at(exchange);
            const bool first = it.eventAt == 0;
            const std::int64_t since = m_play.m_now - (first ? it.arrivedAt : it.eventAt);
            it.late = it.late || since > (first ? m_play.m_load.objective : PAUSE_OBJECTIVE);
            it.eventAt = m_play.m_now;
            return true;
        }
        void endStream(std::uint64_t exchange) override
        {
            ++(m_play.m_callers.at(exchange).late ? m_play.m_outcome.late : m_play.m_outcome.inTime);
            m_play.m_callers.erase(exchange);
        }
        void abortStream(std::uint64_t exchange) override
        {
            ++m_play.m_outcome.late;
            m_play.m_callers.erase(exchange);
        }
        void send(const relay::Attempt &attempt, const relay::Request & /*request*/) override
        {
            const std::int64_t tokens = m_play.m_random() % 5 == 0 ? 170 : 22;
            m_play.m_streams.push_back(
                {attempt.id, attempt.exchange, m_index, m_play.m_callers.at(attempt.exchange).prompt, tokens, 0});
        }
        void cancel(std::uint64_t attempt) override
        {
            std::erase_if(m_play.m_streams, [&](const Stream &it) {
                return it.entry == m_index && it.attempt == attempt;
            });
        }

    private:
        Play &m_play;
        const std::size_t m_index;
    };

    void arrive(std::mt19937_64 &random)
    {
        ++m_outcome.requested;
        const std::uint64_t exchange = ++m_exchanges;
        relay::Request request;
        request.id = std::to_string(exchange);
        request.host = "h";
        request.path = "/s/";
        request.model = "m";
        request.promptTokens = std::uniform_int_distribution<std::int64_t>(m_load.shortest, m_load.longest)(random);
        request.maxTokens = 200;
        m_callers[exchange] = {m_now, *request.promptTokens, 0, false};
        m_cores[random() % ENTRIES]->onRequest({m_now}, exchange, std::move(request));
    }

    void yieldTokens()
    {
        // A core that is notified of an end may send the next request, so the loop iterates over a copy of the streams.
        const std::vector<Stream> streams(m_streams.begin(), m_streams.end());
        for (const Stream &it : streams) {
            const auto place = std::find_if(m_streams.begin(), m_streams.end(), [&it](const Stream &other) {
                return other.entry == it.entry && other.attempt == it.attempt;
            });
            if (place == m_streams.end() || place->unread > 0 || --place->tokensLeft % 2 != 0) {
                continue;
            }
            const bool last = place->tokensLeft <= 0;
            const int number = ++place->events;
            if (last) {
                m_streams.erase(place);
            }
            relay::Core &core = *m_cores[it.entry];
            if (number == 1) {
                relay::ResponseHead head;
                head.status = 200;
                head.owner = relay::ResponseOwner::Same;
                head.isSigned = true;
                head.isEventStream = true;
                core.onResponseHead({m_now}, it.attempt, head);
            }
            core.onResponseData({m_now}, it.attempt, "id: " + std::to_string(number) + "\ndata: x\n\n");
            if (last) {
                core.onAttemptEnded({m_now}, it.attempt, {true, true, false, "complete"});
            }
        }
    }

    const Load m_load;
    std::mt19937_64 m_random{4711};
    std::int64_t m_now = START;
    std::uint64_t m_exchanges = 0;
    Outcome m_outcome;
    std::map<std::uint64_t, Caller> m_callers;
    std::deque<Stream> m_streams;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<relay::Core>> m_cores;
};

/** @brief Settings tuned for a known engine and known prompts. */
relay::CoreOptions handmade(const Load &load)
{
    relay::CoreOptions out;
    const double prompt = static_cast<double>(load.shortest + load.longest) / 2;
    const double faster = load.readPerMilli / 19.2;
    out.fleet.profile.initialRate = load.readPerMilli;
    out.fleet.profile.maxSlowdown = 1;
    out.fleet.profile.maxSpeedup = 1;
    out.fleet.maxQueuedTokens = std::max(CHUNK, static_cast<std::int64_t>(static_cast<double>(load.longest) / faster));
    out.fleet.pacer.initialRate *= 2;
    out.fleet.pacer.burst = std::max(out.fleet.pacer.burst, prompt / faster);
    return out;
}

const std::vector<Load> LOADS{
    {"half of today's rate", 9.6, 600, 3'400, 1'200, 0.6},
    {"today's rate", 19.2, 600, 3'400, 1'200, 0.6},
    {"today's rate, long prompts", 19.2, 6'000, 10'000, 2'400, 0.5},
    {"twice today's rate, long prompts", 38.4, 8'000, 10'000, 1'200, 0.5},
    {"four times today's rate", 76.8, 600, 3'400, 600, 0.6},
    {"four times today's rate, long prompts", 76.8, 6'000, 10'000, 600, 0.5},
};

} // namespace

BOOST_AUTO_TEST_SUITE(engines)

BOOST_AUTO_TEST_CASE(engines_of_any_speed_are_served_as_with_settings_made_for_them)
{
    for (const Load &load : LOADS) {
        const Outcome own = Play(load, {}).run();
        const Outcome best = Play(load, handmade(load)).run();
        BOOST_TEST_MESSAGE(load.name << ": " << own.inTime << " in time, " << own.late << " late, " << own.refused
                                     << " refused of " << own.requested << "; settings by hand: " << best.inTime << ", "
                                     << best.late << ", " << best.refused);
        BOOST_TEST_CONTEXT(load.name)
        {
            BOOST_TEST(own.inTime * 10 >= best.inTime * 9);
        }
    }
}

// The load is 1.5 times what the engine can process: at best two thirds of the callers can be served in time.
BOOST_AUTO_TEST_CASE(under_overload_half_of_what_an_engine_of_any_speed_can_read_is_served_in_time)
{
    for (Load load : LOADS) {
        load.share = 1.5;
        const Outcome own = Play(load, {}).run();
        BOOST_TEST_MESSAGE(load.name << ": " << own.inTime << " in time, " << own.late << " late, " << own.refused
                                     << " refused of " << own.requested);
        BOOST_TEST_CONTEXT(load.name)
        {
            BOOST_TEST(own.inTime * 3 >= own.requested);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
