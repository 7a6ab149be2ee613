/**
 * Rounding by hashes.
 */
#include "bamboomoor/standing/dither.hpp"

#include <cmath>

namespace bamboomoor::standing
{

namespace
{

// FNV-1a, which does not differ between processes.
std::uint64_t hashOf(std::uint64_t hash, std::string_view text)
{
    constexpr std::uint64_t PRIME = 0x100000001B3ULL;
    for (const char it : text) {
        hash = (hash ^ static_cast<unsigned char>(it)) * PRIME;
    }
    return hash;
}

} // namespace

std::int64_t ditheredPart(std::int64_t total, std::int64_t weight, std::int64_t weights, std::string_view shared,
    std::string_view sharer, std::uint64_t round)
{
    constexpr std::uint64_t BASIS = 0xCBF29CE484222325ULL;
    constexpr std::uint64_t MIX = 0x9E3779B97F4A7C15ULL;
    constexpr double BITS = 0x1p53;
    // Consecutive rounds are spread evenly, so that each sharer has its turn.
    constexpr double TURN = 0.6180339887498949;
    std::uint64_t hash = hashOf(hashOf(hashOf(BASIS, shared), "/"), sharer) * MIX;
    hash ^= hash >> 32U;
    hash *= MIX;
    const double offset = static_cast<double>(hash >> 11U) / BITS + static_cast<double>(round) * TURN;
    const double part = static_cast<double>(total) * static_cast<double>(weight) / static_cast<double>(weights);
    return static_cast<std::int64_t>(std::floor(part + offset - std::floor(offset)));
}

} // namespace bamboomoor::standing
