/**
 * Tests of the decision that a worker is unreachable, with a played worker whose sockets pause or that is gone, its
 * model's placement, and the evidence of crashes.
 */
#include "bamboomoor/control/suspecttracker.hpp"

#include "bamboomoor/placement/residency.hpp"
#include "bamboomoor/quarantine/crashanalysis.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace bamboomoor;
using control::Connection;
using control::SuspectVerdict;

namespace
{

constexpr base::Millis STEP{10};
constexpr base::Millis CONNECT_TIMEOUT{400};
constexpr base::Millis ROUND_TRIP{10};
constexpr base::Millis ANNOUNCED_EVERY{1'000};
// Steady operation before the fault.
constexpr base::Millis FAULT_AT{10'000};
constexpr base::Millis END{20'000};

enum class Fault { Pause, Vanished, Ended };

/** @brief A leader, and two workers of which the first alone holds model m until its fault. */
struct Play {
    Fault fault;
    base::Millis pause;
    // Shifts the announcements against the fault.
    base::Millis phase;
    // When an entry reports the fault first; its own attempts take the connect timeout.
    base::Millis reportedAfter;

    explicit Play(
        Fault theFault, base::Millis thePause = {}, base::Millis thePhase = {}, base::Millis after = CONNECT_TIMEOUT)
        : fault(theFault)
        , pause(thePause)
        , phase(thePhase)
        , reportedAfter(after)
    {
    }

    struct Inspection {
        base::Millis sentAt;
        base::Millis endsAt;
        Connection connection;
    };

    control::SuspectTracker suspects;
    placement::Residency plan;
    quarantine::CrashAnalysis crashes;
    std::deque<Inspection> inspections;
    std::optional<base::Millis> unreachableAt;
    std::optional<base::Millis> orderedElsewhereAt;
    std::size_t inspected = 0;

    [[nodiscard]] bool isDown(base::Millis at) const
    {
        return at >= FAULT_AT && (fault != Fault::Pause || at < FAULT_AT + pause);
    }

    void inspect(base::Millis now)
    {
        ++inspected;
        if (!isDown(now)) {
            inspections.push_back({now, now + ROUND_TRIP, Connection::Accepted});
        } else if (fault == Fault::Ended) {
            inspections.push_back({now, now + ROUND_TRIP, Connection::Refused});
        } else {
            inspections.push_back({now, now + CONNECT_TIMEOUT, Connection::NotAnswered});
        }
    }

    void run()
    {
        placement::EngineSpec spec;
        spec.models["m"] = {90, 0, 1, {4'000}};
        spec.memoryMib = 200;
        spec.loadsPerSecond = 2;
        plan.setEngines({{"llm", spec}});
        plan.begin({0}, {0});
        std::uint64_t sequence = 1;
        for (base::Millis now{0}; now < END; now = now + STEP) {
            if ((now - phase).count % ANNOUNCED_EVERY.count == 0 && !isDown(now)) {
                ++sequence;
            }
            placement::WorkerReport holder{"w1", 1, "10.0.0.1:80", "llm", sequence, false, false, {}, {}};
            holder.holdings.models["m"];
            const placement::WorkerReport empty{"w2", 1, "10.0.0.2:80", "llm", sequence, false, false, {}, {}};
            // Its announcement expires later than any of these plays is interested in.
            plan.setWorkers(now, {holder, empty});
            plan.setDemand(now, "e1", {{"m", "", 1, 0}});
            if (now == FAULT_AT) {
                for (const char *request : {"r1", "r2"}) {
                    static_cast<void>(crashes.add(now, {{"w1", 1}, now, request, {"part"}}));
                }
            }
            // Entries report at least this often what they cannot reach.
            const bool reported = isDown(now) && now >= FAULT_AT + reportedAfter;
            if (reported && now.count % 200 == 0 && suspects.suspect(now, "w1")) {
                inspect(now);
            }
            while (!inspections.empty() && inspections.front().endsAt <= now) {
                const Inspection it = inspections.front();
                inspections.pop_front();
                const SuspectVerdict verdict = suspects.onInspected(now, "w1", it.sentAt, it.connection);
                if (verdict == SuspectVerdict::InspectAgain) {
                    inspect(now);
                } else if (verdict == SuspectVerdict::Unreachable) {
                    unreachableAt = unreachableAt.value_or(now);
                    plan.unreachable("w1");
                    crashes.onUnreachable(now, "w1");
                }
            }
            for (const placement::ResidencyOrder &it : plan.plan(now).orders) {
                if (now >= FAULT_AT && it.worker == "w2" && it.reason == "lost") {
                    orderedElsewhereAt = orderedElsewhereAt.value_or(now);
                }
                plan.ordered(now, it.worker, placement::ResidencyOrderResult::Accepted);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(suspecttracker)

BOOST_AUTO_TEST_CASE(a_worker_that_pauses_for_a_second_and_a_half_keeps_its_models_and_has_not_crashed)
{
    for (std::int64_t phase = 0; phase < ANNOUNCED_EVERY.count; phase += 50) {
        for (const base::Millis after :
            {base::Millis{0}, base::Millis{400}, base::Millis{1'200}, base::Millis{1'490}}) {
            Play it(Fault::Pause, {1'500}, {phase}, after);
            it.run();
            BOOST_TEST(!it.unreachableAt);
            BOOST_TEST(!it.orderedElsewhereAt);
            BOOST_TEST(it.crashes.hasUnconfirmed());
            BOOST_TEST(it.inspected <= 6U);
        }
    }
}

BOOST_AUTO_TEST_CASE(models_of_a_worker_that_refuses_connections_are_ordered_elsewhere_within_half_a_second)
{
    Play it(Fault::Ended);
    it.run();
    BOOST_REQUIRE(it.unreachableAt.has_value());
    BOOST_TEST((*it.unreachableAt - FAULT_AT).count <= 410);
    BOOST_REQUIRE(it.orderedElsewhereAt.has_value());
    BOOST_TEST((*it.orderedElsewhereAt - FAULT_AT).count <= 660);
    BOOST_TEST(!it.crashes.hasUnconfirmed());
}

BOOST_AUTO_TEST_CASE(models_of_a_worker_that_answers_no_connection_attempt_for_long_are_ordered_elsewhere)
{
    Play it(Fault::Vanished);
    it.run();
    BOOST_REQUIRE(it.unreachableAt.has_value());
    BOOST_TEST((*it.unreachableAt - FAULT_AT).count <= 2'400);
    BOOST_REQUIRE(it.orderedElsewhereAt.has_value());
    BOOST_TEST((*it.orderedElsewhereAt - FAULT_AT).count <= 2'650);
    BOOST_TEST(!it.crashes.hasUnconfirmed());
}

BOOST_AUTO_TEST_CASE(a_worker_that_is_not_suspected_is_not_judged_and_one_is_not_inspected_more_often_than_its_interval)
{
    control::SuspectTracker it({.interval = {500}, .maxSilence = {2'000}});
    BOOST_TEST((it.onInspected({0}, "w1", {0}, Connection::Refused) == SuspectVerdict::None));
    BOOST_TEST(it.suspect({1'000}, "w1"));
    BOOST_TEST(!it.suspect({1'500}, "w1"));
    BOOST_TEST((it.onInspected({1'400}, "w1", {1'000}, Connection::NotAnswered) == SuspectVerdict::InspectAgain));
    // Another inspection of the same time ended likewise: the repeated one is in progress.
    BOOST_TEST((it.onInspected({1'410}, "w1", {1'010}, Connection::NotAnswered) == SuspectVerdict::None));
    BOOST_TEST((it.onInspected({1'420}, "w1", {1'400}, Connection::Accepted) == SuspectVerdict::None));
    BOOST_TEST((it.onInspected({3'300}, "w1", {2'900}, Connection::NotAnswered) == SuspectVerdict::InspectAgain));
}

BOOST_AUTO_TEST_CASE(a_crash_is_found_although_the_first_inspection_met_the_process_while_it_exited)
{
    control::SuspectTracker it;
    BOOST_TEST(it.suspect({1'000}, "w1"));
    BOOST_TEST((it.onInspected({1'001}, "w1", {1'000}, control::connectionOf(http::EndKind::ResetBeforeAnswer))
        == SuspectVerdict::None));
    BOOST_REQUIRE(it.dueAt().has_value());
    BOOST_TEST(it.dueAt()->count <= 1'101);
    BOOST_TEST(it.takeDue({1'000}).empty());
    // Suspicions against others do not end the repetition.
    BOOST_TEST(!it.suspect({1'050}, "w1"));
    BOOST_TEST(it.suspect({1'600}, "w2"));
    BOOST_TEST(it.takeDue({1'600}) == std::vector<std::string>{"w1"});
    BOOST_TEST(!it.dueAt());
    BOOST_TEST((it.onInspected({1'601}, "w1", {1'600}, control::connectionOf(http::EndKind::ConnectFailed))
        == SuspectVerdict::Unreachable));
}

BOOST_AUTO_TEST_CASE(a_crash_is_found_although_other_upstreams_are_suspected_while_its_slow_inspection_is_in_progress)
{
    control::SuspectTracker it;
    BOOST_TEST(it.suspect({1'000}, "w1"));
    for (base::Millis now{1'100}; now <= base::Millis{1'900}; now = now + base::Millis{100}) {
        BOOST_TEST(it.suspect(now, "w" + std::to_string(now.count)));
    }
    // The inspection in progress is not doubled.
    BOOST_TEST(!it.suspect({1'950}, "w1"));
    BOOST_TEST((it.onInspected({1'960}, "w1", {1'000}, control::connectionOf(http::EndKind::ConnectFailed))
        == SuspectVerdict::Unreachable));
}

BOOST_AUTO_TEST_CASE(a_crash_is_found_although_the_first_inspection_timed_out)
{
    for (const http::EndKind end : {http::EndKind::TimedOut, http::EndKind::Silent, http::EndKind::ResetDuring,
             http::EndKind::Truncated, http::EndKind::Cancelled}) {
        control::SuspectTracker it;
        BOOST_TEST(it.suspect({1'000}, "w1"));
        // The leader's client may stall for longer than the timeout of the inspection.
        BOOST_TEST((it.onInspected({3'500}, "w1", {1'000}, control::connectionOf(end)) == SuspectVerdict::None));
        BOOST_TEST(it.takeDue({3'600}) == std::vector<std::string>{"w1"});
        BOOST_TEST((it.onInspected({3'601}, "w1", {3'600}, control::connectionOf(http::EndKind::ConnectFailed))
            == SuspectVerdict::Unreachable));
    }
}

BOOST_AUTO_TEST_CASE(a_crash_is_found_although_another_process_answers_at_the_address)
{
    control::SuspectTracker it;
    BOOST_TEST(it.suspect({1'000}, "w1"));
    BOOST_TEST((it.onInspected({4'000}, "w1", {3'999}, Connection::Replaced) == SuspectVerdict::Unreachable));
}

BOOST_AUTO_TEST_CASE(a_crash_is_found_although_an_inspection_just_before_it_was_answered)
{
    control::SuspectTracker it;
    // A reset connection, of a process that runs.
    BOOST_TEST(it.suspect({1'000}, "w1"));
    BOOST_TEST((it.onInspected({1'005}, "w1", {1'000}, Connection::Accepted) == SuspectVerdict::None));
    // The crash.
    BOOST_TEST(!it.suspect({1'100}, "w1"));
    BOOST_TEST(it.suspect({1'600}, "w2"));
    BOOST_TEST(it.takeDue({1'600}) == std::vector<std::string>{"w1"});
    BOOST_TEST((it.onInspected({1'601}, "w1", {1'600}, Connection::Refused) == SuspectVerdict::Unreachable));
    BOOST_TEST(!it.dueAt());
}

BOOST_AUTO_TEST_CASE(a_crash_is_found_although_it_was_reported_while_an_earlier_inspection_was_in_progress)
{
    control::SuspectTracker it;
    BOOST_TEST(it.suspect({1'000}, "w1"));
    BOOST_TEST(!it.suspect({1'010}, "w1"));
    BOOST_TEST((it.onInspected({1'020}, "w1", {1'000}, Connection::Accepted) == SuspectVerdict::None));
    BOOST_TEST(it.takeDue({1'500}) == std::vector<std::string>{"w1"});
    BOOST_TEST((it.onInspected({1'501}, "w1", {1'500}, Connection::Accepted) == SuspectVerdict::None));
    BOOST_TEST(!it.dueAt());
}

BOOST_AUTO_TEST_CASE(an_attempt_is_found_to_be_lost_in_a_crash_that_was_noticed_before_it_was_reported)
{
    control::SuspectTracker it;
    BOOST_TEST(it.suspect({1'000}, "w1"));
    BOOST_TEST((it.onInspected({1'001}, "w1", {1'000}, Connection::Refused) == SuspectVerdict::Unreachable));
    BOOST_TEST(!it.suspect({1'100}, "w1"));
    BOOST_TEST(it.takeDue({1'500}) == std::vector<std::string>{"w1"});
}

BOOST_AUTO_TEST_CASE(a_response_to_an_inspection_that_was_sent_before_the_suspicion_does_not_end_it)
{
    control::SuspectTracker it;
    BOOST_TEST(it.suspect({1'000}, "w1"));
    BOOST_TEST((it.onInspected({1'001}, "w1", {1'000}, Connection::Dropped) == SuspectVerdict::None));
    BOOST_TEST((it.onInspected({1'010}, "w1", {900}, Connection::Accepted) == SuspectVerdict::None));
    BOOST_TEST(it.takeDue({1'200}) == std::vector<std::string>{"w1"});
}

BOOST_AUTO_TEST_CASE(an_upstream_that_closes_surplus_connections_is_not_found_to_be_gone_and_inspected_for_a_while_only)
{
    control::SuspectTracker it;
    BOOST_TEST(it.suspect({0}, "w1"));
    std::size_t inspected = 1;
    BOOST_TEST((it.onInspected({1}, "w1", {0}, Connection::Dropped) == SuspectVerdict::None));
    for (base::Millis now{0}; now < base::Millis{10'000}; now = now + STEP) {
        for (const std::string &upstream : it.takeDue(now)) {
            ++inspected;
            BOOST_TEST((it.onInspected(now, upstream, now, Connection::Dropped) == SuspectVerdict::None));
        }
    }
    BOOST_TEST(inspected >= 10U);
    BOOST_TEST(inspected <= 25U);
    BOOST_TEST(!it.dueAt());
    BOOST_TEST(it.suspect({10'000}, "w1"));
}

BOOST_AUTO_TEST_SUITE_END()
