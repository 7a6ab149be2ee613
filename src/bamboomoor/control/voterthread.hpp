/**
 * Provides the thread of a voter. It drives the consensus core with messages and time, persists the log, applies
 * committed entries to the replicated state machine, and completes proposals and reads.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/consensus/node.hpp"
#include "bamboomoor/control/logwriter.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/state/machine.hpp"
#include "bamboomoor/storage/filesystem.hpp"
#include "bamboomoor/storage/logstore.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bamboomoor::control
{

/** @brief The result of a proposal. */
struct ProposalOutcome {
    consensus::ProposalStatus status = consensus::ProposalStatus::Rejected;
    consensus::RejectReason reason = consensus::RejectReason::None;
    // Set if the proposal is a command that was committed.
    std::optional<state::Outcome> outcome;
    // The leader as known to this voter; empty if unknown.
    std::string leader;
};

/** @brief The result of a linearizable read; `machine` is valid only during the callback. */
struct ReadOutcome {
    bool confirmed = false;
    std::string leader;
    std::uint64_t term = 0;
    const state::Machine *machine = nullptr;
};

/** @brief What a voter's local log contains, without confirmation by a leader. */
struct LocalLogReport {
    // False if the log may contain a configuration change that is not applied yet, or if the member may not vote.
    bool usable = false;
    std::uint64_t version = 0;
    std::vector<std::string> voters;
};

/** @brief A snapshot of a voter's status. */
struct VoterStatus {
    consensus::Role role = consensus::Role::Follower;
    std::uint64_t term = 0;
    std::string leader;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    // True if this member is a voter that may vote.
    bool votes = false;
    // When this leader last received a message from each other member; empty if this voter is not the leader.
    std::map<std::string, base::Millis> heardAt;
    // When this voter last followed a leader, or was one.
    base::Millis ledAt;
    // When a quorum last confirmed this leader; nullopt if this voter is not the leader.
    std::optional<base::Millis> confirmedAt;
    // True if this voter has ended for good; it then neither votes nor names a leader.
    bool failed = false;
    // Why the log cannot be written at present; empty if it can.
    std::string writeError;
};

/** @brief Observes a voter; every method is called on the voter's thread and must not block. */
class VoterObserver
{
public:
    virtual ~VoterObserver() = default;

    /**
     * @brief Called when this voter has become leader and has applied everything committed in earlier terms.
     * @param term The term.
     * @param machine The state machine, valid only during the call.
     */
    virtual void onLeading(std::uint64_t term, const state::Machine &machine) = 0;

    /** @brief Called when this voter is no longer the leader. */
    virtual void onNotLeading() = 0;

    /**
     * @brief Called when the active configuration has changed.
     * @param machine The state machine, valid only during the call.
     */
    virtual void onConfiguration(const state::Machine &machine) = 0;

    /**
     * @brief Called when the recorded software versions of upstreams have changed.
     * @param machine The state machine, valid only during the call.
     */
    virtual void onSoftware(const state::Machine &machine)
    {
        static_cast<void>(machine);
    }

    /**
     * @brief Called when the evacuation of a data centre has begun or ended.
     * @param machine The state machine, valid only during the call.
     */
    virtual void onEvacuations(const state::Machine &machine)
    {
        static_cast<void>(machine);
    }

    /**
     * @brief Called when the withdrawal of an upstream has been recorded.
     * @param machine The state machine, valid only during the call.
     */
    virtual void onWithdrawals(const state::Machine &machine)
    {
        static_cast<void>(machine);
    }
};

/**
 * @brief Opens the folder of a voter's log.
 * @param path The folder, created if necessary.
 * @return The folder; fails with Io, or with Locked if another process has it open.
 */
[[nodiscard]] storage::Result<std::unique_ptr<storage::FileSystem>> openLogFolder(const std::string &path);

