/**
 * In-memory part of the replicated log, after a compacted base. Indexes are contiguous; terms never decrease.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"

#include <deque>
#include <optional>

namespace bamboomoor::consensus::internal
{

/** @brief A contiguous run of entries after a base index whose term is known. */
class Log
{
public:
    /**
     * @brief Clears the log.
     * @param index New base index.
     * @param term Term of the base.
     */
    void reset(std::uint64_t index, std::uint64_t term);

    /**
     * @brief Returns the base index.
     * @return Index of the entry before the first one in memory.
     */
    [[nodiscard]] std::uint64_t baseIndex() const noexcept
    {
        return m_baseIndex;
    }

    /**
     * @brief Returns the last index.
     * @return Index of the newest entry, or of the base if there is none.
     */
    [[nodiscard]] std::uint64_t lastIndex() const noexcept
    {
        return m_baseIndex + m_entries.size();
    }

    /**
     * @brief Returns the last term.
     * @return Term of the newest entry, or of the base if there is none.
     */
    [[nodiscard]] std::uint64_t lastTerm() const noexcept
    {
        return m_entries.empty() ? m_baseTerm : m_entries.back().term;
    }

    /**
     * @brief Returns the size of the log.
     * @return Bytes of all entries in memory, as footprint() counts them.
     */
    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_ends.empty() ? 0 : m_ends.back() - m_baseEnd;
    }

    /**
     * @brief Returns the size of a run of entries.
     * @param after Index before the first entry; entries below the base do not count.
     * @param to Index of the last entry, at most lastIndex().
     * @return Bytes of the entries, as footprint() counts them.
     */
    [[nodiscard]] std::size_t bytesBetween(std::uint64_t after, std::uint64_t to) const noexcept;

    /**
     * @brief Chooses a new base that keeps some entries up to an index.
     * @param index Index of an entry in memory, or the base.
     * @param maxEntries Maximum number of entries to keep.
     * @param maxBytes Maximum bytes of entries to keep.
     * @return The new base; at least the present one, and at most `index`.
     */
    [[nodiscard]] std::uint64_t keptFrom(
        std::uint64_t index, std::uint64_t maxEntries, std::size_t maxBytes) const noexcept;

    /**
     * @brief Looks up the term of an entry.
     * @param index Any index.
     * @return The term, or nothing if the entry is compacted or not yet appended.
     */
    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const noexcept;

    /**
     * @brief Returns an entry.
     * @param index Index of an entry in memory.
     * @return Reference that is valid until the log is modified.
     */
    [[nodiscard]] const Entry &at(std::uint64_t index) const;

    /**
     * @brief Appends an entry.
     * @param entry The entry; its index is lastIndex() + 1.
     */
    void append(Entry entry);

    /**
     * @brief Removes all entries from an index on.
     * @param index First index to remove; above the base.
     */
    void truncateFrom(std::uint64_t index);

    /**
     * @brief Removes all entries up to an index, which becomes the base.
     * @param index Index of an entry in memory; no effect if at most the base.
     */
    void compactTo(std::uint64_t index);

    /**
     * @brief Copies entries.
     * @param from Index of the first entry, above the base.
     * @param to Index of the last entry, at most lastIndex().
     * @param maxBytes Limit in payload bytes; the first entry is always included.
     * @return The copied entries.
     */
    [[nodiscard]] std::vector<Entry> slice(std::uint64_t from, std::uint64_t to, std::size_t maxBytes) const;

    /**
     * @brief Finds the first in-memory entry of a term.
     * @param index Index of an entry of that term.
     * @return Index of the first in-memory entry of the same term.
     */
    [[nodiscard]] std::uint64_t firstOfTerm(std::uint64_t index) const;

    /**
     * @brief Finds the newest entry whose term is at most the given one.
     * @param term Highest term to accept.
     * @param index Index from which to search downwards.
     * @return Index of the entry, at least the base.
     */
    [[nodiscard]] std::uint64_t lastAtMost(std::uint64_t term, std::uint64_t index) const;

private:
    [[nodiscard]] std::size_t endOf(std::uint64_t index) const noexcept;

    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    // m_entries[n] has index m_baseIndex + 1 + n; terms never decrease.
    std::deque<Entry> m_entries;
    // Bytes of all entries ever appended after the last reset, up to the base and to each entry.
    std::size_t m_baseEnd = 0;
    std::deque<std::size_t> m_ends;
};

} // namespace bamboomoor::consensus::internal
