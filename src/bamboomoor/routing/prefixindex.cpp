/**
 * Stores the hints in one hash table keyed by upstream and block.
 */
#include "bamboomoor/routing/prefixindex.hpp"

#include <functional>

namespace bamboomoor::routing
{

PrefixIndex::PrefixIndex(PrefixIndexOptions options)
    : m_options(options)
{
}

void PrefixIndex::learn(base::Millis now, std::string_view upstream, const std::vector<std::uint64_t> &chain)
{
    for (const std::uint64_t block : chain) {
        const std::uint64_t key = keyOf(upstream, block);
        const base::Millis until = now + m_options.retention;
        m_until[key] = until;
        m_ages.push_back({key, until});
    }
    evict();
}

void PrefixIndex::correct(
    std::string_view upstream, const std::vector<std::uint64_t> &chain, std::uint64_t cachedTokens)
{
    for (std::size_t n = cachedTokens / m_options.blockTokens; n < chain.size(); ++n) {
        m_until.erase(keyOf(upstream, chain[n]));
    }
}

std::uint64_t PrefixIndex::expected(
    base::Millis now, std::string_view upstream, const std::vector<std::uint64_t> &chain) const
{
    std::uint64_t blocks = 0;
    for (const std::uint64_t block : chain) {
        const auto it = m_until.find(keyOf(upstream, block));
        if (it == m_until.end() || it->second <= now) {
            break;
        }
        ++blocks;
    }
    return blocks * m_options.blockTokens;
}

std::size_t PrefixIndex::size() const noexcept
{
    return m_until.size();
}

std::uint64_t PrefixIndex::keyOf(std::string_view upstream, std::uint64_t block) noexcept
{
    constexpr std::uint64_t MULTIPLIER = 0x9E3779B97F4A7C15U;
    return (std::hash<std::string_view>{}(upstream) ^ (block * MULTIPLIER)) * MULTIPLIER;
}

void PrefixIndex::evict()
{
    // Limits the stale entries to the capacity.
    while (m_until.size() > m_options.capacity || m_ages.size() > 2 * m_options.capacity) {
        const Age age = m_ages.front();
        m_ages.pop_front();
        const auto it = m_until.find(age.key);
        if (it != m_until.end() && it->second == age.until) {
            m_until.erase(it);
        }
    }
}

} // namespace bamboomoor::routing
