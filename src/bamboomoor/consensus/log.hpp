/**
 * The part of the log that a member holds in memory, behind a compacted base.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"

#include <deque>
#include <optional>

namespace bamboomoor::consensus::internal
{

/** @brief A contiguous run of entries behind a base index whose term is known. */
class Log
{
public:
    /**
     * @brief Empties the log.
     * @param index The new base.
     * @param term The term of the base.
     */
    void reset(std::uint64_t index, std::uint64_t term);

    /**
     * @brief Tells where the held entries begin.
     * @return The index of the entry before the first held one.
     */
    [[nodiscard]] std::uint64_t baseIndex() const noexcept
    {
        return m_baseIndex;
    }

    /**
     * @brief Tells where the held entries end.
     * @return The index of the newest entry, or the base.
     */
    [[nodiscard]] std::uint64_t lastIndex() const noexcept
    {
        return m_baseIndex + m_entries.size();
    }

    /**
     * @brief Tells the newest term in the log.
     * @return The term of the newest entry, or of the base.
     */
    [[nodiscard]] std::uint64_t lastTerm() const noexcept
    {
        return m_entries.empty() ? m_baseTerm : m_entries.back().term;
    }

    /**
     * @brief Finds the term of an entry.
     * @param index Any index.
     * @return Its term, or nothing when it is compacted away or not yet there.
     */
    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const noexcept;

    /**
     * @brief Reads an entry.
     * @param index The index of a held entry.
     * @return The entry.
     */
    [[nodiscard]] const Entry &at(std::uint64_t index) const;

    /**
     * @brief Appends an entry.
     * @param entry The entry right behind the newest one.
     */
    void append(Entry entry);

    /**
     * @brief Drops the entries from an index on.
     * @param index An index above the base.
     */
    void truncateFrom(std::uint64_t index);

    /**
     * @brief Drops the entries up to an index, which becomes the base.
     * @param index The index of a held entry, or at most the base, which changes nothing.
     */
    void compactTo(std::uint64_t index);

    /**
     * @brief Copies entries.
     * @param from The index of the first, above the base.
     * @param to The index of the last, at most lastIndex().
     * @param maxBytes Payload bytes after which the copy ends early; the first entry is always included.
     * @return The entries.
     */
    [[nodiscard]] std::vector<Entry> slice(std::uint64_t from, std::uint64_t to, std::size_t maxBytes) const;

    /**
     * @brief Finds the first held entry of a run with the same term.
     * @param index The index of an entry in the run.
     * @return The index of the run's first held entry.
     */
    [[nodiscard]] std::uint64_t firstOfTerm(std::uint64_t index) const;

    /**
     * @brief Finds the newest entry whose term is at most the given one.
     * @param term The term.
     * @param index Where the search downwards begins.
     * @return Its index, at least the base.
     */
    [[nodiscard]] std::uint64_t lastAtMost(std::uint64_t term, std::uint64_t index) const;

private:
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    // m_entries[n] has the index m_baseIndex + 1 + n; terms never decrease.
    std::deque<Entry> m_entries;
};

} // namespace bamboomoor::consensus::internal
