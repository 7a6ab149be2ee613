/**
 * Tests of the token bucket against a reference that replays all spends.
 */
#include "bamboomoor/budget/bucket.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace bamboomoor;
using budget::Tokens;

namespace
{
constexpr double RATE = 1000;
constexpr double BURST = 500;

struct Spend {
    base::Millis at;
    Tokens tokens = 0;
    std::uint64_t mark = 0;
};

double replayedLevel(base::Millis now, const std::vector<Spend> &spends)
{
    double level = BURST;
    base::Millis last{0};
    for (const Spend &it : spends) {
        level = std::min(BURST, level + RATE * static_cast<double>((it.at - last).count) / 1000);
        level -= static_cast<double>(it.tokens);
        last = it.at;
    }
    return std::min(BURST, level + RATE * static_cast<double>((now - last).count) / 1000);
}
} // namespace

BOOST_AUTO_TEST_CASE(refunds_reach_the_level_of_smaller_spends)
{
    const bool held = rc::check("refunds", [] {
        budget::Bucket bucket({0}, {"o", 1000, 500}, 0, 500);
        std::vector<Spend> spends;
        base::Millis now{0};
        const int steps = *rc::gen::inRange(1, 60);
        for (int n = 0; n < steps; ++n) {
            now += {*rc::gen::inRange(0, 200)};
            if (spends.empty() || *rc::gen::inRange(0, 3) > 0) {
                const Tokens tokens = *rc::gen::inRange<Tokens>(1, 300);
                spends.push_back({now, tokens, bucket.spend(now, {0}, tokens)});
            } else {
                Spend &it = spends[*rc::gen::inRange<std::size_t>(0, spends.size())];
                const Tokens tokens = *rc::gen::inRange<Tokens>(0, it.tokens + 1);
                it.tokens -= tokens;
                bucket.refund(it.mark, tokens);
            }
            const double level = std::max(replayedLevel(now, spends), 0.0);
            const auto measured = static_cast<double>(bucket.level(now));
            RC_ASSERT(measured <= level + 1e-6);
            // Each time the bucket is full, up to a millisecond of refill may be lost; only the last such loss counts.
            RC_ASSERT(measured >= level - 3);
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(the_same_limit_set_again_changes_nothing)
{
    budget::Bucket bucket({0}, {"o", 1, 500}, 0, 500);
    const std::uint64_t mark = bucket.spend({0}, {0}, 400);
    bucket.setLimit({0}, {"o", 1, 500});
    bucket.refund(mark, 400);
    BOOST_TEST(bucket.level({1}) == 500);
}

BOOST_AUTO_TEST_CASE(a_changed_limit_keeps_the_lesser_level)
{
    budget::Bucket bucket({0}, {"o", 1000, 500}, 0, 500);
    bucket.spend({0}, {0}, 400);
    bucket.setLimit({0}, {"o", 1000, 50});
    BOOST_TEST(bucket.level({0}) <= 50);
    bucket.setLimit({1000}, {"o", 10, 100});
    // One token less, for the millisecond of refill that a change of limits may lose.
    BOOST_TEST(bucket.level({1000}) == 49);
    BOOST_TEST(bucket.level({7000}) == 100);
}
