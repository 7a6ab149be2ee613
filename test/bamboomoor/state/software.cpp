/**
 * Tests of the replicated set of software versions.
 */
#include "bamboomoor/state/machine.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace bamboomoor;
using namespace bamboomoor::state;

namespace
{

Outcome apply(Machine &machine, const RecordSoftware &command)
{
    return machine.apply(machine.lastIndex() + 1, encode(command));
}

} // namespace

BOOST_AUTO_TEST_SUITE(software)

BOOST_AUTO_TEST_CASE(the_last_command_decides_also_over_a_restart)
{
    Machine machine;
    apply(machine, {{{"llm", {"v1"}}, {"app", {""}}}});
    const Outcome outcome = apply(machine, {{{"llm", {"v1", "v2"}}}});
    BOOST_TEST(std::get<CountOutcome>(outcome).count == 2U);
    const Machine restored = Machine::restore(machine.snapshot()).value();
    BOOST_TEST((restored.software().versions() == SoftwareVersions{{"llm", {"v1", "v2"}}}));
    BOOST_TEST(restored.digest() == machine.digest());
}

BOOST_AUTO_TEST_CASE(the_record_is_bounded)
{
    const Limits limits{.softwareServices = 1, .softwareVersions = 2, .softwareNameBytes = 3};
    Machine machine(limits);
    apply(machine, {{{"long", {"v1"}}, {"a", {"v1", "v2", "v3", "long"}}, {"b", {"v1"}}}});
    BOOST_TEST((machine.software().versions() == SoftwareVersions{{"a", {"v1", "v2"}}}));
}

BOOST_AUTO_TEST_CASE(a_snapshot_without_versions_is_that_of_an_earlier_build)
{
    Machine machine;
    BOOST_TEST(machine.snapshot().find("software") == std::string::npos);
    BOOST_TEST(Machine::restore(machine.snapshot()).value().software().versions().empty());
}

BOOST_AUTO_TEST_SUITE_END()
