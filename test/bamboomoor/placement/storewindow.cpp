/**
 * Tests of the rate limiter of the weight store, against a simulated store that records when loads begin.
 */
#include "bamboomoor/placement/storewindow.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

using namespace bamboomoor;
using namespace bamboomoor::placement;

namespace
{

constexpr base::Millis STEP{100};

StoreWindow windowOf(double rate)
{
    StoreWindow window;
    window.setRate(rate);
    return window;
}

int sendMany(StoreWindow &window, base::Millis now, const std::string &worker, int many)
{
    int sent = 0;
    for (int n = 0; n < many; ++n) {
        const LoadKey key{worker + std::to_string(n), 1, 0};
        if (window.mayStart(key)) {
            window.sent(now, key);
            ++sent;
        }
    }
    return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(storewindow)

BOOST_AUTO_TEST_CASE(a_load_counts_until_one_window_after_its_start)
{
    StoreWindow it = windowOf(2);
    BOOST_TEST(sendMany(it, {0}, "w", 20) == 10);
    for (int n = 0; n < 10; ++n) {
        it.begun({2'000}, {"w" + std::to_string(n), 1, 0});
    }
    it.expire({6'999});
    BOOST_TEST(sendMany(it, {6'999}, "v", 20) == 0);
    it.expire({7'000});
    BOOST_TEST(sendMany(it, {7'000}, "v", 20) == 10);
}

BOOST_AUTO_TEST_CASE(a_refused_order_does_not_count_unless_an_earlier_one_got_no_response)
{
    StoreWindow it = windowOf(2);
    const LoadKey key{"w", 1, 3};
    it.sent({0}, key);
    it.refused(key);
    BOOST_TEST(it.size() == 0U);
    it.sent({0}, key);
    it.doubted(key);
    // The repeated order is counted together with the first.
    BOOST_TEST(it.mayStart(key));
    it.sent({500}, key);
    it.refused(key);
    BOOST_TEST(it.size() == 1U);
    it.accepted({600}, "w", 1, 3);
    it.expire({5'600});
    BOOST_TEST(it.size() == 1U);
    it.accepted({700}, "w", 1, 4);
    it.expire({5'700});
    BOOST_TEST(it.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_leader_assumes_that_the_window_is_full)
{
    StoreWindow it = windowOf(2);
    it.assumeFull({10'000});
    BOOST_TEST(sendMany(it, {10'000}, "w", 20) == 0);
    it.expire({12'500});
    BOOST_TEST(sendMany(it, {12'500}, "w", 20) == 5);
}

BOOST_AUTO_TEST_CASE(a_slow_store_serves_one_load_at_a_time)
{
    StoreWindow it = windowOf(0.05);
    BOOST_TEST(sendMany(it, {0}, "w", 3) == 1);
}

// Orders take effect at once, late or never, are repeated at most once under one number, and workers restart.
BOOST_AUTO_TEST_CASE(no_window_exceeds_the_limit_however_late_orders_begin)
{
    BOOST_TEST(rc::check([] {
        constexpr std::int64_t LIMIT = 10;
        struct Worker {
            std::uint64_t incarnation = 1;
            std::uint64_t orders = 0;
        };
        struct Order {
            LoadKey key;
            base::Millis at;
            bool answered = false;
        };
        StoreWindow window = windowOf(2);
        std::vector<Worker> workers(12);
        std::vector<Order> onTheirWay;
        std::vector<base::Millis> begun;
        base::Millis now{0};
        const int steps = *rc::gen::inRange(100, 400);
        for (int n = 0; n < steps; ++n) {
            now += STEP;
            window.expire(now);
            const auto index = *rc::gen::inRange<std::size_t>(0, 12);
            Worker &worker = workers[index];
            const std::string name = "w" + std::to_string(index);
            const LoadKey key{name, worker.incarnation, worker.orders};
            if (window.mayStart(key)) {
                window.sent(now, key);
                const base::Millis delay{*rc::gen::inRange(0, 12'000)};
                const bool answered = *rc::gen::inRange(0, 2) == 0;
                if (!answered) {
                    window.doubted(key);
                }
                onTheirWay.push_back({key, now + (answered ? delay / 8 : delay), answered});
            }
            for (std::size_t k = 0; k < onTheirWay.size();) {
                const Order order = onTheirWay[k];
                if (order.at > now) {
                    ++k;
                    continue;
                }
                onTheirWay.erase(onTheirWay.begin() + static_cast<std::ptrdiff_t>(k));
                Worker &target = workers[std::stoul(order.key.worker.substr(1))];
                const bool fits = target.incarnation == order.key.incarnation && target.orders == order.key.expected;
                if (fits) {
                    begun.push_back(now);
                    ++target.orders;
                }
                if (order.answered && fits) {
                    window.begun(now, order.key);
                } else if (order.answered) {
                    window.refused(order.key);
                }
            }
            if (*rc::gen::inRange(0, 5) == 0) {
                window.accepted(now, name, worker.incarnation, worker.orders);
            }
            if (*rc::gen::inRange(0, 40) == 0) {
                worker = {worker.incarnation + 1, 0};
                window.restarted(now, name, worker.incarnation);
            }
        }
        for (const base::Millis end : begun) {
            const auto loads = std::count_if(begun.begin(), begun.end(), [end](base::Millis at) {
                return at <= end && end - at < base::Millis{5'000};
            });
            RC_ASSERT(loads <= LIMIT);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
