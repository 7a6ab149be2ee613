/**
 * Implements the thread of a voter, which connects the consensus core, its storage and the replicated state machine.
 */
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/base/overloaded.hpp"
#include "bamboomoor/base/processmemory.hpp"
#include "bamboomoor/control/consensuswire.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr base::Millis MAX_WAIT{1'000};

/** @brief Returns whether an entry may change the configuration; payloads that cannot be decoded may not. */
bool touchesConfiguration(const consensus::Entry &entry)
{
    if (entry.kind != consensus::EntryKind::Command) {
        return false;
    }
    const auto command = state::decode(entry.payload.str());
    return command.has_value()
        && (std::holds_alternative<state::ApplyConfig>(command.value())
            || std::holds_alternative<state::ReplaceConfig>(command.value())
            || std::holds_alternative<state::AddKey>(command.value())
            || std::holds_alternative<state::WithdrawKey>(command.value()));
}

ProposalOutcome rejected(std::string leader, consensus::RejectReason reason)
{
    return {consensus::ProposalStatus::Rejected, reason, std::nullopt, std::move(leader)};
}

} // namespace

storage::Result<std::unique_ptr<storage::FileSystem>> openLogFolder(const std::string &path)
{
    BOOST_OUTCOME_TRY(folder, storage::PosixFolder::open(path));
    return std::move(folder);
}

VoterThread::VoterThread(VoterOptions options, const PeerRegistry &peers, const base::Clock &clock)
    : m_options(std::move(options))
    , m_peers(peers)
    , m_clock(clock)
    , m_ring(m_options.ringSize)
{
}

VoterThread::~VoterThread()
{
    stop();
}

void VoterThread::addObserver(VoterObserver &watcher)
{
    assert(!m_thread.joinable());
    m_watchers.push_back(&watcher);
}

base::Result<void, std::string> VoterThread::start()
{
    const base::Millis began = m_clock.now();
    auto folder = m_options.openFolder(m_options.folder);
    if (!folder) {
        return base::failure(storage::describe(folder.error()));
    }
    m_folder = std::move(folder.value());
    m_store = std::make_unique<storage::LogStore>(*m_folder);
    auto opened = m_store->open();
    if (!opened) {
        return base::failure(storage::describe(opened.error()));
    }
    if (opened.value().tornBytes > 0) {
        LOG(INFO) << "event=torn_tail_cut bytes=" << opened.value().tornBytes;
    }
    if (opened.value().deferred) {
        LOG(WARNING) << "event=recovery_delayed reason=\"" << storage::describe(*opened.value().deferred) << '"';
        m_recovering = true;
        m_writeError = storage::describe(*opened.value().deferred);
    }
    consensus::RecoveredState recovered = std::move(opened.value().recovered);
    const std::size_t snapshotBytes = recovered.snapshot.data.size();
    m_machine = std::make_unique<state::Machine>();
    if (recovered.snapshot.index > 0) {
        auto restored = state::Machine::restore(recovered.snapshot.data.str());
        if (!restored) {
            return base::failure(
                "cannot restore the snapshot in " + m_options.folder + ": " + restored.error().message);
        }
        *m_machine = std::move(restored.value());
    }
    m_applied = recovered.snapshot.index;
    m_compacted = recovered.snapshot.index;
    m_seenVersion = m_machine->configuration().current().version;
    for (const consensus::Entry &it : recovered.entries) {
        m_tail[it.index] = touchesConfiguration(it);
    }
    m_node = std::make_unique<consensus::Node>(m_options.node, std::move(recovered));
    LOG(INFO) << "event=log_recovered snapshot_bytes=" << snapshotBytes
              << " log_entries=" << m_node->lastIndex() - m_applied << " log_bytes=" << m_node->logBytes()
              << " resident_bytes=" << base::residentBytes() << " took_ms=" << (m_clock.now() - began).count;
    publishStatus();
    m_writer = std::make_unique<LogWriter>(*m_store, m_clock, *this);
    if (m_recovering) {
        // Its sync writes what the opening could not.
        m_writer->write({});
    }
    m_writer->start();
    m_thread = std::thread([this] {
        run();
    });
    return base::success();
}

