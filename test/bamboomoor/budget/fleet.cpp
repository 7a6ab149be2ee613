/**
 * Implementation of the simulated fleet.
 */
#include "fleet.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::budget::test
{

namespace
{
constexpr Micros TICK = 5'000;
constexpr Micros SETTLED_FOR = 80'000;
// The tolerated lag of the level, in milliseconds of refill.
constexpr double LAG = 8;
} // namespace

Fleet::Fleet(std::uint32_t seed, int holders, const Faults &faults, const Limit &limit, int optionDrift)
    : m_random(seed)
    , m_faults(faults)
    , m_limit(limit)
    , m_optionDrift(optionDrift)
    , m_vms(holders)
{
    for (int n = 0; n < holders; ++n) {
        m_vms[n].clock = makeClock();
        start(n);
    }
    takeOver(false, 0);
}

int Fleet::percent()
{
    return static_cast<int>(m_random() % 100);
}

Fleet::SkewedClock Fleet::makeClock()
{
    const auto span = static_cast<std::uint32_t>(2 * m_faults.driftPermille + 1);
    return {static_cast<std::int64_t>(m_random() % span) - m_faults.driftPermille,
        static_cast<std::int64_t>(m_random() % 100'000)};
}

void Fleet::after(Micros delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void Fleet::run(Micros until)
{
    while (!m_events.empty() && m_events.begin()->first <= until) {
        auto node = m_events.extract(m_events.begin());
        m_now = node.key();
        node.mapped()();
    }
    m_now = until;
}

void Fleet::transmit(const std::function<void()> &action)
{
    const int copies = percent() < m_faults.lossPercent ? 0 : percent() < m_faults.repeatPercent ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        after(static_cast<Micros>(m_random() % m_faults.maxDelay), action);
    }
}

void Fleet::atHolder(int n, std::uint64_t incarnation, const std::function<void(Vm &)> &action)
{
    Vm &vm = m_vms[n];
    if (vm.incarnation != incarnation) {
        return;
    }
    if (m_now < vm.frozenUntil) {
        after(vm.frozenUntil - m_now, [=, this] {
            atHolder(n, incarnation, action);
        });
        return;
    }
    action(vm);
    poll(n);
}

void Fleet::start(int n)
{
    Vm &vm = m_vms[n];
    HolderOptions options;
    options.name = "vm" + std::to_string(n);
    options.incarnation = ++vm.incarnation;
    options.driftPermille = m_optionDrift;
    options.idleTimeout = m_faults.idleTimeout;
    vm.holder = std::make_unique<Holder>(options);
    vm.pending.clear();
    const std::uint64_t incarnation = vm.incarnation;
    after(TICK, [=, this] {
        scheduleTick(n, incarnation);
    });
}

void Fleet::scheduleTick(int n, std::uint64_t incarnation)
{
    if (m_vms[n].incarnation != incarnation) {
        return;
    }
    after(TICK, [=, this] {
        scheduleTick(n, incarnation);
    });
    if (m_now < m_vms[n].frozenUntil) {
        return;
    }
    atHolder(n, incarnation, [=, this](Vm &it) {
        for (const Admission &admission : it.holder->tick(it.clock.at(m_now))) {
            decide(n, admission);
        }
    });
}

void Fleet::kill(int holder)
{
    start(holder);
}

void Fleet::freeze(int holder, Micros duration)
{
    m_vms[holder].frozenUntil = m_now + duration;
}

void Fleet::cutOff(int holder, Micros duration)
{
    m_vms[holder].cutOffUntil = m_now + duration;
}

void Fleet::request(int holder, Tokens estimate, Tokens actual, Micros duration)
{
    atHolder(holder, m_vms[holder].incarnation, [=, this](Vm &vm) {
        const Admission admission = vm.holder->admit(vm.clock.at(m_now), m_limit.organisation, estimate);
        vm.pending[admission.reservation] = {estimate, actual, duration, m_now};
        decide(holder, admission);
    });
}

void Fleet::decide(int n, const Admission &admission)
{
    Vm &vm = m_vms[n];
    if (admission.decision == AdmissionDecision::Waiting) {
        return;
    }
    const Pending pending = vm.pending[admission.reservation];
    vm.pending.erase(admission.reservation);
    longestWait = std::max(longestWait, m_now - pending.arrival);
    if (admission.decision == AdmissionDecision::Refused) {
        ++refused;
        double promised = 0;
        for (const Vm &it : m_vms) {
            for (const auto &[id, waiting] : it.pending) {
                promised += static_cast<double>(waiting.estimate);
            }
        }
        const double spare =
            idealLevel(m_now - SETTLED_FOR) - promised - LAG * static_cast<double>(m_limit.rate) / 1000;
        wrongful += spare >= static_cast<double>(pending.estimate) ? 1 : 0;
        return;
    }
    const std::size_t use = uses.size();
    uses.push_back({m_now, pending.estimate, INT64_MAX, pending.estimate});
    after(pending.duration, [=, this, incarnation = vm.incarnation] {
        atHolder(n, incarnation, [=, this](Vm &it) {
            it.holder->settle(it.clock.at(m_now), admission.reservation, pending.actual);
            uses[use].tokens = std::min(pending.actual, pending.estimate);
            uses[use].settledAt = m_now;
        });
    });
}

double Fleet::idealLevel(Micros settledBefore) const
{
    const auto rate = static_cast<double>(m_limit.rate) / 1e6;
    const auto burst = static_cast<double>(m_limit.burst);
    double level = burst;
    Micros last = 0;
    for (const Use &it : uses) {
        level = std::min(burst, level + rate * static_cast<double>(it.at - last));
        level -= static_cast<double>(it.settledAt < settledBefore ? it.tokens : it.estimate);
        last = it.at;
    }
    return std::min(burst, level + rate * static_cast<double>(m_now - last));
}

void Fleet::poll(int n)
{
    Vm &vm = m_vms[n];
    const std::optional<TokenRequest> tokenRequest = vm.holder->takeRequest(vm.clock.at(m_now));
    if (!tokenRequest) {
        return;
    }
    if (m_now >= vm.splitUntil) {
        vm.leader = m_leaders.size() - 1;
    }
    if (m_now < vm.cutOffUntil) {
        return;
    }
    const std::size_t leader = vm.leader;
    transmit([=, this, copy = *tokenRequest] {
        deliver(copy, n, leader);
    });
}

void Fleet::deliver(const TokenRequest &tokenRequest, int n, std::size_t leader)
{
    Leader &it = m_leaders[leader];
    if (!it.alive) {
        return;
    }
    if (leader + 1 == m_leaders.size()) {
        it.authority->onLeadershipConfirmed(it.clock.at(m_now));
    }
    const TokenReply reply = it.authority->onRequest(it.clock.at(m_now), tokenRequest);
    propose(leader);
    if (m_now < m_vms[n].cutOffUntil) {
        return;
    }
    transmit([=, this, incarnation = tokenRequest.session.incarnation] {
        atHolder(n, incarnation, [=, this](Vm &vm) {
            for (const Admission &admission : vm.holder->onReply(vm.clock.at(m_now), reply)) {
                decide(n, admission);
            }
        });
    });
}

void Fleet::propose(std::size_t leader)
{
    Leader &it = m_leaders[leader];
    const std::optional<Ceiling> ceiling = it.authority->nextCeiling(it.clock.at(m_now));
    if (!ceiling) {
        return;
    }
    const bool acknowledged = percent() >= m_faults.commitLossPercent;
    const bool lost = !acknowledged && percent() < 50;
    const Micros delay = m_faults.maxCommit / 7 + static_cast<Micros>(m_random() % (m_faults.maxCommit * 6 / 7));
    after(delay, [=, this] {
        // The log of a later leader does not accept the record.
        const bool committed = !lost && leader + 1 == m_leaders.size();
        for (const CeilingEntry &entry : ceiling->entries) {
            if (committed) {
                m_log[entry.organisation] = entry;
            }
        }
        if (committed && acknowledged) {
            after(percent() < m_faults.commitLossPercent ? 200'000 : 0, [=, this] {
                const Leader &proposer = m_leaders[leader];
                proposer.authority->onCeilingCommitted(proposer.clock.at(m_now), ceiling->number);
            });
        } else {
            after(30'000, [=, this] {
                m_leaders[leader].authority->onCeilingUnknown(ceiling->number);
            });
        }
    });
}

void Fleet::takeOver(bool keepOldLeader, Micros split)
{
    for (Vm &it : m_vms) {
        if (keepOldLeader && percent() < 50) {
            it.splitUntil = m_now + split;
        }
    }
    if (!m_leaders.empty()) {
        m_leaders.back().alive = keepOldLeader;
    }
    Leader next{makeClock(), nullptr, true};
    AuthorityOptions options;
    options.term = m_leaders.size() + 1;
    options.driftPermille = m_optionDrift;
    std::vector<CeilingEntry> entries;
    for (const auto &[name, entry] : m_log) {
        entries.push_back(entry);
    }
    next.authority = std::make_unique<Authority>(options, next.clock.at(m_now), entries);
    next.authority->setLimits(next.clock.at(m_now), {m_limit});
    m_leaders.push_back(std::move(next));
}

void Fleet::setLimit(const Limit &limit)
{
    m_limit = limit;
    for (Leader &it : m_leaders) {
        it.authority->setLimits(it.clock.at(m_now), {limit});
    }
}

} // namespace bamboomoor::budget::test
