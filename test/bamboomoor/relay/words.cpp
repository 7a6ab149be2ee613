/**
 * Simulations of upstreams that signal limits, closures and shutdowns in their responses, with several entries that do
 * not see each other's requests. They check what the upstreams receive and what the callers get.
 */
#include "ignoredeffects.hpp"

#include "bamboomoor/relay/core.hpp"
#include "bamboomoor/standing/permitauthority.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr std::size_t ENTRIES = 9;
constexpr std::int64_t START = 10'000;
constexpr std::int64_t LENGTH = 30'000;
constexpr std::int64_t TICK = 5;
// The time from sending a request to the start and the end of its response.
constexpr std::int64_t ANSWER_TIME = 150;

/** @brief The load on the upstreams and the signals of the first of them. */
struct Load {
    std::size_t upstreams = 2;
    double requestsPerSecond = 20;
    // Thousandths of requests a second.
    std::int64_t limit = 1'100;
    std::int64_t namedFrom = START + 2'000;
    std::int64_t namedUntil = START + LENGTH;
    // Entries exchange reports with a leader; a new leader takes over at this time.
    bool hasLeader = false;
    std::int64_t otherLeaderAt = START + LENGTH;
    // Whether the first upstream signals its limit and a shutdown, and for how many milliseconds it closes itself.
    bool limits = true;
    bool leaves = false;
    std::int64_t closesFor = 0;
};

