/**
 * Implements the simulated group.
 */
#include "sim.hpp"

#include <algorithm>
#include <functional>

namespace sim
{

using namespace consensus;

namespace
{
constexpr std::int64_t FAULTY_MS = 12'000;
constexpr std::int64_t HEALED_MS = 15'000;
constexpr std::int64_t ELECTION_MS = 600;
constexpr std::int64_t QUIET_MS = 1'800;
// Intervals between two runs of the leader's plan, and between two join requests.
constexpr std::int64_t PLAN_MS = 150;
constexpr std::int64_t ASK_MS = 300;
// Simultaneous losses that a group of five tolerates.
constexpr std::size_t BORNE_LOSSES = 2;
constexpr std::size_t MOST_MEMBERS = 12;

bool contains(const std::vector<VoterId> &ids, const VoterId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::uint64_t chain(std::uint64_t hash, const Entry &entry)
{
    const std::string text = std::to_string(hash) + "/" + std::to_string(entry.index) + "/" + std::to_string(entry.term)
        + "/" + std::to_string(static_cast<int>(entry.kind)) + entry.payload.str();
    return std::hash<std::string>{}(text);
}
} // namespace

void Disk::apply(const Persist &persist)
{
    fresh = false;
    hardState = persist.hardState.value_or(hardState);
    if (persist.snapshot) {
        const Snapshot &it = *persist.snapshot;
        const auto same = std::find_if(entries.begin(), entries.end(), [&it](const Entry &entry) {
            return entry.index == it.index && entry.term == it.term;
        });
        entries.erase(entries.begin(), same == entries.end() ? same : same + 1);
        snapshot = it;
    }
    for (const Entry &it : persist.entries) {
        while (!entries.empty() && entries.back().index >= it.index) {
            entries.pop_back();
        }
        entries.push_back(it);
    }
}

Group::Group(const Scenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    for (std::size_t n = 0; n < scenario.voters; ++n) {
        std::string id(1, static_cast<char>('a' + n));
        m_founders.push_back(scenario.planned ? id + "@" + std::to_string(n) : id);
        add(m_founders.back()).bootstrap = true;
    }
    if (!scenario.planned) {
        // A spare node that joins by a membership change.
        add(std::string(1, static_cast<char>('a' + scenario.voters)));
    }
    for (const auto &it : m_members) {
        start(*it);
    }
}

Member &Group::add(const std::string &id)
{
    auto member = std::make_unique<Member>();
    member->id = id;
    member->clockOffset = draw(0, 1'000'000);
    member->clockPerMille = draw(960, 1040);
    m_members.push_back(std::move(member));
    return *m_members.back();
}

std::int64_t Group::draw(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

base::Millis Group::localTime(const Member &member) const
{
    return {member.clockOffset + m_now * member.clockPerMille / 1000};
}

void Group::fail(const std::string &text)
{
    if (m_failure.empty()) {
        m_failure = std::to_string(m_now) + " ms: " + text;
    }
}

void Group::start(Member &member)
{
    Options options;
    options.self = member.id;
    options.electionTimeout = {ELECTION_MS};
    options.seed = m_scenario.seed * 31 + static_cast<std::uint64_t>(member.id.front()) + 1000 * ++member.starts;
    options.maxBatchBytes = m_scenario.seed % 2 == 0 ? 4 : 40;
    options.maxInflightEntries = 16;
    options.keptEntries = 3;
    options.maxInflightBytes = m_scenario.seed % 3 == 0 ? 2 * sizeof(Entry) : 4096;
    options.keptBytes = m_scenario.seed % 5 == 0 ? 2 * sizeof(Entry) : 4096;
    options.bootstrap = member.bootstrap;
    options.initialVoters = m_founders;
    member.plan = GroupPlanner({});
    member.machine = {member.disk.snapshot.index, 0};
    if (member.disk.snapshot.index > 0) {
        member.machine.hash = std::stoull(member.disk.snapshot.data.str());
    }
    member.node = std::make_unique<Node>(
        options, RecoveredState{member.disk.fresh, member.disk.hardState, member.disk.snapshot, member.disk.entries});
    feed(member, Tick{});
}

void Group::feed(Member &member, Input input)
{
    absorb(member, member.node->step(localTime(member), std::move(input)));
    checkLeader(member);
}

void Group::absorb(Member &member, Outputs &&outputs)
{
    for (Message &it : outputs.messages) {
        post(std::move(it));
    }
    if (outputs.persist) {
        const std::int64_t own = m_now < member.slowUntil ? draw(100, 900) : draw(0, 5);
        const std::int64_t delay = std::max(own, m_scenario.syncMs);
        member.lastSync = std::max(member.lastSync, m_now + delay);
        member.syncing.emplace(member.lastSync, std::move(*outputs.persist));
    }
    if (outputs.installed) {
        ++installed;
        member.machine = {outputs.installed->index, std::stoull(outputs.installed->data.str())};
        if (m_hashes.at(member.machine.applied) != member.machine.hash) {
            fail(member.id + " installed a snapshot of a diverging history");
        }
    }
    applyEntries(member, outputs.committed);
    checkResults(outputs);
}

void Group::applyEntries(Member &member, const std::vector<Entry> &entries)
{
    for (const Entry &it : entries) {
        if (it.index != member.machine.applied + 1) {
            fail(member.id + " skipped to entry " + std::to_string(it.index));
        }
        member.machine = {it.index, chain(member.machine.hash, it)};
        const auto [known, isNew] = m_hashes.emplace(it.index, member.machine.hash);
        if (known->second != member.machine.hash) {
            fail(member.id + " differs at entry " + std::to_string(it.index));
        }
        if (isNew && it.kind == EntryKind::Command) {
            m_payloads[it.index] = it.payload.str();
            if (!m_seen.insert(it.payload.str()).second || m_refused.contains(it.payload.str())) {
                fail("a proposal was applied twice or after its rejection: " + it.payload.str());
            }
        }
    }
}

void Group::checkResults(const Outputs &outputs)
{
    for (const ProposalResult &it : outputs.proposals) {
        const std::string payload = "p" + std::to_string(it.requestId);
        if (it.status == ProposalStatus::Rejected) {
            m_refused.insert(payload);
        }
        const auto known = m_payloads.find(it.index);
        if (it.status == ProposalStatus::Committed && known != m_payloads.end() && known->second != payload) {
            fail(payload + " was reported at the index of " + known->second);
        }
        if (it.status == ProposalStatus::Committed && !m_hashes.contains(it.index)) {
            fail(payload + " was reported before its entry was committed");
        }
    }
    for (const ReadResult &it : outputs.reads) {
        confirmedReads += it.confirmed ? 1 : 0;
        if (it.confirmed && it.index < m_reads.at(it.requestId).floor) {
            fail("a read returned " + std::to_string(it.index) + " below the committed "
                + std::to_string(m_reads.at(it.requestId).floor));
        }
    }
}

void Group::checkLeader(const Member &member)
{
    if (member.node->role() != Role::Leader) {
        return;
    }
    const auto [known, isNew] = m_leaders.emplace(member.node->term(), member.id);
    terms += isNew ? 1 : 0;
    if (known->second != member.id) {
        fail("term " + std::to_string(known->first) + " has two leaders");
    }
    if (!isNew) {
        return;
    }
    for (const auto &it : m_members) {
        const bool other = it->node && it->id != member.id;
        const auto confirmedAt = other ? it->node->confirmedAt() : std::nullopt;
        if (confirmedAt && localTime(*it) < *confirmedAt + base::Millis{ELECTION_MS * 8 / 10}) {
            fail(member.id + " was elected during the lease of " + it->id);
        }
    }
}

void Group::post(Message &&message)
{
    const auto cut = m_cuts.find({message.from, message.to});
    const bool lossy = m_now < m_lossUntil;
    if ((cut != m_cuts.end() && m_now < cut->second) || (lossy && draw(0, 99) < 30)) {
        return;
    }
    const std::int64_t slow = lossy ? 300 : 20;
    if (draw(0, 99) < 5) {
        m_wire.emplace(m_now + draw(1, 10 * slow), message);
    }
    m_wire.emplace(m_now + draw(1, slow), std::move(message));
}

Member *Group::anyLeader()
{
    std::vector<Member *> leaders;
    for (const auto &it : m_members) {
        if (it->node && it->node->role() == Role::Leader) {
            leaders.push_back(it.get());
        }
    }
    const auto last = static_cast<std::int64_t>(leaders.size()) - 1;
    return leaders.empty() ? nullptr : leaders[static_cast<std::size_t>(draw(0, last))];
}

void Group::compact(Member &member)
{
    if (member.machine.applied > 0) {
        feed(member, Compact{member.machine.applied, std::to_string(member.machine.hash)});
    }
}

void Group::begin(const Fault &fault)
{
    Member &a = *m_members[fault.a % m_members.size()];
    const Member &b = *m_members[fault.b % m_members.size()];
    Member *leader = anyLeader();
    const std::int64_t until = m_now + fault.lasts;
    // A voter with a wiped disk and a removed voter together may leave no quorum.
    const bool removes = std::any_of(m_scenario.faults.begin(), m_scenario.faults.end(), [](const Fault &it) {
        return it.kind == FaultKind::Remove;
    });
    const bool wiped = std::any_of(m_members.begin(), m_members.end(), [](const auto &it) {
        return it->wiped;
    });
    switch (fault.kind) {
    case FaultKind::Wipe:
        if (removes || wiped || !a.bootstrap) {
            return;
        }
        a.wiped = true;
        a.bootstrap = false;
        a.disk = {};
        [[fallthrough]];
    case FaultKind::Crash:
        a.node.reset();
        a.syncing.clear();
        a.downUntil = until;
        break;
    case FaultKind::CutPair:
        m_cuts[{b.id, a.id}] = until;
        [[fallthrough]];
    case FaultKind::CutOneWay:
        m_cuts[{a.id, b.id}] = until;
        break;
    case FaultKind::Isolate:
        for (const auto &it : m_members) {
            m_cuts[{a.id, it->id}] = until;
            m_cuts[{it->id, a.id}] = until;
        }
        break;
    case FaultKind::Loss:
        m_lossUntil = until;
        break;
    case FaultKind::SlowDisk:
        a.slowUntil = until;
        break;
    case FaultKind::Compact:
        if (a.node) {
            compact(a);
        }
        break;
    case FaultKind::Transfer:
        if (leader != nullptr) {
            feed(*leader, TransferLeadership{b.id});
        }
        break;
    case FaultKind::AddSpare:
    case FaultKind::Promote:
    case FaultKind::Remove:
        if (leader != nullptr) {
            const bool removal = fault.kind == FaultKind::Remove;
            const auto change = fault.kind == FaultKind::AddSpare ? ChangeKind::AddLearner
                : removal                                         ? ChangeKind::Remove
                                                                  : ChangeKind::Promote;
            feed(*leader, ProposeVoters{++m_nextRequest, change, removal ? a.id : m_members.back()->id});
        }
        break;
    case FaultKind::LoseDisk:
    case FaultKind::Replace:
        lose(a, fault);
        break;
    case FaultKind::Return:
        returnMember(until);
        break;
    }
}

bool Group::isMember(const Member &member) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&member](const auto &it) {
        return it->node
            && (contains(it->node->membership().voters, member.id)
                || contains(it->node->membership().learners, member.id));
    });
}

