/**
 * Tests of the bound on requests to cold upstreams, over all entries together.
 */
#include "bamboomoor/standing/coldperiods.hpp"
#include "bamboomoor/standing/permitauthority.hpp"
#include "bamboomoor/standing/upstreamtracker.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace bamboomoor;
using namespace bamboomoor::standing;

namespace
{

constexpr base::Millis LEASE{5'000};
// Tolerated requests, in thousandths per second.
constexpr std::int64_t RATE = 8'200;
constexpr base::Millis SPAN{3'000};
const Run RUN{"w1", 1};

membership::Entry upstream(base::Millis heardAt, base::Millis coldRemaining)
{
    membership::Entry entry;
    entry.announcement.id = RUN.id;
    entry.announcement.incarnation = RUN.incarnation;
    entry.announcement.dataCentre = "dc1";
    entry.announcement.service = "llm";
    entry.announcement.coldRemaining = coldRemaining;
    entry.expiresAt = heardAt + LEASE;
    return entry;
}

ColdPeriods periods()
{
    ColdPeriods out(LEASE);
    out.setLimits({{"llm", {RATE, SPAN}}});
    return out;
}

UpstreamTracker coldTracker(base::Millis until)
{
    UpstreamTracker tracker;
    tracker.setListed({{RUN, "llm", 64, until}});
    return tracker;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold)

BOOST_AUTO_TEST_CASE(an_upstream_is_cold_for_as_long_as_it_has_announced)
{
    const ColdPeriods cold = periods();
    BOOST_TEST((cold.find({1'000}, upstream({1'000}, {2'000})) == ColdPeriod{RATE / 2, {3'000}}));
    BOOST_TEST(cold.find({2'999}, upstream({1'000}, {2'000})).has_value());
    BOOST_TEST(!cold.find({3'000}, upstream({1'000}, {2'000})).has_value());
    BOOST_TEST(!cold.find({1'000}, upstream({1'000}, {0})).has_value());
}

BOOST_AUTO_TEST_CASE(a_service_without_a_limit_has_no_cold_upstreams)
{
    ColdPeriods cold(LEASE);
    BOOST_TEST(!cold.find({1'000}, upstream({1'000}, {2'000})).has_value());
}

// Guards against a flood of upstreams that were restarted during an evacuation and have not announced it yet.
BOOST_AUTO_TEST_CASE(the_upstreams_of_a_data_centre_count_as_cold_after_its_evacuation)
{
    ColdPeriods cold = periods();
    cold.setEvacuated({1'000}, {"dc1", "dc2"});
    BOOST_TEST(cold.isEvacuated("dc1"));
    cold.setEvacuated({9'000}, {"dc2"});
    BOOST_TEST((cold.find({9'000}, upstream({8'900}, {0})) == ColdPeriod{RATE / 2, {12'000}}));
    BOOST_TEST(!cold.find({12'000}, upstream({11'900}, {0})).has_value());
    BOOST_TEST(cold.find({12'000}, upstream({11'900}, {500})).has_value());
}

BOOST_AUTO_TEST_CASE(an_entry_without_a_leader_sends_nothing_to_a_cold_upstream)
{
    UpstreamTracker tracker = coldTracker({4'000});
    BOOST_TEST((tracker.access({1'000}, RUN) == Access::NoPermit));
    tracker.addPermitDemand({1'000}, RUN, 3);
    BOOST_TEST(tracker.permitRequestDue({1'000}));
    const std::vector<Report> reports = tracker.takeReports({1'000});
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().requestedPermits == 3);
    BOOST_TEST((tracker.access({3'999}, RUN) == Access::NoPermit));
    BOOST_TEST((tracker.access({4'000}, RUN) == Access::Open));
}

BOOST_AUTO_TEST_CASE(a_permit_serves_one_request_and_expires)
{
    UpstreamTracker tracker = coldTracker({9'000});
    LeaderReport report{RUN, std::nullopt, {}, 2, {1'000}, {500}, false};
    tracker.onLeaderReport({1'050}, report);
    BOOST_TEST((tracker.access({1'100}, RUN) == Access::Open));
    BOOST_TEST(tracker.sent({1'100}, RUN));
    BOOST_TEST((tracker.access({1'900}, RUN) == Access::Open));
    BOOST_TEST((tracker.access({2'000}, RUN) == Access::NoPermit));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_is_warm_again_needs_no_permit)
{
    UpstreamTracker tracker = coldTracker({9'000});
    tracker.setListed({{RUN, "llm", 64}});
    BOOST_TEST((tracker.access({1'000}, RUN) == Access::Open));
}

// Guards against a cold upstream that crashes as many entries send to it at once.
BOOST_AUTO_TEST_CASE(seventy_three_entries_that_want_all_they_can_get_stay_below_the_stated_bound)
{
    BOOST_TEST(rc::check([] {
        constexpr std::int64_t SECOND = 1'000;
        constexpr std::int64_t LONGEST = 1'400;
        const std::int64_t rate = *rc::gen::inRange<std::int64_t>(500, 40'000);
        PermitAuthority authority;
        std::vector<std::int64_t> arrivals;
        const std::int64_t begin = 10'000;
        const std::int64_t end = begin + 6'000;
        for (std::int64_t now = begin; now < end; now += *rc::gen::inRange<std::int64_t>(1, 40)) {
            authority.setCold({now}, RUN, {rate / 2, {end}});
            const std::string entry = std::to_string(*rc::gen::inRange(0, 73));
            const Grant grant = authority.grant({now}, entry, RUN.id, 8);
            for (std::int64_t n = 0; n < grant.permits; ++n) {
                arrivals.push_back(now + *rc::gen::inRange<std::int64_t>(0, LONGEST));
            }
        }
        for (const std::int64_t first : arrivals) {
            const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](std::int64_t it) {
                return it >= first && it < first + SECOND;
            });
            // cold_per_s x 1.5 + 5
            RC_ASSERT(count * 1'000 <= rate * 3 / 2 + 5'000);
        }
    }));
}

BOOST_AUTO_TEST_CASE(permits_of_a_cold_upstream_are_used_as_far_as_its_rate_bears)
{
    PermitAuthority authority;
    std::int64_t permits = 0;
    for (std::int64_t now = 0; now < 3'000; now += 50) {
        authority.setCold({now}, RUN, {RATE / 2, {3'000}});
        permits += authority.grant({now}, "e" + std::to_string(now % 7), RUN.id, 8).permits;
    }
    BOOST_TEST(permits >= 10);
    BOOST_TEST(authority.grant({3'000}, "e", RUN.id, 8).permits == 0);
}

BOOST_AUTO_TEST_CASE(a_limit_that_a_cold_upstream_signals_counts_if_it_is_lower)
{
    PermitAuthority authority;
    authority.setCold({0}, RUN, {100'000, {9'000}});
    authority.onReport({0}, {RUN, 1'000, {0}, 0});
    authority.onReport({1}, {RUN, 1'000, {1}, 0});
    BOOST_TEST(authority.grant({1'001}, "e", RUN.id, 8).permits <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
