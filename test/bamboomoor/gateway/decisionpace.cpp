/**
 * Tests of when decisions are due.
 */
#include "bamboomoor/gateway/decisionpace.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using gateway::DecisionPace;

BOOST_AUTO_TEST_SUITE(decisionpace)

BOOST_AUTO_TEST_CASE(decisions_do_not_grow_with_the_number_of_reports)
{
    DecisionPace it({50}, {200});
    int decisions = 0;
    for (base::Millis now{0}; now < base::Millis{10'000}; now += base::Millis{1}) {
        it.noteNews();
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
    DecisionPace it({50}, {200});
    it.decided({1'000});
    BOOST_TEST((it.dueAt() == base::Millis{1'200}));
    it.noteNews();
    BOOST_TEST((it.dueAt() == base::Millis{1'050}));
}

BOOST_AUTO_TEST_SUITE_END()