std::size_t Group::missingMembers() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [this](const auto &it) {
        return it->gone && isMember(*it);
    }));
}

void Group::lose(Member &member, const Fault &fault)
{
    if (member.gone || missingMembers() >= BORNE_LOSSES || m_members.size() >= MOST_MEMBERS) {
        return;
    }
    ++lost;
    member.gone = true;
    member.node.reset();
    member.syncing.clear();
    const std::string address =
        fault.kind == FaultKind::Replace ? std::to_string(m_members.size()) : addressIn(member.id);
    add(std::string(1, static_cast<char>('a' + m_members.size())) + "@" + address).downUntil = m_now + fault.lasts;
}

void Group::returnMember(std::int64_t at)
{
    for (const auto &it : m_members) {
        const bool addressTaken = std::any_of(m_members.begin(), m_members.end(), [&it](const auto &other) {
            return other != it && addressIn(other->id) == addressIn(it->id);
        });
        if (it->gone && !addressTaken && !isMember(*it)) {
            it->gone = false;
            it->downUntil = at;
            return;
        }
    }
}

bool Group::isCut(const Member &from, const Member &to) const
{
    const auto cut = m_cuts.find({from.id, to.id});
    return cut != m_cuts.end() && m_now < cut->second;
}

void Group::requestJoin(const Member &member)
{
    const Membership &known = member.node->membership();
    const bool placed = contains(known.voters, member.id) || contains(known.learners, member.id);
    // A removed member may not know of its removal, and no longer receives messages from a leader.
    if (placed && !member.node->leader().empty()) {
        return;
    }
    for (const auto &it : m_members) {
        if (it->node && it->node->role() == Role::Leader && !isCut(member, *it)) {
            it->plan.addCandidate(localTime(*it), member.id);
        }
    }
}

