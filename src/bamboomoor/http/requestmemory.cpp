/**
 * Accounting of request bodies, and the choice of those that are dropped.
 */
#include "bamboomoor/http/requestmemory.hpp"

#include <glog/logging.h>

#include <cassert>
#include <utility>

namespace bamboomoor::http
{

bool RequestMemory::fits(std::size_t bytes) const
{
    const absl::MutexLock lock(&m_mutex);
    return fits(0, bytes, false);
}

bool RequestMemory::fits(std::size_t held, std::size_t bytes, bool isComplete) const
{
    if (m_options.maxBytes == 0) {
        return true;
    }
    const bool isSmall = held + bytes <= m_options.smallBytes;
    const std::size_t limit = isSmall || isComplete ? m_options.maxBytes : m_options.maxBytes / 4 * 3;
    return m_heldBytes + bytes <= limit;
}

void RequestMemory::add(MemoryHold &hold)
{
    const absl::MutexLock lock(&m_mutex);
    m_holds.insert(&hold);
}

void RequestMemory::remove(MemoryHold &hold)
{
    const absl::MutexLock lock(&m_mutex);
    m_holds.erase(&hold);
    m_heldBytes -= hold.m_bytes;
    m_evictingBytes -= hold.m_isEvicted ? hold.m_bytes : 0;
}

bool RequestMemory::grow(base::Millis now, MemoryHold &hold, std::size_t bytes)
{
    const absl::MutexLock lock(&m_mutex);
    const bool hasRoom = fits(hold.m_bytes, bytes, hold.m_isComplete);
    if (hasRoom) {
        hold.m_bytes += bytes;
        m_heldBytes += bytes;
        m_evictingBytes += hold.m_isEvicted ? bytes : 0;
    }
    evictStalled(now, hold);
    return hasRoom;
}

void RequestMemory::shrink(MemoryHold &hold, std::size_t bytes)
{
    const absl::MutexLock lock(&m_mutex);
    assert(bytes <= hold.m_bytes);
    hold.m_bytes -= bytes;
    m_heldBytes -= bytes;
    m_evictingBytes -= hold.m_isEvicted ? bytes : 0;
}

void RequestMemory::complete(MemoryHold &hold)
{
    const absl::MutexLock lock(&m_mutex);
    hold.m_isComplete = true;
}

void RequestMemory::evictStalled(base::Millis now, const MemoryHold &except)
{
    while (m_options.maxBytes > 0 && m_heldBytes - m_evictingBytes > m_options.maxBytes / 2) {
        MemoryHold *longest = nullptr;
        for (MemoryHold *it : m_holds) {
            const bool isCandidate = it != &except && !it->m_isComplete && !it->m_isEvicted && it->m_bytes > 0
                && now.count - it->m_progressedAt >= m_options.stallTime.count;
            if (isCandidate && (longest == nullptr || it->m_progressedAt < longest->m_progressedAt)) {
                longest = it;
            }
        }
        if (longest == nullptr) {
            return;
        }
        longest->m_isEvicted = true;
        m_evictingBytes += longest->m_bytes;
        ++m_evicted;
        longest->m_evict();
        log(now);
    }
}

void RequestMemory::noteRefused(base::Millis now)
{
    const absl::MutexLock lock(&m_mutex);
    ++m_refused;
    log(now);
}

void RequestMemory::log(base::Millis now)
{
    if (m_loggedAt > base::Millis{} && now - m_loggedAt < m_options.logInterval) {
        return;
    }
    m_loggedAt = now;
    LOG(WARNING) << "event=request_memory_short held_bytes=" << m_heldBytes << " max_bytes=" << m_options.maxBytes
                 << " bodies=" << m_holds.size() << " refused=" << m_refused << " evicted=" << m_evicted;
}

RequestMemoryCounters RequestMemory::counters() const
{
    const absl::MutexLock lock(&m_mutex);
    return {m_heldBytes, m_options.maxBytes, m_refused, m_evicted};
}

MemoryHold::MemoryHold(RequestMemory &memory, std::function<void()> evict)
    : m_memory(memory)
    , m_evict(std::move(evict))
{
    m_memory.add(*this);
}

MemoryHold::~MemoryHold()
{
    m_memory.remove(*this);
}

bool MemoryHold::grow(base::Millis now, std::size_t bytes)
{
    progressed(now);
    return m_memory.grow(now, *this, bytes);
}

void MemoryHold::shrink(std::size_t bytes)
{
    m_memory.shrink(*this, bytes);
}

void MemoryHold::complete()
{
    m_memory.complete(*this);
}

std::size_t MemoryHold::bytes() const
{
    const absl::MutexLock lock(&m_memory.m_mutex);
    return m_bytes;
}

} // namespace bamboomoor::http