void VoterThread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    joinSnapshot();
    if (m_writer) {
        m_writer->stop();
    }
}

std::size_t VoterThread::payloadBytes(const Job &job)
{
    if (const auto *proposal = std::get_if<ProposeJob>(&job)) {
        return proposal->payload.size();
    }
    const auto *message = std::get_if<consensus::Message>(&job);
    std::size_t bytes = 0;
    if (message != nullptr) {
        if (const auto *append = std::get_if<consensus::Append>(&message->body)) {
            for (const consensus::Entry &it : append->entries) {
                bytes += it.payload.size();
            }
        } else if (const auto *install = std::get_if<consensus::InstallSnapshot>(&message->body)) {
            bytes = install->data.size();
        }
    }
    return bytes;
}

bool VoterThread::push(Job &&job)
{
    const std::size_t bytes = payloadBytes(job);
    const std::size_t before = m_queuedBytes.fetch_add(bytes);
    if ((bytes > 0 && before > m_options.maxQueuedBytes) || !m_ring.push(std::move(job))) {
        m_queuedBytes -= bytes;
        return false;
    }
    return true;
}

std::optional<VoterThread::Job> VoterThread::pop(base::Millis timeout)
{
    auto job = m_ring.pop(timeout);
    if (job) {
        m_queuedBytes -= payloadBytes(*job);
    }
    return job;
}

void VoterThread::deliver(consensus::Message message)
{
    static_cast<void>(push(Job(std::move(message))));
}

void VoterThread::propose(
    std::string payload, std::optional<std::uint64_t> term, std::function<void(ProposalOutcome)> done)
{
    Job job(ProposeJob{std::move(payload), term, std::move(done)});
    if (!push(std::move(job))) {
        refuse(std::move(job)); // NOLINT(bugprone-use-after-move): a rejected push does not move from the job.
    }
}

void VoterThread::changeVoters(consensus::ChangeKind change, std::string id, std::function<void(ProposalOutcome)> done)
{
    Job job(VotersJob{change, std::move(id), std::move(done)});
    if (!push(std::move(job))) {
        refuse(std::move(job)); // NOLINT(bugprone-use-after-move): a rejected push does not move from the job.
    }
}

void VoterThread::read(std::function<void(const ReadOutcome &)> done)
{
    Job job(ReadJob{std::move(done)});
    if (!push(std::move(job))) {
        refuse(std::move(job)); // NOLINT(bugprone-use-after-move): a rejected push does not move from the job.
    }
}

void VoterThread::reportLocalLog(std::function<void(const LocalLogReport &)> done)
{
    Job job(LocalLogJob{std::move(done)});
    if (!push(std::move(job))) {
        refuse(std::move(job)); // NOLINT(bugprone-use-after-move): a rejected push does not move from the job.
    }
}

VoterStatus VoterThread::status() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_status;
}

void VoterThread::onWritten(LogWritten written)
{
    m_ring.deliver(Job(written));
}

void VoterThread::onWriteFailed(LogWriteFailed failed)
{
    m_ring.deliver(Job(std::move(failed)));
}

void VoterThread::awaitRecovery()
{
    while (!m_stopping && m_recovering) {
        auto job = pop(MAX_WAIT);
        if (!job) {
            continue;
        }
        if (std::holds_alternative<LogWritten>(*job)) {
            LOG(INFO) << "event=recovery_finished";
            m_recovering = false;
            m_writeError.clear();
        } else if (auto *failed = std::get_if<LogWriteFailed>(&*job)) {
            noteWriteFailed(std::move(*failed));
        } else {
            refuse(*std::move(job));
        }
        publishStatus();
    }
}

