/**
 * The memory that the request bodies of a process may take, over all its servers.
 *
 * It protects a process against clients that send many large bodies, or stop short of their end. What is counted is
 * what is allocated, not what has arrived. While more than half of the memory is taken, connections whose body has not
 * grown for a while are closed, those that have been silent for longest first. Large bodies get no more than three
 * quarters of it, so that small ones are still read.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

namespace bamboomoor::http
{

class MemoryHold;

/** @brief The settings of RequestMemory. */
struct RequestMemoryOptions {
    // Bytes of all bodies together; 0 for no bound.
    std::size_t maxBytes = 0;
    // Bodies up to this size may take what large ones must leave.
    std::size_t smallBytes = 65'536;
    // A body that has not grown for this time may be dropped.
    base::Millis stallTime{1'000};
    // Least interval between two log lines.
    base::Millis logInterval{10'000};
};

/** @brief The state of a RequestMemory. */
struct RequestMemoryCounters {
    std::size_t heldBytes = 0;
    std::size_t maxBytes = 0;
    std::uint64_t refused = 0;
    std::uint64_t evicted = 0;
};

/** @brief Shares out the memory of request bodies; thread-safe. Must outlive its holds. */
class RequestMemory
{
public:
    /** @brief Creates it without holds. @param options The settings. */
    explicit RequestMemory(RequestMemoryOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Tells whether a body would fit now. @param bytes Its size. */
    [[nodiscard]] bool fits(std::size_t bytes) const;

    /** @brief Counts a body that was refused. @param now The current time. */
    void noteRefused(base::Millis now);

    [[nodiscard]] RequestMemoryCounters counters() const;

private:
    friend class MemoryHold;

    void add(MemoryHold &hold);
    void remove(MemoryHold &hold);
    [[nodiscard]] bool grow(base::Millis now, MemoryHold &hold, std::size_t bytes);
    void shrink(MemoryHold &hold, std::size_t bytes);
    void complete(MemoryHold &hold);
    [[nodiscard]] bool fits(std::size_t held, std::size_t bytes, bool isComplete) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void evictStalled(base::Millis now, const MemoryHold &except) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void log(base::Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const RequestMemoryOptions m_options;
    mutable absl::Mutex m_mutex;
    std::set<MemoryHold *> m_holds ABSL_GUARDED_BY(m_mutex);
    // The sum of all holds, and of those that are being evicted.
    std::size_t m_heldBytes ABSL_GUARDED_BY(m_mutex) = 0;
    std::size_t m_evictingBytes ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_refused ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_evicted ABSL_GUARDED_BY(m_mutex) = 0;
    base::Millis m_loggedAt ABSL_GUARDED_BY(m_mutex);
};

/** @brief The memory of one body. All methods but the destructor are called by one thread at a time. */
class MemoryHold
{
public:
    /**
     * @brief Creates a hold of no memory.
     * @param memory The memory.
     * @param evict Called, at most once and before complete(), when the body is to be dropped; it must not block and
     * must not use the memory.
     */
    MemoryHold(RequestMemory &memory, std::function<void()> evict);
    ~MemoryHold();
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

    /** @brief Takes memory. @param now The current time. @param bytes The size. @return False if there is none left. */
    [[nodiscard]] bool grow(base::Millis now, std::size_t bytes);

    /** @brief Gives memory back. @param bytes The size; at most what is held. */
    void shrink(std::size_t bytes);

    /** @brief Notes that bytes have arrived. @param now The current time. */
    void progressed(base::Millis now) noexcept
    {
        m_progressedAt = now.count;
    }

    /** @brief Notes that the body is whole and will not be dropped any more. */
    void complete();

    /** @brief Returns what is held, in bytes. */
    [[nodiscard]] std::size_t bytes() const;

private:
    friend class RequestMemory;

    RequestMemory &m_memory;
    const std::function<void()> m_evict;
    std::atomic<std::int64_t> m_progressedAt = 0;
    // Guarded by the mutex of the memory.
    std::size_t m_bytes = 0;
    bool m_isComplete = false;
    bool m_isEvicted = false;
};

} // namespace bamboomoor::http
