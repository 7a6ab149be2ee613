/**
 * Tests of the settlement rules of the memory ledger.
 */
#include "bamboomoor/placement/ledger.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using namespace bamboomoor::placement;

namespace
{
const ModelRef MODEL{"m", "", "1"};

Order makeOrder(std::uint64_t fencing, OrderKind kind)
{
    return {orderIdOf(fencing), fencing, "w", 1, "0", kind, MODEL, 60};
}

struct Fixture {
    explicit Fixture(bool checksFencing)
    {
        announcement.id = "w";
        announcement.incarnation = 1;
        announcement.checksFencing = checksFencing;
        announcement.accelerators = {{"0", 100, {}}};
        report();
    }

    // Reports residents and the latest confirmations.
    void report(bool resident = false, std::vector<membership::OrderOutcome> confirmed = {})
    {
        ++announcement.sequence;
        announcement.accelerators[0].resident.clear();
        if (resident) {
            announcement.accelerators[0].resident.push_back({"m", "", "1", 60});
        }
        announcement.lastOrders = std::move(confirmed);
        ledger.report({1}, announcement);
    }

    void send(std::uint64_t fencing, OrderKind kind)
    {
        ledger.propose({1}, makeOrder(fencing, kind));
        BOOST_REQUIRE(ledger.commit({1}, orderIdOf(fencing)) != nullptr);
    }

    [[nodiscard]] std::uint64_t freeMib()
    {
        return ledger.upstreams().at("w").accelerator("0").freeMib();
    }

    Ledger ledger;
    membership::Announcement announcement;
};

constexpr auto DONE = membership::OrderResult::Done;
} // namespace

BOOST_AUTO_TEST_CASE(a_report_older_than_a_confirmed_load_proves_nothing)
{
    Fixture it(true);
    it.send(1, OrderKind::Load);
    BOOST_TEST(it.freeMib() == 40U);
    it.ledger.consume({1}, orderIdOf(1));
    const Order hold = it.ledger.cover({1}, orderIdOf(1), 2);
    BOOST_REQUIRE(it.ledger.commit({1}, hold.id) != nullptr);
    it.report();
    BOOST_TEST(it.freeMib() == 40U);
    // A new leader that has only this report still accounts for the hold.
    it.ledger.reset({1}, std::vector<Order>{hold});
    it.report();
    BOOST_TEST(it.freeMib() == 40U);
    it.send(3, OrderKind::Unload);
    it.report(true);
    BOOST_TEST(it.freeMib() == 40U);
    it.report();
    BOOST_TEST(it.freeMib() == 40U);
    it.report(false, {{orderIdOf(3), DONE}});
    BOOST_TEST(it.freeMib() == 100U);
}

BOOST_AUTO_TEST_CASE(a_later_confirmation_ends_an_order_only_where_fencing_is_checked)
{
    for (const bool checksFencing : {false, true}) {
        Fixture it(checksFencing);
        it.send(1, OrderKind::Load);
        it.send(2, OrderKind::Unload);
        it.report(false, {{orderIdOf(2), DONE}});
        BOOST_TEST(it.freeMib() == (checksFencing ? 100U : 40U));
    }
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_ends_all_orders_and_a_refusal_its_own)
{
    Fixture it(false);
    it.send(1, OrderKind::Load);
    it.report(false, {{orderIdOf(1), membership::OrderResult::Refused}});
    BOOST_TEST(it.freeMib() == 100U);
    it.send(2, OrderKind::Load);
    ++it.announcement.incarnation;
    it.report();
    BOOST_TEST(it.freeMib() == 100U);
}
