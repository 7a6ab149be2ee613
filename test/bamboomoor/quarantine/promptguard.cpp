/**
 * Tests of the entry's side: reports until they are acknowledged, leaders that change, and the leader's quarantines.
 */
#include "bamboomoor/quarantine/promptguard.hpp"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

using namespace bamboomoor;
using namespace bamboomoor::quarantine;

namespace
{

constexpr base::Millis NOW{10'000};

LeaderReply replyTo(const Report &report, std::uint64_t term = 1)
{
    return {term, report.sequence, {}, {}};
}

RequestTraits prompt(std::vector<std::string> parts)
{
    const std::string fingerprint = parts.empty() ? "none" : "of " + parts.back();
    return {std::move(parts), fingerprint};
}

} // namespace

BOOST_AUTO_TEST_SUITE(promptguard)

BOOST_AUTO_TEST_CASE(a_lost_attempt_is_reported_until_a_reply_acknowledges_it)
{
    PromptGuard guard;
    guard.onLost(NOW, {"w1", 1}, prompt({"first", "x", "own"}), NOW);
    BOOST_TEST(guard.takeUrgent());
    const Report first = guard.takeReport(NOW);
    BOOST_REQUIRE(first.lostAttempts.size() == 1U);
    BOOST_TEST(first.lostAttempts[0].request == "own");
    BOOST_TEST((first.lostAttempts[0].parts == std::vector<std::string>{"first", "x"}));
    guard.onLost(NOW, {"w2", 1}, prompt({"first", "x", "other"}), NOW);
    BOOST_TEST(guard.takeReport(NOW).lostAttempts.size() == 2U);
    guard.onLeaderReply(NOW, replyTo(first));
    BOOST_TEST(guard.takeReport(NOW).lostAttempts.size() == 1U);
    guard.onLeaderReply(NOW, replyTo(guard.takeReport(NOW)));
    BOOST_TEST(guard.takeReport(NOW).lostAttempts.empty());
}

BOOST_AUTO_TEST_CASE(a_new_leader_gets_everything_again_and_an_old_one_is_ignored)
{
    PromptGuard guard;
    guard.onLost(NOW, {"w1", 1}, prompt({"x", "own"}), NOW);
    guard.onSurvival(NOW, prompt({"x", "another"}));
    guard.onLeaderReply(NOW, replyTo(guard.takeReport(NOW), 1));
    const Report acknowledged = guard.takeReport(NOW);
    BOOST_TEST(acknowledged.lostAttempts.empty());
    BOOST_TEST(acknowledged.survivals.empty());
    guard.onLeaderReply(NOW, replyTo(acknowledged, 2));
    const Report again = guard.takeReport(NOW);
    BOOST_TEST(again.lostAttempts.size() == 1U);
    BOOST_TEST(again.survivals.size() == 1U);
    guard.onLeaderReply(NOW, {1, again.sequence, {}, {{"y", NOW + base::Millis{1'000}}}});
    BOOST_TEST(!guard.quarantined(NOW, prompt({"y", "own"})).has_value());
}

BOOST_AUTO_TEST_CASE(refused_connections_count_only_where_others_are_answered_or_have_crashed)
{
    enum class Others { Silent, AnsweredOverOldConnections, Answered };
    for (const Others others : {Others::Silent, Others::AnsweredOverOldConnections, Others::Answered}) {
        PromptGuard guard;
        base::Millis now = NOW;
        const std::vector<standing::Run> runs{{"w1", 1}, {"w2", 1}, {"w3", 1}};
        guard.onRuns(now, runs);
        for (const standing::Run &it : runs) {
            guard.onLost(now, it, prompt({"first", "own"}), now);
            // The last one is left alone.
            if (others != Others::Silent && it.id != "w3") {
                guard.onReached(now + base::Millis{1}, others == Others::Answered);
            }
            now += base::Millis{200};
            guard.onUnreachable(now, it.id);
        }
        now += base::Millis{200};
        BOOST_TEST(guard.evaluate(now).size() == (others == Others::Answered ? 1U : 0U));
    }
}

BOOST_AUTO_TEST_CASE(an_answer_shows_that_an_upstream_did_not_crash_before)
{
    PromptGuard guard;
    base::Millis now = NOW;
    for (const char *it : {"w1", "w2", "w3"}) {
        guard.onLost(now, {it, 1}, prompt({"first", "own"}), now);
        now += base::Millis{200};
    }
    guard.onAnswered({"w2", 1}, now);
    guard.onReached(now, true);
    for (const char *it : {"w1", "w2", "w3"}) {
        guard.onUnreachable(now, it);
    }
    now += base::Millis{200};
    BOOST_TEST(guard.evaluate(now).empty());
}

BOOST_AUTO_TEST_CASE(the_leaders_quarantine_applies_to_shared_parts_but_not_to_the_last_one)
{
    PromptGuard guard;
    const auto found = guard.onLeaderReply(NOW, {1, 0, {}, {{"x", NOW + base::Millis{1'000}}}});
    BOOST_TEST(found.size() == 1U);
    BOOST_TEST(guard.quarantined(NOW, prompt({"first", "x", "own"})).has_value());
    BOOST_TEST(!guard.quarantined(NOW, prompt({"first", "x"})).has_value());
    BOOST_TEST(!guard.quarantined(NOW, prompt({})).has_value());
    BOOST_TEST(!guard.quarantined(NOW + base::Millis{1'000}, prompt({"first", "x", "own"})).has_value());
    // A leader that knows nothing yet does not end it.
    guard.onLeaderReply(NOW, {2, 0, {}, {}});
    BOOST_TEST(guard.quarantined(NOW, prompt({"first", "x", "own"})).has_value());
    BOOST_TEST(guard.takeReport(NOW).quarantines.size() == 1U);
    guard.onLeaderReply(NOW, {2, 0, {}, {{"x", NOW}}});
    BOOST_TEST(!guard.quarantined(NOW, prompt({"first", "x", "own"})).has_value());
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_is_rejected_whatever_its_prompt)
{
    PromptGuard guard;
    guard.onLeaderReply(NOW, {1, 0, {}, {{"request:of own", NOW + base::Millis{1'000}}}});
    BOOST_TEST(guard.quarantined(NOW, {{}, "of own"}).has_value());
    BOOST_TEST(guard.quarantined(NOW, {{"first", "own"}, "of own"}).has_value());
    BOOST_TEST(!guard.quarantined(NOW, {{"first", "own"}, "of other"}).has_value());
    // A part with the name of a request's identity is another subject.
    BOOST_TEST(!guard.quarantined(NOW, {{"request:of own", "own"}, "of other"}).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_without_prompt_parts_is_evidence_too)
{
    PromptGuard guard;
    guard.onLost(NOW, {"w1", 1}, {{}, "digest"}, NOW);
    const Report report = guard.takeReport(NOW);
    BOOST_REQUIRE(report.lostAttempts.size() == 1U);
    BOOST_TEST(report.lostAttempts[0].identity == "request:digest");
    BOOST_TEST(report.lostAttempts[0].parts.empty());
}

BOOST_AUTO_TEST_CASE(survivals_are_reported_for_suspects_of_the_leader)
{
    PromptGuard guard;
    guard.onSurvival(NOW, prompt({"x", "own"}));
    BOOST_TEST(guard.takeReport(NOW).survivals.empty());
    guard.onLeaderReply(NOW, {1, 0, {"x"}, {}});
    BOOST_TEST(guard.isWatching());
    guard.onSurvival(NOW + base::Millis{10}, prompt({"x", "own"}));
    BOOST_TEST(guard.takeUrgent());
    const Report report = guard.takeReport(NOW + base::Millis{20});
    BOOST_REQUIRE(report.survivals.size() == 1U);
    BOOST_TEST((report.survivals[0].at == NOW + base::Millis{10}));
    guard.onLeaderReply(NOW + base::Millis{30}, replyTo(report));
    BOOST_TEST(guard.takeReport(NOW + base::Millis{40}).survivals.empty());
}

BOOST_AUTO_TEST_CASE(a_lost_attempt_is_reported_although_many_others_are_lost_before_the_report)
{
    PromptGuard guard;
    guard.onLost(NOW, {"w1", 1}, {{}, "deadly"}, NOW);
    for (int n = 0; n < 200; ++n) {
        guard.onLost(NOW, {"w2", 1}, {{}, "sound" + std::to_string(n)}, NOW);
    }
    const Report report = guard.takeReport(NOW);
    BOOST_REQUIRE(!report.lostAttempts.empty());
    BOOST_TEST(report.lostAttempts.front().identity == "request:deadly");
}

BOOST_AUTO_TEST_CASE(a_request_lost_at_three_upstreams_is_reported_whenever_it_was_lost_among_hundreds_of_others)
{
    const PromptGuardOptions options;
    constexpr int OTHERS = 900;
    for (const int position : {0, OTHERS / 2, OTHERS}) {
        PromptGuard guard;
        for (const std::string upstream : {"w1", "w2", "w3"}) {
            for (int n = 0; n <= OTHERS; ++n) {
                const std::string own = n == position ? "deadly" : upstream + "-" + std::to_string(n);
                guard.onLost(NOW, {upstream, 1}, prompt({"first", own}), NOW);
            }
        }
        std::set<std::string> upstreams;
        std::size_t reported = 0;
        BOOST_TEST(guard.takeUrgent());
        for (bool isUrgent = true; isUrgent; isUrgent = guard.takeUrgent()) {
            const Report report = guard.takeReport(NOW);
            BOOST_TEST(report.lostAttempts.size() <= options.maxReported);
            for (const LostAttempt &it : report.lostAttempts) {
                ++reported;
                if (it.identity == "request:of deadly") {
                    upstreams.insert(it.run.id);
                }
            }
            guard.onLeaderReply(NOW, replyTo(report));
        }
        BOOST_TEST(upstreams.size() == 3U);
        BOOST_TEST(reported == 3U * (OTHERS + 1));
    }
}

BOOST_AUTO_TEST_CASE(a_request_lost_at_two_upstreams_is_not_displaced_by_those_lost_at_the_third)
{
    PromptGuard guard;
    for (const std::string upstream : {"w1", "w2"}) {
        guard.onLost(NOW, {upstream, 1}, prompt({"first", "deadly"}), NOW);
    }
    for (std::size_t n = 0; n < 20'000; ++n) {
        guard.onLost(NOW, {"w3", 1}, prompt({"first", std::to_string(n)}), NOW);
    }
    const Report report = guard.takeReport(NOW);
    BOOST_REQUIRE(report.lostAttempts.size() >= 2U);
    BOOST_TEST(report.lostAttempts[0].identity == "request:of deadly");
    BOOST_TEST(report.lostAttempts[1].identity == "request:of deadly");
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_when_every_request_is_lost)
{
    PromptGuard guard;
    const PromptGuardOptions options;
    for (int n = 0; n < 20'000; ++n) {
        const std::string number = std::to_string(n);
        guard.onLost(
            NOW, {"w" + number, 1}, prompt({std::string(10'000, 'a') + number, "b" + number, "own" + number}), NOW);
    }
    const Report report = guard.takeReport(NOW);
    BOOST_TEST(report.lostAttempts.size() <= options.maxReported);
    BOOST_TEST(report.lostAttempts.back().parts[0].size() <= 64U);
    BOOST_TEST(guard.takeReport(NOW + options.reportLife + base::Millis{1}).lostAttempts.empty());
    BOOST_TEST(!guard.isWatching());
}

BOOST_AUTO_TEST_SUITE_END()
