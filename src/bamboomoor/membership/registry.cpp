/**
 * Merges announcements and deltas into the registry.
 */
#include "bamboomoor/membership/registry.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/membership/codec.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::membership
{

namespace
{
// A lease extension of a known sequence is propagated only if it gains more than this, so that registries do not
// echo small extensions to each other indefinitely.
constexpr base::Millis SPREAD_GAIN{100};
constexpr std::size_t DIGEST_DIGITS = 16;

Announcement withoutVolatileFields(Announcement announcement)
{
    announcement.sequence = 0;
    announcement.load = {};
    return announcement;
}

bool sameContent(const Announcement &lhs, const Announcement &rhs)
{
    return lhs.incarnation == rhs.incarnation && lhs.address == rhs.address && lhs.dataCentre == rhs.dataCentre
        && lhs.kind == rhs.kind && lhs.service == rhs.service && lhs.accelerators == rhs.accelerators
        && lhs.localCopies == rhs.localCopies && lhs.slots == rhs.slots && lhs.checksFencing == rhs.checksFencing
        && lhs.leaving == rhs.leaving && lhs.lastOrders == rhs.lastOrders && lhs.softwareVersion == rhs.softwareVersion
        && lhs.coldRemaining == rhs.coldRemaining;
}
} // namespace

Registry::Registry(RegistryOptions options) noexcept
    : m_options(options)
{
}

AnnounceOutcome Registry::announce(base::Millis now, Announcement announcement)
{
    const auto it = m_records.find(announcement.id);
    AnnounceOutcome outcome = AnnounceOutcome::Added;
    if (it != m_records.end()) {
        Record &record = it->second;
        const Announcement &known = record.entry.announcement;
        if (announcement.incarnation < known.incarnation) {
            return AnnounceOutcome::OlderIncarnation;
        }
        if (announcement.incarnation == known.incarnation && announcement.sequence <= known.sequence) {
            return announcement.leaving && markLeaving(record) ? AnnounceOutcome::LeavingNoted
                                                               : AnnounceOutcome::Overtaken;
        }
        if (announcement.incarnation > known.incarnation) {
            outcome = AnnounceOutcome::Restarted;
        } else if (!record.expired) {
            announcement.leaving = announcement.leaving || known.leaving;
            outcome = sameContent(announcement, known) ? AnnounceOutcome::Renewed : AnnounceOutcome::Changed;
        }
    }
    mergeEntry(std::move(announcement), now + m_options.lease, now);
    return outcome;
}

void Registry::withdraw(base::Millis now, const std::string &id, std::uint64_t incarnation)
{
    const auto [it, isNew] = m_withdrawals.try_emplace(id);
    if (!isNew && it->second.incarnation >= incarnation) {
        return;
    }
    it->second = {incarnation, now, ++m_revision};
    const auto record = m_records.find(id);
    if (record != m_records.end() && isWithdrawn(record->second.entry.announcement)) {
        markLeaving(record->second);
    }
}

bool Registry::isWithdrawn(const Announcement &announcement) const
{
    const auto it = m_withdrawals.find(announcement.id);
    return it != m_withdrawals.end() && announcement.incarnation <= it->second.incarnation;
}

std::vector<std::string> Registry::expire(base::Millis now)
{
    std::erase_if(m_withdrawals, [&](const auto &it) {
        return it.second.at + m_options.retention <= now;
    });
    std::vector<std::string> dropped;
    for (auto it = m_records.begin(); it != m_records.end();) {
        Record &record = it->second;
        if (!record.expired && record.entry.expiresAt <= now) {
            record.expired = true;
            touch(record);
            dropped.push_back(it->first);
        }
        if (record.entry.expiresAt + m_options.retention <= now) {
            it = m_records.erase(it);
        } else {
            ++it;
        }
    }
    return dropped;
}

const Entry *Registry::find(base::Millis now, std::string_view id) const
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || !isLive(now, it->second)) {
        return nullptr;
    }
    return &it->second.entry;
}

const Entry *Registry::findRetained(std::string_view id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second.entry;
}

