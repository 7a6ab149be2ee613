/**
 * The log and the snapshot of one member on disk. All records between two syncs go into one frame of the log, so
 * that at most one frame is not on synced disk: damage to the last frame is a torn tail, which is cut; damage
 * before an intact frame is corruption, which stops the member.
 */
#pragma once

#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/storage/codec.hpp"
#include "bamboomoor/storage/filesystem.hpp"

#include <deque>

namespace bamboomoor::storage
{

/** @brief What a store held when it was opened. */
struct Opened {
    consensus::Recovered recovered;
    // Bytes of a torn tail that were cut off the log; they were never reported as synced.
    std::uint64_t tornBytes = 0;
};

/** @brief The files of one member; after any error the store takes no further work. */
class LogStore
{
public:
    /**
     * @brief Makes a store, which must be opened before use.
     * @param files Where the files are; outlives the store.
     */
    explicit LogStore(FileSystem &files);

    /**
     * @brief Reads the files and cuts a torn tail.
     * @return The contents; Io, Sync, or Corrupt with file and offset.
     */
    [[nodiscard]] Result<Opened> open();

    /**
     * @brief Adds the hard state to the work of the next sync.
     * @param state The hard state.
     * @return Failed after an earlier error.
     */
    [[nodiscard]] Result<void> saveHardState(const consensus::HardState &state);

    /**
     * @brief Adds entries to the work of the next sync; stored entries from the first one's index on are dropped.
     * @param entries Contiguous entries that meet the stored ones; those up to the snapshot are left out.
     * @return Failed after an earlier error.
     */
    [[nodiscard]] Result<void> append(const std::vector<consensus::Entry> &entries);

    /**
     * @brief Replaces the snapshot on synced disk, and drops the entries that it covers.
     * Entries behind it stay when the log holds the snapshot's own entry, else the log is emptied. Work that
     * was added before is synced along with it.
     * @param snapshot A snapshot with a higher index than the stored one.
     * @return Io, Sync, or Failed.
     */
    [[nodiscard]] Result<void> saveSnapshot(const consensus::Snapshot &snapshot);

    /**
     * @brief Adds the work of one step of the core; several steps may share one sync().
     * @param work The work; its snapshot, when there is one, is synced before the call returns.
     * @return Io, Sync, or Failed.
     */
    [[nodiscard]] Result<void> persist(const consensus::Persist &work);

    /**
     * @brief Brings all added work to synced disk by one write and one sync.
     * @return Io, Sync, or Failed.
     */
    [[nodiscard]] Result<void> sync();

private:
    [[nodiscard]] Result<void> usable() const;
    [[nodiscard]] Result<void> guard(Result<void> result);
    [[nodiscard]] Result<void> readSnapshot();
    [[nodiscard]] Result<void> readLog(std::string_view file, Opened &opened);
    [[nodiscard]] Result<void> replay(std::vector<internal::Record> &&records, std::uint64_t offset);
    [[nodiscard]] Result<void> replaceFile(const std::string &name, const std::string &bytes);
    [[nodiscard]] Result<void> rewriteLog();
    void addEntry(consensus::Entry &&entry);
    void dropCovered();

    FileSystem &m_files;
    // The bytes of the log file, all synced.
    std::uint64_t m_size = 0;
    // Encoded records that wait for the next sync.
    std::string m_batch;
    consensus::HardState m_hardState;
    consensus::Snapshot m_snapshot;
    // The entry before the first of m_entries.
    internal::BaseRecord m_base;
    // Contiguous, behind m_base; the contents of the log file and of m_batch.
    std::deque<consensus::Entry> m_entries;
    bool m_fresh = true;
    bool m_opened = false;
    bool m_failed = false;
};

} // namespace bamboomoor::storage
