/**
 * A bounded first-in first-out ring that joins two threads of the shell.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cassert>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace bamboomoor::base
{

/**
 * @brief A bounded queue between threads; a full ring refuses new work, it never blocks its producer.
 * What belongs to accepted work is delivered to a full ring too, so that no request waits for an event that was
 * dropped.
 * @tparam Item The movable type that it holds.
 */
template<class Item>
class Ring
{
public:
    /**
     * @brief Makes an empty, open ring.
     * @param capacity The number of items from which on it refuses, at least 1.
     */
    explicit Ring(std::size_t capacity)
        : m_capacity(capacity)
    {
        assert(capacity > 0);
    }

    /**
     * @brief Appends an item.
     * @param item The item; left as it was when the ring refuses it.
     * @return False when the ring is full or closed.
     */
    [[nodiscard]] bool push(Item &&item)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_closed || m_items.size() >= m_capacity) {
            return false;
        }
        m_items.push_back(std::move(item));
        return true;
    }

    /**
     * @brief Appends an item beyond the capacity if need be; a closed ring drops it, as its consumer ends.
     * For items of which accepted work causes a bounded number, such as the reply to a call, so that memory is bounded.
     * @param item The item.
     */
    void deliver(Item &&item)
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_closed) {
            m_items.push_back(std::move(item));
        }
    }

    /**
     * @brief Takes the oldest item, waiting for one.
     * @param timeout The longest wait, in milliseconds.
     * @return The item, or nothing at the timeout or when the ring is closed and empty.
     */
    [[nodiscard]] std::optional<Item> pop(Millis timeout)
    {
        const absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(this, &Ring::isReady), absl::Milliseconds(timeout.count));
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    /** @brief Refuses further items and wakes every waiting thread; items held can still be taken. */
    void close()
    {
        const absl::MutexLock lock(&m_mutex);
        m_closed = true;
    }

    /**
     * @brief Tells whether the ring has been closed.
     * @return True after close().
     */
    [[nodiscard]] bool closed() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_closed;
    }

    /**
     * @brief Counts the items held.
     * @return The number, over the capacity after deliver().
     */
    [[nodiscard]] std::size_t size() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_items.size();
    }

private:
    [[nodiscard]] bool isReady() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_closed || !m_items.empty();
    }

    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    // Longer than m_capacity only by items that were delivered.
    std::deque<Item> m_items ABSL_GUARDED_BY(m_mutex);
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace bamboomoor::base