/** @brief Settings of a voter. */
struct VoterOptions {
    consensus::Options node;
    std::string folder;
    // Opens the folder; tests replace it by one with faults.
    std::function<storage::Result<std::unique_ptr<storage::FileSystem>>(const std::string &)> openFolder =
        openLogFolder;
    // A snapshot is made after so many applied entries, or bytes of them, whichever comes first.
    std::uint64_t snapshotInterval = 2'000;
    std::size_t snapshotLogBytes = 16'777'216;
    // Maximum number of queued jobs; further ones are rejected.
    std::size_t ringSize = 8'192;
    // While more bytes of messages and proposals than this are queued, further ones that have any are rejected.
    std::size_t maxQueuedBytes = 8'388'608;
    // A sync, a step, or a late wake-up that takes at least this long is logged.
    base::Millis slowStep{200};
    // A leader with more bytes of entries than this to write rejects proposals and transfers its leadership.
    std::size_t maxUnsyncedBytes = 8'388'608;
};

/** @brief Runs a voter of the control group on its own thread. */
class VoterThread final : public LogWriterObserver
{
public:
    /**
     * @brief Creates the object without starting its thread.
     * @param options The settings.
     * @param peers Clients for the other voters; must outlive this object.
     * @param clock The source of time; must outlive this object.
     */
    VoterThread(VoterOptions options, const PeerRegistry &peers, const base::Clock &clock);
    ~VoterThread() override;
    VoterThread(const VoterThread &) = delete;
    VoterThread &operator=(const VoterThread &) = delete;

    /**
     * @brief Adds an observer; must be called before start().
     * @param watcher The observer; must outlive this object.
     */
    void addObserver(VoterObserver &watcher);

    /**
     * @brief Opens the storage and starts the thread.
     * @return Success, or a one-line message that says why the storage cannot be used.
     */
    [[nodiscard]] base::Result<void, std::string> start();

    /** @brief Stops and joins the thread; pending proposals end as `Unknown`, and queued ones are rejected. */
    void stop();

    /**
     * @brief Queues a message from another voter.
     * @param message The message; dropped if the queue is full.
     */
    void deliver(consensus::Message message);

    /**
     * @brief Proposes a command. One that has taken effect already is answered after a read instead, which needs no
     * disk; so a sender that repeats it learns of a commit that took longer than it had waited.
     * @param payload The command as encoded by state::encode().
     * @param term If given, the proposal is rejected in any other term.
     * @param done Called with the result on the voter's thread, or on the calling thread if it cannot be queued.
     */
    void propose(std::string payload, std::optional<std::uint64_t> term, std::function<void(ProposalOutcome)> done);

    /**
     * @brief Proposes a membership change.
     * @param change The kind of change.
     * @param id The member.
     * @param done Called with the result on the voter's thread, or on the calling thread if it cannot be queued.
     */
    void changeVoters(consensus::ChangeKind change, std::string id, std::function<void(ProposalOutcome)> done);

    /**
     * @brief Performs a linearizable read: a quorum confirms the leader after the call.
     * @param done Called with the state on the voter's thread, or unconfirmed on the calling thread if it cannot be
     * queued.
     */
    void read(std::function<void(const ReadOutcome &)> done);

    /**
     * @brief Reports what the local log contains, without a quorum.
     * @param done Called with the report on the voter's thread, or with an unusable one on the calling thread if it
     * cannot be queued.
     */
    void reportLocalLog(std::function<void(const LocalLogReport &)> done);

    /**
     * @brief Returns the status.
     * @return The status after the most recent step; thread-safe.
     */
    [[nodiscard]] VoterStatus status() const;

private:
    struct ProposeJob {
        std::string payload;
        std::optional<std::uint64_t> term;
        std::function<void(ProposalOutcome)> done;
    };
    struct VotersJob {
        consensus::ChangeKind change;
        std::string id;
        std::function<void(ProposalOutcome)> done;
    };
    struct ReadJob {
        std::function<void(const ReadOutcome &)> done;
    };
    struct LocalLogJob {
        std::function<void(const LocalLogReport &)> done;
    };
    struct SnapshotMade {
        std::uint64_t index = 0;
        std::string data;
        base::Millis took;
    };
    using Job = std::variant<consensus::Message, ProposeJob, VotersJob, ReadJob, LocalLogJob, LogWritten,
        LogWriteFailed, SnapshotMade>;

