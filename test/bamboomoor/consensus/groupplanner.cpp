/**
 * Tests of the group membership plan, and a property test with disks that fail and join.
 */
#include "bamboomoor/consensus/groupplanner.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace bamboomoor;
using consensus::ChangeKind;
using consensus::GroupChange;
using consensus::GroupPlanner;
using consensus::GroupView;

namespace
{

constexpr base::Millis START{100'000};
constexpr base::Millis LONG_SILENCE{5'000};

GroupView viewOf(std::vector<std::string> voters, std::vector<std::string> learners = {})
{
    GroupView view{voters.front(), {std::move(voters), std::move(learners)}, {}};
    for (const auto *ids : {&view.membership.voters, &view.membership.learners}) {
        for (const std::string &it : *ids) {
            view.lastContact[it] = START;
        }
    }
    return view;
}

void expireContact(GroupView &view, const std::string &id)
{
    view.lastContact[id] = START - LONG_SILENCE;
}

} // namespace

BOOST_AUTO_TEST_SUITE(group_plan)

BOOST_AUTO_TEST_CASE(a_joining_disk_becomes_a_learner_and_then_a_voter_of_a_small_group)
{
    GroupPlanner plan({});
    GroupView view = viewOf({"a@1:1", "b@2:1", "c@3:1"});
    BOOST_TEST(!plan.nextChange(START, view).has_value());
    plan.addCandidate(START, "d@4:1");
    BOOST_TEST((plan.nextChange(START, view) == GroupChange{ChangeKind::AddLearner, "d@4:1"}));
    view = viewOf({"a@1:1", "b@2:1", "c@3:1"}, {"d@4:1"});
    BOOST_TEST((plan.nextChange(START, view) == GroupChange{ChangeKind::Promote, "d@4:1"}));
}

BOOST_AUTO_TEST_CASE(a_full_group_of_live_voters_adds_no_member)
{
    GroupPlanner plan({});
    plan.addCandidate(START, "f@6:1");
    BOOST_TEST(!plan.nextChange(START, viewOf({"a@1:1", "b@2:1", "c@3:1", "d@4:1", "e@5:1"})).has_value());
}

BOOST_AUTO_TEST_CASE(a_failed_voter_is_removed_after_its_replacement_is_promoted)
{
    GroupPlanner plan({});
    GroupView view = viewOf({"a@1:1", "b@2:1", "c@3:1", "d@4:1", "e@5:1"});
    expireContact(view, "e@5:1");
    BOOST_TEST(!plan.nextChange(START, view).has_value());
    plan.addCandidate(START, "f@6:1");
    BOOST_TEST((plan.nextChange(START, view) == GroupChange{ChangeKind::AddLearner, "f@6:1"}));
    view.membership.learners = {"f@6:1"};
    view.lastContact["f@6:1"] = START;
    BOOST_TEST((plan.nextChange(START, view) == GroupChange{ChangeKind::Promote, "f@6:1"}));
    view.membership.learners.clear();
    view.membership.voters.emplace_back("f@6:1");
    BOOST_TEST((plan.nextChange(START, view) == GroupChange{ChangeKind::Remove, "e@5:1"}));
}

BOOST_AUTO_TEST_CASE(an_empty_disk_at_a_voters_address_replaces_it_at_once)
{
    GroupPlanner plan({});
    GroupView view = viewOf({"a@1:1", "b@2:1", "c@3:1", "d@4:1", "e@5:1"});
    plan.addCandidate(START, "new@5:1");
    BOOST_TEST((plan.nextChange(START, view) == GroupChange{ChangeKind::AddLearner, "new@5:1"}));
}

BOOST_AUTO_TEST_CASE(no_learner_is_promoted_without_a_reachable_majority)
{
    GroupPlanner plan({});
    GroupView view = viewOf({"a@1:1", "b@2:1", "c@3:1", "d@4:1", "e@5:1"}, {"f@6:1"});
    for (const char *it : {"c@3:1", "d@4:1", "e@5:1"}) {
        expireContact(view, it);
    }
    BOOST_TEST(!plan.nextChange(START, view).has_value());
}

BOOST_AUTO_TEST_CASE(two_disks_lost_at_once_are_replaced_one_after_the_other)
{
    GroupPlanner plan({});
    std::vector<std::string> voters{"a@1:1", "b@2:1", "c@3:1", "d@4:1", "e@5:1"};
    std::vector<std::string> learners;
    std::size_t least = voters.size();
    for (int n = 0; n < 12; ++n) {
        GroupView view = viewOf(voters, learners);
        expireContact(view, "d@4:1");
        expireContact(view, "e@5:1");
        for (const char *it : {"x@4:1", "y@5:1"}) {
            const bool member = std::count(voters.begin(), voters.end(), it) > 0
                || std::count(learners.begin(), learners.end(), it) > 0;
            if (!member) {
                plan.addCandidate(START, it);
            }
        }
        const auto change = plan.nextChange(START, view);
        if (!change) {
            break;
        }
        std::erase(voters, change->id);
        std::erase(learners, change->id);
        if (change->change != ChangeKind::Remove) {
            (change->change == ChangeKind::AddLearner ? learners : voters).push_back(change->id);
        }
        least = std::min(least, voters.size());
    }
    std::sort(voters.begin(), voters.end());
    BOOST_TEST(least == 5U);
    BOOST_TEST((voters == std::vector<std::string>{"a@1:1", "b@2:1", "c@3:1", "x@4:1", "y@5:1"}));
}

BOOST_AUTO_TEST_CASE(every_change_leaves_a_reachable_majority)
{
    BOOST_TEST(rc::check([] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 7);
        std::vector<std::string> voters;
        for (std::size_t n = 0; n < size; ++n) {
            voters.push_back("v" + std::to_string(n) + "@" + std::to_string(n) + ":1");
        }
        std::vector<std::string> learners;
        if (*rc::gen::arbitrary<bool>()) {
            learners.emplace_back("l@20:1");
        }
        GroupView view = viewOf(voters, learners);
        std::set<std::string> silent;
        for (std::size_t n = 1; n < size; ++n) {
            if (*rc::gen::inRange(0, 3) == 0) {
                expireContact(view, voters[n]);
                silent.insert(voters[n]);
            }
        }
        GroupPlanner plan({});
        plan.addCandidate(START, "c@" + std::to_string(*rc::gen::inRange(0, 9)) + ":1");
        const auto change = plan.nextChange(START, view);
        if (!change || change->change == ChangeKind::AddLearner) {
            return;
        }
        if (change->change == ChangeKind::Promote) {
            voters.push_back(change->id);
        } else {
            std::erase(voters, change->id);
        }
        const auto heard = std::count_if(voters.begin(), voters.end(), [&silent](const std::string &it) {
            return !silent.contains(it);
        });
        RC_ASSERT(static_cast<std::size_t>(heard) >= voters.size() / 2 + 1 || change->id == "l@20:1");
        RC_ASSERT(voters.size() <= 7U);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
