/**
 * Unit tests of the pacing of prompts, and simulated loads that compare callers' results with and without pacing.
 */
#include "outcome.hpp"

#include "bamboomoor/relay/pacer.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace bamboomoor;
using relay::Pacer;
using relay::test::Outcome;

namespace
{

constexpr base::Millis START{10'000};
constexpr base::Millis OBJECTIVE{400};

/** @brief A stream on the simulated engine. */
struct Stream {
    int entry = 0;
    std::int64_t arrivedAt = 0;
    std::int64_t unread = 0;
    std::int64_t tokensLeft = 0;
    std::int64_t eventAt = 0;
    bool begun = false;
    bool late = false;
};

/** @brief Simulates one engine that interleaves prefill with decoding, and entries that do not see each other's
 * requests. */
class Play
{
public:
    Play(bool paced, double load)
        : m_paced(paced)
        , m_load(load)
        , m_pacers(ENTRIES)
        , m_queues(ENTRIES)
        , m_waiting(ENTRIES)
    {
    }

    Outcome run()
    {
        constexpr std::int64_t LENGTH = 30'000;
        std::exponential_distribution<double> pause(READ_PER_MILLI * m_load / PROMPT);
        double next = static_cast<double>(START.count);
        while (m_now < START.count + LENGTH) {
            while (next <= static_cast<double>(m_now)) {
                arrive(static_cast<std::int64_t>(next));
                next += pause(m_random);
            }
            for (int n = 0; n < ENTRIES; ++n) {
                pump(n);
            }
            step();
        }
        return m_outcome;
    }

private:
    static constexpr int ENTRIES = 7;
    static constexpr double READ_PER_MILLI = 19.2;
    static constexpr double PROMPT = 2'000;
    static constexpr std::int64_t CHUNK = 4'096;
    static constexpr std::int64_t STEP = 10;
    static constexpr std::int64_t FIRST_OBJECTIVE = 1'200;
    static constexpr std::int64_t PATIENCE = FIRST_OBJECTIVE * 8 / 10;
    static constexpr std::int64_t OWN_LIMIT = 4'096;

    void arrive(std::int64_t at)
    {
        ++m_outcome.requested;
        Stream it;
        it.entry = static_cast<int>(m_random() % ENTRIES);
        it.arrivedAt = at;
        it.unread = std::uniform_int_distribution<std::int64_t>(500, 3'500)(m_random);
        it.tokensLeft = m_random() % 5 == 0 ? 170 : 22;
        m_queues[static_cast<std::size_t>(it.entry)].push_back(it);
    }

    void pump(int entry)
    {
        const auto n = static_cast<std::size_t>(entry);
        while (!m_queues[n].empty()) {
            const Stream it = m_queues[n].front();
            if (m_now - it.arrivedAt > PATIENCE) {
                ++m_outcome.refused;
                m_queues[n].pop_front();
                continue;
            }
            if (m_waiting[n] >= OWN_LIMIT || (m_paced && !m_pacers[n].canSend({m_now}))) {
                return;
            }
            m_queues[n].pop_front();
            m_pacers[n].sent({m_now}, it.unread);
            m_waiting[n] += it.unread;
            m_streams.push_back(it);
            m_streams.back().eventAt = m_now;
        }
    }

    void step()
    {
        std::int64_t room = CHUNK;
        for (Stream &it : m_streams) {
            if (it.unread > 0 && room > 0) {
                const std::int64_t part = std::min(room, it.unread);
                it.unread -= part;
                room -= part;
                m_waiting[static_cast<std::size_t>(it.entry)] -= part;
            }
        }
        m_now += STEP + static_cast<std::int64_t>(static_cast<double>(CHUNK - room) / READ_PER_MILLI);
        for (Stream &it : m_streams) {
            if (it.unread > 0 || --it.tokensLeft % 2 != 0) {
                continue;
            }
            const base::Millis pause{m_now - it.eventAt};
            const base::Millis objective = it.begun ? OBJECTIVE : OBJECTIVE * 3;
            it.late = it.late || pause > objective || (!it.begun && m_now - it.arrivedAt > FIRST_OBJECTIVE);
            m_pacers[static_cast<std::size_t>(it.entry)].onPause({m_now}, pause, objective);
            it.begun = true;
            it.eventAt = m_now;
        }
        std::erase_if(m_streams, [this](const Stream &it) {
            if (it.tokensLeft <= 0) {
                ++(it.late ? m_outcome.late : m_outcome.inTime);
            }
            return it.tokensLeft <= 0;
        });
    }

    bool m_paced;
    double m_load;
    std::mt19937_64 m_random{4711};
    std::int64_t m_now = START.count;
    Outcome m_outcome;
    std::vector<Pacer> m_pacers;
    std::vector<std::deque<Stream>> m_queues;
    std::vector<std::int64_t> m_waiting;
    std::deque<Stream> m_streams;
};

} // namespace

BOOST_AUTO_TEST_SUITE(pacer)

BOOST_AUTO_TEST_CASE(a_prompt_larger_than_the_bucket_is_sent_and_overdraws_it)
{
    Pacer it;
    BOOST_TEST(it.canSend(START));
    it.sent(START, 8'000);
    BOOST_TEST(!it.canSend(START));
    BOOST_TEST(it.deficit(START) > 3'000);
    BOOST_TEST(it.canSend(START + base::Millis{5'000}));
}

BOOST_AUTO_TEST_CASE(long_pauses_lower_the_rate_which_recovers_without_feedback)
{
    Pacer it;
    const double before = it.rate();
    for (std::int64_t n = 0; n < 20; ++n) {
        it.onPause(START + base::Millis{n * 500}, OBJECTIVE, OBJECTIVE);
    }
    BOOST_TEST(it.rate() < before / 2);
    it.sent(START + base::Millis{20'000}, 1);
    BOOST_TEST(it.rate() >= before);
}

BOOST_AUTO_TEST_CASE(short_pauses_raise_only_a_rate_that_is_used)
{
    Pacer idle;
    Pacer used;
    for (std::int64_t n = 0; n < 50; ++n) {
        const base::Millis at = START + base::Millis{n * 250};
        used.sent(at, 4'000);
        idle.onPause(at, {30}, OBJECTIVE);
        used.onPause(at, {30}, OBJECTIVE);
    }
    BOOST_TEST(idle.rate() == Pacer().rate());
    BOOST_TEST(used.rate() > Pacer().rate() * 2);
}

// The load is 1.5 times what the engine can process. Without pacing every stream has pauses above the objective.
BOOST_AUTO_TEST_CASE(under_a_simulated_overload_more_callers_are_served_in_time)
{
    const Outcome paced = Play(true, 1.5).run();
    const Outcome unpaced = Play(false, 1.5).run();
    BOOST_TEST_MESSAGE("paced: " << paced.inTime << " in time, " << paced.late << " late, " << paced.refused
                                 << " refused of " << paced.requested << "; unpaced: " << unpaced.inTime << " in time, "
                                 << unpaced.late << " late, " << unpaced.refused << " refused");
    BOOST_TEST(paced.inTime > unpaced.inTime * 2);
    // Half of what the engine can process, which is two thirds of the load.
    BOOST_TEST(paced.inTime * 3 > paced.requested);
}

// Pacing must not reject a load that the engine can sustain.
BOOST_AUTO_TEST_CASE(under_a_sustainable_simulated_load_few_callers_are_rejected)
{
    const Outcome paced = Play(true, 0.6).run();
    BOOST_TEST_MESSAGE("paced: " << paced.inTime << " in time, " << paced.late << " late, " << paced.refused
                                 << " refused of " << paced.requested);
    BOOST_TEST(paced.refused * 20 < paced.requested);
}

BOOST_AUTO_TEST_SUITE_END()
