/**
 * The token bucket of one organisation, kept as the one point of time at which it is full again. Spends may be applied
 * late: they are entered at their own time and the level is computed again from there.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/budget/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bamboomoor::budget
{

/** @brief A token bucket in whole nanoseconds; every rounding lowers the level. */
class Bucket
{
public:
    /**
     * @brief Makes a bucket.
     * @param now The present time.
     * @param limit The organisation's rate and burst.
     * @param driftPermille By how much the clock may run fast, in thousandths; the bucket refills that much slower.
     * @param level Tokens at the start; more than the burst counts as the burst.
     */
    Bucket(base::Millis now, const Limit &limit, std::int64_t driftPermille, Tokens level);

    /**
     * @brief Reads the level.
     * @param now The present time.
     * @return Tokens from 0 to the burst.
     */
    [[nodiscard]] Tokens level(base::Millis now) const noexcept;

    /**
     * @brief Applies a spend.
     * @param now The present time.
     * @param age The spend lies at least this long back, in milliseconds of the same clock.
     * @param tokens At least 0; the level may go below 0 by it.
     * @return The mark that names the spend in a refund.
     */
    std::uint64_t spend(base::Millis now, base::Millis age, Tokens tokens);

    /**
     * @brief Reduces an earlier spend as if it had been smaller from the start.
     * @param mark What spend() returned; an unknown or forgotten mark changes nothing.
     * @param tokens The reduction, not more than what is left of the spend.
     */
    void refund(std::uint64_t mark, Tokens tokens);

    /**
     * @brief Changes rate and burst; the level stays, or falls to a smaller burst.
     * @param now The present time.
     * @param limit The new rate and burst.
     */
    void setLimit(base::Millis now, const Limit &limit);

    /**
     * @brief Tells how long the bucket takes to refill.
     * @param tokens A number of tokens.
     * @return Milliseconds, rounded up.
     */
    [[nodiscard]] base::Millis refillTime(Tokens tokens) const noexcept;

    /**
     * @brief Reads rate and burst.
     * @return The limit in force.
     */
    [[nodiscard]] const Limit &limit() const noexcept
    {
        return m_limit;
    }

private:
    struct Operation {
        // The spend lies at this time or before it, in nanoseconds.
        std::int64_t at = 0;
        Tokens tokens = 0;
        std::uint64_t mark = 0;
        // When the bucket would be full if this spend were the last, in nanoseconds.
        std::int64_t fullAt = 0;
    };

    [[nodiscard]] std::int64_t duration(Tokens tokens) const noexcept;
    [[nodiscard]] std::int64_t fullAt() const noexcept;
    void replay(std::size_t from);
    void forget(std::int64_t now);

    Limit m_limit;
    std::int64_t m_drift;
    // When the bucket would be full but for m_operations, in nanoseconds.
    std::int64_t m_baseFullAt = 0;
    // By time. Level = burst − rate × (time until the last fullAt), at most the burst.
    std::deque<Operation> m_operations;
    std::uint64_t m_lastMark = 0;
};

} // namespace bamboomoor::budget