void VoterThread::run()
{
    awaitRecovery();
    while (!m_stopping && !m_failed) {
        const base::Millis deadline = std::max(m_node->nextDeadline(), m_clock.now());
        auto job = pop(std::clamp(deadline - m_clock.now(), base::Millis{0}, MAX_WAIT));
        const base::Millis woken = m_clock.now();
        const bool isDue = woken >= m_node->nextDeadline();
        std::vector<consensus::Input> inputs;
        takeQueued(inputs, std::move(job));
        if (isDue) {
            // Heartbeats that were queued when the deadline had passed come first.
            inputs.emplace_back(consensus::Tick{});
        }
        transferIfStalled(inputs);
        const base::Millis began = m_clock.now();
        const std::size_t count = inputs.size();
        process(m_node->stepAll(began, std::move(inputs)));
        compactIfDue();
        followRole();
        publishStatus();
        logSlowStep(count, woken - deadline, began);
    }
    // Complete every pending job, proposal and read.
    m_ring.close();
    while (auto job = pop({0})) {
        refuse(*std::move(job));
    }
    for (auto &[id, done] : m_proposals) {
        done({consensus::ProposalStatus::Unknown, consensus::RejectReason::None, std::nullopt, {}});
    }
    for (auto &[id, done] : m_reads) {
        done({});
    }
}

void VoterThread::takeQueued(std::vector<consensus::Input> &inputs, std::optional<Job> job)
{
    for (std::size_t queued = m_ring.size(); job; --queued) {
        takeJob(inputs, *std::move(job));
        job = queued > 0 ? pop({0}) : std::nullopt;
    }
}

void VoterThread::takeJob(std::vector<consensus::Input> &inputs, Job job)
{
    std::visit(base::Overloaded{
                   [&](consensus::Message &message) {
                       inputs.emplace_back(std::move(message));
                   },
                   [&](ProposeJob &it) {
                       takeProposal(inputs, it);
                   },
                   [&](VotersJob &it) {
                       m_proposals.emplace(++m_lastRequest, std::move(it.done));
                       inputs.emplace_back(consensus::ProposeVoters{m_lastRequest, it.change, std::move(it.id)});
                   },
                   [&](ReadJob &it) {
                       m_reads.emplace(++m_lastRequest, std::move(it.done));
                       inputs.emplace_back(consensus::ReadRequest{m_lastRequest});
                   },
                   [&](LocalLogJob &it) {
                       it.done(localLogReport());
                   },
                   [&](const LogWritten &it) {
                       takeWritten(inputs, it);
                   },
                   [&](LogWriteFailed &it) {
                       noteWriteFailed(std::move(it));
                   },
                   [&](SnapshotMade &it) {
                       m_makingSnapshot = false;
                       LOG(INFO) << "event=snapshot_made index=" << it.index << " snapshot_bytes=" << it.data.size()
                                 << " log_bytes=" << m_node->logBytes() << " resident_bytes=" << base::residentBytes()
                                 << " took_ms=" << it.took.count;
                       inputs.emplace_back(consensus::Compact{it.index, std::move(it.data)});
                   },
               },
        job);
}

void VoterThread::takeProposal(std::vector<consensus::Input> &inputs, ProposeJob &job)
{
    if (m_unsyncedBytes > m_options.maxUnsyncedBytes && m_node->role() == consensus::Role::Leader) {
        job.done(rejected(m_node->leader(), consensus::RejectReason::Overloaded));
        return;
    }
    // A leader does not repeat the proposals that it binds to its term.
    if (!job.term && m_machine->decided(job.payload)) {
        m_reads.emplace(++m_lastRequest, [this, job = std::move(job)](const ReadOutcome &read) mutable {
            answerDecided(job, read);
        });
        inputs.emplace_back(consensus::ReadRequest{m_lastRequest});
        return;
    }
    m_proposals.emplace(++m_lastRequest, std::move(job.done));
    inputs.emplace_back(consensus::Propose{m_lastRequest, std::move(job.payload), job.term});
}

