/**
 * Tests of the judgement that keeps a configuration fresh without a leader, against all logs of three voters.
 */
#include "bamboomoor/entry/freshness.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>

using namespace bamboomoor;

namespace
{

entry::WitnessAnswer answer(const std::string &voter, std::uint64_t version, bool usable = true)
{
    entry::WitnessAnswer it{voter, {}};
    it.reply.set_version(version);
    it.reply.set_usable(usable);
    for (const char *name : {"a", "b", "c"}) {
        it.reply.add_voters(name);
    }
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_majority_without_a_later_version_confirms)
{
    BOOST_TEST(entry::confirmsVersion({answer("a", 3), answer("b", 2)}, 3));
    BOOST_TEST(!entry::confirmsVersion({answer("a", 3)}, 3));
    BOOST_TEST(!entry::confirmsVersion({answer("a", 3), answer("b", 4)}, 3));
    BOOST_TEST(!entry::confirmsVersion({answer("a", 3), answer("b", 3, false)}, 3));
    BOOST_TEST(!entry::confirmsVersion({answer("a", 3), answer("stranger", 3)}, 3));
}

BOOST_AUTO_TEST_CASE(voters_of_other_memberships_do_not_add_up)
{
    auto other = answer("b", 3);
    other.reply.add_voters("d");
    BOOST_TEST(!entry::confirmsVersion({answer("a", 3), other}, 3));
}

BOOST_AUTO_TEST_CASE(no_confirmed_version_is_older_than_one_in_force)
{
    const bool passed = rc::check([] {
        // A voter's log either holds the latest change, applied or not, or only earlier ones.
        const auto latest = *rc::gen::inRange<std::uint64_t>(1, 5);
        std::size_t holders = 0;
        std::vector<entry::WitnessAnswer> answers;
        for (const char *name : {"a", "b", "c"}) {
            const bool holds = *rc::gen::arbitrary<bool>();
            const bool applied = *rc::gen::arbitrary<bool>();
            holders += holds ? 1 : 0;
            if (*rc::gen::arbitrary<bool>()) {
                answers.push_back(answer(name, holds && applied ? latest : latest - 1, !holds || applied));
            }
        }
        const bool inForce = holders >= 2;
        RC_ASSERT(!inForce || !entry::confirmsVersion(answers, latest - 1));
    });
    BOOST_TEST(passed);
}
