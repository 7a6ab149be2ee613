/**
 * Retry decisions and the tracking of attempts that they are based on.
 */
#include "bamboomoor/routing/delivery.hpp"

#include <cassert>
#include <utility>

namespace bamboomoor::routing
{

namespace
{
Decision finalDecision(const Situation &situation, bool mayHaveRun) noexcept
{
    if (situation.deliveredTokens > 0 || situation.deliveredBytes > 0) {
        return situation.failure == FailureKind::UpstreamError || situation.generation ? Decision::FailRun
                                                                                       : Decision::FailUnknown;
    }
    if (!mayHaveRun) {
        return Decision::FailNotRun;
    }
    return situation.failure == FailureKind::UpstreamError ? Decision::FailRun : Decision::FailUnknown;
}

bool mayRepeat(const Situation &situation) noexcept
{
    return situation.idempotent && !situation.claimed;
}

bool mayContinue(const Situation &situation) noexcept
{
    const bool partial = situation.deliveredTokens > 0 || situation.deliveredBytes > 0;
    return !partial || situation.generation;
}
} // namespace

bool isProvablyNotRun(FailureKind failure, std::uint64_t bytesSent) noexcept
{
    switch (failure) {
    case FailureKind::ConnectRefused:
    case FailureKind::ConnectTimeout:
    case FailureKind::SentNothing:
        return bytesSent == 0;
    case FailureKind::UpstreamNotRun:
        return true;
    default:
        return false;
    }
}

Decision decide(const Situation &situation) noexcept
{
    const bool notRun = isProvablyNotRun(situation.failure, situation.bytesSent);
    const bool mayHaveRun = situation.mayHaveRunBefore || !notRun;
    const bool sendable = mayRepeat(situation) || (situation.bytesSent == 0 && !mayHaveRun);
    if (!situation.mayTryAgain || !sendable || !mayContinue(situation)) {
        return finalDecision(situation, mayHaveRun);
    }
    return situation.deliveredTokens > 0 ? Decision::Resume : Decision::Retry;
}

Delivery::Delivery(DeliveryOptions options) noexcept
    : m_options(options)
{
    assert(options.maxAttempts > 0);
}

void Delivery::start(std::uint64_t attempt, std::string upstream)
{
    assert(!m_over && m_open == 0 && attempt != 0);
    m_open = attempt;
    m_upstream = std::move(upstream);
    m_bytesSent = 0;
    ++m_attempts;
}

bool Delivery::sent(std::uint64_t attempt, std::uint64_t bytes) noexcept
{
    if (attempt != m_open || m_open == 0) {
        return false;
    }
    m_bytesSent += bytes;
    return true;
}

bool Delivery::nothingSent(std::uint64_t attempt) noexcept
{
    if (attempt != m_open || m_open == 0) {
        return false;
    }
    m_bytesSent = 0;
    return true;
}

bool Delivery::delivered(std::uint64_t attempt, std::uint64_t tokens, std::uint64_t bytes) noexcept
{
    if (attempt != m_open || m_open == 0) {
        return false;
    }
    m_deliveredTokens += tokens;
    m_deliveredBytes += bytes;
    return true;
}

bool Delivery::finished(std::uint64_t attempt) noexcept
{
    if (attempt != m_open || m_open == 0) {
        return false;
    }
    m_open = 0;
    m_over = true;
    return true;
}

std::optional<Decision> Delivery::failed(std::uint64_t attempt, FailureKind failure, bool mayTryAgain)
{
    if (attempt != m_open || m_open == 0) {
        return std::nullopt;
    }
    Situation situation;
    situation.idempotent = m_options.idempotent;
    situation.claimed = m_options.claimed;
    situation.generation = m_options.generation;
    situation.mayHaveRunBefore = m_mayHaveRun;
    situation.mayTryAgain = mayTryAgain && m_attempts < m_options.maxAttempts;
    situation.bytesSent = m_bytesSent;
    situation.deliveredTokens = m_deliveredTokens;
    situation.deliveredBytes = m_deliveredBytes;
    situation.failure = failure;
    const Decision decision = decide(situation);
    m_mayHaveRun = m_mayHaveRun || !isProvablyNotRun(failure, m_bytesSent);
    m_excluded.push_back(std::exchange(m_upstream, {}));
    m_open = 0;
    m_over = decision != Decision::Retry && decision != Decision::Resume;
    return decision;
}

Decision Delivery::giveUp() noexcept
{
    assert(m_open == 0);
    m_over = true;
    if (m_deliveredTokens > 0) {
        return Decision::FailRun;
    }
    return m_mayHaveRun ? Decision::FailUnknown : Decision::FailNotRun;
}

bool Delivery::isOver() const noexcept
{
    return m_over;
}

const std::vector<std::string> &Delivery::excluded() const noexcept
{
    return m_excluded;
}

std::uint64_t Delivery::deliveredTokens() const noexcept
{
    return m_deliveredTokens;
}

std::uint32_t Delivery::attempts() const noexcept
{
    return m_attempts;
}

} // namespace bamboomoor::routing
