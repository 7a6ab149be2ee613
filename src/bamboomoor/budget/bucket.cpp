/**
 * Token bucket arithmetic. Every spend postpones the time at which the bucket is full again.
 */
#include "bamboomoor/budget/bucket.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace bamboomoor::budget
{

namespace
{
constexpr std::int64_t NANOS_PER_MILLI = 1'000'000;
constexpr std::int64_t PERMILLE = 1'000;
// Spends are expected to be reported within this time, in nanoseconds. A later report lowers the level more than
// needed.
constexpr std::int64_t MAX_REPORT_DELAY_NANOS = 1'000 * NANOS_PER_MILLI;
// Debts do not postpone the time at which the bucket is full beyond this, in nanoseconds; avoids overflow.
constexpr std::int64_t MAX_FULL_AT_NANOS = INT64_MAX / 4;
constexpr std::size_t MAX_OPERATIONS = 4'096;

Limit clamped(const Limit &limit)
{
    return {limit.organisation, std::clamp<Tokens>(limit.rate, 1, MAX_TOKENS),
        std::clamp<Tokens>(limit.burst, 0, MAX_TOKENS)};
}
} // namespace

Bucket::Bucket(base::Millis now, const Limit &limit, std::int64_t driftPermille, Tokens level)
    : m_limit(clamped(limit))
    , m_drift(driftPermille)
    , m_baseFullAt(now.count * NANOS_PER_MILLI)
{
    assert(driftPermille >= 0);
    const Tokens missing = m_limit.burst - std::clamp<Tokens>(level, 0, m_limit.burst);
    if (missing > 0) {
        m_baseFullAt += NANOS_PER_MILLI + duration(missing);
    }
}

Tokens Bucket::level(base::Millis now) const noexcept
{
    const std::int64_t gap = fullAt() - now.count * NANOS_PER_MILLI;
    if (gap <= 0) {
        return m_limit.burst;
    }
    if (gap >= duration(m_limit.burst)) {
        return 0;
    }
    const std::int64_t scale = NANOS_PER_MILLI * (PERMILLE + m_drift);
    const Tokens missing = (gap * m_limit.rate + scale - 1) / scale;
    return std::max<Tokens>(m_limit.burst - missing, 0);
}

std::uint64_t Bucket::spend(base::Millis now, base::Millis age, Tokens tokens)
{
    assert(tokens >= 0);
    ++m_lastMark;
    if (tokens == 0) {
        return m_lastMark;
    }
    // A clock reading covers a whole millisecond; the spend is dated to its end, which never overstates the level.
    const std::int64_t at = (now.count + 1 - age.count) * NANOS_PER_MILLI;
    auto place = m_operations.end();
    while (place != m_operations.begin() && std::prev(place)->at > at) {
        --place;
    }
    place = m_operations.insert(place, {at, std::min(tokens, MAX_TOKENS), m_lastMark, 0});
    replay(static_cast<std::size_t>(place - m_operations.begin()));
    prune(now.count * NANOS_PER_MILLI);
    return m_lastMark;
}

void Bucket::replay(std::size_t from)
{
    std::int64_t full = from == 0 ? m_baseFullAt : m_operations[from - 1].fullAt;
    for (std::size_t n = from; n < m_operations.size(); ++n) {
        Operation &it = m_operations[n];
        full = std::min(std::max(full, it.at) + duration(it.tokens), MAX_FULL_AT_NANOS);
        it.fullAt = full;
    }
}

void Bucket::prune(std::int64_t now)
{
    // Operations before a time at which the bucket was full do not affect the level, unless a late report precedes it.
    std::size_t n = 0;
    for (std::size_t k = 0; k < m_operations.size() && m_operations[k].at <= now - MAX_REPORT_DELAY_NANOS; ++k) {
        const std::int64_t next = k + 1 < m_operations.size() ? m_operations[k + 1].at : now;
        n = m_operations[k].fullAt <= std::min(next, now - MAX_REPORT_DELAY_NANOS) ? k + 1 : n;
    }
    n = std::max(n, m_operations.size() - std::min(m_operations.size(), MAX_OPERATIONS));
    if (n > 0) {
        m_baseFullAt = m_operations[n - 1].fullAt;
        m_operations.erase(m_operations.begin(), m_operations.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

void Bucket::refund(std::uint64_t mark, Tokens tokens)
{
    const auto found = std::find_if(m_operations.rbegin(), m_operations.rend(), [mark](const Operation &it) {
        return it.mark == mark;
    });
    if (found == m_operations.rend()) {
        return;
    }
    found->tokens -= std::clamp<Tokens>(tokens, 0, found->tokens);
    replay(static_cast<std::size_t>(std::prev(found.base()) - m_operations.begin()));
}

void Bucket::setLimit(base::Millis now, const Limit &limit)
{
    const Limit next = clamped(limit);
    if (next.rate == m_limit.rate && next.burst == m_limit.burst) {
        return;
    }
    const std::int64_t nowNanos = now.count * NANOS_PER_MILLI;
    const std::int64_t gap = std::max<std::int64_t>(fullAt() - nowNanos, 0);
    const auto deficit = static_cast<long double>(gap) * static_cast<long double>(m_limit.rate)
        / static_cast<long double>(NANOS_PER_MILLI * (PERMILLE + m_drift));
    auto missing = static_cast<Tokens>(std::min<long double>(deficit, MAX_TOKENS)) + (gap > 0 ? 1 : 0);
    missing = std::max<Tokens>(missing + next.burst - m_limit.burst, 0);
    m_limit = next;
    m_baseFullAt = nowNanos + (missing > 0 ? NANOS_PER_MILLI : 0) + duration(std::min(missing, MAX_TOKENS));
    m_operations.clear();
}

base::Millis Bucket::refillTime(Tokens tokens) const noexcept
{
    const std::int64_t nanos = duration(std::clamp<Tokens>(tokens, 0, MAX_TOKENS));
    return {(nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI};
}

std::int64_t Bucket::duration(Tokens tokens) const noexcept
{
    return (tokens * NANOS_PER_MILLI * (PERMILLE + m_drift) + m_limit.rate - 1) / m_limit.rate;
}

std::int64_t Bucket::fullAt() const noexcept
{
    return m_operations.empty() ? m_baseFullAt : m_operations.back().fullAt;
}

} // namespace bamboomoor::budget