std::vector<const Entry *> Registry::list(base::Millis now) const
{
    const LatestRuns latest = latestRuns(now);
    std::vector<const Entry *> entries;
    for (const auto &[id, record] : m_records) {
        if (isLive(now, record) && !isReplaced(record, latest)) {
            entries.push_back(&record.entry);
        }
    }
    return entries;
}

std::vector<const Entry *> Registry::replaced(base::Millis now) const
{
    const LatestRuns latest = latestRuns(now);
    std::vector<const Entry *> entries;
    for (const auto &[id, record] : m_records) {
        if (isReplaced(record, latest)) {
            entries.push_back(&record.entry);
        }
    }
    return entries;
}

Registry::LatestRuns Registry::latestRuns(base::Millis now) const
{
    LatestRuns latest;
    for (const auto &[id, record] : m_records) {
        const Announcement &announcement = record.entry.announcement;
        if (isLive(now, record) && !announcement.address.empty()) {
            std::uint64_t &incarnation = latest[announcement.address];
            incarnation = std::max(incarnation, announcement.incarnation);
        }
    }
    return latest;
}

bool Registry::isReplaced(const Record &record, const LatestRuns &latest) const
{
    // An incarnation is a start time, so a late announcement of a process that has ended replaces none.
    const auto it = latest.find(record.entry.announcement.address);
    return it != latest.end() && record.entry.announcement.incarnation < it->second;
}

std::vector<const Entry *> Registry::usable(base::Millis now) const
{
    std::vector<const Entry *> entries = list(now);
    std::erase_if(entries, [](const Entry *entry) {
        return entry->announcement.leaving;
    });
    return entries;
}

std::uint64_t Registry::revisionOfPage(std::uint64_t after, std::size_t most) const
{
    std::vector<std::uint64_t> revisions;
    for (const auto &[id, record] : m_records) {
        revisions.push_back(record.revision);
    }
    for (const auto &[id, withdrawal] : m_withdrawals) {
        revisions.push_back(withdrawal.revision);
    }
    std::erase_if(revisions, [after](std::uint64_t it) {
        return it <= after;
    });
    if (most == 0 || revisions.size() <= most) {
        return m_revision;
    }
    const auto last = revisions.begin() + static_cast<std::ptrdiff_t>(most) - 1;
    std::nth_element(revisions.begin(), last, revisions.end());
    return *last;
}

Delta Registry::changesSince(base::Millis now, Position since, std::size_t most) const
{
    const bool known = since.epoch == m_options.epoch && since.revision <= m_revision;
    const std::uint64_t after = known ? since.revision : 0;
    const std::uint64_t upTo = revisionOfPage(after, most);
    Delta delta;
    delta.position = {m_options.epoch, upTo};
    for (const auto &[id, record] : m_records) {
        if (record.revision <= after || record.revision > upTo) {
            continue;
        }
        const Announcement &announcement = record.entry.announcement;
        const base::Millis remaining = record.entry.expiresAt - now;
        const base::Millis loadAge = std::max(now - record.entry.loadReportedAt, base::Millis{0});
        if (!isLive(now, record)) {
            delta.removed.push_back({id, announcement.incarnation, announcement.leaving});
        } else if (record.contentRevision > after) {
            delta.entries.push_back({announcement, remaining, loadAge});
        } else {
            delta.renewals.push_back({id, announcement.incarnation, announcement.sequence, record.entry.digest,
                announcement.load, remaining, loadAge});
        }
    }
    for (const auto &[id, withdrawal] : m_withdrawals) {
        // The loop above sends a known process as leaving.
        const auto record = m_records.find(id);
        const bool isSent =
            record != m_records.end() && record->second.entry.announcement.incarnation >= withdrawal.incarnation;
        if (withdrawal.revision > after && withdrawal.revision <= upTo && !isSent) {
            delta.removed.push_back({id, withdrawal.incarnation, true});
        }
    }
    return delta;
}

