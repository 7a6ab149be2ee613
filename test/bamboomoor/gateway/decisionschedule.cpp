/**
 * Tests of when decisions are due.
 */
#include "bamboomoor/gateway/decisionschedule.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using gateway::DecisionSchedule;

BOOST_AUTO_TEST_SUITE(decisionpace)

BOOST_AUTO_TEST_CASE(decisions_do_not_grow_with_the_number_of_reports)
{
    DecisionSchedule it({50}, {200});
    int decisions = 0;
    for (base::Millis now{0}; now < base::Millis{10'000}; now += base::Millis{1}) {
        it.noteChange();
        if (now >= it.dueAt()) {
            it.decided(now);
            ++decisions;
        }
    }
    BOOST_TEST(decisions <= 200);
    BOOST_TEST(decisions >= 190);
}

BOOST_AUTO_TEST_CASE(a_decision_follows_news_soon_and_silence_later)
{
    DecisionSchedule it({50}, {200});
    it.decided({1'000});
    BOOST_TEST((it.dueAt() == base::Millis{1'200}));
    it.noteChange();
    BOOST_TEST((it.dueAt() == base::Millis{1'050}));
}

BOOST_AUTO_TEST_SUITE_END()
