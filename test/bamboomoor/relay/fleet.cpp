/**
 * Unit tests of the selection of upstreams, and a simulated load that compares it with random selection.
 */
#include "bamboomoor/relay/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace bamboomoor;
using relay::Fleet;
using relay::Requirements;
using relay::UnavailableReason;
using relay::Worker;

namespace
{

constexpr base::Millis START{10'000};

Worker engine(const std::string &id, std::set<std::string> holds)
{
    Worker out;
    out.id = id;
    out.address = "10.0.0.1:80";
    out.service = "llm";
    out.holdings = std::move(holds);
    return out;
}

Requirements prompt(std::int64_t tokens)
{
    return {"llm", "m", {}, tokens, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(only_an_engine_with_the_model_loaded_is_selected)
{
    Fleet fleet({});
    fleet.update({engine("a", {"x"}), engine("b", {"m", "m/a1"})});
    BOOST_TEST(fleet.choose(START, prompt(10))->id == "b");
    const Requirements other{"llm", "y", {}, 10, {}};
    BOOST_TEST(!fleet.choose(START, other).has_value());
    BOOST_TEST((fleet.unavailableReason(START, other) == UnavailableReason::NotHeld));
    BOOST_TEST((fleet.unavailableReason(START, {"nobody", "", {}, 0, {}}) == UnavailableReason::NoUpstream));
}

BOOST_AUTO_TEST_CASE(an_engine_with_a_full_step_queued_gets_no_further_prompt)
{
    Fleet fleet({});
    fleet.update({engine("a", {"m"})});
    const auto choice = fleet.choose(START, prompt(5'000));
    fleet.onSent(START, *choice, prompt(5'000));
    BOOST_TEST(!fleet.choose(START, prompt(10)).has_value());
    BOOST_TEST((fleet.unavailableReason(START, prompt(10)) == UnavailableReason::Busy));
    BOOST_TEST(!fleet.hasRoom(START, prompt(10)));
    fleet.onFirstEvent(START + base::Millis{1'500}, *choice, START);
    BOOST_TEST(fleet.hasRoom(START + base::Millis{1'500}, prompt(10)));
}

BOOST_AUTO_TEST_CASE(a_missing_model_excludes_an_engine_until_its_next_announcement)
{
    Fleet fleet({});
    fleet.update({engine("a", {"m"})});
    fleet.onMissingHolding("a", "m");
    BOOST_TEST(!fleet.choose(START, prompt(10)).has_value());
    Worker later = engine("a", {"m"});
    later.sequence = 2;
    fleet.update({later});
    BOOST_TEST(fleet.choose(START, prompt(10)).has_value());
}

// Connections to a VM that was switched off are reset only when it is back.
BOOST_AUTO_TEST_CASE(a_connection_lost_with_an_earlier_process_is_no_failure_of_the_one_that_replaced_it)
{
    Fleet fleet({});
    Worker restarted = engine("a", {"m"});
    fleet.update({restarted});
    auto earlier = fleet.choose(START, prompt(10));
    earlier->freshConnection = true;
    fleet.onSent(START, *earlier, prompt(10));
    ++restarted.incarnation;
    fleet.update({restarted});
    const auto current = fleet.choose(START, prompt(10));
    fleet.onSent(START, *current, prompt(10));
    fleet.onEnded(START, *earlier, false, relay::AttemptResult::Lost);
    BOOST_TEST(fleet.choose(START, prompt(10)).has_value());
    BOOST_TEST(fleet.unreachable(START).empty());
    BOOST_TEST(fleet.queuedTokens().at("a") == 10);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_refused_a_connection_is_avoided_for_a_while)
{
    Fleet fleet({});
    Worker one = engine("a", {});
    Worker two = engine("b", {});
    fleet.update({one, two});
    const Requirements wanted{"llm", "", {}, 0, {}};
    relay::Choice dead;
    dead.id = "a";
    fleet.onSent(START, dead, wanted);
    fleet.onEnded(START, dead, false, relay::AttemptResult::NotReached);
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(fleet.choose(START + base::Millis{10}, wanted)->id == "b");
    }
}

BOOST_AUTO_TEST_CASE(a_model_whose_only_engine_refuses_connections_is_not_held)
{
    Fleet fleet({});
    fleet.update({engine("a", {"m"})});
    const auto choice = fleet.choose(START, prompt(10));
    fleet.onSent(START, *choice, prompt(10));
    fleet.onEnded(START, *choice, false, relay::AttemptResult::NotReached);
    const base::Millis soon = START + base::Millis{10};
    BOOST_TEST(!fleet.choose(soon, prompt(10)).has_value());
    BOOST_TEST((fleet.unavailableReason(soon, prompt(10)) == UnavailableReason::NotHeld));
    BOOST_TEST(fleet.unreachable(soon) == std::vector<std::string>{"a"});
    const base::Millis later = START + base::Millis{400};
    BOOST_TEST(fleet.choose(later, prompt(10)).has_value());
    BOOST_TEST(fleet.unreachable(later).empty());
    // The back-off does not apply to a later process at the same address.
    Worker reborn = engine("a", {"m"});
    reborn.incarnation = 2;
    fleet.update({reborn});
    BOOST_TEST(fleet.choose(soon, prompt(10)).has_value());
}

BOOST_AUTO_TEST_CASE(a_model_whose_only_engine_answers_no_connection_attempt_is_waited_for_while_it_may_be_paused)
{
    const relay::FleetOptions options;
    Fleet fleet(options);
    fleet.update({engine("a", {"m"})});
    const auto fail = [&](base::Millis now) {
        auto choice = fleet.choose(now, prompt(10));
        BOOST_REQUIRE(choice.has_value());
        choice->freshConnection = true;
        fleet.onSent(now, *choice, prompt(10));
        fleet.onEnded(now, *choice, false, relay::AttemptResult::Unanswered);
        return *choice;
    };
    fail(START);
    base::Millis now = START + base::Millis{10};
    BOOST_TEST(!fleet.choose(now, prompt(10)).has_value());
    BOOST_TEST((fleet.unavailableReason(now, prompt(10)) == UnavailableReason::Busy));
    BOOST_TEST((fleet.unavailableReason(now, {"llm", "other", {}, 10, {}}) == UnavailableReason::NotHeld));
    BOOST_TEST(fleet.unreachable(now) == std::vector<std::string>{"a"});
    // It is tried as often as at first, until it has been silent for longer than sound ones are.
    now = START + options.initialBackoff;
    fail(now);
    now = START + options.initialBackoff * 2;
    const relay::Choice last = fail(now);
    now = START + options.maxPause;
    BOOST_TEST((fleet.unavailableReason(now, prompt(10)) == UnavailableReason::Busy));
    fail(now);
    BOOST_TEST((fleet.unavailableReason(now, prompt(10)) == UnavailableReason::NotHeld));
    // A response over a new connection shows that it is back.
    fleet.onFirstEvent(now + base::Millis{10}, last, now);
    BOOST_TEST(fleet.choose(now + base::Millis{10}, prompt(10)).has_value());
}

BOOST_AUTO_TEST_CASE(an_adapter_is_loaded_by_an_engine_with_its_base_model)
{
    Fleet fleet({});
    fleet.update({engine("a", {"m"}), engine("b", {"x"})});
    const Requirements wanted{"llm", "m/a1", {}, 10, {}};
    BOOST_TEST((fleet.unavailableReason(START, wanted) == UnavailableReason::Loading));
    BOOST_TEST((fleet.unavailableReason(START, {"llm", "y/a1", {}, 10, {}}) == UnavailableReason::NotHeld));
    fleet.setPlacements(START, {{"a", "m/a1", {0}}, {"b", "m", {5'000}}});
    BOOST_TEST(fleet.choose(START, wanted)->id == "a");
    BOOST_TEST((fleet.nextReplicaIn(START, wanted) == base::Millis{5'000}));
    // The engine's own response takes precedence over the reported placement.
    fleet.onMissingHolding("a", "m/a1");
    BOOST_TEST(!fleet.choose(START, wanted).has_value());
}

BOOST_AUTO_TEST_CASE(a_plain_service_that_resets_connections_gets_fewer_concurrent_requests)
{
    relay::FleetOptions options;
    options.initialWindow = 4;
    Fleet fleet(options);
    fleet.update({engine("a", {})});
    const Requirements wanted{"llm", "", {}, 0, {}};
    const auto fill = [&] {
        std::vector<relay::Choice> sent;
        while (const auto choice = fleet.choose(START, wanted)) {
            fleet.onSent(START, *choice, wanted);
            sent.push_back(*choice);
        }
        return sent;
    };
    const auto first = fill();
    BOOST_TEST(first.size() == 4U);
    BOOST_TEST((fleet.unavailableReason(START, wanted) == UnavailableReason::Busy));
    for (const relay::Choice &it : first) {
        fleet.onEnded(START, it, false, relay::AttemptResult::Failed);
    }
    BOOST_TEST(fill().size() == 1U);
    for (int n = 0; n < 20; ++n) {
        relay::Choice answered;
        answered.id = "a";
        fleet.onEnded(START, answered, true, relay::AttemptResult::Answered);
    }
    BOOST_TEST(fill().size() > 4U);
}

BOOST_AUTO_TEST_CASE(a_silent_engine_is_avoided_before_its_requests_end)
{
    Fleet fleet({});
    fleet.update({engine("a", {"m"}), engine("b", {"m"})});
    relay::Choice mute;
    mute.id = "a";
    fleet.onSent(START, mute, prompt(100));
    fleet.onStall(START + base::Millis{1'200}, mute);
    for (int n = 0; n < 10; ++n) {
        BOOST_TEST(fleet.choose(START + base::Millis{1'210}, prompt(100))->id == "b");
    }
}

BOOST_AUTO_TEST_CASE(a_prompt_goes_to_the_engine_that_caches_its_prefix)
{
    Fleet fleet({});
    fleet.update({engine("a", {"m"}), engine("b", {"m"})});
    Requirements wanted = prompt(2'000);
    wanted.parts = {{"p", 1'500}, {"own", 500}};
    const auto first = fleet.choose(START, wanted);
    fleet.onSent(START, *first, wanted);
    fleet.onFirstEvent(START, *first, START);
    fleet.onEnded(START, *first, true, relay::AttemptResult::Answered);
    // The pacer allows the next prompt after the first one was processed.
    const base::Millis later = START + base::Millis{1'000};
    for (int n = 0; n < 10; ++n) {
        const auto again = fleet.choose(later, wanted);
        BOOST_TEST(again->id == first->id);
        BOOST_TEST(again->newTokens == 0);
    }
}

// Bursts of prompts of very different length on engines that process one after the other. Random selection, which
// ignores the length, makes the tail of the waits several times as long.
BOOST_AUTO_TEST_CASE(under_a_simulated_load_callers_wait_less_than_with_random_selection)
{
    const auto play = [](bool byFleet) {
        constexpr int ENGINES = 6;
        constexpr int PROMPTS = 600;
        constexpr std::int64_t RATE = 19;
        std::mt19937_64 random(4711);
        relay::FleetOptions options;
        options.maxQueuedTokens = 1'000'000;
        options.pacer.initialRate = options.pacer.maxRate = 1'000;
        Fleet fleet(options);
        std::vector<Worker> workers;
        workers.reserve(ENGINES);
        for (int n = 0; n < ENGINES; ++n) {
            workers.push_back(engine("e" + std::to_string(n), {"m"}));
        }
        fleet.update(workers);
        struct Waiting {
            relay::Choice choice;
            std::int64_t sentAt = 0;
            std::int64_t firstAt = 0;
        };
        std::vector<std::int64_t> freeAt(ENGINES, START.count);
        std::deque<Waiting> waiting;
        std::vector<std::int64_t> waits;
        std::int64_t now = START.count;
        for (int n = 0; n < PROMPTS; ++n) {
            now += static_cast<std::int64_t>(random() % 48);
            for (auto it = waiting.begin(); it != waiting.end();) {
                if (it->firstAt > now) {
                    ++it;
                    continue;
                }
                fleet.onFirstEvent({it->firstAt}, it->choice, {it->sentAt});
                fleet.onEnded({it->firstAt}, it->choice, true, relay::AttemptResult::Answered);
                it = waiting.erase(it);
            }
            const Requirements wanted = prompt(n % 10 == 0 ? 6'000 : 1'200);
            relay::Choice choice = *fleet.choose({now}, wanted);
            if (!byFleet) {
                choice.id = "e" + std::to_string(random() % ENGINES);
            }
            fleet.onSent({now}, choice, wanted);
            auto &free = freeAt[static_cast<std::size_t>(choice.id[1] - '0')];
            free = std::max(free, now) + wanted.promptTokens / RATE;
            waits.push_back(free - now);
            waiting.push_back({choice, now, free});
        }
        std::sort(waits.begin(), waits.end());
        return waits[waits.size() * 95 / 100];
    };
    const std::int64_t chosen = play(true);
    const std::int64_t random = play(false);
    BOOST_TEST_MESSAGE(
        "first event of 95 in 100 within " << chosen << " ms, with random selection " << random << " ms");
    BOOST_TEST(chosen * 3 < random * 2);
}

BOOST_AUTO_TEST_SUITE_END()
