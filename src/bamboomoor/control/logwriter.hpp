/**
 * Provides the thread that writes and syncs a voter's log, so that a slow disk delays commits but neither heartbeats
 * nor votes of others nor reads.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/storage/logstore.hpp"

#include <functional>
#include <string>
#include <thread>

namespace bamboomoor::control
{

/** @brief The result of a write. */
struct LogWritten {
    // All data up to this sequence is synced, unless `error` is set.
    std::uint64_t sequence = 0;
    // Why the log cannot be written any more; empty after a success.
    std::string error;
    // From the start of the write to the end of its sync, in milliseconds.
    base::Millis took;
    std::size_t entries = 0;
    bool hasSnapshot = false;
};

/** @brief Writes the data of a consensus node in order; what queues up during a sync shares the next one. */
class LogWriter
{
public:
    /**
     * @brief Creates the object without starting its thread.
     * @param store The opened store; used by the writer's thread only, and must outlive this object.
     * @param clock The source of time; must outlive this object.
     * @param done Called on the writer's thread after each sync; not called again after an error.
     */
    LogWriter(storage::LogStore &store, const base::Clock &clock, std::function<void(LogWritten)> done);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Writes what is queued, and joins the thread. */
    void stop();

    /**
     * @brief Queues data without blocking. Never refused: what a node has in flight is bounded by its options.
     * @param data The data of one step, with the next sequence.
     */
    void write(consensus::Persist data);

private:
    void run();
    [[nodiscard]] storage::Result<void> writeQueued(consensus::Persist data, LogWritten &written);

    storage::LogStore &m_store;
    const base::Clock &m_clock;
    const std::function<void(LogWritten)> m_done;
    base::Ring<consensus::Persist> m_queue;
    std::thread m_thread;
};

} // namespace bamboomoor::control
