/**
 * Fuzzing of the planner against the oracle, and tests of the target policies.
 */
#include "world.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboomoor;
using namespace bamboomoor::placement;

BOOST_AUTO_TEST_CASE(memory_is_never_overcommitted_and_models_come_back)
{
    BOOST_TEST(rc::check("orders lost, late, doubled and run for deposed leaders", [](std::uint32_t seed) {
        const auto codes =
            *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 24U)).as("steps");
        test::World world;
        world.settle(seed, 60);
        for (const std::uint32_t code : codes) {
            world.apply(code);
            RC_ASSERT(world.violation == "");
        }
        world.settle(seed, 400);
        RC_ASSERT(world.violation == "");
        RC_ASSERT(world.unreachable() == std::vector<std::string>{});
    }));
}
