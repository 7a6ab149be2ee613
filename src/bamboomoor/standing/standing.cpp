/**
 * Merging of signals and reports, and accounting of permits.
 */
#include "bamboomoor/standing/standing.hpp"

#include <algorithm>
#include <set>

namespace bamboomoor::standing
{

namespace
{

// Consecutive lists without an upstream, one every 200 ms, after which its state is discarded.
constexpr int FORGOTTEN_AFTER = 300;

} // namespace

const Standing::Record *Standing::find(const Run &run) const
{
    const auto it = m_records.find(run.id);
    return it == m_records.end() || it->second.incarnation != run.incarnation ? nullptr : &it->second;
}

Standing::Record *Standing::recordOf(const Run &run)
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

bool Standing::isLimited(base::Millis now, const Record &record) const noexcept
{
    return record.limit && now - record.limitHeardAt <= m_options.limitLife;
}

std::int64_t Standing::permitsOf(base::Millis now, const Record &record) noexcept
{
    return std::count_if(record.permits.begin(), record.permits.end(), [now](base::Millis it) {
        return it > now;
    });
}

std::vector<Change> Standing::heard(base::Millis now, const Run &run, const Word &signal, base::Millis sentAt, bool ran)
{
    std::vector<Change> changes;
    if (signal.unreadable) {
        changes.push_back(Change::Unreadable);
    }
    const bool tells = signal.limit || signal.leaving || signal.closedFor;
    Record *record = tells || find(run) != nullptr ? recordOf(run) : nullptr;
    if (record == nullptr) {
        return changes;
    }
    if (const auto change = heardLimit(now, *record, signal, sentAt, ran)) {
        changes.push_back(*change);
    }
    if (signal.leaving && !record->leaving) {
        record->leaving = true;
        changes.push_back(Change::Leaving);
    }
    if (signal.closedFor) {
        const base::Millis until = now + std::min(*signal.closedFor, m_options.longestClosure);
        if (until > record->closedUntil) {
            record->closedUntil = until;
            changes.push_back(Change::Closed);
        }
    }
    return changes;
}

std::optional<Change> Standing::heardLimit(
    base::Millis now, Record &record, const Word &signal, base::Millis sentAt, bool ran)
{
    if (signal.limit) {
        const bool isNew = record.limit != signal.limit;
        record.limit = signal.limit;
        record.limitHeardAt = now;
        return isNew ? std::optional(Change::LimitNamed) : std::nullopt;
    }
    const bool ends = record.limit && !signal.unreadable && ran && sentAt >= record.limitHeardAt;
    if (!ends) {
        return std::nullopt;
    }
    record.limit.reset();
    record.limitHeardAt = now;
    return Change::LimitEnded;
}

void Standing::told(base::Millis now, const Told &report)
{
    Record *record = recordOf(report.run);
    if (record == nullptr) {
        return;
    }
    if (report.limitHeardAt > record->limitHeardAt) {
        record->limit = report.limit;
        record->limitHeardAt = report.limitHeardAt;
    }
    record->leaving = record->leaving || report.leaving;
    const base::Millis end = report.askedAt + m_options.permitLife;
    for (std::int64_t n = 0; n < report.permits; ++n) {
        record->permits.insert(std::upper_bound(record->permits.begin(), record->permits.end(), end), end);
    }
    if (report.permits > 0 || report.nextIn > base::Millis{}) {
        record->nextAt = now + report.nextIn;
        record->interval = report.nextIn;
        record->askAt = now + std::clamp(report.nextIn, m_options.askSpacing, m_options.askTimeout);
    }
}

void Standing::setListed(const std::vector<Run> &runs)
{
    std::set<std::string_view> listed;
    for (const Run &it : runs) {
        listed.insert(it.id);
    }
    for (auto &[id, record] : m_records) {
        record.unlisted = listed.contains(id) ? 0 : record.unlisted + 1;
    }
    std::erase_if(m_records, [](const auto &it) {
        return it.second.unlisted > FORGOTTEN_AFTER;
    });
}

Access Standing::access(base::Millis now, const Run &run) const
{
    const Record *record = find(run);
    if (record == nullptr) {
        return Access::Open;
    }
    if (record->leaving) {
        return Access::Leaving;
    }
    if (now < record->closedUntil) {
        return Access::Closed;
    }
    return !isLimited(now, *record) || permitsOf(now, *record) > 0 ? Access::Open : Access::NoPermit;
}

base::Millis Standing::opensIn(base::Millis now, const Run &run, std::int64_t ahead) const
{
    const Record *record = find(run);
    if (record == nullptr) {
        return {};
    }
    if (record->leaving) {
        return base::NEVER;
    }
    const base::Millis closed = std::max(record->closedUntil - now, base::Millis{});
    const std::int64_t missing = ahead - permitsOf(now, *record);
    if (!isLimited(now, *record) || missing < 0) {
        return closed;
    }
    return std::max({closed, record->nextAt - now, m_options.askSpacing}) + record->interval * missing;
}

bool Standing::sent(base::Millis now, const Run &run)
{
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

void Standing::wish(base::Millis now, const Run &run, std::int64_t count)
{
    if (find(run) == nullptr) {
        return;
    }
    Record &record = m_records.at(run.id);
    const std::int64_t before = now - record.wishedAt < m_options.wishLife ? record.wished : 0;
    record.wished = std::min(std::max(before, count), m_options.mostWished);
    record.wishedAt = now;
}

bool Standing::wantsToAsk(base::Millis now, const Record &record) const noexcept
{
    return isLimited(now, record) && now >= record.askAt && now - record.wishedAt < m_options.wishLife
        && record.wished > permitsOf(now, record);
}

bool Standing::wantsToAsk(base::Millis now) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &it) {
        return wantsToAsk(now, it.second);
    });
}

std::vector<Report> Standing::takeReports(base::Millis now)
{
    std::vector<Report> reports;
    for (auto &[id, record] : m_records) {
        if (now - record.limitHeardAt > m_options.limitLife && !record.leaving) {
            continue;
        }
        Report report{{id, record.incarnation}, record.limit, record.limitHeardAt, 0, record.leaving};
        if (wantsToAsk(now, record)) {
            report.wished = record.wished - permitsOf(now, record);
            record.wished = 0;
            record.askAt = now + m_options.askTimeout;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace bamboomoor::standing
