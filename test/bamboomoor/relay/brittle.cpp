/**
 * Simulations of a service whose upstreams are brittle: they shorten their queues some seconds after they have
 * signalled it, and one that has to reject too many requests in one second crashes. They check how often upstreams
 * crash and what the callers get.
 */
#include "ignoredeffects.hpp"

#include "bamboomoor/relay/core.hpp"
#include "bamboomoor/standing/roomauthority.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr std::int64_t START = 10'000;
constexpr std::int64_t BRITTLE_FROM = START + 3'000;
// The queues are shortened this long after the first signal, and crashes and responses are counted from then on.
constexpr std::int64_t ANNOUNCED = 3'000;
constexpr std::int64_t COUNTED_FROM = BRITTLE_FROM + ANNOUNCED;
constexpr std::int64_t END = COUNTED_FROM + 12'000;
constexpr std::int64_t TICK = 10;
constexpr std::int64_t RUN_TIME = 800;
constexpr std::int64_t DOWN_TIME = 3'000;
constexpr std::int64_t REPORT_INTERVAL = 250;
constexpr std::int64_t URGENT_INTERVAL = 40;
constexpr std::int64_t REPLY_DELAY = 20;
constexpr std::int64_t SECOND = 1'000;
constexpr std::int64_t NEVER = 1'000'000;

/** @brief A fleet and the load on it. */
struct Scenario {
    std::size_t entries = 7;
    std::size_t upstreams = 3;
    bool isEngine = false;
    std::int64_t slots = 6;
    std::int64_t queue = 6;
    // The most rejections of one upstream in a second.
    std::int64_t rejections = 6;
    // Offered requests in relation to what the slots can serve.
    double load = 0.5;
    // No entry reaches a leader in this time.
    std::int64_t noLeaderFrom = NEVER;
    std::int64_t noLeaderUntil = NEVER;
    // These entries, from the first one, never reach a leader.
    std::size_t cutEntries = 0;
    // These entries, from the first one, start anew at this time.
    std::size_t restartedEntries = 0;
    std::int64_t restartAt = NEVER;
    // No requests arrive in this time.
    std::int64_t idleFrom = NEVER;
    std::int64_t idleUntil = NEVER;
    // The upstreams are sound in this time, and shorten their queues some seconds after it.
    std::int64_t soundFrom = NEVER;
    std::int64_t soundUntil = NEVER;
    // The slots from a time on.
    std::int64_t laterSlots = 0;
    std::int64_t laterSlotsFrom = NEVER;
    // These upstreams, from the first one, crash for another reason at this time.
    std::size_t otherCrashes = 0;
    std::int64_t otherCrashesAt = NEVER;
    std::int64_t end = END;
};

