/**
 * Simulations of entries that are partitioned from all upstreams for some seconds while callers and other entries reach
 * them. They check how often first tries at these entries are served, and that nothing is executed twice.
 */
#include "ignoredeffects.hpp"

#include "bamboomoor/relay/core.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr std::size_t ENTRIES = 8;
constexpr std::size_t UPSTREAMS = 10;
constexpr std::int64_t START = 10'000;
constexpr std::int64_t CUT_AT = START + 4'000;
constexpr std::int64_t HEALED_AT = CUT_AT + 9'000;
constexpr std::int64_t END = HEALED_AT + 6'000;
constexpr std::int64_t TICK = 5;
constexpr std::int64_t ANSWER_TIME = 120;
constexpr std::int64_t CONNECT_TIMEOUT = 400;
// The time after the begin of the cut and after its end from which first tries are counted.
constexpr std::int64_t CONTACT = 3'000;
constexpr std::size_t MAX_PEERS = 6;
// From here on entries report to a new leader, which knows them only after all have reported.
constexpr std::int64_t LEADER_CHANGED_AT = CUT_AT + 5'000;
constexpr std::int64_t REPORT_INTERVAL = 1'000;
// The interval at which entries learn which others reach upstreams.
constexpr std::int64_t PEER_INTERVAL = 250;

/** @brief What a cut does to connections to upstreams. */
enum class Cut { Hangs, Resets, RefusesNew };

/** @brief A simulated partition. */
struct Partition {
    Cut cut = Cut::Hangs;
    // The first entries are cut off.
    std::size_t entries = 1;
    bool repeatable = true;
    // False for a fleet whose entries know of no others.
    bool knowsPeers = true;
    double requestsPerSecond = 120;
    // Entries that are cut off although they are told to be peers.
    bool staleList = false;
    // A new leader names no peers at first.
    bool losesLeader = false;
    // The cut is interrupted for a while.
    std::int64_t interruptedAt = 0;
    std::int64_t interruption = 0;
    // Entries that are cut off restart during the cut.
    std::int64_t restartAt = 0;
    // Instead of a partition, the first upstreams accept no connection.
    std::size_t crashed = 0;
};

struct Count {
    std::int64_t asked = 0;
    std::int64_t served = 0;
};

