/**
 * Durable log and snapshot of one consensus node. All records between two syncs are written as one frame, so that at
 * most one frame is unsynced: damage to the last frame is a torn tail and is truncated; damage before an intact frame
 * is corruption and stops the node. A write that fails, as on a full disk, can be repeated.
 */
#pragma once

#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/storage/codec.hpp"
#include "bamboomoor/storage/filesystem.hpp"

#include <deque>
#include <optional>

namespace bamboomoor::storage
{

/** @brief Result of opening a store. */
struct OpenResult {
    consensus::RecoveredState recovered;
    // Bytes of a torn tail truncated from the log; they were never reported as synced.
    std::uint64_t tornBytes = 0;
    // Why the log could not be written, if so: nothing recovered counts as synced before the first sync() succeeds.
    std::optional<StorageError> deferred;
};

/**
 * @brief Storage of one node. After a failed write the data are still pending: sync(), or persist() with the same work,
 * may be called again, and nothing counts as synced before it succeeds. A store that failed to open is unusable.
 */
class LogStore
{
public:
    /**
     * @brief Constructs a store, which must be opened before use.
     * @param files Access to the files; must outlive the store.
     */
    explicit LogStore(FileSystem &files);

    /**
     * @brief Reads the files, removes a torn tail of the log, and makes sure that the rest is on disk. Needs memory for
     * the contents once, and no room on the disk for a second copy of the log.
     * @return The contents, also if the log file cannot be written at present; fails with Io, Sync, or Corrupt with
     * file and offset if it cannot be read.
     */
    [[nodiscard]] Result<OpenResult> open();

    /**
     * @brief Adds the hard state to the batch of the next sync.
     * @param state The hard state.
     * @return Fails with Failed if the store is not open.
     */
    [[nodiscard]] Result<void> saveHardState(const consensus::HardState &state);

    /**
     * @brief Adds entries to the batch of the next sync; they replace stored entries from the first one's index on.
     * @param entries Contiguous entries without a gap to the stored ones; those up to the snapshot are skipped.
     * @return Fails with Failed if the store is not open.
     */
    [[nodiscard]] Result<void> append(const std::vector<consensus::Entry> &entries);

    /**
     * @brief Replaces the snapshot durably; the next sync removes the entries that it covers from the log.
     * Later entries are kept if the log contains the snapshot's last entry; otherwise the log is cleared. The pending
     * batch is synced first.
     * @param snapshot A snapshot with a higher index than the stored one.
     * @return Fails with Io, Sync, or Failed; the stored snapshot is then still the earlier one.
     */
    [[nodiscard]] Result<void> saveSnapshot(const consensus::Snapshot &snapshot);

    /**
     * @brief Adds the data of one step of the node to the batch; several steps may share one sync().
     * @param work The data; a snapshot is synced before the call returns.
     * @return Fails with Io, Sync, or Failed; repeated with the same work, it adds what is missing.
     */
    [[nodiscard]] Result<void> persist(const consensus::Persist &work);

    /**
     * @brief Makes the pending batch durable with one write and one sync (group commit).
     * @return Fails with Io, Sync, or Failed.
     */
    [[nodiscard]] Result<void> sync();

private:
    /** @brief What the log file needs before a batch can be appended to it. */
    enum class Repair {
        None,
        // A write failed part way; what follows the synced bytes is removed.
        Truncate,
        // The last frame was found at a start, and may be known to the kernel only; it is written over and synced.
        Confirm,
        // A sync failed, so that the kernel may have dropped bytes that it still returns; or the base has moved.
        Rewrite,
    };

    [[nodiscard]] Result<void> usable() const;
    [[nodiscard]] Result<void> readSnapshot();
    [[nodiscard]] Result<void> readLog(OpenResult &opened);
    [[nodiscard]] Result<std::optional<std::uint64_t>> intactFrame(std::uint64_t offset);
    [[nodiscard]] Result<std::uint64_t> measureTornTail();
    [[nodiscard]] Result<void> replayFrame(std::uint64_t bodySize);
    [[nodiscard]] Result<void> replay(internal::Record &&record);
    // Replace a file: the first returns the name of the temporary file to append to.
    [[nodiscard]] Result<std::string> startFile(const std::string &name);
    [[nodiscard]] Result<void> finishFile(const std::string &name);
    [[nodiscard]] Result<void> confirmTail();
    [[nodiscard]] Result<void> rewriteLog();
    void addToBatch(const internal::Record &record);
    void addEntry(consensus::Entry &&entry);
    void removeCoveredEntries();

    FileSystem &m_files;
    // Synced bytes of the log file; 0 if there is no log file yet.
    std::uint64_t m_size = 0;
    // Offset of the last frame that was read at the start.
    std::uint64_t m_lastFrame = 0;
    // Frame with the records that are pending for the next sync; empty if there are none.
    std::string m_batch;
    consensus::HardState m_hardState;
    consensus::Snapshot m_snapshot;
    // Entry before the first of m_entries.
    internal::BaseRecord m_base;
    // Contiguous, after m_base; the contents of the log file and of m_batch. They share their payloads with the node.
    std::deque<consensus::Entry> m_entries;
    Repair m_repair = Repair::None;
    bool m_fresh = true;
    bool m_opened = false;
    bool m_failed = false;
};

} // namespace bamboomoor::storage