void VoterThread::answerDecided(ProposeJob &job, const ReadOutcome &read)
{
    if (!read.confirmed) {
        job.done(rejected(read.leader, consensus::RejectReason::NotLeader));
        return;
    }
    auto outcome = read.machine->decided(job.payload);
    if (!outcome) {
        // What it had done is not kept any more.
        propose(std::move(job.payload), job.term, std::move(job.done));
        return;
    }
    job.done({consensus::ProposalStatus::Committed, consensus::RejectReason::None, *std::move(outcome), read.leader});
}

void VoterThread::noteWriteFailed(LogWriteFailed failed)
{
    LOG(ERROR) << "event=log_write_failed reason=\"" << failed.error
               << "\" role=" << consensus::ROLE_NAMES.name(m_node->role()) << " term=" << m_node->term();
    m_writeError = std::move(failed.error);
}

void VoterThread::takeWritten(std::vector<consensus::Input> &inputs, const LogWritten &written)
{
    if (written.took >= m_options.slowStep) {
        LOG(WARNING) << "event=slow_sync sync_ms=" << written.took.count << " entries=" << written.entries
                     << " snapshot=" << (written.hasSnapshot ? 1 : 0)
                     << " role=" << consensus::ROLE_NAMES.name(m_node->role()) << " term=" << m_node->term();
    }
    if (written.failures > 0) {
        LOG(INFO) << "event=log_write_recovered failures=" << written.failures << " took_ms=" << written.took.count
                  << " entries=" << written.entries << " role=" << consensus::ROLE_NAMES.name(m_node->role())
                  << " term=" << m_node->term();
        m_writeError.clear();
    }
    m_unsyncedBytes -= written.bytes;
    if (written.hasSnapshot) {
        m_isSnapshotUnsynced = false;
        LOG(INFO) << "event=log_rewritten log_bytes=" << m_node->logBytes()
                  << " resident_bytes=" << base::residentBytes() << " took_ms=" << written.took.count;
    }
    inputs.emplace_back(consensus::PersistDone{written.sequence});
}

void VoterThread::transferIfStalled(std::vector<consensus::Input> &inputs) const
{
    const auto successor =
        m_unsyncedBytes > m_options.maxUnsyncedBytes ? m_node->successor() : std::optional<std::string>();
    if (successor) {
        LOG(WARNING) << "event=leadership_transfer reason=log_not_written to=" << *successor
                     << " unsynced_bytes=" << m_unsyncedBytes << " term=" << m_node->term();
        inputs.emplace_back(consensus::TransferLeadership{*successor});
    }
}

void VoterThread::process(consensus::Outputs outputs)
{
    logRoles(outputs.roleChanges);
    send(outputs.messages);
    if (outputs.installed) {
        install(*outputs.installed);
    }
    apply(outputs.committed);
    answer(outputs);
    if (outputs.persist) {
        trackTail(*outputs.persist);
        m_unsyncedBytes += entryBytes(*outputs.persist);
        m_isSnapshotUnsynced = m_isSnapshotUnsynced || outputs.persist->snapshot.has_value();
        m_writer->write(*std::move(outputs.persist));
    }
}

void VoterThread::send(const std::vector<consensus::Message> &messages)
{
    for (const consensus::Message &it : messages) {
        if (peer::Client *client = m_peers.find(it.to)) {
            client->deliver(toWire(it));
        }
    }
}

void VoterThread::trackTail(const consensus::Persist &persist)
{
    if (persist.snapshot) {
        m_tail.erase(m_tail.begin(), m_tail.upper_bound(persist.snapshot->index));
    }
    if (persist.entries.empty()) {
        return;
    }
    m_tail.erase(m_tail.lower_bound(persist.entries.front().index), m_tail.end());
    for (const consensus::Entry &it : persist.entries) {
        if (it.index > m_applied) {
            m_tail[it.index] = touchesConfiguration(it);
        }
    }
}

void VoterThread::install(const consensus::Snapshot &snapshot)
{
    auto restored = state::Machine::restore(snapshot.data.str());
    if (!restored) {
        fail("cannot restore the snapshot from the leader: " + restored.error().message);
        return;
    }
    *m_machine = std::move(restored.value());
    m_applied = snapshot.index;
    m_compacted = snapshot.index;
    m_appliedBytes = 0;
    m_tail.erase(m_tail.begin(), m_tail.upper_bound(m_applied));
}