/** @brief Simulates entries and the upstreams of one plain service in virtual time. */
class Play
{
public:
    explicit Play(const Partition &partition)
        : m_partition(partition)
    {
        auto document = std::make_shared<config::Document>();
        document->services.push_back({"svc", 10, {}});
        config::Relay route;
        route.name = "s";
        route.host = "h";
        route.prefix = "/s/";
        route.repeat = partition.repeatable ? config::Repeat::Idempotent : config::Repeat::AtMostOnce;
        route.attempts = 2;
        route.timeout = {5'000};
        route.objective = {600};
        route.shares = {{"svc", 1}};
        route.open = true;
        document->relays.push_back(route);
        m_table = std::make_shared<const relay::RouteTable>(1, document);
        for (std::size_t n = 0; n < UPSTREAMS; ++n) {
            relay::Worker worker;
            worker.id = "w" + std::to_string(n);
            worker.address = "10.0.1.1:" + std::to_string(n);
            worker.service = "svc";
            worker.incarnation = 1;
            m_workers.push_back(worker);
        }
        for (std::size_t n = 0; n < ENTRIES; ++n) {
            m_entries.push_back(std::make_unique<Entry>(*this, n));
            m_cores.emplace_back();
            start(n);
        }
    }

    void run()
    {
        std::mt19937_64 random{7};
        std::exponential_distribution<double> pause(m_partition.requestsPerSecond / 1'000);
        auto next = static_cast<double>(START);
        for (; m_now < END; m_now += TICK) {
            while (next <= static_cast<double>(m_now)) {
                arrive(random() % ENTRIES);
                next += pause(random);
            }
            if (m_partition.knowsPeers && (m_now - START) % PEER_INTERVAL == 0) {
                exchangePeers();
            }
            for (std::size_t n = 0; m_now == m_partition.restartAt && n < m_partition.entries; ++n) {
                restart(n);
            }
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const Event event = m_events.begin()->second;
                m_events.erase(m_events.begin());
                handle(event);
            }
            for (auto &it : m_cores) {
                it->tick({m_now});
            }
        }
    }

    // First tries at entries that are cut off, and at the others, from CONTACT after the begin of the cut to its end.
    Count cutOff;
    Count others;
    // First tries at all entries from CONTACT after the end of the cut.
    Count later;
    std::int64_t executedTwice = 0;
    // "Not run" was said of a request that ran.
    std::int64_t falselyRefused = 0;
    // Requests that were forwarded after the end of the cut, from CONTACT after it.
    std::int64_t forwardedLater = 0;
    std::int64_t forwarded = 0;
    std::int64_t mostAttempts = 0;

private:
    struct Event {
        enum class Kind { Answer, NotConnected, Reset, PeerRefuses, PeerMisses } kind = Kind::Answer;
        std::size_t entry = 0;
        std::uint64_t attempt = 0;
        std::uint64_t exchange = 0;
        std::string upstream;
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
        void respond(std::uint64_t exchange, http::Response /*response*/) override
        {
            m_play.countServed(exchange);
        }
        void sendLocalReply(std::uint64_t exchange, const relay::LocalReply &refused) override
        {
            m_play.falselyRefused += refused.notRun && m_play.m_runs[exchange] > 0 ? 1 : 0;
            m_play.m_refused.insert(exchange);
        }
        void send(const relay::Attempt &attempt, const relay::Request & /*request*/) override
        {
            m_play.send(m_index, attempt);
        }
        void cancel(std::uint64_t attempt) override
        {
            m_play.m_cancelled.insert({m_index, attempt});
        }

    private:
        Play &m_play;
        const std::size_t m_index;
    };

    void start(std::size_t entry)
    {
        relay::CoreOptions options;
        options.fleet.seed = entry + 1;
        options.reach.seed = entry + 1;
        m_cores[entry] = std::make_unique<relay::Core>(options, *m_entries[entry]);
        m_cores[entry]->setTable(m_table);
        m_cores[entry]->setWorkers(m_workers);
    }

    /** @brief Restarts an entry, which loses its callers and all that it knows. */
    void restart(std::size_t entry)
    {
        std::erase_if(m_events, [entry](const auto &it) {
            return it.second.entry == entry;
        });
        start(entry);
    }

    [[nodiscard]] bool isCut(std::size_t entry) const
    {
        const bool isInterrupted =
            m_now >= m_partition.interruptedAt && m_now < m_partition.interruptedAt + m_partition.interruption;
        return entry < m_partition.entries && m_now >= CUT_AT && m_now < HEALED_AT && !isInterrupted;
    }

    [[nodiscard]] bool isCrashed(const std::string &upstream) const
    {
        return m_now >= CUT_AT && m_now < HEALED_AT && std::stoul(upstream.substr(1)) < m_partition.crashed;
    }

    void arrive(std::size_t entry)
    {
        const std::uint64_t exchange = ++m_lastExchange;
        Count *count = nullptr;
        const std::int64_t since =
            std::max({CUT_AT, m_partition.interruptedAt + m_partition.interruption, m_partition.restartAt});
        if (m_now >= since + CONTACT && m_now < HEALED_AT - 1'000) {
            count = entry < m_partition.entries ? &cutOff : &others;
        } else if (m_now >= HEALED_AT + CONTACT && m_now < END - 1'000) {
            count = &later;
        }
        if (count != nullptr) {
            ++count->asked;
            m_counts[exchange] = count;
        }
        relay::Request request;
        request.id = std::to_string(exchange);
        request.host = "h";
        request.path = "/s/";
        m_cores[entry]->onRequest({m_now}, exchange, std::move(request));
    }

    void countServed(std::uint64_t exchange)
    {
        if (const auto it = m_counts.find(exchange); it != m_counts.end()) {
            ++it->second->served;
        }
    }

    // A peer is named by the number of its entry.
    void exchangePeers()
    {
        const bool isOtherLeader = m_partition.losesLeader && m_now >= LEADER_CHANGED_AT;
        const std::uint64_t term = isOtherLeader ? 2 : 1;
        const bool knowsNone = isOtherLeader && m_now < LEADER_CHANGED_AT + REPORT_INTERVAL;
        for (std::size_t n = 0; n < ENTRIES; ++n) {
            std::vector<std::string> peers;
            for (std::size_t step = 0; !knowsNone && step + 1 < ENTRIES && peers.size() < MAX_PEERS; ++step) {
                const std::size_t other = (n + 1 + (step + m_exchanges) % (ENTRIES - 1)) % ENTRIES;
                if (m_partition.staleList || !m_cores[other]->reach().isCutOff()) {
                    peers.push_back(std::to_string(other));
                }
            }
            m_cores[n]->setPeers({m_now}, peers, term);
        }
        ++m_exchanges;
    }

    void add(std::int64_t delay, Event::Kind kind, std::size_t entry, const relay::Attempt &attempt)
    {
        m_events.emplace(m_now + delay, Event{kind, entry, attempt.id, attempt.exchange, attempt.upstream});
    }

    void execute(std::size_t entry, const relay::Attempt &attempt, std::int64_t delay)
    {
        const std::int64_t runs = ++m_runs[attempt.exchange];
        executedTwice += runs > 1 && !m_partition.repeatable ? 1 : 0;
        executedTwice += m_refused.contains(attempt.exchange) ? 1 : 0;
        add(ANSWER_TIME + delay, Event::Kind::Answer, entry, attempt);
    }

    void send(std::size_t entry, const relay::Attempt &attempt)
    {
        mostAttempts = std::max(mostAttempts, ++m_attempts[attempt.exchange]);
        if (!attempt.via.empty()) {
            ++forwarded;
            forwardedLater += m_now >= HEALED_AT + CONTACT ? 1 : 0;
            forward(entry, std::stoul(attempt.via), attempt);
            return;
        }
        if (isCut(entry)) {
            const bool pooled = !attempt.freshConnection && m_partition.cut == Cut::RefusesNew;
            if (pooled) {
                execute(entry, attempt, 0);
            } else if (m_partition.cut == Cut::Hangs && attempt.freshConnection) {
                add(CONNECT_TIMEOUT, Event::Kind::NotConnected, entry, attempt);
            } else if (m_partition.cut == Cut::Resets) {
                add(1, Event::Kind::Reset, entry, attempt);
            } else if (m_partition.cut == Cut::RefusesNew) {
                add(1, Event::Kind::NotConnected, entry, attempt);
            }
            return;
        }
        if (isCrashed(attempt.upstream)) {
            add(1, Event::Kind::NotConnected, entry, attempt);
            return;
        }
        execute(entry, attempt, 0);
    }

    void forward(std::size_t entry, std::size_t peer, const relay::Attempt &attempt)
    {
        if (m_cores[peer]->reach().isCutOff()) {
            add(2, Event::Kind::PeerRefuses, entry, attempt);
        } else if (isCut(peer) || isCrashed(attempt.upstream)) {
            add(m_partition.cut == Cut::Hangs && isCut(peer) ? CONNECT_TIMEOUT : 2, Event::Kind::PeerMisses, entry,
                attempt);
        } else {
            execute(entry, attempt, 2);
        }
    }

    void handle(const Event &event)
    {
        if (m_cancelled.contains({event.entry, event.attempt})) {
            return;
        }
        relay::Core &core = *m_cores[event.entry];
        relay::AttemptEnd end;
        switch (event.kind) {
        case Event::Kind::Answer: {
            relay::ResponseHead head;
            head.status = 200;
            head.owner = relay::ResponseOwner::Same;
            head.isSigned = true;
            core.onResponseHead({m_now}, event.attempt, head);
            end.complete = true;
            break;
        }
        case Event::Kind::NotConnected:
        case Event::Kind::PeerMisses:
            end.bytesSent = false;
            end.reason = "connect_failed";
            break;
        case Event::Kind::Reset:
            end.lostConnection = true;
            end.reason = "reset_before_answer";
            break;
        case Event::Kind::PeerRefuses:
            end.bytesSent = false;
            end.peerFailed = true;
            end.reason = "peer_refused";
            break;
        }
        core.onAttemptEnded({m_now}, event.attempt, end);
    }

    const Partition m_partition;
    std::shared_ptr<const relay::RouteTable> m_table;
    std::vector<relay::Worker> m_workers;
    std::int64_t m_now = START;
    std::uint64_t m_lastExchange = 0;
    std::size_t m_exchanges = 0;
    std::multimap<std::int64_t, Event> m_events;
    std::set<std::pair<std::size_t, std::uint64_t>> m_cancelled;
    std::map<std::uint64_t, std::int64_t> m_runs;
    std::map<std::uint64_t, std::int64_t> m_attempts;
    std::set<std::uint64_t> m_refused;
    std::map<std::uint64_t, Count *> m_counts;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<relay::Core>> m_cores;
};

std::int64_t percentServed(const Count &count)
{
    return count.asked == 0 ? 100 : count.served * 100 / count.asked;
}

void describe(const Partition &partition, const Play &play)
{
    BOOST_TEST_MESSAGE("cut " << static_cast<int>(partition.cut) << ", entries " << partition.entries << ", repeatable "
                              << partition.repeatable << ": cut off " << play.cutOff.served << " of "
                              << play.cutOff.asked << ", others " << play.others.served << " of " << play.others.asked
                              << ", later " << play.later.served << " of " << play.later.asked << ", forwarded "
                              << play.forwarded << ", attempts " << play.mostAttempts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(cutentries)

BOOST_AUTO_TEST_CASE(first_tries_at_entries_that_reach_no_upstream_are_served_by_others)
{
    for (const Cut cut : {Cut::Hangs, Cut::Resets, Cut::RefusesNew}) {
        for (const std::size_t entries : {1, 4, 6}) {
            for (const bool repeatable : {true, false}) {
                for (const bool staleList : {false, true}) {
                    Partition partition;
                    partition.cut = cut;
                    partition.entries = entries;
                    partition.repeatable = repeatable;
                    partition.staleList = staleList;
                    Play play(partition);
                    play.run();
                    describe(partition, play);
                    BOOST_TEST_CONTEXT("cut " << static_cast<int>(cut) << ", entries " << entries << ", repeatable "
                                              << repeatable << ", stale list " << staleList)
                    {
                        BOOST_TEST(play.cutOff.asked > 50);
                        // Entries that are told of peers without upstreams lose trial requests.
                        BOOST_TEST(percentServed(play.cutOff) >= (staleList ? 85 : 95));
                        BOOST_TEST(percentServed(play.others) >= 99);
                        BOOST_TEST(percentServed(play.later) >= 99);
                        BOOST_TEST(play.executedTwice == 0);
                        BOOST_TEST(play.falselyRefused == 0);
                        BOOST_TEST(play.forwardedLater == 0);
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(
    first_tries_at_entries_that_reach_no_upstream_are_served_while_a_new_leader_does_not_know_the_others)
{
    for (const Cut cut : {Cut::Hangs, Cut::Resets, Cut::RefusesNew}) {
        for (const std::size_t entries : {1, 4, 6}) {
            Partition partition;
            partition.cut = cut;
            partition.entries = entries;
            partition.losesLeader = true;
            Play play(partition);
            play.run();
            describe(partition, play);
            BOOST_TEST_CONTEXT("cut " << static_cast<int>(cut) << ", entries " << entries)
            {
                BOOST_TEST(percentServed(play.cutOff) >= 95);
                BOOST_TEST(percentServed(play.others) >= 99);
                BOOST_TEST(percentServed(play.later) >= 99);
                BOOST_TEST(play.executedTwice == 0);
                BOOST_TEST(play.falselyRefused == 0);
                BOOST_TEST(play.forwardedLater == 0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(first_tries_at_entries_with_few_requests_that_reach_no_upstream_are_served_by_others)
{
    enum class Event { None, Interrupted, Restarted };
    for (const double rate : {6.0, 12.0, 24.0, 48.0}) {
        for (const Cut cut : {Cut::Hangs, Cut::Resets, Cut::RefusesNew}) {
            Count all;
            for (const bool repeatable : {true, false}) {
                for (const Event event : {Event::None, Event::Interrupted, Event::Restarted}) {
                    Partition partition;
                    partition.cut = cut;
                    partition.entries = 4;
                    partition.repeatable = repeatable;
                    partition.requestsPerSecond = rate;
                    if (event == Event::Interrupted) {
                        partition.interruptedAt = CUT_AT + 1'500;
                        partition.interruption = 700;
                    } else if (event == Event::Restarted) {
                        partition.restartAt = CUT_AT + 1'000;
                    }
                    Play play(partition);
                    play.run();
                    BOOST_TEST_CONTEXT("rate " << rate << ", event " << static_cast<int>(event) << ", cut "
                                               << static_cast<int>(cut) << ", repeatable " << repeatable)
                    {
                        describe(partition, play);
                        const std::int64_t asked = play.cutOff.asked + play.others.asked;
                        const std::int64_t failed = play.cutOff.asked - play.cutOff.served;
                        const bool isRare = percentServed(play.cutOff) * 3 < percentServed(play.others) * 2;
                        BOOST_TEST((!isRare || failed <= 10 + asked / 50));
                        all.asked += play.cutOff.asked;
                        all.served += play.cutOff.served;
                        BOOST_TEST(percentServed(play.later) >= 99);
                        BOOST_TEST(play.executedTwice == 0);
                        BOOST_TEST(play.falselyRefused == 0);
                    }
                }
            }
            BOOST_TEST_CONTEXT("rate " << rate << ", cut " << static_cast<int>(cut))
            {
                BOOST_TEST(all.served * 3 >= all.asked * 2);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(crashed_upstreams_cost_one_more_hop_and_no_loop)
{
    for (const std::size_t crashed : {3, 5, 10}) {
        Partition partition;
        partition.entries = 0;
        partition.crashed = crashed;
        Play play(partition);
        play.run();
        describe(partition, play);
        partition.knowsPeers = false;
        Play alone(partition);
        alone.run();
        describe(partition, alone);
        BOOST_TEST_CONTEXT("crashed " << crashed)
        {
            BOOST_TEST(percentServed(play.others) >= percentServed(alone.others) - 3);
            BOOST_TEST(percentServed(play.later) >= 99);
            BOOST_TEST(play.mostAttempts <= 7);
            BOOST_TEST(play.forwardedLater == 0);
            BOOST_TEST(play.falselyRefused == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_entry_without_peers_refuses_at_once_what_it_cannot_send)
{
    Partition partition;
    partition.cut = Cut::RefusesNew;
    partition.knowsPeers = false;
    partition.repeatable = false;
    Play play(partition);
    play.run();
    describe(partition, play);
    BOOST_TEST(play.falselyRefused == 0);
    BOOST_TEST(play.executedTwice == 0);
    BOOST_TEST(percentServed(play.others) >= 99);
    BOOST_TEST(percentServed(play.later) >= 99);
}

BOOST_AUTO_TEST_SUITE_END()