void Group::planMembership()
{
    for (const auto &it : m_members) {
        if (it->node && m_now % ASK_MS == 0) {
            requestJoin(*it);
        }
        if (it->node && it->node->role() == Role::Leader && m_now % PLAN_MS == 0) {
            const GroupView view{it->id, it->node->membership(), it->node->lastContact()};
            if (const auto change = it->plan.nextChange(localTime(*it), view)) {
                feed(*it, ProposeVoters{++m_nextRequest, change->change, change->id});
            }
        }
    }
}

void Group::workload()
{
    if (draw(0, 99) >= 4) {
        return;
    }
    Member *member = anyLeader();
    if (member == nullptr) {
        member = m_members[static_cast<std::size_t>(draw(0, 2))].get();
    }
    if (!member->node) {
        return;
    }
    const std::uint64_t id = ++m_nextRequest;
    // In read-only phases all logs are equal, so that log comparison alone rules out no candidate.
    const bool quiet = m_now / QUIET_MS % 2 == 1;
    if (quiet || draw(0, 1) == 0) {
        m_reads[id] = {committed()};
        feed(*member, ReadRequest{id});
    } else {
        feed(*member, Propose{id, "p" + std::to_string(id), std::nullopt});
    }
}

void Group::advance()
{
    ++m_now;
    while (!m_wire.empty() && m_wire.begin()->first <= m_now) {
        Message message = std::move(m_wire.begin()->second);
        m_wire.erase(m_wire.begin());
        const auto to = std::find_if(m_members.begin(), m_members.end(), [&message](const auto &it) {
            return it->id == message.to;
        });
        if ((*to)->node) {
            feed(**to, std::move(message));
        }
    }
    for (const auto &it : m_members) {
        if (!it->node && !it->gone && m_now >= it->downUntil) {
            start(*it);
        }
        while (it->node && !it->syncing.empty() && it->syncing.begin()->first <= m_now) {
            const Persist persist = std::move(it->syncing.begin()->second);
            it->syncing.erase(it->syncing.begin());
            it->disk.apply(persist);
            feed(*it, PersistDone{persist.sequence});
        }
        if (it->node && it->node->nextDeadline() <= localTime(*it)) {
            feed(*it, Tick{});
        }
    }
    if (m_scenario.planned) {
        planMembership();
    }
    workload();
}

