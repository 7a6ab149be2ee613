/**
 * Unit tests of the signalled state of upstreams.
 */
#include "bamboomoor/standing/upstreamtracker.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using Changes = std::vector<standing::Change>;
using standing::Change;
using standing::Run;
using standing::UpstreamSignal;
using standing::UpstreamTracker;

namespace
{

const Run FIRST{"w1", 1};
const Run SECOND{"w1", 2};

UpstreamSignal limited(std::int64_t limit)
{
    UpstreamSignal word;
    word.limit = limit;
    return word;
}

} // namespace

BOOST_AUTO_TEST_SUITE(standing_of_upstreams)

BOOST_AUTO_TEST_CASE(a_limit_change_is_reported_and_a_response_to_a_later_request_ends_the_limit)
{
    UpstreamTracker it;
    BOOST_TEST((it.onSignal({1'000}, FIRST, limited(1'100), {900}, true) == Changes{Change::LimitSignalled}));
    BOOST_TEST(it.onSignal({1'100}, FIRST, limited(1'100), {1'000}, true).empty());
    BOOST_TEST((it.onSignal({1'200}, FIRST, limited(900), {1'100}, true) == Changes{Change::LimitSignalled}));
    // The request was sent before the last signal was received, so its response may be older than that signal.
    BOOST_TEST(it.onSignal({1'300}, FIRST, {}, {1'150}, true).empty());
    BOOST_TEST(it.onSignal({1'300}, FIRST, {}, {1'250}, false).empty());
    BOOST_TEST((it.onSignal({1'400}, FIRST, {}, {1'250}, true) == Changes{Change::LimitEnded}));
    BOOST_TEST(it.onSignal({1'500}, FIRST, {}, {1'450}, true).empty());
}

BOOST_AUTO_TEST_CASE(a_malformed_header_does_not_end_a_limit)
{
    UpstreamTracker it;
    UpstreamSignal broken;
    broken.malformed = true;
    BOOST_TEST((it.onSignal({1'000}, FIRST, limited(1'100), {900}, true) == Changes{Change::LimitSignalled}));
    BOOST_TEST((it.onSignal({1'200}, FIRST, broken, {1'100}, true) == Changes{Change::Malformed}));
    BOOST_TEST(it.onSignal({1'300}, FIRST, limited(1'100), {1'200}, true).empty());
}

BOOST_AUTO_TEST_CASE(a_later_incarnation_starts_without_state_and_an_earlier_one_is_ignored)
{
    UpstreamTracker it;
    BOOST_TEST((it.onSignal({1'000}, SECOND, limited(1'100), {900}, true) == Changes{Change::LimitSignalled}));
    BOOST_TEST(it.onSignal({1'100}, FIRST, limited(500), {1'000}, true).empty());
    BOOST_TEST((it.onSignal({1'200}, {"w1", 3}, limited(1'100), {1'100}, true) == Changes{Change::LimitSignalled}));
}

BOOST_AUTO_TEST_CASE(a_limited_upstream_is_open_only_with_an_unexpired_permit)
{
    UpstreamTracker it;
    BOOST_TEST((it.access({1'000}, FIRST) == standing::Access::Open));
    it.onSignal({1'000}, FIRST, limited(1'100), {900}, true);
    BOOST_TEST((it.access({1'000}, FIRST) == standing::Access::NoPermit));
    it.onLeaderReport({1'100}, {FIRST, 1'100, {1'000}, 1, {1'050}, {400}});
    BOOST_TEST((it.access({1'100}, FIRST) == standing::Access::Open));
    BOOST_TEST((it.access({2'050}, FIRST) == standing::Access::NoPermit));
    it.onLeaderReport({3'100}, {FIRST, 1'100, {1'000}, 1, {3'050}, {400}});
    BOOST_TEST(it.sent({3'100}, FIRST));
    BOOST_TEST(!it.sent({3'100}, FIRST));
    BOOST_TEST((it.access({3'100}, FIRST) == standing::Access::NoPermit));
    BOOST_TEST((it.access({3'100}, SECOND) == standing::Access::Open));
}

BOOST_AUTO_TEST_CASE(a_permit_request_is_repeated_only_at_the_time_that_the_leader_set)
{
    UpstreamTracker it;
    it.onSignal({1'000}, FIRST, limited(1'100), {900}, true);
    BOOST_TEST(!it.permitRequestDue({1'000}));
    it.addPermitDemand({1'000}, FIRST, 3);
    BOOST_TEST(it.permitRequestDue({1'000}));
    BOOST_TEST(it.takeReports({1'000}).front().requestedPermits == 3);
    it.addPermitDemand({1'010}, FIRST, 3);
    BOOST_TEST(!it.permitRequestDue({1'010}));
    it.onLeaderReport({1'020}, {FIRST, 1'100, {1'000}, 0, {1'000}, {400}});
    it.addPermitDemand({1'300}, FIRST, 2);
    BOOST_TEST(!it.permitRequestDue({1'300}));
    BOOST_TEST((it.opensIn({1'300}, FIRST, 1) == base::Millis{520}));
    it.addPermitDemand({1'420}, FIRST, 2);
    BOOST_TEST(it.permitRequestDue({1'420}));
    BOOST_TEST(!it.permitRequestDue({1'800}));
}

BOOST_AUTO_TEST_CASE(reports_of_other_entries_are_merged_by_the_time_of_reception)
{
    UpstreamTracker it;
    it.onLeaderReport({1'000}, {FIRST, 1'100, {900}, 0, {}, {}});
    BOOST_TEST((it.access({1'000}, FIRST) == standing::Access::NoPermit));
    it.onLeaderReport({1'100}, {FIRST, std::nullopt, {800}, 0, {}, {}});
    BOOST_TEST((it.access({1'100}, FIRST) == standing::Access::NoPermit));
    it.onLeaderReport({1'200}, {FIRST, std::nullopt, {1'150}, 0, {}, {}});
    BOOST_TEST((it.access({1'200}, FIRST) == standing::Access::Open));
}

BOOST_AUTO_TEST_CASE(the_state_of_an_upstream_that_is_unlisted_for_long_is_discarded)
{
    UpstreamTracker it;
    it.onSignal({1'000}, FIRST, limited(1'100), {900}, true);
    it.setListed({});
    it.setListed({{FIRST, "s", 0}});
    BOOST_TEST(it.takeReports({1'000}).size() == 1);
    for (int n = 0; n < 400; ++n) {
        it.setListed({});
    }
    BOOST_TEST(it.takeReports({1'000}).empty());
}

BOOST_AUTO_TEST_CASE(an_upstream_that_shuts_down_is_excluded_whichever_entry_received_the_signal)
{
    UpstreamTracker it;
    UpstreamSignal leaving;
    leaving.leaving = true;
    BOOST_TEST((it.onSignal({1'000}, FIRST, leaving, {900}, false) == Changes{Change::Leaving}));
    BOOST_TEST(it.onSignal({1'100}, FIRST, {}, {1'050}, true).empty());
    BOOST_TEST((it.access({1'000'000}, FIRST) == standing::Access::Leaving));
    BOOST_TEST((it.access({1'100}, SECOND) == standing::Access::Open));
    BOOST_TEST(it.takeReports({1'000'000}).front().leaving);
    UpstreamTracker other;
    other.onLeaderReport({2'000}, {FIRST, std::nullopt, {}, 0, {}, {}, true});
    BOOST_TEST((other.access({2'000}, FIRST) == standing::Access::Leaving));
}

BOOST_AUTO_TEST_CASE(a_closed_upstream_reopens_at_the_end_of_its_longest_closure)
{
    UpstreamTracker it;
    UpstreamSignal closed;
    closed.closedFor = base::Millis{3'000};
    BOOST_TEST((it.onSignal({1'000}, FIRST, closed, {900}, false) == Changes{Change::Closed}));
    closed.closedFor = base::Millis{500};
    BOOST_TEST(it.onSignal({1'100}, FIRST, closed, {900}, false).empty());
    BOOST_TEST((it.access({3'999}, FIRST) == standing::Access::Closed));
    BOOST_TEST((it.opensIn({2'000}, FIRST, 5) == base::Millis{2'000}));
    BOOST_TEST((it.access({4'000}, FIRST) == standing::Access::Open));
    closed.closedFor = base::Millis{1'000'000'000};
    BOOST_TEST((it.onSignal({5'000}, FIRST, closed, {4'900}, false) == Changes{Change::Closed}));
    BOOST_TEST((it.access({605'000}, FIRST) == standing::Access::Open));
}

BOOST_AUTO_TEST_SUITE_END()
