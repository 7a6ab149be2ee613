/**
 * Tests of the replicated set of quarantined subjects.
 */
#include "bamboomoor/state/generators.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace bamboomoor;
using namespace bamboomoor::state;

namespace
{

Outcome apply(Machine &machine, const RecordQuarantines &command)
{
    return machine.apply(machine.lastIndex() + 1, encode(command));
}

RecordQuarantines numbered(int count)
{
    RecordQuarantines command;
    for (int n = 0; n < count; ++n) {
        command.quarantines.push_back({"request:" + std::to_string(n), n});
    }
    return command;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantines)

BOOST_AUTO_TEST_CASE(the_last_command_decides_within_the_bounds_also_over_a_restart)
{
    const bool passed = rc::check([] {
        const Limits limits{.quarantines = 3, .quarantineSubjectBytes = 8};
        Machine machine(limits);
        for (int n = 0; n < 10; ++n) {
            const RecordQuarantines command{*rc::gen::container<std::vector<QuarantineEnd>>(rc::gen::exec([] {
                return QuarantineEnd{anyName(*rc::gen::element("", "part", "too long"), 9),
                    *rc::gen::element<std::int64_t>(INT64_MIN, -1, 0, 1, 2, 3, INT64_MAX)};
            }))};
            const Outcome outcome = apply(machine, command);
            if (*rc::gen::arbitrary<bool>()) {
                machine = Machine::restore(machine.snapshot(), limits).value();
            }
            std::map<std::string, std::int64_t> wanted;
            for (const QuarantineEnd &it : command.quarantines) {
                if (it.subject.size() <= limits.quarantineSubjectBytes) {
                    const auto [known, isNew] = wanted.try_emplace(it.subject, it.untilMillis);
                    known->second = std::max(known->second, it.untilMillis);
                }
            }
            const auto &ends = machine.quarantines().ends();
            RC_ASSERT(std::get<CountOutcome>(outcome).count == ends.size());
            RC_ASSERT(ends.size() == std::min(wanted.size(), limits.quarantines));
            std::int64_t firstEnd = INT64_MAX;
            for (const auto &[subject, untilMillis] : ends) {
                RC_ASSERT(wanted.at(subject) == untilMillis);
                firstEnd = std::min(firstEnd, untilMillis);
            }
            RC_ASSERT(std::all_of(wanted.begin(), wanted.end(), [&](const auto &it) {
                return ends.contains(it.first) || it.second <= firstEnd;
            }));
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(a_snapshot_without_the_field_is_restored_and_an_empty_set_writes_none)
{
    Machine machine;
    static_cast<void>(machine.apply(1, encode(SweepClaims{})));
    const std::string before = machine.snapshot();
    BOOST_TEST(before.find("quarantines") == std::string::npos);
    const Machine restored = Machine::restore(before).value();
    BOOST_TEST(restored.quarantines().ends().empty());
    BOOST_TEST(restored.digest() == machine.digest());
}

BOOST_AUTO_TEST_CASE(a_replica_that_ignored_commands_is_equal_again_after_the_next_one)
{
    Machine machine;
    Machine updated;
    static_cast<void>(apply(machine, numbered(3)));
    BOOST_TEST(std::holds_alternative<Malformed>(updated.apply(1, R"({"kind":"of a later build","value":{}})")));
    BOOST_TEST(machine.digest() != updated.digest());
    static_cast<void>(apply(machine, numbered(2)));
    static_cast<void>(apply(updated, numbered(2)));
    BOOST_TEST(machine.digest() == updated.digest());
}

BOOST_AUTO_TEST_CASE(a_command_of_wrong_types_changes_nothing_but_the_last_index)
{
    Machine machine;
    static_cast<void>(apply(machine, numbered(1)));
    for (const std::string value : {R"({})", R"({"quarantines":{}})", R"({"quarantines":[{"subject":"a"}]})",
             R"({"quarantines":[{"subject":"a","untilMillis":1.5}]})",
             R"({"quarantines":[{"subject":1,"untilMillis":1}]})"}) {
        const std::string bytes = R"({"kind":"record_quarantines","value":)" + value + "}";
        BOOST_TEST(std::holds_alternative<Malformed>(machine.apply(machine.lastIndex() + 1, bytes)), value);
    }
    BOOST_TEST(machine.quarantines().ends().size() == 1U);
    BOOST_TEST(machine.lastIndex() == 6U);
}

BOOST_AUTO_TEST_CASE(the_largest_command_and_one_of_a_single_request_stay_small)
{
    RecordQuarantines largest;
    const Limits limits;
    for (std::size_t n = 0; n < limits.quarantines; ++n) {
        const std::string number = std::to_string(n);
        largest.quarantines.push_back(
            {std::string(limits.quarantineSubjectBytes - number.size(), 'a') + number, 1'800'000'000'000});
    }
    const RecordQuarantines single{{{"request:0123456789abcdef0123456789abcdef", 1'800'000'000'000}}};
    BOOST_TEST_MESSAGE("bytes: " << encode(single).size() << ", " << encode(largest).size());
    BOOST_TEST(encode(single).size() < 200U);
    BOOST_TEST(encode(largest).size() < 32'768U);
    Machine machine;
    BOOST_TEST((std::get<CountOutcome>(apply(machine, largest)).count == limits.quarantines));
}

BOOST_AUTO_TEST_SUITE_END()