MergeResult Registry::merge(base::Millis asOf, const Delta &delta)
{
    MergeResult result;
    for (const DeltaEntry &it : delta.entries) {
        // An origin never grants more than the lease duration; a greater remainder is an error of the sender.
        const base::Millis remaining = std::min(it.remaining, m_options.lease);
        result.changed += mergeEntry(it.announcement, asOf + remaining, asOf - it.loadAge) ? 1U : 0U;
    }
    for (const Renewal &it : delta.renewals) {
        result.changed += mergeRenewal(it, asOf, result.incomplete) ? 1U : 0U;
    }
    for (const Removal &it : delta.removed) {
        result.changed += mergeRemoval(it, asOf) ? 1U : 0U;
    }
    return result;
}

Position Registry::position() const noexcept
{
    return {m_options.epoch, m_revision};
}

bool Registry::isLive(base::Millis now, const Record &record) const noexcept
{
    return !record.expired && record.entry.expiresAt > now;
}

void Registry::setContent(Record &record, Announcement announcement)
{
    record.entry.digest = base::sha256(encode(withoutVolatileFields(announcement))).substr(0, DIGEST_DIGITS);
    record.entry.announcement = std::move(announcement);
    touch(record);
    record.contentRevision = record.revision;
}

void Registry::touch(Record &record) noexcept
{
    record.revision = ++m_revision;
}

bool Registry::markLeaving(Record &record)
{
    if (record.entry.announcement.leaving) {
        return false;
    }
    Announcement announcement = record.entry.announcement;
    announcement.leaving = true;
    setContent(record, std::move(announcement));
    return true;
}

bool Registry::extend(Record &record, base::Millis until) noexcept
{
    if (until <= record.entry.expiresAt) {
        return false;
    }
    const bool propagates = record.expired || until - record.entry.expiresAt > SPREAD_GAIN;
    record.entry.expiresAt = until;
    record.expired = false;
    if (propagates) {
        touch(record);
    }
    return propagates;
}

bool Registry::mergeEntry(Announcement announcement, base::Millis until, base::Millis loadAt)
{
    announcement.leaving = announcement.leaving || isWithdrawn(announcement);
    const auto it = m_records.find(announcement.id);
    if (it == m_records.end() || announcement.incarnation > it->second.entry.announcement.incarnation) {
        Record &record = m_records[announcement.id];
        record.entry.expiresAt = until;
        record.entry.loadReportedAt = loadAt;
        record.expired = false;
        setContent(record, std::move(announcement));
        return true;
    }
    Record &record = it->second;
    Announcement &known = record.entry.announcement;
    if (announcement.incarnation < known.incarnation) {
        return false;
    }
    bool changed = false;
    if (announcement.sequence > known.sequence) {
        announcement.leaving = announcement.leaving || known.leaving;
        record.entry.loadReportedAt = loadAt;
        if (sameContent(announcement, known)) {
            known.sequence = announcement.sequence;
            known.load = announcement.load;
            touch(record);
        } else {
            setContent(record, std::move(announcement));
        }
        changed = true;
    } else if (announcement.leaving) {
        changed = markLeaving(record);
    }
    return extend(record, until) || changed;
}

bool Registry::mergeRenewal(const Renewal &renewal, base::Millis asOf, bool &incomplete)
{
    const auto it = m_records.find(renewal.id);
    if (it == m_records.end() || renewal.incarnation > it->second.entry.announcement.incarnation) {
        incomplete = true;
        return false;
    }
    Record &record = it->second;
    Announcement &known = record.entry.announcement;
    if (renewal.incarnation < known.incarnation) {
        return false;
    }
    bool changed = false;
    if (renewal.sequence > known.sequence) {
        if (renewal.digest != record.entry.digest) {
            incomplete = true;
        } else {
            known.sequence = renewal.sequence;
            known.load = renewal.load;
            record.entry.loadReportedAt = asOf - renewal.loadAge;
            touch(record);
            changed = true;
        }
    }
    return extend(record, asOf + std::min(renewal.remaining, m_options.lease)) || changed;
}

bool Registry::mergeRemoval(const Removal &removal, base::Millis asOf)
{
    const std::uint64_t before = m_revision;
    if (removal.leaving) {
        withdraw(asOf, removal.id, removal.incarnation);
    }
    return m_revision != before;
}

} // namespace bamboomoor::membership
