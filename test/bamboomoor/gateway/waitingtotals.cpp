/**
 * Tests of the sums of what entries have waiting.
 */
#include "bamboomoor/gateway/waitingtotals.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using gateway::WaitingTotals;

BOOST_AUTO_TEST_SUITE(waitingtotals)

BOOST_AUTO_TEST_CASE(an_entry_learns_what_the_others_have_waiting)
{
    WaitingTotals it({1'500});
    it.set({0}, "e1", {{"u1", 100}, {"u2", 50}});
    it.set({0}, "e2", {{"u1", 30}});
    BOOST_TEST((it.others("e1") == WaitingTotals::Tokens{{"u1", 30}}));
    BOOST_TEST((it.others("e2") == WaitingTotals::Tokens{{"u1", 100}, {"u2", 50}}));
    BOOST_TEST((it.others("e3") == WaitingTotals::Tokens{{"u1", 130}, {"u2", 50}}));
    it.set({100}, "e1", {{"u2", 0}, {"u3", 7}});
    BOOST_TEST((it.others("e2") == WaitingTotals::Tokens{{"u3", 7}}));
}

BOOST_AUTO_TEST_CASE(an_entry_that_reports_no_more_is_left_out)
{
    WaitingTotals it({1'500});
    it.set({0}, "e1", {{"u1", 100}});
    it.set({1'000}, "e2", {{"u1", 30}});
    it.expire({1'500});
    BOOST_TEST((it.others("e3") == WaitingTotals::Tokens{{"u1", 130}}));
    it.expire({1'501});
    BOOST_TEST((it.others("e3") == WaitingTotals::Tokens{{"u1", 30}}));
}

BOOST_AUTO_TEST_SUITE_END()
