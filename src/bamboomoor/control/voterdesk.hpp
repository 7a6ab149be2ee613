/**
 * The thread of a voter: it feeds the consensus core with messages and time, keeps its storage, applies what is
 * committed to the replicated state, and answers proposals and reads.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/consensus/node.hpp"
#include "bamboomoor/control/peerbook.hpp"
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

/** @brief The verdict on a proposal. */
struct Proposed {
    consensus::ProposalStatus status = consensus::ProposalStatus::Rejected;
    consensus::RejectReason reason = consensus::RejectReason::None;
    // Held when committed.
    std::optional<state::Outcome> outcome;
    // The leader as this voter knows it, or empty.
    std::string leader;
};

/** @brief What a read found; `machine` is valid during the callback. */
struct ReadOutcome {
    bool confirmed = false;
    std::string leader;
    std::uint64_t term = 0;
    const state::Machine *machine = nullptr;
};

/** @brief What a voter's log says without a leader. */
struct Testimony {
    // False while the log may hold a configuration that is not applied, or the voter may not vote.
    bool usable = false;
    std::uint64_t version = 0;
    std::vector<std::string> voters;
};

/** @brief What a voter looks like from outside. */
struct VoterStatus {
    consensus::Role role = consensus::Role::Follower;
    std::uint64_t term = 0;
    std::string leader;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    // When this leader heard each other member last; empty when it does not lead.
    std::map<std::string, base::Millis> heardAt;
    // When a quorum is known to have followed this leader last; nothing when it does not lead.
    std::optional<base::Millis> confirmedAt;
    bool failed = false;
};

/** @brief Follows a voter; every method is called on the voter's thread and returns at once. */
class VoterWatcher
{
public:
    virtual ~VoterWatcher() = default;

    /**
     * @brief This voter leads, and has applied everything committed in earlier terms.
     * @param term The term.
     * @param machine The state, valid during the call.
     */
    virtual void onLeading(std::uint64_t term, const state::Machine &machine) = 0;

    /** @brief This voter no longer leads. */
    virtual void onNotLeading() = 0;

    /**
     * @brief The configuration in force has changed.
     * @param machine The state, valid during the call.
     */
    virtual void onConfiguration(const state::Machine &machine) = 0;
};

/** @brief The settings of a voter. */
struct VoterOptions {
    consensus::Options node;
    std::string folder;
    // Entries applied between two snapshots.
    std::uint64_t snapshotInterval = 2'000;
    // Jobs that may wait; more are refused.
    std::size_t ringSize = 8'192;
};

/** @brief A voter of the control group. */
class VoterDesk
{
public:
    /**
     * @brief Makes a voter that does not run yet.
     * @param options The settings.
     * @param peers Connections to the other voters; outlives the desk.
     * @param clock The time; outlives the desk.
     */
    VoterDesk(VoterOptions options, const PeerBook &peers, const base::Clock &clock);
    ~VoterDesk();
    VoterDesk(const VoterDesk &) = delete;
    VoterDesk &operator=(const VoterDesk &) = delete;

    /**
     * @brief Adds a follower of this voter; only before start().
     * @param watcher Outlives the desk.
     */
    void watch(VoterWatcher &watcher);

    /**
     * @brief Opens the storage and starts the thread.
     * @return Nothing, or one line that says why the storage cannot be used.
     */
    [[nodiscard]] base::Result<void, std::string> start();

    /** @brief Ends the thread. */
    void stop();

    /**
     * @brief Takes a message of another voter.
     * @param message The message; dropped when the ring is full.
     */
    void deliver(consensus::Message message);

    /**
     * @brief Proposes a command.
     * @param payload From state::encode().
     * @param term When given, the proposal is rejected in any other term.
     * @param done Takes the verdict, on the voter's thread.
     */
    void propose(std::string payload, std::optional<std::uint64_t> term, std::function<void(Proposed)> done);

    /**
     * @brief Proposes a change of the voters.
     * @param change The kind of change.
     * @param id The member.
     * @param done Takes the verdict, on the voter's thread.
     */
    void changeVoters(consensus::ChangeKind change, std::string id, std::function<void(Proposed)> done);

    /**
     * @brief Reads the state, confirmed by a quorum after the call.
     * @param done Takes the state, on the voter's thread.
     */
    void read(std::function<void(const ReadOutcome &)> done);

    /**
     * @brief Tells what the log holds, without a quorum.
     * @param done Takes the testimony, on the voter's thread.
     */
    void testify(std::function<void(const Testimony &)> done);

    /**
     * @brief Reads the status.
     * @return The status after the last step.
     */
    [[nodiscard]] VoterStatus status() const;

private:
    struct ProposeJob {
        std::string payload;
        std::optional<std::uint64_t> term;
        std::function<void(Proposed)> done;
    };
    struct VotersJob {
        consensus::ChangeKind change;
        std::string id;
        std::function<void(Proposed)> done;
    };
    struct ReadJob {
        std::function<void(const ReadOutcome &)> done;
    };
    struct TestifyJob {
        std::function<void(const Testimony &)> done;
    };
    using Job = std::variant<consensus::Message, ProposeJob, VotersJob, ReadJob, TestifyJob>;

    void run();
    void takeJobs(std::vector<consensus::Input> &inputs, base::Millis timeout);
    void takeJob(std::vector<consensus::Input> &inputs, Job job);
    void carryOut(consensus::Outputs outputs);
    void send(const std::vector<consensus::Message> &messages);
    [[nodiscard]] bool persist(const consensus::Persist &persist);
    [[nodiscard]] storage::Result<void> write(const consensus::Persist &persist);
    void trackTail(const consensus::Persist &persist);
    void install(const consensus::Snapshot &snapshot);
    void apply(const std::vector<consensus::Entry> &entries);
    void answer(const consensus::Outputs &outputs);
    void compactIfDue();
    void followRole();
    void publishStatus();
    void fail(const std::string &reason);
    void refuse(Job job);
    [[nodiscard]] Testimony testimony() const;

    VoterOptions m_options;
    const PeerBook &m_peers;
    const base::Clock &m_clock;
    std::vector<VoterWatcher *> m_watchers;
    base::Ring<Job> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Used by the voter's thread only, from start() on.
    std::unique_ptr<storage::FileSystem> m_folder;
    std::unique_ptr<storage::LogStore> m_store;
    std::unique_ptr<consensus::Node> m_node;
    std::unique_ptr<state::Machine> m_machine;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, std::function<void(Proposed)>> m_proposals;
    std::map<std::uint64_t, std::function<void(const ReadOutcome &)>> m_reads;
    // Outcomes of the entries applied in this step, by index.
    std::map<std::uint64_t, state::Outcome> m_outcomes;
    // Entries of the log that are not applied; true where the entry may change the configuration.
    std::map<std::uint64_t, bool> m_tail;
    std::uint64_t m_applied = 0;
    std::uint64_t m_compacted = 0;
    // The term in which the watchers were told that this voter leads; 0 when it does not.
    std::uint64_t m_leadingTerm = 0;
    std::uint64_t m_seenVersion = 0;
    bool m_failed = false;

    mutable absl::Mutex m_mutex;
    VoterStatus m_status ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::control
