/**
 * Tests of the ring, the tables of names, results and digests.
 */
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace bamboomoor;

namespace
{
enum class Fruit { Apple, Pear };
constexpr auto FRUIT_NAMES = base::makeNames<Fruit>("apple", "pear");

base::Result<int, Fruit> half(int n)
{
    if (n % 2 != 0) {
        return base::failure(Fruit::Pear);
    }
    return n / 2;
}
} // namespace

BOOST_AUTO_TEST_CASE(a_full_ring_refuses_and_keeps_order)
{
    base::Ring<int> ring(2);
    BOOST_TEST(ring.push(1));
    BOOST_TEST(ring.push(2));
    BOOST_TEST(!ring.push(3));
    BOOST_TEST(ring.pop({0}).value() == 1);
    BOOST_TEST(ring.pop({0}).value() == 2);
    BOOST_TEST(!ring.pop({0}).has_value());
}

BOOST_AUTO_TEST_CASE(what_belongs_to_accepted_work_is_not_refused_by_a_full_ring)
{
    base::Ring<int> ring(1);
    BOOST_TEST(ring.push(1));
    ring.deliver(2);
    BOOST_TEST(!ring.push(3));
    BOOST_TEST(ring.size() == 2U);
    BOOST_TEST(ring.pop({0}).value() == 1);
    BOOST_TEST(!ring.push(3));
    BOOST_TEST(ring.pop({0}).value() == 2);
    BOOST_TEST(ring.push(3));
    ring.close();
    ring.deliver(4);
    BOOST_TEST(ring.size() == 1U);
}

BOOST_AUTO_TEST_CASE(closing_wakes_a_waiting_thread)
{
    base::Ring<int> ring(1);
    std::thread waiter([&ring] {
        BOOST_TEST(!ring.pop({60'000}).has_value());
    });
    ring.close();
    waiter.join();
    BOOST_TEST(!ring.push(1));
}

BOOST_AUTO_TEST_CASE(names_are_found_both_ways)
{
    BOOST_TEST(FRUIT_NAMES.name(Fruit::Pear) == "pear");
    BOOST_TEST(static_cast<int>(FRUIT_NAMES.find("apple").value()) == 0);
    BOOST_TEST(!FRUIT_NAMES.find("plum").has_value());
    BOOST_TEST(FRUIT_NAMES.list() == "apple, pear");
}

BOOST_AUTO_TEST_CASE(results_hold_a_value_or_an_error)
{
    BOOST_TEST(half(4).value() == 2);
    BOOST_TEST(half(3).has_error());
    BOOST_TEST(FRUIT_NAMES.name(half(3).error()) == "pear");
}

BOOST_AUTO_TEST_CASE(digest_of_a_known_text)
{
    BOOST_TEST(base::sha256("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
