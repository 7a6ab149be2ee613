/**
 * Tests of when the leader's quarantines are recorded in the replicated state.
 */
#include "bamboomoor/control/quarantinerecorder.hpp"
#include "bamboomoor/state/machine.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace bamboomoor;
using control::QuarantineRecorder;
using quarantine::Quarantine;

namespace
{

constexpr base::Millis NOW{10'000};
constexpr base::Millis WALL_NOW{1'800'000'000'000};

std::vector<Quarantine> asList(const std::map<std::string, base::Millis> &quarantines)
{
    std::vector<Quarantine> list;
    list.reserve(quarantines.size());
    for (const auto &[part, until] : quarantines) {
        list.push_back({part, until});
    }
    return list;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantinerecorder)

BOOST_AUTO_TEST_CASE(many_quarantines_within_the_interval_share_one_command)
{
    QuarantineRecorder recorder;
    std::map<std::string, base::Millis> quarantines;
    std::size_t records = 0;
    for (base::Millis now = NOW; now < NOW + base::Millis{2'000}; now += base::Millis{10}) {
        quarantines["part" + std::to_string(now.count)] = NOW + base::Millis{600'000};
        if (const auto record = recorder.next(now, asList(quarantines))) {
            ++records;
            BOOST_TEST(recorder.onVerdict(record->number, true));
        }
    }
    BOOST_TEST(records == 4U);
}

BOOST_AUTO_TEST_CASE(a_quarantine_that_ended_before_its_verdict_is_removed_all_the_same)
{
    QuarantineRecorder recorder;
    const auto first = recorder.next(NOW, {{"x", NOW + base::Millis{600'000}}});
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(!recorder.next(NOW + base::Millis{1'999}, {}).has_value());
    const auto second = recorder.next(NOW + base::Millis{2'000}, {});
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->quarantines.empty());
    // A late verdict on the first record says nothing of the second.
    BOOST_TEST(!recorder.onVerdict(first->number, true));
    BOOST_TEST(recorder.onVerdict(second->number, true));
    BOOST_TEST(!recorder.next(NOW + base::Millis{9'000}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(a_rejected_record_is_repeated_after_the_interval)
{
    QuarantineRecorder recorder;
    const std::vector<Quarantine> quarantines{{"x", NOW + base::Millis{600'000}}};
    BOOST_TEST(!recorder.onVerdict(recorder.next(NOW, quarantines)->number, false));
    BOOST_TEST(!recorder.next(NOW + base::Millis{499}, quarantines).has_value());
    BOOST_TEST(recorder.next(NOW + base::Millis{500}, quarantines).has_value());
}

BOOST_AUTO_TEST_CASE(a_prolonged_quarantine_is_recorded_again_and_one_that_is_told_late_is_not)
{
    QuarantineRecorder recorder;
    static_cast<void>(recorder.begin(NOW, WALL_NOW, {{"x", WALL_NOW.count + 600'000}}));
    BOOST_TEST(!recorder.next(NOW, {{"x", NOW + base::Millis{605'000}}}).has_value());
    const auto record = recorder.next(NOW, {{"x", NOW + base::Millis{605'001}}});
    BOOST_REQUIRE(record.has_value());
    const auto command = control::recordCommand(NOW, WALL_NOW, record->quarantines);
    BOOST_TEST(command.quarantines.at(0).untilMillis == WALL_NOW.count + 605'001);
}

BOOST_AUTO_TEST_CASE(any_end_in_the_state_is_read_as_at_most_the_longest_time)
{
    const bool passed = rc::check([] {
        QuarantineRecorder recorder;
        const auto end = *rc::gen::oneOf(rc::gen::arbitrary<std::int64_t>(),
            rc::gen::element(INT64_MIN, INT64_MAX, WALL_NOW.count, WALL_NOW.count + 1, WALL_NOW.count + 3'600'001));
        const auto quarantines = recorder.begin(NOW, WALL_NOW, {{"x", end}});
        RC_ASSERT(quarantines.empty() == (end <= WALL_NOW.count));
        if (!quarantines.empty()) {
            RC_ASSERT(quarantines[0].until > NOW);
            RC_ASSERT(quarantines[0].until <= NOW + base::Millis{3'600'000});
        }
        // What was not taken over as it stands is written anew.
        const bool isExact = end > WALL_NOW.count && end <= WALL_NOW.count + 3'600'000;
        RC_ASSERT(recorder.next(NOW, quarantines).has_value() != isExact);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(whatever_is_lost_the_state_ends_up_with_the_leaders_quarantines)
{
    const bool passed = rc::check([] {
        state::Machine machine;
        QuarantineRecorder recorder;
        std::map<std::string, base::Millis> quarantines;
        base::Millis now = NOW;
        base::Millis wallNow = WALL_NOW;
        const auto step = [&](int fate) {
            if (const auto record = recorder.next(now, asList(quarantines))) {
                // 0: rejected; 1: committed without a verdict; 2: no verdict; 3: committed.
                if (fate % 2 == 1) {
                    const state::Command command = control::recordCommand(now, wallNow, record->quarantines);
                    static_cast<void>(machine.apply(machine.lastIndex() + 1, state::encode(command)));
                }
                if (fate == 0 || fate == 3) {
                    static_cast<void>(recorder.onVerdict(record->number, fate == 3));
                }
            }
            now = now + base::Millis{300};
            wallNow = wallNow + base::Millis{300};
        };
        for (int n = 0; n < 40; ++n) {
            const std::string part = "p" + std::to_string(*rc::gen::inRange(0, 4));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                quarantines[part] = now + base::Millis{*rc::gen::inRange(1'000, 600'000)};
                break;
            case 1:
                quarantines.erase(part);
                break;
            case 2:
                recorder = QuarantineRecorder();
                quarantines.clear();
                for (const Quarantine &it : recorder.begin(now, wallNow, machine.quarantines().ends())) {
                    quarantines[it.part] = it.until;
                }
                break;
            default:
                break;
            }
            step(*rc::gen::inRange(0, 4));
        }
        for (int n = 0; n < 20; ++n) {
            step(3);
        }
        std::erase_if(quarantines, [&](const auto &it) {
            return it.second <= now - base::Millis{300};
        });
        const auto &ends = machine.quarantines().ends();
        RC_ASSERT(ends.size() == quarantines.size());
        for (const auto &[part, until] : quarantines) {
            const std::int64_t off = ends.at(part) - (wallNow + (until - now)).count;
            RC_ASSERT(off >= -5'000);
            RC_ASSERT(off <= 5'000);
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
