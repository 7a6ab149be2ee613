/**
 * Unit tests of the granting of permits.
 */
#include "bamboomoor/standing/permitauthority.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace bamboomoor;
using standing::PermitAuthority;
using standing::Report;

namespace
{

Report limited(std::int64_t limit, std::int64_t heardAt, std::uint64_t incarnation = 1)
{
    return {{"w1", incarnation}, limit, {heardAt}, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_book)

BOOST_AUTO_TEST_CASE(arrivals_in_any_period_stay_below_one_and_a_half_times_the_limit_plus_five_across_leader_changes)
{
    BOOST_TEST(rc::check([] {
        // A permit expires one second after it was requested; the request that uses it arrives at most 400 ms later.
        constexpr std::int64_t LONGEST = 1'400;
        constexpr std::int64_t SPAN = 4'000;
        const std::int64_t limit = *rc::gen::inRange<std::int64_t>(0, 20'000);
        const std::int64_t quickest = *rc::gen::element<std::int64_t>(5, 50, 500);
        PermitAuthority book;
        std::vector<std::int64_t> arrivals;
        std::int64_t now = 10'000;
        const int steps = *rc::gen::inRange(1, 400);
        for (int n = 0; n < steps; ++n) {
            now += *rc::gen::inRange<std::int64_t>(0, quickest);
            if (*rc::gen::inRange(0, 50) == 0) {
                book = PermitAuthority();
            }
            book.onReport({now}, limited(limit, now));
            const std::string entry = std::to_string(*rc::gen::inRange(0, 12));
            const auto grant = book.grant({now}, entry, "w1", *rc::gen::inRange<std::int64_t>(1, 9));
            for (std::int64_t used = 0; used < grant.permits; ++used) {
                arrivals.push_back(now + *rc::gen::inRange<std::int64_t>(0, LONGEST));
            }
        }
        for (const std::int64_t begin : arrivals) {
            const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](std::int64_t it) {
                return it >= begin && it < begin + SPAN;
            });
            RC_ASSERT(count * 1'000 <= limit * 6 + 5'000);
        }
    }));
}

BOOST_AUTO_TEST_CASE(the_newest_report_applies_in_any_order_of_arrival)
{
    PermitAuthority book;
    book.onReport({2'000}, limited(1'000, 1'900));
    book.onReport({2'100}, limited(5'000, 1'800));
    BOOST_TEST((book.reports({2'100}).front().limit == 1'000));
    book.onReport({2'200}, {{"w1", 1}, std::nullopt, {1'950}, 0});
    BOOST_TEST(!book.reports({2'200}).front().limit);
    BOOST_TEST(book.grant({2'300}, "e", "w1", 1).permits == 0);
    book.onReport({2'400}, limited(700, 2'350, 2));
    book.onReport({2'500}, limited(900, 2'450, 1));
    BOOST_TEST((book.reports({2'500}).front().limit == 700));
}

BOOST_AUTO_TEST_CASE(concurrent_requesters_share_the_permits)
{
    PermitAuthority book;
    book.onReport({1'000}, limited(8'000, 1'000));
    BOOST_TEST(book.grant({1'000}, "a", "w1", 8).permits == 0);
    BOOST_TEST(book.grant({1'000}, "b", "w1", 8).permits == 0);
    BOOST_TEST(book.grant({1'500}, "a", "w1", 8).permits == 2);
    BOOST_TEST(book.grant({1'500}, "b", "w1", 8).permits == 1);
}

BOOST_AUTO_TEST_CASE(an_upstream_with_a_zero_limit_gets_occasional_probe_requests)
{
    PermitAuthority book;
    book.onReport({1'000}, limited(0, 1'000));
    BOOST_TEST(book.grant({2'000}, "a", "w1", 8).permits == 0);
    BOOST_TEST(book.grant({6'000}, "a", "w1", 8).permits == 1);
}

BOOST_AUTO_TEST_CASE(reports_that_are_not_renewed_expire)
{
    PermitAuthority book;
    book.onReport({1'000}, limited(1'000, 1'000));
    BOOST_TEST(book.reports({30'000}).size() == 1);
    BOOST_TEST(book.reports({40'000}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
