/**
 * Rate control by the pauses between the events of streams.
 */
#include "bamboomoor/relay/pacer.hpp"

#include <algorithm>

namespace bamboomoor::relay
{

double Pacer::tokensAt(base::Millis now) const noexcept
{
    const double gained = static_cast<double>((now - m_updatedAt).count) * m_rate;
    return std::min(m_options.burst, m_tokens + gained);
}

void Pacer::sent(base::Millis now, std::int64_t tokens) noexcept
{
    recover(now);
    m_tokens = tokensAt(now) - static_cast<double>(tokens);
    m_updatedAt = now;
}

void Pacer::refund(std::int64_t tokens) noexcept
{
    m_tokens = std::min(m_options.burst, m_tokens + static_cast<double>(tokens));
}

void Pacer::recover(base::Millis now) noexcept
{
    const base::Millis passed = now - std::max(m_recoveredAt, m_decreasedAt.value_or(base::Millis{}));
    m_recoveredAt = now;
    m_tokens = tokensAt(now);
    m_updatedAt = now;
    // Above initialRate only observed short pauses raise the rate.
    if (m_rate < m_options.initialRate && passed.count > 0) {
        m_rate = std::min(m_options.initialRate, m_rate + static_cast<double>(passed.count) * m_options.recoveryRate);
    }
}

void Pacer::onPause(base::Millis now, base::Millis pause, base::Millis objective) noexcept
{
    recover(now);
    const double part =
        static_cast<double>(pause.count) / static_cast<double>(std::max<std::int64_t>(1, objective.count));
    if (part >= m_options.decreaseThreshold) {
        if (!m_decreasedAt || now - *m_decreasedAt >= m_options.decreaseInterval) {
            m_tokens = tokensAt(now);
            m_updatedAt = now;
            m_rate = std::max(m_options.minRate, m_rate * m_options.decreaseFactor);
            m_decreasedAt = now;
        }
        return;
    }
    // Short pauses at a rate that is not used up do not show that the engine could take more.
    const bool used = tokensAt(now) < m_options.burst / 2;
    if (part <= m_options.increaseThreshold && used
        && (!m_decreasedAt || now - *m_decreasedAt >= m_options.decreaseInterval)
        && now - m_increasedAt >= m_options.increaseInterval) {
        m_tokens = tokensAt(now);
        m_updatedAt = now;
        m_rate = std::min(m_options.maxRate, m_rate * m_options.increaseFactor);
        m_increasedAt = now;
    }
}

double Pacer::deficit(base::Millis now) const noexcept
{
    return std::max(0.0, -tokensAt(now));
}

} // namespace bamboomoor::relay