bool Group::settled()
{
    Member *leader = anyLeader();
    if (leader == nullptr || leader->node->commitIndex() < leader->node->lastIndex()) {
        return false;
    }
    const Membership &membership = leader->node->membership();
    const bool keepsLostVoter = std::any_of(m_members.begin(), m_members.end(), [&membership](const auto &it) {
        return it->gone && contains(membership.voters, it->id);
    });
    // A voter that recovers after its replacement was promoted stays, as one voter above the target size.
    const std::size_t voters = membership.voters.size();
    const bool hasSize = voters == m_scenario.voters || voters == m_scenario.voters + 1;
    if (m_scenario.planned && (!hasSize || keepsLostVoter)) {
        return false;
    }
    return std::all_of(m_members.begin(), m_members.end(), [&](const auto &it) {
        const auto isIn = [&it](const std::vector<VoterId> &ids) {
            return std::find(ids.begin(), ids.end(), it->id) != ids.end();
        };
        const bool counts = !it->wiped && (isIn(membership.voters) || isIn(membership.learners));
        return !counts || it->machine.applied == leader->machine.applied;
    });
}

std::string Group::run()
{
    auto faults = m_scenario.faults;
    std::sort(faults.begin(), faults.end(), [](const Fault &lhs, const Fault &rhs) {
        return lhs.at < rhs.at;
    });
    auto next = faults.begin();
    while (m_now < FAULTY_MS && m_failure.empty()) {
        for (; next != faults.end() && next->at <= m_now; ++next) {
            begin(*next);
        }
        advance();
    }
    m_cuts.clear();
    m_lossUntil = -1;
    for (const auto &it : m_members) {
        it->slowUntil = -1;
        it->downUntil = std::min(it->downUntil, m_now);
    }
    const std::uint64_t before = committed();
    const std::int64_t end = m_now + HEALED_MS;
    // On slow disks an entry is always on its way.
    const auto isSettled = [this] {
        return m_scenario.syncMs > 0 || settled();
    };
    while (m_now < end && m_failure.empty() && (committed() < before + 5 || !isSettled())) {
        advance();
    }
    if (m_now >= end) {
        std::string states;
        for (const auto &it : m_members) {
            if (!it->node) {
                states += "\n" + it->id + " gone";
                continue;
            }
            states += "\n" + it->id + (it->wiped ? " wiped " : " ") + std::string(ROLE_NAMES.name(it->node->role()))
                + " term " + std::to_string(it->node->term()) + " last " + std::to_string(it->node->lastIndex())
                + " commit " + std::to_string(it->node->commitIndex()) + "\n"
                + encodeMembership(it->node->membership());
        }
        fail("no progress after the faults ended" + states);
    }
    return m_failure;
}

} // namespace sim
