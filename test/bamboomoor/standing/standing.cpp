/**
 * Tests of what an entry knows of upstreams by their own word.
 */
#include "bamboomoor/standing/standing.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using standing::Change;
using standing::Run;
using standing::Standing;
using standing::Word;

namespace
{

const Run FIRST{"w1", 1};
const Run SECOND{"w1", 2};

Word limited(std::int64_t limit)
{
    Word word;
    word.limit = limit;
    return word;
}

} // namespace

BOOST_AUTO_TEST_SUITE(standing_of_upstreams)

BOOST_AUTO_TEST_CASE(a_limit_is_told_when_it_changes_and_ends_with_a_surely_later_answer)
{
    Standing it;
    BOOST_TEST((it.heard({1'000}, FIRST, limited(1'100), {900}, true) == Change::LimitNamed));
    BOOST_TEST(!it.heard({1'100}, FIRST, limited(1'100), {1'000}, true));
    BOOST_TEST((it.heard({1'200}, FIRST, limited(900), {1'100}, true) == Change::LimitNamed));
    // Sent before the last word was heard: it may have been answered before that word.
    BOOST_TEST(!it.heard({1'300}, FIRST, {}, {1'150}, true));
    BOOST_TEST(!it.heard({1'300}, FIRST, {}, {1'250}, false));
    BOOST_TEST((it.heard({1'400}, FIRST, {}, {1'250}, true) == Change::LimitEnded));
    BOOST_TEST(!it.heard({1'500}, FIRST, {}, {1'450}, true));
}

BOOST_AUTO_TEST_CASE(a_line_that_cannot_be_read_ends_no_limit)
{
    Standing it;
    Word broken;
    broken.unreadable = true;
    BOOST_TEST((it.heard({1'000}, FIRST, limited(1'100), {900}, true) == Change::LimitNamed));
    BOOST_TEST((it.heard({1'200}, FIRST, broken, {1'100}, true) == Change::Unreadable));
    BOOST_TEST(!it.heard({1'300}, FIRST, limited(1'100), {1'200}, true));
}

BOOST_AUTO_TEST_CASE(a_later_run_starts_clean_and_an_earlier_one_changes_nothing)
{
    Standing it;
    BOOST_TEST((it.heard({1'000}, SECOND, limited(1'100), {900}, true) == Change::LimitNamed));
    BOOST_TEST(!it.heard({1'100}, FIRST, limited(500), {1'000}, true));
    BOOST_TEST((it.heard({1'200}, {"w1", 3}, limited(1'100), {1'100}, true) == Change::LimitNamed));
}

BOOST_AUTO_TEST_SUITE_END()