/** @brief Simulates entries, their leader and brittle upstreams in virtual time. */
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : m_scenario(scenario)
    {
        auto document = std::make_shared<config::Document>();
        config::Service service{"svc", 10, {}};
        if (scenario.isEngine) {
            service.engine = config::Engine{};
        }
        document->services.push_back(service);
        config::Relay route;
        route.name = "s";
        route.host = "h";
        route.prefix = "/s/";
        route.repeat = config::Repeat::Idempotent;
        route.attempts = 2;
        route.timeout = {6'000};
        route.objective = {3'000};
        route.shares = {{"svc", 1}};
        route.open = true;
        document->relays.push_back(route);
        m_table = std::make_shared<const relay::RouteTable>(1, document);
        m_upstreams.resize(scenario.upstreams);
        for (std::size_t n = 0; n < scenario.entries; ++n) {
            m_entries.push_back(std::make_unique<Entry>(*this, n));
            m_cores.push_back(makeCore(n));
        }
        m_replies.resize(scenario.entries);
        m_lives.resize(scenario.entries);
        m_reportedAt.resize(scenario.entries);
        list();
    }

    void run()
    {
        const double capacity = static_cast<double>(m_scenario.slots) * static_cast<double>(m_scenario.upstreams);
        std::exponential_distribution<double> pause(capacity * m_scenario.load / static_cast<double>(RUN_TIME));
        auto next = static_cast<double>(START);
        for (; m_now < m_scenario.end; m_now += TICK) {
            disturb();
            while (next <= static_cast<double>(m_now)) {
                if (m_now < m_scenario.idleFrom || m_now >= m_scenario.idleUntil) {
                    arrive();
                }
                next += pause(m_random);
            }
            for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
                advance(n);
            }
            deliverEvents();
            for (std::size_t n = 0; n < m_cores.size(); ++n) {
                m_cores[n]->tick({m_now});
                exchangeReports(n);
            }
        }
    }

    [[nodiscard]] std::int64_t allowedCrashes() const
    {
        return 2 + static_cast<std::int64_t>(m_scenario.upstreams) / 10;
    }

    std::int64_t crashes = 0;
    std::int64_t mostRejections = 0;
    // Requests that arrived, and that were answered, while crashes are counted.
    std::int64_t offered = 0;
    std::int64_t served = 0;

private:
    struct Job {
        std::size_t entry = 0;
        std::uint64_t attempt = 0;
        // The start of the entry; answers to requests of an earlier one reach nobody.
        int life = 0;
    };
    struct Upstream {
        std::uint64_t incarnation = 1;
        std::int64_t downUntil = 0;
        // By the time of their end.
        std::multimap<std::int64_t, Job> running;
        std::deque<Job> queue;
        std::deque<std::int64_t> rejectedAt;
    };
    struct Event {
        std::int64_t at = 0;
        std::size_t entry = 0;
        std::uint64_t attempt = 0;
        int life = 0;
        // Unset if the connection failed.
        std::optional<relay::ResponseHead> head;
        bool bytesSent = true;

        friend bool operator>(const Event &lhs, const Event &rhs)
        {
            return std::tie(lhs.at, lhs.entry, lhs.attempt) > std::tie(rhs.at, rhs.entry, rhs.attempt);
        }
    };
    struct Reply {
        std::int64_t at = 0;
        std::vector<standing::LeaderReport> words;
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
        void respond(std::uint64_t /*exchange*/, http::Response response) override
        {
            m_simulation.served += response.status == 200 && m_simulation.m_now >= COUNTED_FROM ? 1 : 0;
        }
        void send(const relay::Attempt &attempt, const relay::Request & /*request*/) override
        {
            m_simulation.receive(m_index, attempt);
        }

    private:
        Simulation &m_simulation;
        const std::size_t m_index;
    };

    std::unique_ptr<relay::Core> makeCore(std::size_t entry)
    {
        relay::CoreOptions options;
        options.fleet.seed = entry + 1;
        auto core = std::make_unique<relay::Core>(options, *m_entries[entry]);
        core->setTable(m_table);
        return core;
    }

    void disturb()
    {
        if (m_now == m_scenario.restartAt) {
            for (std::size_t n = 0; n < m_scenario.restartedEntries; ++n) {
                m_cores[n] = makeCore(n);
                m_replies[n] = {};
                ++m_lives[n];
            }
            list();
        }
        if (m_now == m_scenario.laterSlotsFrom) {
            list();
        }
        if (m_now == m_scenario.otherCrashesAt) {
            for (std::size_t n = 0; n < m_scenario.otherCrashes; ++n) {
                crash(m_upstreams[n]);
                --crashes;
            }
        }
    }

    [[nodiscard]] std::int64_t slots() const
    {
        return m_now >= m_scenario.laterSlotsFrom ? m_scenario.laterSlots : m_scenario.slots;
    }

    [[nodiscard]] bool isBrittle() const
    {
        return m_now >= BRITTLE_FROM && (m_now < m_scenario.soundFrom || m_now >= m_scenario.soundUntil);
    }

    // Whether queues are shortened, and upstreams crash.
    [[nodiscard]] bool isStrict() const
    {
        return isBrittle() && m_now >= COUNTED_FROM
            && (m_now < m_scenario.soundFrom || m_now >= m_scenario.soundUntil + ANNOUNCED);
    }

    void list()
    {
        std::vector<relay::Worker> workers;
        for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
            relay::Worker worker;
            worker.id = "w" + std::to_string(n);
            worker.address = "10.0.0.1:" + std::to_string(n + 1);
            worker.service = "svc";
            if (m_scenario.isEngine) {
                worker.holdings = {"m"};
            }
            worker.incarnation = m_upstreams[n].incarnation;
            worker.slots = slots();
            workers.push_back(worker);
        }
        for (const auto &it : m_cores) {
            it->setWorkers(workers);
        }
    }

    void arrive()
    {
        offered += m_now >= COUNTED_FROM ? 1 : 0;
        relay::Request request;
        request.id = std::to_string(++m_lastRequest);
        request.host = "h";
        request.path = "/s/";
        if (m_scenario.isEngine) {
            request.model = "m";
            request.promptTokens = 100;
        }
        // Some entries get several times as many requests as others.
        const double place = std::uniform_real_distribution<double>(0, 1)(m_random);
        const auto entry = static_cast<std::size_t>(place * (1 + place) / 2 * static_cast<double>(m_cores.size()));
        m_cores[std::min(entry, m_cores.size() - 1)]->onRequest({m_now}, m_lastRequest, std::move(request));
    }

    void receive(std::size_t entry, const relay::Attempt &attempt)
    {
        Upstream &upstream = m_upstreams[std::stoul(attempt.upstream.substr(1))];
        const Job job{entry, attempt.id, m_lives[entry]};
        if (m_now < upstream.downUntil) {
            m_events.push({m_now + TICK, entry, attempt.id, job.life, std::nullopt, false});
            return;
        }
        const std::int64_t queue = isStrict() ? m_scenario.queue / 2 : m_scenario.queue;
        if (static_cast<std::int64_t>(upstream.running.size()) < slots()) {
            upstream.running.emplace(m_now + RUN_TIME, job);
        } else if (static_cast<std::int64_t>(upstream.queue.size()) < queue) {
            upstream.queue.push_back(job);
        } else {
            reject(upstream, job);
        }
    }

    void reject(Upstream &upstream, const Job &job)
    {
        relay::ResponseHead head = answerHead();
        head.status = 503;
        head.notRun = true;
        m_events.push({m_now + TICK, job.entry, job.attempt, job.life, head});
        std::erase_if(upstream.rejectedAt, [this](std::int64_t it) {
            return it <= m_now - SECOND;
        });
        upstream.rejectedAt.push_back(m_now);
        const auto rejected = static_cast<std::int64_t>(upstream.rejectedAt.size());
        if (!isStrict()) {
            return;
        }
        mostRejections = std::max(mostRejections, rejected);
        if (rejected > m_scenario.rejections) {
            crash(upstream);
        }
    }

    void crash(Upstream &upstream)
    {
        ++crashes;
        for (const auto &[at, it] : upstream.running) {
            m_events.push({m_now + TICK, it.entry, it.attempt, it.life, std::nullopt});
        }
        for (const Job &it : upstream.queue) {
            m_events.push({m_now + TICK, it.entry, it.attempt, it.life, std::nullopt});
        }
        upstream.running.clear();
        upstream.queue.clear();
        upstream.rejectedAt.clear();
        upstream.downUntil = m_now + DOWN_TIME;
    }

    void advance(std::size_t index)
    {
        Upstream &upstream = m_upstreams[index];
        if (upstream.downUntil > 0 && m_now >= upstream.downUntil) {
            upstream.downUntil = 0;
            ++upstream.incarnation;
            list();
        }
        while (!upstream.running.empty() && upstream.running.begin()->first <= m_now) {
            const Job done = upstream.running.begin()->second;
            upstream.running.erase(upstream.running.begin());
            m_events.push({m_now, done.entry, done.attempt, done.life, answerHead()});
            if (!upstream.queue.empty() && static_cast<std::int64_t>(upstream.running.size()) < slots()) {
                upstream.running.emplace(m_now + RUN_TIME, upstream.queue.front());
                upstream.queue.pop_front();
            }
        }
    }

    [[nodiscard]] relay::ResponseHead answerHead() const
    {
        relay::ResponseHead head;
        head.status = 200;
        head.owner = relay::ResponseOwner::Same;
        head.isSigned = true;
        if (isBrittle()) {
            head.signal.brittle = m_scenario.rejections;
        }
        return head;
    }

    void deliverEvents()
    {
        while (!m_events.empty() && m_events.top().at <= m_now) {
            const Event event = m_events.top();
            m_events.pop();
            relay::Core &core = *m_cores[event.entry];
            if (event.life != m_lives[event.entry]) {
                continue;
            }
            if (event.head) {
                core.onResponseHead({m_now}, event.attempt, *event.head);
                core.onAttemptEnded({m_now}, event.attempt, {true, true, false, "complete"});
            } else {
                core.onAttemptEnded({m_now}, event.attempt, {false, event.bytesSent, event.bytesSent, "reset"});
            }
        }
    }

    void exchangeReports(std::size_t entry)
    {
        relay::Core &core = *m_cores[entry];
        Reply &reply = m_replies[entry];
        if (reply.at > 0 && m_now >= reply.at) {
            core.onLeaderReports({m_now}, reply.words);
            reply = {};
        }
        if (m_now >= m_scenario.noLeaderUntil && !m_otherLeads) {
            m_otherLeads = true;
            m_rooms = standing::RoomAuthority({m_now}, 1);
        }
        const bool hasLeader =
            entry >= m_scenario.cutEntries && (m_now < m_scenario.noLeaderFrom || m_now >= m_scenario.noLeaderUntil);
        const std::int64_t since = m_now - m_reportedAt[entry];
        const bool due = since >= REPORT_INTERVAL || (since >= URGENT_INTERVAL && core.takeUrgent());
        if (!hasLeader || reply.at > 0 || !due) {
            return;
        }
        m_reportedAt[entry] = m_now;
        reply.at = m_now + REPLY_DELAY;
        const std::string name = std::to_string(entry);
        m_rooms.onEntry({m_now}, name);
        for (const standing::Report &it : core.takeReports({m_now})) {
            if (it.room) {
                m_rooms.onReport({m_now}, name, it.run, *it.room);
            }
        }
        for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
            const standing::Run run{"w" + std::to_string(n), m_upstreams[n].incarnation};
            if (auto grant = m_rooms.grant({m_now}, name, run)) {
                reply.words.push_back({run, {}, {}, 0, {m_now}, {}, false, grant});
            }
        }
    }

    const Scenario m_scenario;
    std::shared_ptr<const relay::RouteTable> m_table;
    std::mt19937_64 m_random{42};
    std::int64_t m_now = START;
    std::uint64_t m_lastRequest = 0;
    std::vector<Upstream> m_upstreams;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    standing::RoomAuthority m_rooms;
    bool m_otherLeads = false;
    std::vector<Reply> m_replies;
    std::vector<std::int64_t> m_reportedAt;
    std::vector<int> m_lives;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<relay::Core>> m_cores;
};

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> all;
    for (const auto &[entries, upstreams, isEngine] : {std::tuple<std::size_t, std::size_t, bool>{7, 3, false},
             {7, 3, true}, {90, 3, false}, {90, 3, true}, {7, 90, false}, {90, 90, false}, {90, 30, true}}) {
        for (const double load : {0.5, 1.0, 3.0}) {
            Scenario scenario;
            scenario.entries = entries;
            scenario.upstreams = upstreams;
            scenario.isEngine = isEngine;
            scenario.slots = isEngine ? 32 : 6;
            scenario.queue = isEngine ? 12 : 6;
            scenario.load = load;
            all.push_back(scenario);
        }
    }
    return all;
}

