/**
 * Hints about which upstream has which prompt prefix cached.
 *
 * Engines publish their cache events late and with gaps, so an entry is a hint that expires, and the usage figures of
 * an answer correct it.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboomoor::routing
{

/** @brief Settings of a prefix index. */
struct PrefixIndexOptions {
    // Prompt tokens of one block of a chain.
    std::uint64_t blockTokens = 64;
    // Milliseconds for which a hint holds.
    base::Millis retention{60'000};
    // The most hints held; the oldest go first.
    std::size_t capacity = 100'000;
};

/** @brief Hints by upstream and prefix. */
class PrefixIndex
{
public:
    /** @brief Makes an empty index. @param options Its settings. */
    explicit PrefixIndex(PrefixIndexOptions options = {});

    /**
     * @brief Notes that an upstream has processed a prompt.
     * @param now The present time.
     * @param upstream The upstream's id.
     * @param chain The prompt's prefix chain.
     */
    void learn(base::Millis now, std::string_view upstream, const std::vector<std::uint64_t> &chain);

    /**
     * @brief Forgets the blocks that an upstream turned out not to have.
     * @param upstream The upstream's id.
     * @param chain The prompt's prefix chain.
     * @param cachedTokens Prompt tokens that the upstream reported as cached.
     */
    void correct(std::string_view upstream, const std::vector<std::uint64_t> &chain, std::uint64_t cachedTokens);

    /**
     * @brief Estimates how much of a prompt an upstream has cached.
     * @param now The present time.
     * @param upstream The upstream's id.
     * @param chain The prompt's prefix chain.
     * @return Prompt tokens, a multiple of the block.
     */
    [[nodiscard]] std::uint64_t expected(
        base::Millis now, std::string_view upstream, const std::vector<std::uint64_t> &chain) const;

    /** @brief Counts the hints held. @return Not above the capacity. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Age {
        std::uint64_t key = 0;
        base::Millis until;
    };

    [[nodiscard]] static std::uint64_t keyOf(std::string_view upstream, std::uint64_t block) noexcept;
    void evict();

    PrefixIndexOptions m_options;
    // End of each hint, by upstream and block.
    std::unordered_map<std::uint64_t, base::Millis> m_until;
    // Every hint in the order of learning; entries that were renewed or forgotten are skipped.
    std::deque<Age> m_ages;
};

} // namespace bamboomoor::routing
