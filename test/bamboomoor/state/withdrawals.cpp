/**
 * Tests of the replicated withdrawals of upstreams.
 */
#include "bamboomoor/state/machine.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bamboomoor;
using namespace bamboomoor::state;

namespace
{

constexpr std::int64_t NOW = 1'800'000'000'000;

std::uint64_t apply(Machine &machine, const RecordWithdrawal &command)
{
    return std::get<CountOutcome>(machine.apply(machine.lastIndex() + 1, encode(command))).count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(withdrawals)

BOOST_AUTO_TEST_CASE(a_withdrawal_covers_earlier_processes_and_outlasts_a_restart)
{
    Machine machine;
    BOOST_TEST(apply(machine, {"w", 5, NOW}) == 1U);
    const Machine restored = Machine::restore(machine.snapshot()).value();
    BOOST_TEST(restored.withdrawals().contains("w", 4));
    BOOST_TEST(restored.withdrawals().contains("w", 5));
    BOOST_TEST(!restored.withdrawals().contains("w", 6));
    BOOST_TEST(!restored.withdrawals().contains("v", 5));
    BOOST_TEST(restored.withdrawals().revision() == 1U);
    BOOST_TEST(restored.digest() == machine.digest());
}

// Guards against a late message of a former process that hides the withdrawal of the present one.
BOOST_AUTO_TEST_CASE(repeated_and_late_withdrawals_are_decided_without_a_change)
{
    Machine machine;
    apply(machine, {"w", 5, NOW});
    BOOST_TEST(apply(machine, {"w", 4, NOW + 1}) == 1U);
    BOOST_TEST(apply(machine, {"w", 5, NOW + 1}) == 1U);
    BOOST_TEST(machine.withdrawals().revision() == 1U);
    BOOST_TEST(machine.withdrawals().contains("w", 5));
    BOOST_TEST((machine.decided(encode(RecordWithdrawal{"w", 5, NOW + 2})) == Outcome(CountOutcome{1})));
    BOOST_TEST(!machine.decided(encode(RecordWithdrawal{"w", 6, NOW + 2})).has_value());
    BOOST_TEST(apply(machine, {"w", 6, NOW + 2}) == 1U);
    BOOST_TEST(machine.withdrawals().contains("w", 6));
}

BOOST_AUTO_TEST_CASE(the_table_is_bounded_by_count_age_and_length_of_names)
{
    Limits limits;
    limits.withdrawals = 2;
    limits.withdrawalNameBytes = 3;
    limits.withdrawalRetentionMillis = 100;
    Machine machine(limits);
    BOOST_TEST(apply(machine, {"long", 1, NOW}) == 0U);
    BOOST_TEST(machine.withdrawals().withdrawals().empty());
    apply(machine, {"a", 1, NOW});
    apply(machine, {"b", 1, NOW});
    apply(machine, {"c", 1, NOW});
    BOOST_TEST(!machine.withdrawals().contains("a", 1));
    BOOST_TEST(machine.withdrawals().contains("b", 1));
    apply(machine, {"d", 1, NOW + 101});
    BOOST_TEST(machine.withdrawals().withdrawals().size() == 1U);
    BOOST_TEST(machine.withdrawals().contains("d", 1));
    // A clock that was set back does not drop what it has just recorded.
    apply(machine, {"e", 1, NOW - 1'000});
    BOOST_TEST(machine.withdrawals().contains("e", 1));
    BOOST_TEST(machine.withdrawals().contains("d", 1));
}

BOOST_AUTO_TEST_SUITE_END()