std::string nameOf(const Scenario &scenario)
{
    return std::to_string(scenario.entries) + " entries, " + std::to_string(scenario.upstreams)
        + (scenario.isEngine ? " engines" : " plain upstreams") + ", load " + std::to_string(scenario.load);
}

// Many callers at upstreams with few slots.
Scenario crowdOf(std::size_t entries)
{
    Scenario scenario;
    scenario.entries = entries;
    scenario.upstreams = 20;
    scenario.load = 3;
    return scenario;
}

void check(const Scenario &scenario, const std::string &name)
{
    Simulation simulation(scenario);
    simulation.run();
    BOOST_TEST_MESSAGE(nameOf(scenario) << ", " << name << ": " << simulation.crashes << " crashes, at most "
                                        << simulation.mostRejections << " rejections in a second, " << simulation.served
                                        << " served of " << simulation.offered);
    BOOST_TEST_CONTEXT(nameOf(scenario))
    {
        BOOST_TEST(simulation.crashes <= simulation.allowedCrashes());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(brittle)

BOOST_AUTO_TEST_CASE(entries_together_do_not_crash_brittle_upstreams_by_requests_that_they_must_reject)
{
    for (const Scenario &it : scenarios()) {
        Simulation simulation(it);
        simulation.run();
        BOOST_TEST_MESSAGE(nameOf(it) << ": " << simulation.crashes << " crashes, at most " << simulation.mostRejections
                                      << " rejections in a second, " << simulation.served << " served of "
                                      << simulation.offered);
        BOOST_TEST_CONTEXT(nameOf(it))
        {
            BOOST_TEST(simulation.crashes <= simulation.allowedCrashes());
            const double possible = static_cast<double>(simulation.offered) / std::max(1.0, it.load);
            BOOST_TEST(static_cast<double>(simulation.served) >= (it.load > 1 ? 0.7 : 0.9) * possible);
        }
    }
}

BOOST_AUTO_TEST_CASE(upstreams_that_accept_less_than_their_shares_are_not_crashed_by_all_entries_in_turn)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario;
        scenario.entries = entries;
        scenario.upstreams = 20;
        scenario.queue = 2;
        scenario.rejections = 8;
        scenario.load = 3;
        Simulation simulation(scenario);
        simulation.run();
        BOOST_TEST_MESSAGE(nameOf(scenario)
            << ": " << simulation.crashes << " crashes, at most " << simulation.mostRejections
            << " rejections in a second, " << simulation.served << " served of " << simulation.offered);
        BOOST_TEST_CONTEXT(nameOf(scenario))
        {
            BOOST_TEST(simulation.crashes <= simulation.allowedCrashes());
            BOOST_TEST(static_cast<double>(simulation.served) * 3 >= 0.7 * static_cast<double>(simulation.offered));
        }
    }
}

