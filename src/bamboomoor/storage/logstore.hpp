/**
 * Durable log and snapshot of one consensus node. All records between two syncs are written as one frame, so that at
 * most one frame is unsynced: damage to the last frame is a torn tail and is truncated; damage before an intact frame
 * is corruption and stops the node.
 */
#pragma once

#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/storage/codec.hpp"
#include "bamboomoor/storage/filesystem.hpp"

#include <deque>

namespace bamboomoor::storage
{

/** @brief Result of opening a store. */
struct OpenResult {
    consensus::RecoveredState recovered;
    // Bytes of a torn tail truncated from the log; they were never reported as synced.
    std::uint64_t tornBytes = 0;
};

/** @brief Storage of one node; after any error the store rejects further writes. */
class LogStore
{
public:
    /**
     * @brief Constructs a store, which must be opened before use.
     * @param files Access to the files; must outlive the store.
     */
    explicit LogStore(FileSystem &files);

    /**
     * @brief Reads the files and truncates a torn tail.
     * @return The contents; fails with Io, Sync, or Corrupt with file and offset.
     */
    [[nodiscard]] Result<OpenResult> open();

    /**
     * @brief Adds the hard state to the batch of the next sync.
     * @param state The hard state.
     * @return Fails with Failed after an earlier error.
     */
    [[nodiscard]] Result<void> saveHardState(const consensus::HardState &state);

    /**
     * @brief Adds entries to the batch of the next sync; they replace stored entries from the first one's index on.
     * @param entries Contiguous entries without a gap to the stored ones; those up to the snapshot are skipped.
     * @return Fails with Failed after an earlier error.
     */
    [[nodiscard]] Result<void> append(const std::vector<consensus::Entry> &entries);

    /**
     * @brief Replaces the snapshot durably and removes the entries that it covers.
     * Later entries are kept if the log contains the snapshot's last entry; otherwise the log is cleared. The pending
     * batch is synced first.
     * @param snapshot A snapshot with a higher index than the stored one.
     * @return Fails with Io, Sync, or Failed.
     */
    [[nodiscard]] Result<void> saveSnapshot(const consensus::Snapshot &snapshot);

    /**
     * @brief Adds the data of one step of the node to the batch; several steps may share one sync().
     * @param work The data; a snapshot is synced before the call returns.
     * @return Fails with Io, Sync, or Failed.
     */
    [[nodiscard]] Result<void> persist(const consensus::Persist &work);

    /**
     * @brief Makes the pending batch durable with one write and one sync (group commit).
     * @return Fails with Io, Sync, or Failed.
     */
    [[nodiscard]] Result<void> sync();

private:
    [[nodiscard]] Result<void> usable() const;
    [[nodiscard]] Result<void> recordFailure(Result<void> result);
    [[nodiscard]] Result<void> readSnapshot();
    [[nodiscard]] Result<void> readLog(std::string_view file, OpenResult &opened);
    [[nodiscard]] Result<void> replay(std::vector<internal::Record> &&records, std::uint64_t offset);
    [[nodiscard]] Result<void> replaceFile(const std::string &name, const std::string &bytes);
    [[nodiscard]] Result<void> rewriteLog();
    void addEntry(consensus::Entry &&entry);
    void removeCoveredEntries();

    FileSystem &m_files;
    // Size of the log file in bytes, all synced.
    std::uint64_t m_size = 0;
    // Encoded records pending for the next sync.
    std::string m_batch;
    consensus::HardState m_hardState;
    consensus::Snapshot m_snapshot;
    // Entry before the first of m_entries.
    internal::BaseRecord m_base;
    // Contiguous, after m_base; the contents of the log file and of m_batch.
    std::deque<consensus::Entry> m_entries;
    bool m_fresh = true;
    bool m_opened = false;
    bool m_failed = false;
};

} // namespace bamboomoor::storage
