/**
 * Index of the prompt prefixes that upstreams are expected to have cached.
 *
 * Engines publish cache events late and incompletely. The index therefore holds hints that expire, and that are
 * corrected by the usage figures of responses.
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
    // Block size in prompt tokens.
    std::uint64_t blockTokens = 64;
    // Lifetime of a hint in milliseconds.
    base::Millis retention{60'000};
    // Maximum number of hints; the oldest are evicted first.
    std::size_t capacity = 100'000;
};

/** @brief Cache hints by upstream and prefix. */
class PrefixIndex
{
public:
    /** @brief Constructs an empty index. @param options The settings. */
    explicit PrefixIndex(PrefixIndexOptions options = {});

    /**
     * @brief Records that an upstream has processed a prompt.
     * @param now The current time.
     * @param upstream The upstream's id.
     * @param chain The prompt's prefix chain.
     */
    void learn(base::Millis now, std::string_view upstream, const std::vector<std::uint64_t> &chain);

    /**
     * @brief Removes the hints for blocks that an upstream did not have cached.
     * @param upstream The upstream's id.
     * @param chain The prompt's prefix chain.
     * @param cachedTokens Prompt tokens that the upstream reported as cached.
     */
    void correct(std::string_view upstream, const std::vector<std::uint64_t> &chain, std::uint64_t cachedTokens);

    /**
     * @brief Estimates the part of a prompt that an upstream has cached.
     * @param now The current time.
     * @param upstream The upstream's id.
     * @param chain The prompt's prefix chain.
     * @return Number of prompt tokens, a multiple of the block size.
     */
    [[nodiscard]] std::uint64_t expected(
        base::Millis now, std::string_view upstream, const std::vector<std::uint64_t> &chain) const;

    /** @brief Returns the number of hints, at most the capacity. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Age {
        std::uint64_t key = 0;
        base::Millis until;
    };

    [[nodiscard]] static std::uint64_t keyOf(std::string_view upstream, std::uint64_t block) noexcept;
    void evict();

    PrefixIndexOptions m_options;
    // Expiry of each hint, by hash of upstream and block.
    std::unordered_map<std::uint64_t, base::Millis> m_until;
    // Hints in insertion order; stale entries of renewed or removed hints are skipped.
    std::deque<Age> m_ages;
};

} // namespace bamboomoor::routing