BOOST_AUTO_TEST_CASE(brittle_upstreams_survive_the_loss_of_the_leader)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario;
        scenario.entries = entries;
        scenario.upstreams = 20;
        scenario.load = 3;
        scenario.noLeaderFrom = COUNTED_FROM + 2'000;
        scenario.noLeaderUntil = COUNTED_FROM + 8'000;
        Simulation simulation(scenario);
        simulation.run();
        BOOST_TEST_MESSAGE(nameOf(scenario)
            << ", leader lost: " << simulation.crashes << " crashes, at most " << simulation.mostRejections
            << " rejections in a second, " << simulation.served << " served of " << simulation.offered);
        BOOST_TEST_CONTEXT(nameOf(scenario))
        {
            BOOST_TEST(simulation.crashes <= simulation.allowedCrashes());
            BOOST_TEST(static_cast<double>(simulation.served) * 3 >= 0.7 * static_cast<double>(simulation.offered));
        }
    }
}

BOOST_AUTO_TEST_CASE(brittle_upstreams_survive_a_leader_that_is_lost_before_they_become_brittle)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario = crowdOf(entries);
        scenario.noLeaderFrom = BRITTLE_FROM - 1'000;
        scenario.noLeaderUntil = COUNTED_FROM + 6'000;
        check(scenario, "no leader");
    }
}

