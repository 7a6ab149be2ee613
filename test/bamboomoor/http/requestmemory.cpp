/**
 * Tests of the memory of request bodies: what fits, and whose connection is closed when it runs short.
 */
#include "bamboomoor/http/requestmemory.hpp"

#include "bamboomoor/http/memoryplan.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <memory>
#include <vector>

using namespace bamboomoor;
using http::MemoryHold;
using http::RequestMemory;

namespace
{

constexpr std::size_t KIB = 1'024;
constexpr std::size_t MIB = KIB * KIB;
constexpr std::size_t MAX = 8 * MIB;

/** @brief A body of one caller. */
struct Body {
    explicit Body(RequestMemory &memory)
        : hold(memory, [this] {
            evicted = true;
        })
    {
    }

    bool evicted = false;
    MemoryHold hold;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_memory)

BOOST_AUTO_TEST_CASE(what_is_held_never_exceeds_the_bound)
{
    BOOST_TEST(rc::check([] {
        RequestMemory memory({MAX});
        std::vector<std::unique_ptr<Body>> bodies;
        std::int64_t now = 1'000;
        for (int n = 0; n < 300; ++n) {
            now += *rc::gen::inRange(0, 400);
            if (bodies.empty() || *rc::gen::inRange(0, 3) == 0) {
                bodies.push_back(std::make_unique<Body>(memory));
            }
            const auto place = *rc::gen::inRange<std::size_t>(0, bodies.size());
            Body &body = *bodies[place];
            static_cast<void>(body.hold.grow({now}, *rc::gen::inRange<std::size_t>(1, 2 * MIB)));
            if (*rc::gen::inRange(0, 6) == 0) {
                body.hold.complete();
            }
            std::erase_if(bodies, [](const auto &it) {
                return it->evicted;
            });
            std::size_t sum = 0;
            for (const auto &it : bodies) {
                sum += it->hold.bytes();
            }
            RC_ASSERT(memory.counters().heldBytes == sum);
            RC_ASSERT(sum <= MAX);
        }
        bodies.clear();
        RC_ASSERT(memory.counters().heldBytes == 0U);
    }));
}

// Guards against clients that stop just short of the end of large bodies and keep all others out.
BOOST_AUTO_TEST_CASE(stalled_bodies_are_dropped_the_longest_silent_one_first_until_half_of_the_memory_is_free)
{
    RequestMemory memory({MAX});
    Body first(memory);
    Body second(memory);
    Body third(memory);
    BOOST_TEST(first.hold.grow({1'000}, 2 * MIB));
    first.hold.progressed({1'200});
    BOOST_TEST(second.hold.grow({1'000}, 2 * MIB));
    second.hold.progressed({1'000});
    BOOST_TEST(third.hold.grow({1'000}, 2 * MIB));
    third.hold.progressed({2'900});
    Body later(memory);
    BOOST_TEST(later.hold.grow({3'000}, 10 * KIB));
    BOOST_TEST(second.evicted);
    BOOST_TEST(first.evicted);
    BOOST_TEST(!third.evicted);
    BOOST_TEST(!later.evicted);
    BOOST_TEST(memory.counters().evicted == 2U);
}

BOOST_AUTO_TEST_CASE(a_body_that_grows_or_is_whole_is_not_dropped)
{
    RequestMemory memory({MAX});
    Body growing(memory);
    Body whole(memory);
    BOOST_TEST(growing.hold.grow({1'000}, 3 * MIB));
    BOOST_TEST(whole.hold.grow({1'000}, 3 * MIB));
    whole.hold.complete();
    growing.hold.progressed({8'900});
    Body later(memory);
    BOOST_TEST(later.hold.grow({9'000}, 10 * KIB));
    BOOST_TEST(!growing.evicted);
    BOOST_TEST(!whole.evicted);
}

// Guards against small requests that are refused as large bodies take all the memory.
BOOST_AUTO_TEST_CASE(small_bodies_fit_when_large_ones_have_taken_their_part)
{
    RequestMemory memory({MAX});
    Body large(memory);
    BOOST_TEST(large.hold.grow({1'000}, 6 * MIB));
    Body next(memory);
    BOOST_TEST(!next.hold.grow({1'000}, MIB));
    BOOST_TEST(!memory.fits(MIB));
    Body small(memory);
    BOOST_TEST(memory.fits(60 * KIB));
    BOOST_TEST(small.hold.grow({1'000}, 60 * KIB));
    BOOST_TEST(!small.hold.grow({1'000}, 60 * KIB));
}

BOOST_AUTO_TEST_CASE(without_a_bound_everything_fits)
{
    RequestMemory memory;
    Body body(memory);
    BOOST_TEST(body.hold.grow({1'000}, 64 * MAX));
    BOOST_TEST(!body.evicted);
}

BOOST_AUTO_TEST_CASE(the_shares_of_every_machine_leave_a_quarter_and_bear_one_body)
{
    for (const std::size_t mib : {96U, 120U, 160U, 256U, 4'096U}) {
        for (const auto role : {http::MemoryRole::Entry, http::MemoryRole::Control}) {
            const http::MemoryPlan plan = http::planMemory(mib * MIB, MIB, role);
            const std::size_t heads = plan.unfinishedHeads * 20 * KIB;
            BOOST_TEST(
                plan.bodyBytes + plan.streamBytes + plan.answerBytes + plan.unreadBytes + heads <= mib * MIB / 4 * 3);
        }
    }
    const http::MemoryPlan plan = http::planMemory(64 * MIB, 4 * MIB, http::MemoryRole::Control);
    RequestMemory memory({plan.bodyBytes});
    Body body(memory);
    BOOST_TEST(body.hold.grow({0}, 4 * MIB));
    BOOST_TEST(body.hold.grow({0}, 4 * MIB));
    body.hold.complete();
    BOOST_TEST(body.hold.grow({0}, 4 * MIB));
}

BOOST_AUTO_TEST_SUITE_END()
