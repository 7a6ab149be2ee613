/**
 * Admission and retention of software versions.
 */
#include "bamboomoor/lineage/softwarerecorder.hpp"

namespace bamboomoor::lineage
{

void SoftwareRecorder::begin(base::Millis now, const SoftwareVersions &recorded)
{
    m_listedAt.clear();
    for (const auto &[service, versions] : recorded) {
        for (const std::string &it : versions) {
            m_listedAt[{service, it}] = now;
        }
    }
    m_recorded = recorded;
    m_pending = false;
}

std::optional<SoftwareProposal> SoftwareRecorder::next(base::Millis now, const SoftwareVersions &listed)
{
    for (const auto &[service, versions] : listed) {
        for (const std::string &it : versions) {
            m_listedAt[{service, it}] = now;
        }
    }
    std::erase_if(m_listedAt, [&](const auto &it) {
        return now - it.second >= m_options.retention;
    });
    if (m_pending && now - m_proposedAt < m_options.verdictTimeout) {
        return std::nullopt;
    }
    SoftwareVersions wanted;
    for (const auto &[key, listedAt] : m_listedAt) {
        wanted[key.first].insert(key.second);
    }
    if (m_recorded == wanted) {
        return std::nullopt;
    }
    m_recorded.reset();
    m_proposed = std::move(wanted);
    m_proposedAt = now;
    m_pending = true;
    return SoftwareProposal{++m_lastNumber, m_proposed};
}

void SoftwareRecorder::onVerdict(std::uint64_t number, bool committed)
{
    if (number != m_lastNumber || !m_pending) {
        return;
    }
    m_pending = false;
    if (committed) {
        m_recorded = m_proposed;
    }
}

} // namespace bamboomoor::lineage
