/**
 * The project's one clock type: points and spans of time in whole milliseconds.
 * Cores receive points of time as arguments; only the shell reads a Clock.
 */
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>

namespace bamboomoor::base
{

/** @brief A point or span of time in milliseconds. */
struct Millis {
    std::int64_t count = 0;

    friend constexpr auto operator<=>(const Millis &, const Millis &) noexcept = default;

    constexpr Millis &operator+=(Millis other) noexcept
    {
        count += other.count;
        return *this;
    }

    constexpr Millis &operator-=(Millis other) noexcept
    {
        count -= other.count;
        return *this;
    }

    friend constexpr Millis operator+(Millis lhs, Millis rhs) noexcept
    {
        return {lhs.count + rhs.count};
    }

    friend constexpr Millis operator-(Millis lhs, Millis rhs) noexcept
    {
        return {lhs.count - rhs.count};
    }

    friend constexpr Millis operator*(Millis lhs, std::int64_t factor) noexcept
    {
        return {lhs.count * factor};
    }

    friend constexpr Millis operator/(Millis lhs, std::int64_t divisor) noexcept
    {
        return {lhs.count / divisor};
    }
};

/** @brief The latest representable point of time, in milliseconds. */
inline constexpr Millis NEVER{INT64_MAX};

/** @brief Source of the present time. */
class Clock
{
public:
    virtual ~Clock() = default;

    /**
     * @brief Reads the clock.
     * @return Milliseconds since a fixed but unspecified origin; never decreases.
     */
    [[nodiscard]] virtual Millis now() const noexcept = 0;
};

/** @brief The machine's monotonic clock. */
class SteadyClock final : public Clock
{
public:
    [[nodiscard]] Millis now() const noexcept override
    {
        // Counts the time of a suspended VM too, in which the leases of others go on.
        timespec since{};
        clock_gettime(CLOCK_BOOTTIME, &since);
        constexpr std::int64_t MILLIS_PER_SECOND = 1'000;
        constexpr std::int64_t NANOS_PER_MILLI = 1'000'000;
        return {since.tv_sec * MILLIS_PER_SECOND + since.tv_nsec / NANOS_PER_MILLI};
    }
};

/** @brief A clock moved by hand, for tests. */
class ManualClock final : public Clock
{
public:
    [[nodiscard]] Millis now() const noexcept override
    {
        return m_now;
    }

    /**
     * @brief Moves the clock forward.
     * @param span Milliseconds to add, not negative.
     */
    void advance(Millis span) noexcept
    {
        m_now += span;
    }

private:
    Millis m_now;
};

/**
 * @brief Reads the calendar time.
 * @return Milliseconds since the Unix epoch; steps, so that it serves people and what outlasts restarts.
 */
[[nodiscard]] inline Millis wallClock() noexcept
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

} // namespace bamboomoor::base
