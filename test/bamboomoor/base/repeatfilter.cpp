/**
 * Tests of the filter of repeated texts.
 */
#include "bamboomoor/base/repeatfilter.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bamboomoor;

BOOST_AUTO_TEST_CASE(a_text_that_repeats_is_let_through_once_in_its_span)
{
    base::RepeatFilter filter({1'000}, 8);
    BOOST_TEST(filter.isNew({0}, "a"));
    BOOST_TEST(!filter.isNew({500}, "a"));
    BOOST_TEST(filter.isNew({500}, "b"));
    BOOST_TEST(!filter.isNew({999}, "a"));
    BOOST_TEST(filter.isNew({1'000}, "a"));
    BOOST_TEST(!filter.isNew({1'400}, "b"));
}

BOOST_AUTO_TEST_CASE(texts_that_all_differ_are_let_through_up_to_a_bound)
{
    base::RepeatFilter filter({1'000}, 8);
    int passed = 0;
    for (int n = 0; n < 1'000; ++n) {
        passed += filter.isNew({n}, std::to_string(n)) ? 1 : 0;
    }
    BOOST_TEST(passed == 8);
    BOOST_TEST(filter.isNew({1'000}, "later"));
}
