/**
 * Tests of the replicated evacuations of data centres.
 */
#include "bamboomoor/state/machine.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace bamboomoor;
using namespace bamboomoor::state;

namespace
{

using Names = std::set<std::string>;

EvacuationOutcome apply(Machine &machine, const std::string &dataCentre, bool evacuated, std::uint64_t base)
{
    SetEvacuation command;
    command.author = "operator";
    command.dataCentre = dataCentre;
    command.evacuated = evacuated;
    command.base = base;
    return std::get<EvacuationOutcome>(machine.apply(machine.lastIndex() + 1, encode(command)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuations)

BOOST_AUTO_TEST_CASE(an_evacuation_lasts_until_it_is_ended_also_over_a_restart)
{
    Machine machine;
    BOOST_TEST((apply(machine, "dc1", true, 0).code == EvacuationCode::Accepted));
    Machine restored = Machine::restore(machine.snapshot()).value();
    BOOST_TEST((restored.evacuations().evacuated() == Names{"dc1"}));
    BOOST_TEST(restored.digest() == machine.digest());
    BOOST_TEST((apply(restored, "dc1", false, 1).code == EvacuationCode::Accepted));
    BOOST_TEST(restored.evacuations().evacuated().empty());
    BOOST_TEST(restored.evacuations().revision() == 2U);
}

BOOST_AUTO_TEST_CASE(a_repeated_call_is_accepted_and_changes_nothing)
{
    Machine machine;
    apply(machine, "dc1", true, 0);
    BOOST_TEST((apply(machine, "dc1", true, 0) == EvacuationOutcome{EvacuationCode::Accepted, 1}));
    BOOST_TEST((apply(machine, "dc1", true, 1) == EvacuationOutcome{EvacuationCode::Accepted, 1}));
    BOOST_TEST(machine.evacuations().revision() == 1U);
    BOOST_TEST((apply(machine, "dc2", false, 0) == EvacuationOutcome{EvacuationCode::Accepted, 0}));
    BOOST_TEST((machine.evacuations().evacuated() == Names{"dc1"}));
}

// Guards against an evacuation that begins again by a call that its operator has given up and sent elsewhere.
BOOST_AUTO_TEST_CASE(a_delayed_begin_does_not_undo_the_end_that_came_first)
{
    Machine machine;
    apply(machine, "dc1", true, 0);
    apply(machine, "dc1", false, 1);
    BOOST_TEST((apply(machine, "dc1", true, 0) == EvacuationOutcome{EvacuationCode::Stale, 2}));
    BOOST_TEST(machine.evacuations().evacuated().empty());
    BOOST_TEST((apply(machine, "dc1", true, 2).code == EvacuationCode::Accepted));
}

BOOST_AUTO_TEST_CASE(changes_of_other_data_centres_do_not_make_a_call_stale)
{
    Machine machine;
    apply(machine, "dc1", true, 0);
    BOOST_TEST((apply(machine, "dc2", true, 0).code == EvacuationCode::Accepted));
    BOOST_TEST((machine.evacuations().evacuated() == Names{"dc1", "dc2"}));
}

BOOST_AUTO_TEST_CASE(the_table_is_bounded_and_its_data_centres_can_still_change)
{
    Limits limits;
    limits.evacuations = 1;
    limits.evacuationNameBytes = 3;
    Machine machine(limits);
    BOOST_TEST((apply(machine, "long", true, 0).code == EvacuationCode::Full));
    apply(machine, "a", true, 0);
    BOOST_TEST((apply(machine, "b", true, 0).code == EvacuationCode::Full));
    BOOST_TEST((apply(machine, "a", false, 2).code == EvacuationCode::Accepted));
}

BOOST_AUTO_TEST_CASE(a_snapshot_without_evacuations_is_that_of_an_earlier_build)
{
    const Machine machine;
    BOOST_TEST(machine.snapshot().find("evacuations") == std::string::npos);
    BOOST_TEST(Machine::restore(machine.snapshot()).value().evacuations().evacuated().empty());
}

BOOST_AUTO_TEST_SUITE_END()
