/**
 * Property tests of simulated groups: random mixes of faults, checked by the oracle of the simulation.
 */
#include "sim.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>

namespace rc
{
template<>
struct Arbitrary<sim::Fault> {
    static Gen<sim::Fault> arbitrary()
    {
        const auto kind = gen::map(gen::inRange(0, sim::FAULT_KINDS), [](int n) {
            return static_cast<sim::FaultKind>(n);
        });
        return gen::build<sim::Fault>(gen::set(&sim::Fault::at, gen::inRange<std::int64_t>(0, 11'000)),
            gen::set(&sim::Fault::kind, kind), gen::set(&sim::Fault::a, gen::inRange<std::size_t>(0, 60)),
            gen::set(&sim::Fault::b, gen::inRange<std::size_t>(0, 60)),
            gen::set(&sim::Fault::lasts, gen::inRange<std::int64_t>(50, 5'000)));
    }
};
} // namespace rc

namespace
{
constexpr std::size_t SEEDS_PER_MIX = 6;
constexpr std::size_t SEEDS_PER_LOSS = 3;
} // namespace

namespace sim
{
void showValue(const Fault &fault, std::ostream &os)
{
    os << "{" << fault.at << ", " << static_cast<int>(fault.kind) << ", " << fault.a << ", " << fault.b << ", "
       << fault.lasts << "}";
}
} // namespace sim

// Disks are lost, at most two at a time, and VMs are replaced; the leader plans the membership.
BOOST_AUTO_TEST_CASE(a_planned_group_survives_tolerable_disk_losses)
{
    std::size_t lost = 0;
    std::uint64_t committed = 0;
    BOOST_TEST(rc::check("tolerable disk losses never break the group", [&] {
        constexpr std::array KINDS{sim::FaultKind::Crash, sim::FaultKind::CutOneWay, sim::FaultKind::CutPair,
            sim::FaultKind::Isolate, sim::FaultKind::Loss, sim::FaultKind::SlowDisk, sim::FaultKind::Compact,
            sim::FaultKind::Transfer, sim::FaultKind::LoseDisk, sim::FaultKind::LoseDisk, sim::FaultKind::Replace,
            sim::FaultKind::Return};
        sim::Scenario scenario;
        scenario.voters = 5;
        scenario.planned = true;
        scenario.seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto count = *rc::gen::resize(100, rc::gen::inRange<std::size_t>(1, 40));
        const auto fault = rc::gen::resize(100, rc::gen::arbitrary<sim::Fault>());
        scenario.faults = *rc::gen::container<std::vector<sim::Fault>>(count, fault);
        for (sim::Fault &it : scenario.faults) {
            it.kind = KINDS[(it.a + it.b) % KINDS.size()];
        }
        std::string failure;
        for (std::size_t n = 0; n < SEEDS_PER_LOSS && failure.empty(); ++n) {
            scenario.seed += n;
            sim::Group group(scenario);
            failure = group.run();
            lost += group.lost;
            committed += group.committed();
        }
        RC_LOG() << failure;
        return failure.empty();
    }));
    BOOST_TEST_MESSAGE("lost disks " << lost << " entries " << committed);
    BOOST_TEST(lost > 100U);
    BOOST_TEST(committed > 0U);
}

// All disks sync for longer than the election timeout, all the time.
BOOST_AUTO_TEST_CASE(a_group_on_slow_disks_keeps_committing)
{
    constexpr std::int64_t SLOWEST_SYNC_MS = 2'000;
    BOOST_TEST(rc::check("slow disks never stop the group", [] {
        sim::Scenario scenario;
        scenario.voters = *rc::gen::inRange<std::size_t>(3, 6);
        scenario.seed = *rc::gen::arbitrary<std::uint64_t>();
        scenario.syncMs = *rc::gen::resize(100, rc::gen::inRange<std::int64_t>(1, SLOWEST_SYNC_MS));
        sim::Group group(scenario);
        const std::string failure = group.run();
        RC_LOG() << failure;
        RC_ASSERT(group.terms == 1U);
        return failure.empty();
    }));
}

BOOST_AUTO_TEST_CASE(a_group_survives_any_mix_of_faults)
{
    std::size_t reads = 0;
    std::size_t installed = 0;
    std::size_t terms = 0;
    std::uint64_t committed = 0;
    BOOST_TEST(rc::check("faults never break the group", [&] {
        sim::Scenario scenario;
        scenario.voters = *rc::gen::inRange<std::size_t>(3, 6);
        scenario.seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto count = *rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, 50));
        const auto fault = rc::gen::resize(100, rc::gen::arbitrary<sim::Fault>());
        scenario.faults = *rc::gen::container<std::vector<sim::Fault>>(count, fault);
        std::string failure;
        for (std::size_t n = 0; n < SEEDS_PER_MIX && failure.empty(); ++n) {
            scenario.seed += n;
            sim::Group group(scenario);
            failure = group.run();
            reads += group.confirmedReads;
            installed += group.installed;
            terms += group.terms;
            committed += group.committed();
        }
        RC_LOG() << failure;
        return failure.empty();
    }));
    BOOST_TEST_MESSAGE(
        "reads " << reads << " snapshots " << installed << " terms " << terms << " entries " << committed);
    // The generated faults must have exercised reads and snapshots.
    BOOST_TEST(reads > 0U);
    BOOST_TEST(installed > 0U);
}