BOOST_AUTO_TEST_CASE(brittle_upstreams_survive_entries_that_are_cut_off_from_the_leader)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario = crowdOf(entries);
        scenario.cutEntries = entries / 5;
        check(scenario, "cut off");
    }
}

BOOST_AUTO_TEST_CASE(brittle_upstreams_survive_entries_that_restart)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario = crowdOf(entries);
        scenario.restartedEntries = entries / 3;
        scenario.restartAt = COUNTED_FROM + 3'000;
        check(scenario, "restarts");
    }
}

BOOST_AUTO_TEST_CASE(brittle_upstreams_survive_a_crowd_after_a_time_without_requests)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario = crowdOf(entries);
        scenario.idleFrom = COUNTED_FROM + 2'000;
        scenario.idleUntil = scenario.idleFrom + 40'000;
        scenario.end = scenario.idleUntil + 8'000;
        check(scenario, "idle");
    }
}

BOOST_AUTO_TEST_CASE(upstreams_that_become_brittle_again_survive)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario = crowdOf(entries);
        scenario.soundFrom = COUNTED_FROM + 3'000;
        scenario.soundUntil = COUNTED_FROM + 5'000;
        check(scenario, "sound for a while");
    }
}

BOOST_AUTO_TEST_CASE(brittle_upstreams_survive_a_change_to_fewer_slots)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario = crowdOf(entries);
        scenario.laterSlots = 2;
        scenario.laterSlotsFrom = COUNTED_FROM + 3'000;
        check(scenario, "fewer slots");
    }
}

BOOST_AUTO_TEST_CASE(brittle_upstreams_that_come_back_after_a_crash_survive)
{
    for (const std::size_t entries : {7, 60}) {
        Scenario scenario = crowdOf(entries);
        scenario.otherCrashes = 10;
        scenario.otherCrashesAt = COUNTED_FROM + 2'000;
        check(scenario, "crashes of another cause");
    }
}

BOOST_AUTO_TEST_SUITE_END()