/** @brief Simulates several entries and the upstreams of one model in virtual time. */
class Play
{
public:
    explicit Play(const Load &load)
        : m_load(load)
    {
        auto document = std::make_shared<config::Document>();
        document->services.push_back({"svc", 10, config::Engine{}});
        config::Relay route;
        route.name = "s";
        route.host = "h";
        route.prefix = "/s/";
        route.repeat = config::Repeat::Idempotent;
        route.attempts = 2;
        route.timeout = {5'000};
        route.objective = {1'200};
        route.shares = {{"svc", 1}};
        route.open = true;
        document->relays.push_back(route);
        const auto table = std::make_shared<const relay::RouteTable>(1, document);
        std::vector<relay::Worker> workers;
        for (std::size_t n = 1; n <= load.upstreams; ++n) {
            relay::Worker engine;
            engine.id = "w" + std::to_string(n);
            engine.address = "10.0.0.1:" + std::to_string(n);
            engine.service = "svc";
            engine.holdings = {"m"};
            engine.incarnation = 1;
            workers.push_back(engine);
        }
        for (std::size_t n = 0; n < ENTRIES; ++n) {
            m_entries.push_back(std::make_unique<Entry>(*this, n));
            m_cores.push_back(std::make_unique<relay::Core>(relay::CoreOptions{}, *m_entries.back()));
            m_cores.back()->setTable(table);
            m_cores.back()->setWorkers(workers);
        }
    }

    void run()
    {
        std::mt19937_64 random{42};
        std::exponential_distribution<double> pause(m_load.requestsPerSecond / 1'000);
        auto next = static_cast<double>(START);
        for (; m_now < START + LENGTH; m_now += TICK) {
            while (next <= static_cast<double>(m_now)) {
                arrive(random);
                next += pause(random);
            }
            answer();
            for (std::size_t n = 0; n < ENTRIES; ++n) {
                m_cores[n]->tick({m_now});
                if (m_load.hasLeader) {
                    exchangeWords(n);
                }
            }
        }
    }

    /** @brief Returns the peak load of the first upstream. @param span The length of the window in milliseconds.
     * @return The most requests in any window that begins 3 s or later after the limit was first signalled; counts only
     * entries that had processed the signal at least 500 ms before. */
    [[nodiscard]] std::int64_t mostArrivals(std::int64_t span) const
    {
        std::int64_t most = 0;
        for (const std::int64_t begin : m_arrivals) {
            const std::int64_t count = std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](std::int64_t it) {
                return it >= begin && it < begin + span;
            });
            most = std::max(most, begin >= m_load.namedFrom + 3'000 ? count : 0);
        }
        return most;
    }

    std::int64_t asked = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;

    // Requests to the first upstream by entries that have processed its signal, and by those that it is closed to.
    std::int64_t askedAgain = 0;
    std::int64_t askedWhileClosed = 0;
    // Callers whose retry delay ends before the only upstream reopens.
    std::int64_t backTooEarly = 0;
    // Requests at the first upstream while it signals its limit.
    std::int64_t served = 0;
    // Requests there after it has stopped signalling a limit.
    std::int64_t servedLater = 0;

private:
    struct Reply {
        std::int64_t at = 0;
        std::vector<standing::LeaderReport> words;
    };
    struct Run {
        std::int64_t sentAt = 0;
        std::size_t entry = 0;
        relay::Attempt attempt;
    };

    /** @brief Executes the effects of one entry's core. */
    class Entry final : public relay::test::IgnoredEffects
    {
    public:
        Entry(Play &play, std::size_t index)
            : m_play(play)
            , m_index(index)
        {
        }
        void respond(std::uint64_t /*exchange*/, http::Response /*response*/) override
        {
            ++m_play.answered;
        }
        void sendLocalReply(std::uint64_t /*exchange*/, const relay::LocalReply &refused) override
        {
            BOOST_TEST(refused.notRun);
            ++m_play.refused;
            const std::int64_t opensAt = m_play.m_toldUntil[m_index];
            const bool back = m_play.m_now + refused.retryAfter.count >= opensAt;
            m_play.backTooEarly += m_play.m_load.upstreams == 1 && m_play.m_now < opensAt && !back ? 1 : 0;
        }
        void send(const relay::Attempt &attempt, const relay::Request & /*request*/) override
        {
            m_play.m_runs.push_back({m_play.m_now, m_index, attempt});
            m_play.askedAgain += attempt.upstream == "w1" && m_play.m_toldAt.contains(m_index) ? 1 : 0;
            m_play.askedWhileClosed += attempt.upstream == "w1" && m_play.m_now < m_play.m_toldUntil[m_index] ? 1 : 0;
            const auto told = m_play.m_toldAt.find(m_index);
            if (attempt.upstream == "w1" && told != m_play.m_toldAt.end() && m_play.m_now >= told->second + 500) {
                m_play.m_arrivals.push_back(m_play.m_now);
            }
        }

    private:
        Play &m_play;
        const std::size_t m_index;
    };

    void arrive(std::mt19937_64 &random)
    {
        ++asked;
        relay::Request request;
        request.id = std::to_string(asked);
        request.host = "h";
        request.path = "/s/";
        request.model = "m";
        request.promptTokens = 500;
        request.maxTokens = 50;
        m_cores[random() % ENTRIES]->onRequest({m_now}, static_cast<std::uint64_t>(asked), std::move(request));
    }

    // Each entry reports once a second and when it needs permits; the leader's reply takes 20 ms.
    void exchangeWords(std::size_t entry)
    {
        if (m_now >= m_load.otherLeaderAt && !m_otherLeads) {
            m_otherLeads = true;
            m_leader = standing::PermitAuthority();
        }
        relay::Core &core = *m_cores[entry];
        Reply &reply = m_replies[entry];
        if (reply.at > 0 && m_now >= reply.at) {
            core.onLeaderReports({m_now}, reply.words);
            reply = {};
        }
        if (reply.at > 0 || (!core.takeUrgent() && m_now < m_reportAt[entry])) {
            return;
        }
        m_reportAt[entry] = m_now + 1'000;
        std::map<std::string, standing::Grant> grants;
        for (const standing::Report &it : core.takeReports({m_now})) {
            m_leader.onReport({m_now}, it);
            grants[it.run.id] = m_leader.grant({m_now}, std::to_string(entry), it.run.id, it.requestedPermits);
        }
        reply.at = m_now + 20;
        for (const standing::Report &it : m_leader.reports({m_now})) {
            const standing::Grant grant = grants[it.run.id];
            reply.words.push_back({it.run, it.limit, it.limitReceivedAt, grant.permits, {m_now}, grant.nextPermitIn});
        }
    }

    void say(relay::ResponseHead &head) const
    {
        if (m_load.limits) {
            head.signal.limit = m_load.limit;
        }
        head.signal.leaving = m_load.leaves;
        if (m_load.closesFor > 0) {
            head.status = 503;
            head.notRun = true;
            head.signal.closedFor = base::Millis{m_load.closesFor};
        }
    }

    void answer()
    {
        while (!m_runs.empty() && m_runs.front().sentAt + ANSWER_TIME <= m_now) {
            const Run run = m_runs.front();
            m_runs.pop_front();
            relay::ResponseHead head;
            head.status = 200;
            head.owner = relay::ResponseOwner::Same;
            head.isSigned = true;
            if (run.attempt.upstream == "w1" && m_now >= m_load.namedFrom && m_now < m_load.namedUntil) {
                say(head);
                m_toldAt.emplace(run.entry, m_now);
                m_toldUntil[run.entry] = std::max(m_toldUntil[run.entry], m_now + m_load.closesFor);
            }
            const bool isFirst = run.attempt.upstream == "w1";
            served += isFirst && m_now >= m_load.namedFrom && m_now < m_load.namedUntil ? 1 : 0;
            servedLater += isFirst && m_now >= m_load.namedUntil ? 1 : 0;
            relay::Core &core = *m_cores[run.entry];
            core.onResponseHead({m_now}, run.attempt.id, head);
            core.onAttemptEnded({m_now}, run.attempt.id, {true, true, false, "complete"});
        }
    }

    const Load m_load;
    std::int64_t m_now = START;
    std::deque<Run> m_runs;
    // When each entry processed the first response that signals the limit.
    std::map<std::size_t, std::int64_t> m_toldAt;
    // Until when the first upstream is closed to each entry.
    std::map<std::size_t, std::int64_t> m_toldUntil;
    std::vector<std::int64_t> m_arrivals;
    standing::PermitAuthority m_leader;
    bool m_otherLeads = false;
    std::map<std::size_t, Reply> m_replies;
    std::map<std::size_t, std::int64_t> m_reportAt;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<relay::Core>> m_cores;
};

/** @brief The most requests allowed in 4 s: 1.5 times the limit plus 5. */
std::int64_t allowedIn4s(std::int64_t limit)
{
    return limit * 6 / 1'000 + 5;
}

} // namespace

BOOST_AUTO_TEST_SUITE(words)

BOOST_AUTO_TEST_CASE(entries_together_do_not_exceed_the_signalled_limit)
{
    for (const std::size_t upstreams : {1, 3}) {
        for (const std::int64_t limit : {0, 300, 1'100, 1'600, 4'000}) {
            Load load;
            load.upstreams = upstreams;
            load.limit = limit;
            Play play(load);
            play.run();
            BOOST_TEST_CONTEXT(upstreams << " upstreams, limit " << limit)
            {
                BOOST_TEST(play.mostArrivals(4'000) <= allowedIn4s(limit));
                BOOST_TEST((upstreams == 1 || play.answered >= play.asked * 98 / 100));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(the_limit_of_an_upstream_is_used_fully_across_leader_changes)
{
    for (const std::size_t upstreams : {1, 3}) {
        for (const std::int64_t limit : {300, 1'100, 1'600, 4'000, 12'000}) {
            for (const std::int64_t otherLeaderAt : {START + LENGTH, START + 12'000}) {
                Load load;
                load.upstreams = upstreams;
                load.limit = limit;
                load.hasLeader = true;
                load.otherLeaderAt = otherLeaderAt;
                Play play(load);
                play.run();
                const std::int64_t named = load.namedUntil - load.namedFrom;
                BOOST_TEST_MESSAGE(upstreams << " upstreams, limit " << limit << ": " << play.mostArrivals(4'000)
                                             << " in 4 s, " << play.served << " served there, " << play.answered
                                             << " answered and " << play.refused << " refused of " << play.asked);
                BOOST_TEST_CONTEXT(upstreams << " upstreams, limit " << limit << ", leader until " << otherLeaderAt)
                {
                    BOOST_TEST(play.mostArrivals(4'000) <= allowedIn4s(limit));
                    if (upstreams == 1) {
                        // As the only host of the model it faces more load than it takes.
                        BOOST_TEST(play.served * 1'000'000 >= limit * named * 3 / 4 - 2'000'000);
                    } else {
                        BOOST_TEST(play.answered >= play.asked * 98 / 100);
                        BOOST_TEST(play.served > 0);
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_upstream_that_shuts_down_gets_no_requests_from_entries_that_received_its_signal)
{
    for (const bool hasLeader : {false, true}) {
        Load load;
        load.upstreams = 2;
        load.limits = false;
        load.leaves = true;
        load.hasLeader = hasLeader;
        Play play(load);
        play.run();
        BOOST_TEST(play.askedAgain == 0);
        BOOST_TEST(play.answered >= play.asked * 98 / 100);
        // With a leader, the first entry that receives the signal reports it to the others.
        BOOST_TEST(play.served < (hasLeader ? 24 : 60));
    }
}

BOOST_AUTO_TEST_CASE(a_closed_upstream_gets_no_requests_and_its_callers_get_a_fitting_retry_delay)
{
    for (const std::size_t upstreams : {1, 2}) {
        Load load;
        load.upstreams = upstreams;
        load.limits = false;
        load.closesFor = 3'000;
        load.namedUntil = START + 20'000;
        Play play(load);
        play.run();
        BOOST_TEST_CONTEXT(upstreams << " upstreams")
        {
            BOOST_TEST(play.askedWhileClosed == 0);
            BOOST_TEST(play.backTooEarly == 0);
            BOOST_TEST((upstreams == 1 || play.answered >= play.asked * 95 / 100));
            BOOST_TEST(play.servedLater > 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_upstream_without_its_former_limit_is_used_by_all_entries_again)
{
    Load load;
    load.upstreams = 2;
    load.hasLeader = true;
    load.namedUntil = START + 10'000;
    Play play(load);
    play.run();
    const std::int64_t later = START + LENGTH - load.namedUntil;
    // After a few seconds it gets half of the load, as before the limit.
    BOOST_TEST(play.servedLater >= static_cast<std::int64_t>(load.requestsPerSecond) * later / 1'000 / 3);
}

BOOST_AUTO_TEST_SUITE_END()
