/**
 * Provides the thread that writes and syncs a voter's log, so that a slow or full disk delays commits but neither
 * heartbeats nor votes of others nor reads.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/storage/logstore.hpp"

#include <absl/synchronization/notification.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace bamboomoor::control
{

/** @brief The result of a write. */
struct LogWritten {
    // All data up to this sequence is synced.
    std::uint64_t sequence = 0;
    // From the start of the write to the end of its sync, in milliseconds.
    base::Millis took;
    // Attempts that failed before.
    int failures = 0;
    std::size_t entries = 0;
    // As entryBytes() counts them.
    std::size_t bytes = 0;
    bool hasSnapshot = false;
};

/** @brief Reports that the disk rejects a write, which is repeated until it succeeds. */
struct LogWriteFailed {
    std::string error;
};

/** @brief Receives what becomes of writes; each method is called on the writer's thread. */
class LogWriterObserver
{
public:
    virtual ~LogWriterObserver() = default;

    /** @brief Called after each sync. @param written What is synced. */
    virtual void onWritten(LogWritten written) = 0;

    /** @brief Called when a write has failed for the first time. @param failed The reason. */
    virtual void onWriteFailed(LogWriteFailed failed) = 0;
};

/**
 * @brief Counts the bytes that the entries of one step hold in memory until they are synced.
 * @param data The data.
 * @return Bytes of the entries, without a snapshot.
 */
[[nodiscard]] std::size_t entryBytes(const consensus::Persist &data);

/**
 * @brief Writes the data of a consensus node in order; what queues up during a sync shares the next one. A write that
 * the disk rejects is repeated until it succeeds: what is not on disk is never reported as written.
 */
class LogWriter
{
public:
    /**
     * @brief Creates the object without starting its thread.
     * @param store The opened store; used by the writer's thread only, and must outlive this object.
     * @param clock The source of time; must outlive this object.
     * @param observer Receives the results; must outlive this object.
     */
    LogWriter(storage::LogStore &store, const base::Clock &clock, LogWriterObserver &observer);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Writes what is queued unless the disk rejects it, and joins the thread. */
    void stop();

    /**
     * @brief Queues data without blocking. Never refused: what a node has in flight is bounded by its options.
     * @param data The data of one step, with the next sequence.
     */
    void write(consensus::Persist data);

private:
    void run();
    // These return false if the writer was stopped before a write succeeded.
    [[nodiscard]] bool writeQueued(consensus::Persist data, LogWritten &written);
    [[nodiscard]] bool repeat(const std::function<storage::Result<void>()> &write, int &failures);

    storage::LogStore &m_store;
    const base::Clock &m_clock;
    LogWriterObserver &m_observer;
    absl::Notification m_stopping;
    base::Ring<consensus::Persist> m_queue;
    std::thread m_thread;
};

} // namespace bamboomoor::control
