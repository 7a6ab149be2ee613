/**
 * The upstreams that this daemon knows, shared by its threads.
 */
#include "bamboomoor/entry/upstreambook.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::entry
{

membership::AnnounceOutcome UpstreamBook::announce(base::Millis now, membership::Announcement announcement)
{
    const absl::MutexLock lock(&m_mutex);
    return m_registry.announce(now, std::move(announcement));
}

void UpstreamBook::withdraw(base::Millis now, const std::string &id, std::uint64_t incarnation)
{
    const absl::MutexLock lock(&m_mutex);
    m_registry.withdraw(now, id, incarnation);
}

std::optional<std::uint64_t> UpstreamBook::lastIncarnationOf(const std::string &id) const
{
    const absl::MutexLock lock(&m_mutex);
    const membership::Entry *entry = m_registry.findRetained(id);
    return entry == nullptr ? std::nullopt : std::optional(entry->announcement.incarnation);
}

std::vector<std::string> UpstreamBook::expire(base::Millis now)
{
    const absl::MutexLock lock(&m_mutex);
    return m_registry.expire(now);
}

membership::Delta UpstreamBook::changesSince(base::Millis now, membership::Position since, std::size_t most) const
{
    const absl::MutexLock lock(&m_mutex);
    return m_registry.changesSince(now, since, most);
}

membership::Position UpstreamBook::position() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_registry.position();
}

membership::MergeResult UpstreamBook::merge(base::Millis asOf, const membership::Delta &delta)
{
    const absl::MutexLock lock(&m_mutex);
    return m_registry.merge(asOf, delta);
}

bool UpstreamBook::serves(const membership::Announcement &announcement, const Target &target) const
{
    if (target.kind == TargetKind::Service) {
        return announcement.kind == membership::UpstreamKind::Service && announcement.service == target.service;
    }
    for (const membership::Accelerator &accelerator : announcement.accelerators) {
        const bool holds = std::any_of(accelerator.resident.begin(), accelerator.resident.end(), [&](const auto &it) {
            return it.model == target.model && it.adapter == target.adapter
                && (target.version.empty() || it.version == target.version)
                && m_draining.count({announcement.id, it.model, it.adapter, it.version}) == 0;
        });
        if (holds) {
            return true;
        }
    }
    return false;
}

std::vector<routing::Candidate> UpstreamBook::candidates(base::Millis now, const Target &target) const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<routing::Candidate> found;
    for (const membership::Entry *it : m_registry.usable(now)) {
        if (serves(it->announcement, target)) {
            found.push_back({it->announcement.id, it->announcement.load, now - it->loadReportedAt,
                it->announcement.incarnation, it->announcement.softwareVersion});
        }
    }
    return found;
}

std::optional<std::string> UpstreamBook::addressOf(base::Millis now, const std::string &id) const
{
    const absl::MutexLock lock(&m_mutex);
    const membership::Entry *entry = m_registry.find(now, id);
    return entry == nullptr ? std::nullopt : std::optional(entry->announcement.address);
}

std::optional<std::string> UpstreamBook::lastAddressOf(const std::string &id) const
{
    const absl::MutexLock lock(&m_mutex);
    const membership::Entry *entry = m_registry.findRetained(id);
    return entry == nullptr ? std::nullopt : std::optional(entry->announcement.address);
}

std::optional<UpstreamPlace> UpstreamBook::placeOf(base::Millis now, const std::string &id) const
{
    const absl::MutexLock lock(&m_mutex);
    const membership::Entry *entry = m_registry.find(now, id);
    return entry == nullptr ? std::nullopt
                            : std::optional(UpstreamPlace{entry->announcement.address, entry->announcement.incarnation,
                                entry->announcement.softwareVersion, entry->announcement.dataCentre});
}

std::vector<membership::Entry> UpstreamBook::list(base::Millis now) const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<membership::Entry> copies;
    for (const membership::Entry *it : m_registry.list(now)) {
        copies.push_back(*it);
    }
    return copies;
}

std::vector<standing::Run> UpstreamBook::replaced(base::Millis now) const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<standing::Run> runs;
    for (const membership::Entry *it : m_registry.replaced(now)) {
        runs.push_back({it->announcement.id, it->announcement.incarnation});
    }
    return runs;
}

std::vector<standing::ListedRun> UpstreamBook::runs(base::Millis now) const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<standing::ListedRun> runs;
    for (const membership::Entry *it : m_registry.list(now)) {
        standing::ListedRun run;
        run.run = {it->announcement.id, it->announcement.incarnation};
        run.service = it->announcement.service;
        runs.push_back(std::move(run));
    }
    return runs;
}

std::set<DrainingReplica> UpstreamBook::draining() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_draining;
}

void UpstreamBook::setDraining(std::set<DrainingReplica> draining)
{
    const absl::MutexLock lock(&m_mutex);
    m_draining = std::move(draining);
}

lineage::SoftwareVersions UpstreamBook::software() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_software;
}

void UpstreamBook::setSoftware(lineage::SoftwareVersions versions)
{
    const absl::MutexLock lock(&m_mutex);
    m_software = std::move(versions);
}

} // namespace bamboomoor::entry
