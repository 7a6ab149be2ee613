/**
 * Stateful fuzzing of holders and authorities. Under any faults, no time window contains more admitted tokens than a
 * single bucket allows; without faults, no request is refused that a single bucket would have admitted.
 */
#include "fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <ostream>

using namespace bamboomoor;
using namespace bamboomoor::budget::test;
using budget::Tokens;

namespace
{
enum class Kind { Request, Surge, Flood, Idle, Kill, Freeze, CutOff, TakeOver, SplitBrain };

struct Step {
    Kind kind = Kind::Request;
    int holder = 0;
    Tokens tokens = 1;
    int percentUsed = 100;
    Micros duration = 0;
};

void showValue(const Step &step, std::ostream &os)
{
    os << static_cast<int>(step.kind) << ":" << step.holder << ":" << step.tokens << ":" << step.percentUsed << ":"
       << step.duration;
}

// The maximum number of tokens by which any time window exceeds the bucket.
double excess(const std::vector<Use> &uses, const budget::Limit &limit)
{
    double backlog = 0;
    double worst = 0;
    Micros last = 0;
    for (const Use &it : uses) {
        backlog = std::max(0.0, backlog - static_cast<double>(limit.rate) * static_cast<double>(it.at - last) / 1e6);
        backlog += static_cast<double>(it.tokens);
        worst = std::max(worst, backlog - static_cast<double>(limit.burst));
        last = it.at;
    }
    return worst;
}

rc::Gen<std::vector<Step>> genSteps(bool faulty)
{
    const auto kinds = faulty
        ? rc::gen::weightedElement<Kind>({{40, Kind::Request}, {20, Kind::Surge}, {2, Kind::Flood}, {15, Kind::Idle},
            {2, Kind::Kill}, {3, Kind::CutOff}, {3, Kind::Freeze}, {2, Kind::TakeOver}, {3, Kind::SplitBrain}})
        : rc::gen::weightedElement<Kind>({{60, Kind::Request}, {20, Kind::Surge}, {1, Kind::Flood}, {20, Kind::Idle}});
    return rc::gen::scale(2,
        rc::gen::container<std::vector<Step>>(
            rc::gen::build<Step>(rc::gen::set(&Step::kind, kinds), rc::gen::set(&Step::holder, rc::gen::inRange(0, 4)),
                rc::gen::set(&Step::tokens, rc::gen::inRange<Tokens>(1, 400)),
                rc::gen::set(&Step::percentUsed, rc::gen::element(0, 10, 50, 100, faulty ? 130 : 100)),
                rc::gen::set(&Step::duration, rc::gen::inRange<Micros>(0, 700'000)))));
}

void apply(Fleet &fleet, const Step &step, int holders)
{
    const int holder = step.holder % holders;
    switch (step.kind) {
    case Kind::Request:
        fleet.request(holder, step.tokens, step.tokens * step.percentUsed / 100, step.duration);
        fleet.run(fleet.now() + step.duration / 20);
        break;
    case Kind::Surge:
        for (int n = 0; n < 12; ++n) {
            fleet.request((holder + n) % holders, step.tokens, step.tokens * step.percentUsed / 100, step.duration);
            fleet.run(fleet.now() + step.duration / 400);
        }
        break;
    case Kind::Flood:
        for (int n = 0; n < 400; ++n) {
            fleet.request((holder + n) % holders, step.tokens / 4 + 1, step.tokens / 4 + 1, 0);
            fleet.run(fleet.now() + 2'500);
        }
        break;
    case Kind::Idle:
        fleet.run(fleet.now() + step.duration * (step.holder + 1));
        break;
    case Kind::Kill:
        fleet.kill(holder);
        break;
    case Kind::Freeze:
        fleet.freeze(holder, step.duration * 5);
        break;
    case Kind::CutOff:
        fleet.cutOff(holder, step.duration * 10);
        break;
    case Kind::TakeOver:
    case Kind::SplitBrain:
        fleet.takeOver(step.kind == Kind::SplitBrain, step.duration * 20);
        break;
    }
}

void checkNeverMore(const Faults &faults, int holders)
{
    const auto steps = *genSteps(true);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const budget::Limit limit{
        "o", *rc::gen::element<Tokens>(200, 1'000, 20'000), *rc::gen::element<Tokens>(400, 1'000)};
    Fleet fleet(seed, holders, faults, limit, 10);
    for (const Step &it : steps) {
        apply(fleet, it, holders);
    }
    fleet.run(fleet.now() + 3'000'000);
    const double worst = excess(fleet.uses, limit);
    RC_LOG() << "excess " << worst << " tokens of " << fleet.uses.size() << " uses" << std::endl;
    RC_ASSERT(worst <= 1e-6);
}
} // namespace

BOOST_AUTO_TEST_CASE(no_window_contains_more_than_the_bucket)
{
    const bool held = rc::check("never more", [] {
        const Faults faults{*rc::gen::inRange(0, 40), *rc::gen::inRange(0, 30),
            *rc::gen::element<Micros>(1'500, 5'000, 60'000, 900'000), *rc::gen::inRange(0, 11),
            *rc::gen::inRange(0, 40), *rc::gen::element<Micros>(3'500, 700'000, 4'000'000),
            *rc::gen::element(base::Millis{250}, base::Millis{60'000})};
        checkNeverMore(faults, *rc::gen::inRange(1, 5));
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(two_holders_on_a_lossy_network_do_not_exceed_the_bucket)
{
    const bool held = rc::check("two holders", [] {
        checkNeverMore({30, 10, 5'000, 9, 0, 3'500, {250}}, 2);
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(a_changed_limit_admits_no_more_than_the_larger_one)
{
    const bool held = rc::check("changed limit", [] {
        const auto steps = *genSteps(true);
        Fleet fleet(
            *rc::gen::arbitrary<std::uint32_t>(), 3, {10, 10, 5'000, 9, 10, 3'500, {250}}, {"o", 1'000, 1'000}, 10);
        for (std::size_t n = 0; n < steps.size(); ++n) {
            apply(fleet, steps[n], 3);
            if (n % 5 == 4) {
                fleet.setLimit({"o", steps[n].tokens * 2, 400 + steps[n].percentUsed});
            }
        }
        fleet.run(fleet.now() + 3'000'000);
        RC_ASSERT(excess(fleet.uses, {"o", 1'000, 1'000}) <= 1e-6);
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(without_faults_nothing_is_refused_that_one_bucket_admits)
{
    int decided = 0;
    int refused = 0;
    Micros longestWait = 0;
    const bool held = rc::check("no wrongful refusal", [&] {
        const auto steps = *genSteps(false);
        const int holders = *rc::gen::inRange(1, 5);
        const budget::Limit limit{"o", *rc::gen::element<Tokens>(200, 1'000, 20'000), 1'000};
        // In half of the cases, holders return tokens only when recalled.
        Faults faults;
        faults.idleTimeout = *rc::gen::element(base::Millis{250}, base::Millis{60'000});
        Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), holders, faults, limit, 0);
        for (const Step &it : steps) {
            apply(fleet, it, holders);
        }
        fleet.run(fleet.now() + 3'000'000);
        decided += static_cast<int>(fleet.uses.size()) + fleet.refused;
        refused += fleet.refused;
        RC_ASSERT(fleet.wrongful == 0);
        longestWait = std::max(longestWait, fleet.longestWait);
    });
    BOOST_TEST(held);
    BOOST_TEST_MESSAGE(refused << " of " << decided << " requests refused; longest wait " << longestWait << " us");
}
