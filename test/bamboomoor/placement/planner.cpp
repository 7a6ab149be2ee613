/**
 * Fuzz test of the planner against a simulated cluster, and a test of evictions that need a copy first.
 */
#include "world.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboomoor;
using namespace bamboomoor::placement;

BOOST_AUTO_TEST_CASE(memory_is_never_overcommitted_and_models_come_back)
{
    BOOST_TEST(rc::check("orders lost, delayed, duplicated and executed for deposed leaders", [](std::uint32_t seed) {
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

BOOST_AUTO_TEST_CASE(a_last_replica_is_copied_away_to_make_room)
{
    Catalogue catalogue;
    test::World world;
    const auto place = [&](std::size_t upstream, std::size_t accelerator, const std::string &name, std::uint64_t size) {
        catalogue.entries.push_back({{name, "", "1"}, size, 1, 1});
        world.upstreams[upstream].accelerators[accelerator].resident[{name, "", "1"}] = size;
    };
    // The eighth accelerator has 55 MiB free: too little for the lost model but enough for a copy of "moved".
    for (std::size_t n = 0; n < 8; ++n) {
        place(n / 2, n % 2, "full" + std::to_string(n), n == 7 ? 45 : 100);
    }
    place(4, 0, "left", 40);
    place(4, 0, "moved", 40);
    place(4, 1, "full8", 100);
    catalogue.entries.push_back({{"lost", "", "1"}, 58, 1, 1});
    world.setCatalogue(catalogue);
    BOOST_TEST(world.unreachable() == std::vector<std::string>{"lost/"}, boost::test_tools::per_element());
    world.settle(0, 400);
    BOOST_TEST(world.violation == "");
    BOOST_TEST(world.unreachable() == std::vector<std::string>{}, boost::test_tools::per_element());
}