void VoterThread::apply(const std::vector<consensus::Entry> &entries)
{
    for (const consensus::Entry &it : entries) {
        if (it.kind == consensus::EntryKind::Command) {
            m_outcomes[it.index] = m_machine->apply(it.index, it.payload.str());
        }
        m_applied = it.index;
        m_appliedBytes += consensus::footprint(it);
    }
    m_tail.erase(m_tail.begin(), m_tail.upper_bound(m_applied));
    const std::uint64_t version = m_machine->configuration().current().version;
    if (version != m_seenVersion) {
        m_seenVersion = version;
        std::for_each(m_watchers.begin(), m_watchers.end(), [this](VoterObserver *it) {
            it->onConfiguration(*m_machine);
        });
    }
    if (m_machine->software().versions() != m_seenSoftware) {
        m_seenSoftware = m_machine->software().versions();
        std::for_each(m_watchers.begin(), m_watchers.end(), [this](VoterObserver *it) {
            it->onSoftware(*m_machine);
        });
    }
    if (m_machine->evacuations().revision() != m_seenEvacuations) {
        m_seenEvacuations = m_machine->evacuations().revision();
        std::for_each(m_watchers.begin(), m_watchers.end(), [this](VoterObserver *it) {
            it->onEvacuations(*m_machine);
        });
    }
    if (m_machine->withdrawals().revision() != m_seenWithdrawals) {
        m_seenWithdrawals = m_machine->withdrawals().revision();
        std::for_each(m_watchers.begin(), m_watchers.end(), [this](VoterObserver *it) {
            it->onWithdrawals(*m_machine);
        });
    }
}

void VoterThread::answer(const consensus::Outputs &outputs)
{
    for (const consensus::ProposalResult &it : outputs.proposals) {
        auto node = m_proposals.extract(it.requestId);
        if (node.empty()) {
            continue;
        }
        ProposalOutcome verdict{it.status, it.reason, std::nullopt, it.leader};
        const auto outcome = m_outcomes.find(it.index);
        if (it.status == consensus::ProposalStatus::Committed && outcome != m_outcomes.end()) {
            verdict.outcome = outcome->second;
        }
        node.mapped()(std::move(verdict));
    }
    m_outcomes.clear();
    for (const consensus::ReadResult &it : outputs.reads) {
        auto node = m_reads.extract(it.requestId);
        if (!node.empty()) {
            node.mapped()({it.confirmed && m_applied >= it.index, it.leader, m_node->term(), m_machine.get()});
        }
    }
}

void VoterThread::compactIfDue()
{
    const bool isDue =
        m_applied >= m_compacted + m_options.snapshotInterval || m_appliedBytes >= m_options.snapshotLogBytes;
    // A disk that takes no writes would only collect snapshots.
    if (m_failed || m_makingSnapshot || m_isSnapshotUnsynced || !isDue) {
        return;
    }
    joinSnapshot();
    m_makingSnapshot = true;
    m_compacted = m_applied;
    m_appliedBytes = 0;
    m_snapshotThread = std::thread([this, index = m_applied, machine = *m_machine] {
        const base::Millis began = m_clock.now();
        std::string data = machine.snapshot();
        m_ring.deliver(Job(SnapshotMade{index, std::move(data), m_clock.now() - began}));
    });
}

void VoterThread::joinSnapshot()
{
    if (m_snapshotThread.joinable()) {
        m_snapshotThread.join();
    }
}

