/**
 * Tests of what upstreams say of themselves on the product's own path, and of which take requests after it.
 */
#include "bamboomoor/entry/upstreamaccess.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace bamboomoor;
using base::Millis;

namespace
{

const std::string DATE = "Sat, 05 Dec 2026 10:00:00 GMT";

std::optional<Millis> closure(const std::string &value, int status = 503)
{
    const auto signal = entry::readSignal(status, {{"Date", DATE}, {"Retry-After", value}});
    BOOST_TEST(!signal.malformed);
    return signal.closedFor;
}

bool isUnreadable(const http::Headers &headers)
{
    const auto signal = entry::readSignal(503, headers);
    return signal.malformed && !signal.closedFor;
}

routing::Candidate candidate(const std::string &upstream, std::uint64_t incarnation)
{
    routing::Candidate it;
    it.upstream = upstream;
    it.incarnation = incarnation;
    return it;
}

void say(
    standing::UpstreamTracker &standing, Millis now, const standing::Run &run, int status, const http::Headers &headers)
{
    static_cast<void>(standing.onSignal(now, run, entry::readSignal(status, headers), now, false));
}

std::size_t openCount(
    Millis now, const standing::UpstreamTracker &standing, const std::vector<routing::Candidate> &candidates)
{
    return entry::selectOpen(now, standing, candidates).size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstreamaccess)

BOOST_AUTO_TEST_CASE(retry_after_closes_for_seconds_a_fraction_or_until_a_date)
{
    BOOST_TEST((closure("2") == Millis{2'000}));
    BOOST_TEST((closure(" 0.25 ") == Millis{250}));
    BOOST_TEST((closure("0.0001") == Millis{1}));
    BOOST_TEST((closure("Sat, 05 Dec 2026 10:01:30 GMT") == Millis{90'000}));
}

BOOST_AUTO_TEST_CASE(a_closure_that_is_over_closes_nothing)
{
    BOOST_TEST(!closure("0"));
    BOOST_TEST(!closure("Sat, 05 Dec 2026 09:00:00 GMT"));
}

BOOST_AUTO_TEST_CASE(only_a_503_closes_its_upstream)
{
    for (const int status : {200, 429, 500, 502}) {
        BOOST_TEST(!closure("2", status));
    }
}

BOOST_AUTO_TEST_CASE(an_unreadable_retry_after_is_told_and_closes_nothing)
{
    for (const char *value :
        {"-1", "-0", "", "soon", "1e3", "0x10", "nan", "inf", "2 s", "2, 3", "1.2.3", "99999999999",
            "99999999999999999999999999999999999999", "Sat, 05 Dec 2926 10:00:00 GMT", "Sat, 05 Dec 2026 10:00:00"}) {
        BOOST_TEST(isUnreadable({{"Date", DATE}, {"Retry-After", value}}), value);
    }
    BOOST_TEST(isUnreadable({{"Retry-After", "Sat, 05 Dec 2026 10:01:30 GMT"}}));
    BOOST_TEST(isUnreadable({{"Retry-After", "2"}, {"retry-after", "2"}}));
}

BOOST_AUTO_TEST_CASE(any_retry_after_is_unreadable_or_closes_for_a_bounded_time)
{
    const bool holds = rc::check("", [](const std::string &value) {
        const auto signal = entry::readSignal(503, {{"Date", DATE}, {"Retry-After", value}});
        RC_ASSERT(!signal.malformed || !signal.closedFor);
        RC_ASSERT(!signal.closedFor || (*signal.closedFor > Millis{} && *signal.closedFor <= Millis{1'000'000'000}));
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(an_upstream_leaves_by_its_header_whatever_the_status)
{
    for (const int status : {200, 404, 503}) {
        BOOST_TEST(entry::readSignal(status, {{"x-bamboomoor-leaving", "1"}}).leaving);
        BOOST_TEST(!entry::readSignal(status, {{"X-Bamboomoor-Leaving", " 0 "}}).leaving);
        BOOST_TEST(!entry::readSignal(status, {}).leaving);
    }
}

BOOST_AUTO_TEST_CASE(a_closed_upstream_takes_nothing_until_it_opens_and_at_most_for_the_setting)
{
    standing::UpstreamTrackerOptions options;
    options.maxClosure = Millis{5'000};
    standing::UpstreamTracker standing(options);
    const std::vector candidates{candidate("a", 1), candidate("b", 1)};
    say(standing, {1'000}, {"a", 1}, 503, {{"Retry-After", "2"}});
    BOOST_TEST(openCount({1'000}, standing, candidates) == 1U);
    BOOST_TEST((entry::earliestOpening({1'000}, standing, candidates) == Millis{}));
    say(standing, {1'000}, {"b", 1}, 503, {{"Retry-After", "60"}});
    BOOST_TEST(openCount({2'999}, standing, candidates) == 0U);
    BOOST_TEST((entry::earliestOpening({1'500}, standing, candidates) == Millis{1'500}));
    BOOST_TEST(openCount({3'000}, standing, candidates) == 1U);
    BOOST_TEST(openCount({6'000}, standing, candidates) == 2U);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_leaves_takes_nothing_until_a_later_incarnation)
{
    standing::UpstreamTracker standing;
    say(standing, {1'000}, {"a", 7}, 200, {{"X-Bamboomoor-Leaving", "1"}});
    say(standing, {2'000}, {"a", 7}, 200, {});
    BOOST_TEST(openCount({9'000'000}, standing, {candidate("a", 7)}) == 0U);
    BOOST_TEST((entry::earliestOpening({3'000}, standing, {candidate("a", 7)}) == base::NEVER));
    BOOST_TEST(openCount({3'000}, standing, {candidate("a", 8)}) == 1U);
}

BOOST_AUTO_TEST_CASE(callers_of_closed_upstreams_come_back_spread_and_never_before_the_opening)
{
    std::set<std::int64_t> times;
    for (std::uint64_t n = 0; n < 64; ++n) {
        const Millis at = entry::spreadRetry({3'000}, n);
        BOOST_TEST((at >= Millis{3'000} && at < Millis{5'000}));
        times.insert(at.count);
    }
    BOOST_TEST(times.size() == 16U);
}

BOOST_AUTO_TEST_SUITE_END()
