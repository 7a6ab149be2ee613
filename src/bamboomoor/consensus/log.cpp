/**
 * Implements the in-memory log.
 */
#include "bamboomoor/consensus/log.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::consensus::internal
{

void Log::reset(std::uint64_t index, std::uint64_t term)
{
    m_baseIndex = index;
    m_baseTerm = term;
    m_entries.clear();
    m_baseEnd = 0;
    m_ends.clear();
}

std::size_t Log::endOf(std::uint64_t index) const noexcept
{
    return index <= m_baseIndex ? m_baseEnd : m_ends[index - m_baseIndex - 1];
}

std::size_t Log::bytesBetween(std::uint64_t after, std::uint64_t to) const noexcept
{
    assert(to <= lastIndex());
    return after < to ? endOf(to) - endOf(after) : 0;
}

std::uint64_t Log::keptFrom(std::uint64_t index, std::uint64_t maxEntries, std::size_t maxBytes) const noexcept
{
    std::uint64_t base = index;
    while (base > m_baseIndex && index - base < maxEntries && bytesBetween(base - 1, index) <= maxBytes) {
        --base;
    }
    return base;
}

std::optional<std::uint64_t> Log::termAt(std::uint64_t index) const noexcept
{
    if (index == m_baseIndex) {
        return m_baseTerm;
    }
    if (index < m_baseIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return m_entries[index - m_baseIndex - 1].term;
}

const Entry &Log::at(std::uint64_t index) const
{
    assert(index > m_baseIndex && index <= lastIndex());
    return m_entries[index - m_baseIndex - 1];
}

void Log::append(Entry entry)
{
    assert(entry.index == lastIndex() + 1);
    assert(entry.term >= lastTerm());
    m_ends.push_back(endOf(lastIndex()) + footprint(entry));
    m_entries.push_back(std::move(entry));
}

void Log::truncateFrom(std::uint64_t index)
{
    assert(index > m_baseIndex);
    if (index <= lastIndex()) {
        m_entries.resize(index - m_baseIndex - 1);
        m_ends.resize(m_entries.size());
    }
}

void Log::compactTo(std::uint64_t index)
{
    if (index <= m_baseIndex) {
        return;
    }
    assert(index <= lastIndex());
    m_baseTerm = at(index).term;
    const auto count = static_cast<std::ptrdiff_t>(index - m_baseIndex);
    m_baseEnd = endOf(index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + count);
    m_ends.erase(m_ends.begin(), m_ends.begin() + count);
    m_baseIndex = index;
}

std::vector<Entry> Log::slice(std::uint64_t from, std::uint64_t to, std::size_t maxBytes) const
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (std::uint64_t n = from; n <= to; ++n) {
        const Entry &entry = at(n);
        bytes += entry.payload.size();
        if (bytes > maxBytes && !entries.empty()) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

std::uint64_t Log::firstOfTerm(std::uint64_t index) const
{
    const auto term = termAt(index);
    while (index > m_baseIndex + 1 && termAt(index - 1) == term) {
        --index;
    }
    return index;
}

std::uint64_t Log::lastAtMost(std::uint64_t term, std::uint64_t index) const
{
    index = std::min(index, lastIndex());
    while (index > m_baseIndex && at(index).term > term) {
        --index;
    }
    return std::max(index, m_baseIndex);
}

} // namespace bamboomoor::consensus::internal