    void onWritten(LogWritten written) override;
    void onWriteFailed(LogWriteFailed failed) override;

    [[nodiscard]] static std::size_t payloadBytes(const Job &job);
    // Leaves the job as it was if it is rejected.
    [[nodiscard]] bool push(Job &&job);
    [[nodiscard]] std::optional<Job> pop(base::Millis timeout);

    void run();
    // Waits until what was recovered is on disk; until then this voter takes part in nothing.
    void awaitRecovery();
    // Takes a job, and all that are queued now.
    void takeQueued(std::vector<consensus::Input> &inputs, std::optional<Job> job);
    void takeJob(std::vector<consensus::Input> &inputs, Job job);
    void takeProposal(std::vector<consensus::Input> &inputs, ProposeJob &job);
    void answerDecided(ProposeJob &job, const ReadOutcome &read);
    void process(consensus::Outputs outputs);
    void send(const std::vector<consensus::Message> &messages);
    void noteWriteFailed(LogWriteFailed failed);
    void takeWritten(std::vector<consensus::Input> &inputs, const LogWritten &written);
    void transferIfStalled(std::vector<consensus::Input> &inputs) const;
    void trackTail(const consensus::Persist &persist);
    void install(const consensus::Snapshot &snapshot);
    void apply(const std::vector<consensus::Entry> &entries);
    void answer(const consensus::Outputs &outputs);
    void compactIfDue();
    void joinSnapshot();
    void followRole();
    void logRoles(const std::vector<consensus::RoleChange> &changes) const;
    void logSlowStep(std::size_t inputs, base::Millis late, base::Millis began) const;
    void publishStatus();
    void fail(const std::string &reason);
    void refuse(Job job);
    [[nodiscard]] LocalLogReport localLogReport() const;
    [[nodiscard]] bool votes() const;

    VoterOptions m_options;
    const PeerRegistry &m_peers;
    const base::Clock &m_clock;
    std::vector<VoterObserver *> m_watchers;
    base::Ring<Job> m_ring;
    // Bytes of the jobs in m_ring, as payloadBytes() counts them.
    std::atomic<std::size_t> m_queuedBytes{0};
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Accessed by the voter's thread only, once started.
    std::unique_ptr<storage::FileSystem> m_folder;
    std::unique_ptr<storage::LogStore> m_store;
    std::unique_ptr<consensus::Node> m_node;
    std::unique_ptr<state::Machine> m_machine;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, std::function<void(ProposalOutcome)>> m_proposals;
    std::map<std::uint64_t, std::function<void(const ReadOutcome &)>> m_reads;
    // Outcomes of the entries applied in this step, by log index.
    std::map<std::uint64_t, state::Outcome> m_outcomes;
    // Log entries that are not applied yet, by index; true if the entry may change the configuration.
    std::map<std::uint64_t, bool> m_tail;
    std::uint64_t m_applied = 0;
    std::uint64_t m_compacted = 0;
    // Bytes of the entries applied after m_compacted.
    std::size_t m_appliedBytes = 0;
    // Serialises a copy of the state, as a large one takes longer than an election timeout.
    std::thread m_snapshotThread;
    bool m_makingSnapshot = false;
    // The term for which the observers were notified of this voter's leadership; 0 if it is not the leader.
    std::uint64_t m_leadingTerm = 0;
    // As in VoterStatus::ledAt.
    base::Millis m_ledAt;
    std::uint64_t m_seenVersion = 0;
    state::SoftwareVersions m_seenSoftware;
    std::uint64_t m_seenEvacuations = 0;
    std::uint64_t m_seenWithdrawals = 0;
    std::atomic<bool> m_failed{false};
    // Handed to m_writer and not reported as written.
    std::size_t m_unsyncedBytes = 0;
    bool m_isSnapshotUnsynced = false;
    // What was recovered is not synced yet.
    std::atomic<bool> m_recovering{false};
    // As in VoterStatus::writeError.
    std::string m_writeError;
    // Uses m_store, and posts to m_ring.
    std::unique_ptr<LogWriter> m_writer;

    mutable absl::Mutex m_mutex;
    VoterStatus m_status ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::control
