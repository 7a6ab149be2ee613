/**
 * Tracking of suspected upstreams.
 */
#include "bamboomoor/control/suspecttracker.hpp"

#include <algorithm>

namespace bamboomoor::control
{

Connection connectionOf(http::EndKind kind) noexcept
{
    using http::EndKind;
    switch (kind) {
    case EndKind::ConnectFailed:
        return Connection::Refused;
    case EndKind::ConnectTimeout:
        return Connection::NotAnswered;
    case EndKind::Complete:
    case EndKind::Malformed:
    case EndKind::TooLarge:
        return Connection::Accepted;
    default:
        return Connection::Dropped;
    }
}

bool SuspectTracker::suspect(base::Millis now, const std::string &upstream)
{
    expire(now);
    const auto [it, isNew] = m_suspects.try_emplace(upstream, Suspect{now, now});
    Suspect &suspect = it->second;
    suspect.suspectedAt = now;
    if (!suspect.isInspected && !suspect.repeatAt) {
        suspect.repeatAt = suspect.inspectedAt + m_options.interval;
    }
    return isNew;
}

void SuspectTracker::expire(base::Millis now)
{
    std::erase_if(m_suspects, [&](const auto &it) {
        const base::Millis life = it.second.isInspected ? m_options.maxInspection : m_options.interval;
        return !it.second.repeatAt && now - it.second.inspectedAt > life;
    });
}

SuspectVerdict SuspectTracker::onInspected(
    base::Millis now, const std::string &upstream, base::Millis sentAt, Connection connection)
{
    const auto it = m_suspects.find(upstream);
    if (it == m_suspects.end()) {
        return SuspectVerdict::None;
    }
    Suspect &suspect = it->second;
    if (sentAt < suspect.inspectedAt && connection == Connection::Accepted) {
        // It may have been sent before the crash.
        return SuspectVerdict::None;
    }
    suspect.isInspected = suspect.isInspected && sentAt < suspect.inspectedAt;
    switch (connection) {
    case Connection::Accepted:
    case Connection::Refused:
    case Connection::Replaced:
        suspect = {suspect.inspectedAt, suspect.suspectedAt, suspect.isInspected};
        if (connection == Connection::Accepted && suspect.suspectedAt > sentAt) {
            // It may have crashed after the response.
            suspect.repeatAt = suspect.inspectedAt + m_options.interval;
        }
        return connection == Connection::Accepted ? SuspectVerdict::None : SuspectVerdict::Unreachable;
    case Connection::Dropped:
        onDropped(now, suspect);
        return SuspectVerdict::None;
    case Connection::NotAnswered:
        break;
    }
    return onSilence(now, sentAt, suspect);
}

void SuspectTracker::onDropped(base::Millis now, Suspect &suspect) const
{
    suspect.silentSince.reset();
    suspect.droppedSince = suspect.droppedSince.value_or(now);
    if (now - *suspect.droppedSince < m_options.maxDropped) {
        suspect.repeatAt = now + m_options.droppedInterval;
    }
}

SuspectVerdict SuspectTracker::onSilence(base::Millis now, base::Millis sentAt, Suspect &suspect) const
{
    suspect.droppedSince.reset();
    suspect.silentSince = std::min(suspect.silentSince.value_or(sentAt), sentAt);
    if (now - *suspect.silentSince >= m_options.maxSilence) {
        suspect.silentSince.reset();
        return SuspectVerdict::Unreachable;
    }
    if (sentAt < suspect.inspectedAt) {
        // A later inspection is in progress.
        return SuspectVerdict::None;
    }
    suspect.inspectedAt = now;
    suspect.isInspected = true;
    return SuspectVerdict::InspectAgain;
}

std::optional<base::Millis> SuspectTracker::dueAt() const
{
    std::optional<base::Millis> due;
    for (const auto &[upstream, it] : m_suspects) {
        if (it.repeatAt) {
            due = std::min(due.value_or(*it.repeatAt), *it.repeatAt);
        }
    }
    return due;
}

std::vector<std::string> SuspectTracker::takeDue(base::Millis now)
{
    std::vector<std::string> due;
    for (auto &[upstream, it] : m_suspects) {
        if (it.repeatAt && now >= *it.repeatAt) {
            it.repeatAt.reset();
            it.inspectedAt = now;
            it.isInspected = true;
            due.push_back(upstream);
        }
    }
    return due;
}

} // namespace bamboomoor::control
