/**
 * Recording, reporting and expiry of streams.
 */
#include "bamboomoor/lineage/streamjournal.hpp"

#include <algorithm>

namespace bamboomoor::lineage
{

void StreamJournal::setVersions(base::Millis now, SoftwareVersions versions)
{
    if (versions != m_versions) {
        m_versions = std::move(versions);
        m_dueAt = now;
    }
}

bool StreamJournal::isMixed(const std::string &service) const
{
    const auto it = m_versions.find(service);
    return it != m_versions.end() && it->second.size() > 1;
}

void StreamJournal::expire(base::Millis now)
{
    while (!m_ends.empty() && m_ends.begin()->first <= now) {
        m_streams.erase(m_ends.begin()->second);
        m_ends.erase(m_ends.begin());
    }
}

bool StreamJournal::record(base::Millis now, StreamRecord record)
{
    expire(now);
    const auto known = m_streams.find(record.stream);
    if (known != m_streams.end()) {
        if (known->second.firstReport != 0) {
            return known->second.origin == record.origin;
        }
        known->second.origin = std::move(record.origin);
        known->second.recordedAt = now;
        return true;
    }
    if (m_streams.size() >= m_options.maxStreams || record.stream.size() > m_options.maxIdBytes
        || record.until <= now) {
        return false;
    }
    if (isMixed(record.origin.service)) {
        m_dueAt = std::min(m_dueAt, now + m_options.reportDelay);
    }
    m_ends.emplace(record.until, record.stream);
    m_streams.emplace(std::move(record.stream), Stream{std::move(record.origin), record.until, now});
    return true;
}

std::optional<Origin> StreamJournal::find(base::Millis now, const std::string &stream) const
{
    const auto it = m_streams.find(stream);
    return it != m_streams.end() && now < it->second.until ? std::optional(it->second.origin) : std::nullopt;
}

std::optional<Origin> StreamJournal::reported(const std::string &stream) const
{
    const auto it = m_streams.find(stream);
    return it != m_streams.end() && it->second.firstReport != 0 ? std::optional(it->second.origin) : std::nullopt;
}

Report StreamJournal::makeReport(base::Millis now)
{
    expire(now);
    Report report;
    report.sequence = ++m_lastReport;
    m_dueAt = base::NEVER;
    for (auto &[id, stream] : m_streams) {
        if (stream.acknowledged) {
            continue;
        }
        if (!isMixed(stream.origin.service)) {
            stream.firstReport = stream.firstReport == 0 ? 0 : report.sequence + 1;
            continue;
        }
        if (now - stream.recordedAt < m_options.minAge) {
            m_dueAt = std::min(m_dueAt, stream.recordedAt + m_options.reportDelay);
            continue;
        }
        stream.firstReport = stream.firstReport == 0 ? report.sequence : stream.firstReport;
        report.streams.push_back({id, stream.origin, stream.until});
    }
    return report;
}

void StreamJournal::onReply(std::uint64_t term, std::uint64_t sequence)
{
    const bool isNewLeader = term != m_term;
    m_term = term;
    for (auto &[id, stream] : m_streams) {
        if (stream.acknowledged && isNewLeader) {
            // It was not part of this report; a later one repeats it.
            stream.acknowledged = false;
            stream.firstReport = m_lastReport + 1;
            m_dueAt = base::Millis{0};
        } else if (stream.firstReport != 0 && stream.firstReport <= sequence) {
            stream.acknowledged = true;
        }
    }
}

} // namespace bamboomoor::lineage
