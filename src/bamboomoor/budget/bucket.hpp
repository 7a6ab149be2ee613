/**
 * The token bucket of one organisation, represented by the time at which it is full again. Spends may be reported late:
 * they are inserted at their own time, and the level is recomputed from there.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/budget/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bamboomoor::budget
{

/** @brief A token bucket with nanosecond integer arithmetic. Rounding always lowers the level. */
class Bucket
{
public:
    /**
     * @brief Constructs a bucket.
     * @param now The current time.
     * @param limit The organisation's rate and burst.
     * @param driftPermille The maximum rate error of the clock, in thousandths; the bucket refills that much slower.
     * @param level The initial number of tokens, clamped to the range from 0 to the burst.
     */
    Bucket(base::Millis now, const Limit &limit, std::int64_t driftPermille, Tokens level);

    /**
     * @brief Returns the number of available tokens.
     * @param now The current time.
     * @return Tokens from 0 to the burst.
     */
    [[nodiscard]] Tokens level(base::Millis now) const noexcept;

    /**
     * @brief Applies a spend.
     * @param now The current time.
     * @param age The minimum age of the spend, in milliseconds of the same clock.
     * @param tokens At least 0. A spend larger than the level leaves a debt that has to be refilled first.
     * @return The mark that identifies the spend in a refund.
     */
    std::uint64_t spend(base::Millis now, base::Millis age, Tokens tokens);

    /**
     * @brief Reduces an earlier spend retroactively, as if it had been smaller from the beginning.
     * @param mark The return value of spend(); an unknown or discarded mark has no effect.
     * @param tokens The reduction; limited to the remaining tokens of the spend.
     */
    void refund(std::uint64_t mark, Tokens tokens);

    /**
     * @brief Changes rate and burst. The level is kept, limited to the new burst.
     * @param now The current time.
     * @param limit The new rate and burst.
     */
    void setLimit(base::Millis now, const Limit &limit);

    /**
     * @brief Returns the time that the bucket takes to refill.
     * @param tokens A number of tokens.
     * @return Milliseconds, rounded up.
     */
    [[nodiscard]] base::Millis refillTime(Tokens tokens) const noexcept;

    /**
     * @brief Returns rate and burst.
     * @return The current limit.
     */
    [[nodiscard]] const Limit &limit() const noexcept
    {
        return m_limit;
    }

private:
    struct Operation {
        // The latest time at which the spend can have happened, in nanoseconds.
        std::int64_t at = 0;
        Tokens tokens = 0;
        std::uint64_t mark = 0;
        // The time at which the bucket would be full if this spend were the last one, in nanoseconds.
        std::int64_t fullAt = 0;
    };

    [[nodiscard]] std::int64_t duration(Tokens tokens) const noexcept;
    [[nodiscard]] std::int64_t fullAt() const noexcept;
    void replay(std::size_t from);
    void prune(std::int64_t now);

    Limit m_limit;
    std::int64_t m_drift;
    // The time at which the bucket would be full without m_operations, in nanoseconds.
    std::int64_t m_baseFullAt = 0;
    // Ordered by time. Level = burst − rate × (time until the last fullAt), limited to the burst.
    std::deque<Operation> m_operations;
    std::uint64_t m_lastMark = 0;
};

} // namespace bamboomoor::budget