void VoterThread::followRole()
{
    const bool leads = !m_failed && m_node->role() == consensus::Role::Leader && m_node->confirmedAt().has_value();
    const std::uint64_t term = leads ? m_node->term() : 0;
    if (term == m_leadingTerm) {
        return;
    }
    if (m_leadingTerm != 0) {
        LOG(INFO) << "event=leadership_ended term=" << m_leadingTerm;
        std::for_each(m_watchers.begin(), m_watchers.end(), [](VoterObserver *it) {
            it->onNotLeading();
        });
    }
    m_leadingTerm = term;
    if (term != 0) {
        LOG(INFO) << "event=leadership_begun term=" << term;
        std::for_each(m_watchers.begin(), m_watchers.end(), [this, term](VoterObserver *it) {
            it->onLeading(term, *m_machine);
        });
    }
}

void VoterThread::logRoles(const std::vector<consensus::RoleChange> &changes) const
{
    for (const consensus::RoleChange &it : changes) {
        LOG(INFO) << "event=role_changed from=" << consensus::ROLE_NAMES.name(it.from)
                  << " to=" << consensus::ROLE_NAMES.name(it.to)
                  << " cause=" << consensus::ROLE_CAUSE_NAMES.name(it.cause) << " term=" << it.term
                  << " votes=" << it.votes << " own_vote_synced=" << (it.ownVoteSynced ? 1 : 0)
                  << " voters=" << m_node->membership().voters.size() << " leader=" << m_node->leader();
    }
}

void VoterThread::logSlowStep(std::size_t inputs, base::Millis late, base::Millis began) const
{
    const base::Millis took = m_clock.now() - began;
    if (took >= m_options.slowStep || late >= m_options.slowStep) {
        LOG(WARNING) << "event=slow_step thread=voter inputs=" << inputs
                     << " late_ms=" << std::max<std::int64_t>(late.count, 0) << " step_ms=" << took.count
                     << " queued=" << m_ring.size() << " role=" << consensus::ROLE_NAMES.name(m_node->role())
                     << " term=" << m_node->term();
    }
}

void VoterThread::publishStatus()
{
    VoterStatus status;
    status.role = m_failed ? consensus::Role::Follower : m_node->role();
    status.term = m_node->term();
    status.leader = m_failed ? std::string() : m_node->leader();
    status.commitIndex = m_node->commitIndex();
    status.appliedIndex = m_applied;
    status.voters = m_node->membership().voters;
    status.learners = m_node->membership().learners;
    status.votes = !m_failed && votes();
    status.heardAt = m_node->lastContact();
    status.confirmedAt = m_node->confirmedAt();
    if (!status.leader.empty()) {
        m_ledAt = m_clock.now();
    }
    status.ledAt = m_ledAt;
    status.failed = m_failed;
    status.writeError = m_writeError;
    const absl::MutexLock lock(&m_mutex);
    m_status = std::move(status);
}

void VoterThread::fail(const std::string &reason)
{
    LOG(ERROR) << "event=vote_ended reason=\"" << reason << '"';
    m_failed = true;
}

void VoterThread::refuse(Job job)
{
    // One that has ended, or has not begun yet, leads nothing.
    const auto reason =
        m_failed || m_recovering ? consensus::RejectReason::NotLeader : consensus::RejectReason::Overloaded;
    std::visit(base::Overloaded{
                   [](consensus::Message &) {},
                   [reason](ProposeJob &it) {
                       it.done(rejected({}, reason));
                   },
                   [reason](VotersJob &it) {
                       it.done(rejected({}, reason));
                   },
                   [](ReadJob &it) {
                       it.done({});
                   },
                   [](LocalLogJob &it) {
                       it.done({});
                   },
                   [](LogWritten &) {},
                   [](LogWriteFailed &) {},
                   [](SnapshotMade &) {},
               },
        job);
}

LocalLogReport VoterThread::localLogReport() const
{
    const bool open = std::any_of(m_tail.begin(), m_tail.end(), [](const auto &it) {
        return it.second;
    });
    return {votes() && !open && !m_failed, m_machine->configuration().current().version, m_node->membership().voters};
}

bool VoterThread::votes() const
{
    const auto &voters = m_node->membership().voters;
    return m_node->joined() && std::binary_search(voters.begin(), voters.end(), m_options.node.self);
}

} // namespace bamboomoor::control
