/**
 * Event dispatch, persistence and completion of each step. Messages that acknowledge durable state are deferred until
 * the Persist of their step and all earlier ones are reported done.
 */
#include "bamboomoor/consensus/node.hpp"

#include "bamboomoor/base/overloaded.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::consensus
{

namespace
{
// Election timeouts after which a silent leader is not named any more; a node that campaigns forgets it earlier.
constexpr std::int64_t LEADER_TIMEOUTS = 4;

bool contains(const std::vector<VoterId> &ids, const VoterId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}
} // namespace

Node::Node(Options options, RecoveredState recovered)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_hard(std::move(recovered.hardState))
    , m_snapshot(std::make_shared<const Snapshot>(std::move(recovered.snapshot)))
{
    assert(!m_options.self.empty());
    assert(m_options.heartbeat < m_options.electionTimeout);
    m_log.reset(m_snapshot->index, m_snapshot->term);
    m_memberships[m_snapshot->index] = {m_snapshot->voters, m_snapshot->learners};
    for (Entry &it : recovered.entries) {
        recordMembership(it);
        m_log.append(std::move(it));
    }
    m_commit = m_emitted = m_verified = m_snapshot->index;
    m_durable = m_log.lastIndex();
    m_hard.term = std::max(m_hard.term, m_log.lastTerm());
    if (recovered.fresh && m_options.bootstrap && contains(m_options.initialVoters, m_options.self)) {
        // All initial voters write the same first entry, so that they start from an identical log.
        Membership first{m_options.initialVoters, {}};
        std::sort(first.voters.begin(), first.voters.end());
        setHardState(1, {});
        markJoined();
        appendEntry({1, 1, EntryKind::Voters, encodeMembership(first)});
        m_commit = m_verified = 1;
        m_leaderlessTerms = 0;
    }
}

Outputs Node::step(base::Millis now, Input input)
{
    std::vector<Input> inputs;
    inputs.push_back(std::move(input));
    return stepAll(now, std::move(inputs));
}

Outputs Node::stepAll(base::Millis now, std::vector<Input> inputs)
{
    assert(!m_started || now >= m_now);
    m_now = now;
    if (!m_started) {
        m_started = true;
        m_leaderContactAt = now;
        resetElectionTimer();
    }
    for (Input &it : inputs) {
        handle(std::move(it));
    }
    finish();
    return std::exchange(m_out, {});
}

base::Millis Node::nextDeadline() const noexcept
{
    if (!m_started) {
        return {0};
    }
    if (m_role == Role::Leader) {
        return std::min(m_heartbeatDeadline, m_transferDeadline);
    }
    return mayCampaign() && !isHardStateSyncing() ? m_electionDeadline : base::NEVER;
}

const VoterId &Node::leader() const noexcept
{
    static const VoterId none;
    const bool isHeard =
        m_role == Role::Leader || m_now - m_leaderContactAt < m_options.electionTimeout * LEADER_TIMEOUTS;
    return isHeard ? m_leader : none;
}

std::optional<base::Millis> Node::confirmedAt() const noexcept
{
    if (m_role != Role::Leader || m_commit < m_leaderStart || m_transferDeadline != base::NEVER) {
        return std::nullopt;
    }
    return m_confirmedAt;
}

void Node::handle(Input input)
{
    std::visit(base::Overloaded{
                   [this](const Tick &) {
                       onTick();
                   },
                   [this](Message &it) {
                       onMessage(std::move(it));
                   },
                   [this](Propose &it) {
                       onPropose(std::move(it));
                   },
                   [this](const ReadRequest &it) {
                       onReadRequest(it);
                   },
                   [this](const ProposeVoters &it) {
                       onProposeVoters(it);
                   },
                   [this](const PersistDone &it) {
                       onPersistDone(it.sequence);
                   },
                   [this](Compact &it) {
                       onCompact(std::move(it));
                   },
                   [this](const TransferLeadership &it) {
                       onTransfer(it);
                   },
               },
        input);
}

void Node::onTick()
{
    if (m_role == Role::Leader) {
        leaderTick();
    } else if (m_now >= m_electionDeadline && mayCampaign() && !isHardStateSyncing()) {
        startPreVote();
    }
}

void Node::onPersistDone(std::uint64_t sequence)
{
    assert(sequence <= m_sequence);
    const std::uint64_t before = m_durable;
    const bool wasSyncing = isHardStateSyncing();
    if (!m_pending.empty() && m_pending.front().sequence <= sequence) {
        m_syncTime = m_now - m_pending.front().startedAt;
    }
    while (!m_pending.empty() && m_pending.front().sequence <= sequence) {
        m_durable = std::max(m_durable, m_pending.front().lastIndex);
        m_pending.pop_front();
    }
    while (!m_heldMessages.empty() && m_heldMessages.front().sequence <= sequence) {
        // Messages of an earlier term are obsolete.
        if (m_heldMessages.front().message.term == m_hard.term) {
            m_out.messages.push_back(std::move(m_heldMessages.front().message));
        }
        m_heldMessages.pop_front();
    }
    if (wasSyncing && !isHardStateSyncing() && m_role != Role::Leader) {
        // A vote takes effect only now, so the time for its election starts now.
        resetElectionTimer();
    }
    if (m_role == Role::Candidate && sequence >= m_campaignSequence) {
        m_granted.insert(m_options.self);
        countVotes();
    }
    if (m_durable == before) {
        return;
    }
    if (m_role == Role::Leader) {
        advanceCommit();
    } else if (m_role == Role::Follower && !m_leader.empty()) {
        replyProgress(m_leader, m_verified, 0);
    }
}

void Node::onCompact(Compact &&input)
{
    if (input.index <= m_snapshot->index || input.index > m_emitted) {
        return;
    }
    const Membership &membership = membershipAt(input.index);
    Snapshot snapshot{
        input.index, m_log.termAt(input.index).value(), membership.voters, membership.learners, std::move(input.data)};
    m_snapshot = std::make_shared<const Snapshot>(snapshot);
    m_snapshotToPersist = std::move(snapshot);
    m_log.compactTo(m_log.keptFrom(input.index, m_options.keptEntries, m_options.keptBytes));
    // The newest membership up to the snapshot is kept as the snapshot's membership.
    const Membership kept = membership;
    m_memberships.erase(m_memberships.begin(), m_memberships.upper_bound(input.index));
    m_memberships[input.index] = kept;
}

void Node::finish()
{
    if (m_role == Role::Leader) {
        flush();
    }
    emitCommitted();
    buildPersist();
    releaseHeld();
}

void Node::buildPersist()
{
    if (m_dirtyFrom != 0 && m_snapshotToPersist) {
        m_dirtyFrom = std::max(m_dirtyFrom, m_snapshotToPersist->index + 1);
    }
    const bool hasEntries = m_dirtyFrom != 0 && m_dirtyFrom <= m_log.lastIndex();
    if (!m_hardChanged && !m_snapshotToPersist && !hasEntries) {
        return;
    }
    Persist persist;
    persist.sequence = ++m_sequence;
    if (m_hardChanged) {
        persist.hardState = m_hard;
        m_hardSequence = m_sequence;
    }
    persist.snapshot = std::exchange(m_snapshotToPersist, std::nullopt);
    if (hasEntries) {
        persist.entries = m_log.slice(m_dirtyFrom, m_log.lastIndex(), SIZE_MAX);
    }
    m_hardChanged = false;
    m_dirtyFrom = 0;
    m_pending.push_back({m_sequence, m_now, m_log.lastIndex()});
    m_out.persist = std::move(persist);
}

void Node::releaseHeld()
{
    for (Message &it : m_deferred) {
        if (m_pending.empty()) {
            m_out.messages.push_back(std::move(it));
        } else {
            m_heldMessages.push_back({m_sequence, std::move(it)});
        }
    }
    m_deferred.clear();
}

void Node::emitCommitted()
{
    while (m_emitted < m_commit) {
        ++m_emitted;
        m_out.committed.push_back(m_log.at(m_emitted));
    }
}

void Node::send(const VoterId &to, MessageBody body)
{
    sendAs(m_hard.term, to, std::move(body));
}

void Node::sendAs(std::uint64_t term, const VoterId &to, MessageBody body)
{
    m_out.messages.push_back({m_options.self, to, term, std::move(body)});
}

void Node::sendDurable(const VoterId &to, MessageBody body)
{
    m_deferred.push_back({m_options.self, to, m_hard.term, std::move(body)});
}

void Node::appendEntry(Entry entry)
{
    if (m_dirtyFrom == 0) {
        m_dirtyFrom = entry.index;
    }
    recordMembership(entry);
    m_log.append(std::move(entry));
}

void Node::truncateFrom(std::uint64_t index)
{
    assert(index > m_commit);
    m_log.truncateFrom(index);
    m_memberships.erase(m_memberships.lower_bound(index), m_memberships.end());
    m_verified = std::min(m_verified, index - 1);
    m_durable = std::min(m_durable, index - 1);
    for (PendingPersist &it : m_pending) {
        it.lastIndex = std::min(it.lastIndex, index - 1);
    }
    if (m_dirtyFrom != 0) {
        m_dirtyFrom = std::min(m_dirtyFrom, index);
    }
}

void Node::setHardState(std::uint64_t term, const VoterId &votedFor)
{
    if (m_hard.term != term || m_hard.votedFor != votedFor) {
        m_leaderlessTerms += m_hard.term != term ? 1 : 0;
        m_hard.term = term;
        m_hard.votedFor = votedFor;
        m_hardChanged = true;
    }
}

void Node::markJoined()
{
    if (!m_hard.joined) {
        m_hard.joined = true;
        m_hardChanged = true;
    }
}

} // namespace bamboomoor::consensus
