/**
 * Merging of signals and reports, and accounting of permits.
 */
#include "bamboomoor/standing/upstreamtracker.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboomoor::standing
{

namespace
{

// Consecutive lists without an upstream, one every 200 ms, after which its state is discarded.
constexpr int MAX_UNLISTED = 300;

} // namespace

const UpstreamTracker::Record *UpstreamTracker::find(const Run &run) const
{
    const auto it = m_records.find(run.id);
    return it == m_records.end() || it->second.incarnation != run.incarnation ? nullptr : &it->second;
}

UpstreamTracker::Record *UpstreamTracker::recordOf(const Run &run)
{
    Record &record = m_records[run.id];
    if (record.incarnation > run.incarnation) {
        return nullptr;
    }
    if (record.incarnation < run.incarnation) {
        record = {};
        record.incarnation = run.incarnation;
    }
    return &record;
}

bool UpstreamTracker::isLimited(base::Millis now, const Record &record) const noexcept
{
    return now < record.coldUntil || (record.limit && now - record.limitReceivedAt <= m_options.limitLife);
}

std::int64_t UpstreamTracker::validPermits(base::Millis now, const Record &record) noexcept
{
    return std::count_if(record.permits.begin(), record.permits.end(), [now](base::Millis it) {
        return it > now;
    });
}

std::vector<Change> UpstreamTracker::onSignal(
    base::Millis now, const Run &run, const UpstreamSignal &signal, base::Millis sentAt, bool ran)
{
    std::vector<Change> changes;
    if (signal.malformed) {
        changes.push_back(Change::Malformed);
    }
    const RoomTracker::Changes rooms = m_rooms.onSignal(now, run, signal, sentAt, ran);
    if (rooms.isBrittle || rooms.ended) {
        changes.push_back(rooms.ended ? Change::BrittleEnded : Change::Brittle);
    }
    if (rooms.closedFor > base::Millis{}) {
        changes.push_back(Change::Rejected);
    }
    const bool tells = signal.limit || signal.leaving || signal.closedFor;
    Record *record = tells || find(run) != nullptr ? recordOf(run) : nullptr;
    if (record == nullptr) {
        return changes;
    }
    if (const auto change = mergeLimit(now, *record, signal, sentAt, ran)) {
        changes.push_back(*change);
    }
    if (signal.leaving && !record->leaving) {
        record->leaving = true;
        changes.push_back(Change::Leaving);
    }
    if (signal.closedFor) {
        const base::Millis until = now + std::min(*signal.closedFor, m_options.maxClosure);
        if (until > record->closedUntil) {
            record->closedUntil = until;
            changes.push_back(Change::Closed);
        }
    }
    return changes;
}

std::optional<Change> UpstreamTracker::mergeLimit(
    base::Millis now, Record &record, const UpstreamSignal &signal, base::Millis sentAt, bool ran)
{
    if (signal.limit) {
        const bool isNew = record.limit != signal.limit;
        record.limit = signal.limit;
        record.limitReceivedAt = now;
        return isNew ? std::optional(Change::LimitSignalled) : std::nullopt;
    }
    const bool ends = record.limit && !signal.malformed && ran && sentAt >= record.limitReceivedAt;
    if (!ends) {
        return std::nullopt;
    }
    record.limit.reset();
    record.limitReceivedAt = now;
    return Change::LimitEnded;
}

void UpstreamTracker::onLeaderReport(base::Millis now, const LeaderReport &report)
{
    if (report.room) {
        m_rooms.onGrant(now, report.run, *report.room, report.requestedAt);
    }
    Record *record = recordOf(report.run);
    if (record == nullptr) {
        return;
    }
    if (report.limitReceivedAt > record->limitReceivedAt) {
        record->limit = report.limit;
        record->limitReceivedAt = report.limitReceivedAt;
    }
    record->leaving = record->leaving || report.leaving;
    const base::Millis end = report.requestedAt + m_options.permitLife;
    for (std::int64_t n = 0; n < report.permits; ++n) {
        record->permits.insert(std::upper_bound(record->permits.begin(), record->permits.end(), end), end);
    }
    if (report.permits > 0 || report.nextPermitIn > base::Millis{}) {
        record->nextPermitAt = now + report.nextPermitIn;
        record->interval = report.nextPermitIn;
        record->nextRequestAt =
            now + std::clamp(report.nextPermitIn, m_options.requestInterval, m_options.requestTimeout);
    }
}

void UpstreamTracker::setListed(const std::vector<ListedRun> &runs)
{
    m_rooms.setListed(runs);
    std::set<std::string_view> listed;
    for (const ListedRun &it : runs) {
        listed.insert(it.run.id);
        Record *record = it.coldUntil > base::Millis{} || find(it.run) != nullptr ? recordOf(it.run) : nullptr;
        if (record != nullptr) {
            record->coldUntil = it.coldUntil;
        }
    }
    for (auto &[id, record] : m_records) {
        record.unlisted = listed.contains(id) ? 0 : record.unlisted + 1;
    }
    std::erase_if(m_records, [](const auto &it) {
        return it.second.unlisted > MAX_UNLISTED;
    });
}

Access UpstreamTracker::access(base::Millis now, const Run &run) const
{
    const Record *record = find(run);
    const Room room = m_rooms.room(now, run);
    if (record != nullptr && record->leaving) {
        return Access::Leaving;
    }
    if (room == Room::Closed || (record != nullptr && now < record->closedUntil)) {
        return Access::Closed;
    }
    if (room == Room::Full) {
        return Access::NoRoom;
    }
    const bool needsPermit = record != nullptr && isLimited(now, *record) && validPermits(now, *record) == 0;
    return needsPermit ? Access::NoPermit : Access::Open;
}

base::Millis UpstreamTracker::opensIn(base::Millis now, const Run &run, std::int64_t ahead) const
{
    const Record *record = find(run);
    const base::Millis rejected = m_rooms.closedFor(now, run);
    if (record == nullptr) {
        return rejected;
    }
    if (record->leaving) {
        return base::NEVER;
    }
    const base::Millis closed = std::max(record->closedUntil - now, rejected);
    const std::int64_t missing = ahead - validPermits(now, *record);
    if (!isLimited(now, *record) || missing < 0) {
        return closed;
    }
    return std::max({closed, record->nextPermitAt - now, m_options.requestInterval}) + record->interval * missing;
}

bool UpstreamTracker::sent(base::Millis now, const Run &run)
{
    m_rooms.onSent(run);
    if (find(run) == nullptr) {
        return false;
    }
    Record &record = m_records.at(run.id);
    while (!record.permits.empty() && record.permits.front() <= now) {
        record.permits.pop_front();
    }
    const bool uses = isLimited(now, record) && !record.permits.empty();
    if (uses) {
        record.permits.pop_front();
    }
    return uses;
}

void UpstreamTracker::ended(const Run &run)
{
    m_rooms.onEnded(run);
}

void UpstreamTracker::addPermitDemand(base::Millis now, const Run &run, std::int64_t count)
{
    m_rooms.addDemand(now, run, count);
    if (find(run) == nullptr) {
        return;
    }
    Record &record = m_records.at(run.id);
    const std::int64_t before = now - record.demandedAt < m_options.demandLife ? record.demandedPermits : 0;
    record.demandedPermits = std::min(std::max(before, count), m_options.maxRequestedPermits);
    record.demandedAt = now;
}

bool UpstreamTracker::permitRequestDue(base::Millis now, const Record &record) const noexcept
{
    return isLimited(now, record) && now >= record.nextRequestAt && now - record.demandedAt < m_options.demandLife
        && record.demandedPermits > validPermits(now, record);
}

bool UpstreamTracker::permitRequestDue(base::Millis now) const
{
    return m_rooms.reportDue(now) || std::any_of(m_records.begin(), m_records.end(), [&](const auto &it) {
        return permitRequestDue(now, it.second);
    });
}

std::vector<Report> UpstreamTracker::takeReports(base::Millis now)
{
    std::vector<Report> reports;
    for (auto &[id, record] : m_records) {
        if (now - record.limitReceivedAt > m_options.limitLife && !record.leaving && now >= record.coldUntil) {
            continue;
        }
        Report report{{id, record.incarnation}, record.limit, record.limitReceivedAt, 0, record.leaving};
        if (permitRequestDue(now, record)) {
            report.requestedPermits = record.demandedPermits - validPermits(now, record);
            record.demandedPermits = 0;
            record.nextRequestAt = now + m_options.requestTimeout;
        }
        report.room = m_rooms.takeReport(now, report.run);
        reports.push_back(std::move(report));
    }
    std::set<std::pair<std::string, std::uint64_t>> reported;
    for (const Report &it : reports) {
        reported.emplace(it.run.id, it.run.incarnation);
    }
    for (const Run &it : m_rooms.reportable(now)) {
        if (!reported.contains({it.id, it.incarnation})) {
            reports.push_back({it, std::nullopt, {}, 0, false, m_rooms.takeReport(now, it)});
        }
    }
    return reports;
}

} // namespace bamboomoor::standing
