/**
 * Tests of the leader's side of quarantines, by the messages between entries and the leader.
 */
#include "bamboomoor/control/crashreports.hpp"
#include "bamboomoor/control/quarantinewire.hpp"
#include "bamboomoor/state/machine.hpp"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bamboomoor;

namespace
{

/** @brief Records what the leader is asked to do; inspected upstreams turn out to be gone. */
struct Leader : control::CrashReportEffects {
    control::CrashReports reports;
    state::Machine machine;
    std::uint64_t term = 1;
    // False while proposals are neither committed nor rejected.
    bool commits = true;
    std::size_t commands = 0;
    base::Millis wallNow{1'800'000'000'000};
    std::vector<std::string> inspected;
    std::vector<std::string> events;
    int quarantines = 0;
    base::Millis now{10'000};

    void log(const base::LogLine &line) override
    {
        events.push_back(line.event());
    }

    void inspect(const std::string &upstream) override
    {
        inspected.push_back(upstream);
    }

    void countQuarantine() override
    {
        ++quarantines;
    }

    void record(const control::QuarantineRecord &record) override
    {
        ++commands;
        if (commits) {
            const state::Command command = control::recordCommand(now, wallNow, record.quarantines);
            static_cast<void>(machine.apply(machine.lastIndex() + 1, state::encode(command)));
            pending = record.number;
        }
    }

    void wait(base::Millis time)
    {
        now = now + time;
        wallNow = wallNow + time;
    }

    // All voters start again with what their disks hold, and one of them leads; their clock starts anew.
    void restart()
    {
        reports = control::CrashReports();
        machine = state::Machine::restore(machine.snapshot()).value();
        events.clear();
        pending.reset();
        now = base::Millis{700};
        ++term;
        reports.begin(now, wallNow, term, machine.quarantines().ends(), *this);
    }

    void exchange(quarantine::PromptGuard &guard, const char *vm)
    {
        peer::wire::DemandReport request;
        request.set_vm(vm);
        control::toWire(now, guard.takeReport(now), request);
        peer::wire::DemandReply reply;
        reply.set_term(term);
        reports.exchange(now, term, request, reply, *this);
        static_cast<void>(guard.onLeaderReply(now, control::quarantineReply(now, reply)));
        if (const auto number = std::exchange(pending, std::nullopt)) {
            reports.onRecorded(term, *number, true, *this);
        }
        wait({200});
    }

    // Quarantines a request, as three upstreams crashed on it.
    void crashThree(quarantine::PromptGuard &guard, const quarantine::RequestTraits &request)
    {
        for (const char *upstream : {"w1", "w2", "w3"}) {
            guard.onLost(now, {upstream, ++incarnation}, request, now);
            exchange(guard, "a");
            reports.onUnreachable(now, upstream);
            exchange(guard, "a");
        }
    }

    std::optional<std::uint64_t> pending;
    std::uint64_t incarnation = 0;
};

const quarantine::RequestTraits REQUEST{{}, "f1"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashreports, Leader)

BOOST_AUTO_TEST_CASE(a_request_lost_at_three_upstreams_by_two_entries_is_quarantined_at_both)
{
    const quarantine::RequestTraits request{{}, "f1"};
    quarantine::PromptGuard a;
    quarantine::PromptGuard b;
    a.onLost(now, {"w1", 1}, request, now);
    exchange(a, "a");
    b.onLost(now, {"w2", 1}, request, now);
    exchange(b, "b");
    b.onLost(now, {"w3", 1}, request, now);
    exchange(b, "b");
    BOOST_TEST((inspected == std::vector<std::string>{"w1", "w2", "w3"}));
    exchange(a, "a");
    BOOST_TEST(!a.quarantined(now, request).has_value());
    for (const std::string &it : inspected) {
        reports.onUnreachable(now, it);
    }
    exchange(a, "a");
    exchange(b, "b");
    BOOST_TEST(a.quarantined(now, request).has_value());
    BOOST_TEST(b.quarantined(now, request).has_value());
    BOOST_TEST(!b.quarantined(now, {{}, "f2"}).has_value());
    BOOST_TEST(quarantines == 1);
    BOOST_TEST((events
        == std::vector<std::string>{
            "attempt_lost", "attempt_lost", "attempt_lost", "part_quarantined", "quarantines_recorded"}));
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_reaches_no_upstream_after_a_restart_of_everything)
{
    quarantine::PromptGuard before;
    crashThree(before, REQUEST);
    BOOST_TEST(before.quarantined(now, REQUEST).has_value());
    wait({60'000});
    restart();
    quarantine::PromptGuard after;
    exchange(after, "a");
    const auto found = after.quarantined(now, REQUEST);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->second.count < 600'000 - 60'000);
    BOOST_TEST(found->second.count > 600'000 - 70'000);
    BOOST_TEST((events == std::vector<std::string>{"part_quarantined"}));
    // A retry that this entry had sent before its first report is no evidence against others.
    after.onLost(now, {"w4", 1}, REQUEST, now);
    exchange(after, "a");
    BOOST_TEST(inspected.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_lifted_quarantine_stays_lifted_after_a_restart_of_everything)
{
    quarantine::PromptGuard before;
    crashThree(before, REQUEST);
    BOOST_TEST(machine.quarantines().ends().size() == 1U);
    wait({1'000});
    before.onSurvival(now, REQUEST);
    exchange(before, "a");
    BOOST_TEST(machine.quarantines().ends().empty());
    restart();
    quarantine::PromptGuard after;
    exchange(after, "a");
    BOOST_TEST(!after.quarantined(now, REQUEST).has_value());
}

BOOST_AUTO_TEST_CASE(a_quarantine_that_ended_is_removed_from_the_state)
{
    quarantine::PromptGuard guard;
    crashThree(guard, REQUEST);
    wait({600'000});
    exchange(guard, "a");
    BOOST_TEST(machine.quarantines().ends().empty());
    BOOST_TEST(commands == 2U);
}

BOOST_AUTO_TEST_CASE(a_quarantine_that_ended_while_everything_was_down_is_forgotten)
{
    quarantine::PromptGuard before;
    crashThree(before, REQUEST);
    wait({600'000});
    restart();
    BOOST_TEST(machine.quarantines().ends().size() == 1U);
    quarantine::PromptGuard after;
    exchange(after, "a");
    BOOST_TEST(!after.quarantined(now, REQUEST).has_value());
    BOOST_TEST(machine.quarantines().ends().empty());
}

BOOST_AUTO_TEST_CASE(a_calendar_that_was_set_back_prolongs_no_quarantine_beyond_the_longest)
{
    quarantine::PromptGuard before;
    crashThree(before, REQUEST);
    wallNow = base::Millis{0};
    for (int n = 0; n < 2; ++n) {
        restart();
        quarantine::PromptGuard after;
        exchange(after, "a");
        const auto found = after.quarantined(now, REQUEST);
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST(found->second.count <= 3'600'000);
        BOOST_TEST(machine.quarantines().ends().begin()->second <= 3'600'000);
        wait({1'000'000});
    }
    wait({1'700'000});
    restart();
    quarantine::PromptGuard after;
    exchange(after, "a");
    BOOST_TEST(!after.quarantined(now, REQUEST).has_value());
}

BOOST_AUTO_TEST_CASE(entries_are_told_although_nothing_is_committed_and_the_command_is_repeated)
{
    commits = false;
    quarantine::PromptGuard guard;
    crashThree(guard, REQUEST);
    BOOST_TEST(guard.quarantined(now, REQUEST).has_value());
    for (int n = 0; n < 50; ++n) {
        exchange(guard, "a");
    }
    BOOST_TEST(commands >= 4U);
    BOOST_TEST(commands <= 6U);
    commits = true;
    for (int n = 0; n < 50; ++n) {
        exchange(guard, "a");
    }
    BOOST_TEST(commands <= 7U);
    BOOST_TEST(machine.quarantines().ends().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_quiet_leader_proposes_nothing_and_one_quarantine_costs_one_command)
{
    quarantine::PromptGuard guard;
    for (int n = 0; n < 100; ++n) {
        exchange(guard, "a");
    }
    BOOST_TEST(commands == 0U);
    crashThree(guard, REQUEST);
    for (int n = 0; n < 100; ++n) {
        exchange(guard, "a");
    }
    BOOST_TEST(commands == 1U);
    restart();
    quarantine::PromptGuard after;
    for (int n = 0; n < 100; ++n) {
        exchange(after, "a");
    }
    BOOST_TEST(after.quarantined(now, REQUEST).has_value());
    BOOST_TEST(commands == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
