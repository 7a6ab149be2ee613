/**
 * Numbering of what lost attempts name, and the bound.
 */
#include "bamboomoor/quarantine/lossstore.hpp"

#include "bamboomoor/quarantine/crashanalysis.hpp"
#include "bamboomoor/quarantine/lossranking.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboomoor::quarantine
{

bool LossStore::Record::isCleared() const noexcept
{
    return identity == 0 && std::all_of(parts.begin(), parts.end(), [](std::uint32_t it) {
        return it == 0;
    });
}

bool LossStore::Record::has(std::uint32_t subject) const noexcept
{
    return subject != 0 && (identity == subject || std::find(parts.begin(), parts.end(), subject) != parts.end());
}

bool LossStore::add(const LostAttempt &attempt)
{
    const auto acquire = [this](const std::string &name) {
        return name.empty() ? 0 : m_names.acquire(name);
    };
    const std::uint32_t run = m_runs.find(attempt.run);
    const bool isKnown =
        run != 0 && m_known.contains({run, m_names.find(attempt.request), m_names.find(attempt.identity)});
    if (isKnown) {
        return false;
    }
    Record record;
    record.at = attempt.at;
    record.sentAt = attempt.sentAt;
    record.run = m_runs.acquire(attempt.run);
    record.request = acquire(attempt.request);
    record.identity = acquire(attempt.identity);
    record.reported = acquire(attempt.identity);
    record.parts.reserve(attempt.parts.size());
    for (const std::string &it : attempt.parts) {
        record.parts.push_back(acquire(it));
    }
    m_confirmed.resize(std::max(m_confirmed.size(), m_runs.bound()));
    record.confirmed = m_confirmed[record.run] > 0;
    ++(record.confirmed ? m_confirmed[record.run] : m_unconfirmed);
    m_known.emplace(record.run, record.request, record.reported);
    const auto place =
        std::upper_bound(m_records.begin(), m_records.end(), record.at, [](base::Millis at, const Record &it) {
            return at < it.at;
        });
    m_records.insert(place, std::move(record));
    if (m_records.size() > m_maxRecords) {
        shrink();
    }
    return true;
}

bool LossStore::confirm(const std::string &id, std::uint64_t before, base::Millis since, base::Millis until)
{
    std::vector<std::uint32_t> runs;
    const auto &numbers = m_runs.numbers();
    if (m_unconfirmed == 0) {
        return false;
    }
    for (auto it = numbers.lower_bound({id, 0}); it != numbers.end() && it->first.id == id; ++it) {
        if (it->first.incarnation < before) {
            runs.push_back(it->second);
        }
    }
    bool isNews = false;
    for (auto it = m_records.begin(); !runs.empty() && it != m_records.end() && it->at <= until; ++it) {
        if (!it->confirmed && it->at >= since && std::find(runs.begin(), runs.end(), it->run) != runs.end()) {
            it->confirmed = true;
            ++m_confirmed[it->run];
            --m_unconfirmed;
            isNews = true;
        }
    }
    return isNews;
}

bool LossStore::isConfirmed(const standing::Run &run) const
{
    const std::uint32_t number = m_runs.find(run);
    return number != 0 && m_confirmed[number] > 0;
}

void LossStore::refute(const standing::Run &run, base::Millis before)
{
    const std::uint32_t number = m_unconfirmed == 0 ? 0 : m_runs.find(run);
    if (number != 0) {
        remove([&](const Record &it) {
            return it.run == number && !it.confirmed && it.at < before;
        });
    }
}

void LossStore::clear(const std::string &subject, base::Millis until)
{
    const std::uint32_t number = m_names.find(subject);
    if (number == 0) {
        return;
    }
    for (auto it = m_records.begin(); it != m_records.end() && it->at <= until; ++it) {
        for (std::uint32_t &part : it->parts) {
            if (part == number) {
                m_names.release(std::exchange(part, 0));
            }
        }
        if (it->identity == number) {
            m_names.release(std::exchange(it->identity, 0));
        }
    }
}

void LossStore::remove(const std::function<bool(const Record &)> &isWanted)
{
    std::erase_if(m_records, [&](const Record &it) {
        const bool isRemoved = isWanted(it);
        if (isRemoved) {
            release(it);
        }
        return isRemoved;
    });
}

std::vector<bool> LossStore::atSeveral(bool onlyConfirmed) const
{
    std::vector<std::uint32_t> firstRun(m_names.bound(), 0);
    std::vector<bool> several(m_names.bound(), false);
    const auto count = [&](std::uint32_t subject, std::uint32_t run) {
        if (subject != 0 && firstRun[subject] == 0) {
            firstRun[subject] = run;
        } else if (subject != 0 && firstRun[subject] != run) {
            several[subject] = true;
        }
    };
    for (const Record &it : m_records) {
        if (onlyConfirmed && !it.confirmed) {
            continue;
        }
        for (const std::uint32_t part : it.parts) {
            count(part, it.run);
        }
        count(it.identity, it.run);
    }
    return several;
}

void LossStore::release(const Record &record)
{
    --(record.confirmed ? m_confirmed[record.run] : m_unconfirmed);
    m_known.erase({record.run, record.request, record.reported});
    m_runs.release(record.run);
    m_names.release(record.request);
    m_names.release(record.identity);
    m_names.release(record.reported);
    for (const std::uint32_t it : record.parts) {
        m_names.release(it);
    }
}

void LossStore::shrink()
{
    std::vector<Loss> losses;
    losses.reserve(m_records.size());
    for (const Record &it : m_records) {
        Loss loss;
        loss.upstream = it.run;
        // Numbers depend on the order of reports.
        loss.request = std::hash<std::string>()(m_names.key(it.reported != 0 ? it.reported : it.request));
        for (const std::uint32_t part : it.parts) {
            if (part != 0) {
                loss.subjects.push_back(part);
            }
        }
        if (it.identity != 0) {
            loss.subjects.push_back(it.identity);
        }
        loss.isPreferred = it.confirmed;
        losses.push_back(std::move(loss));
    }
    const std::size_t count = std::max<std::size_t>(1, m_maxRecords / DROPPED_PART);
    const std::vector<bool> chosen = leastInformative(losses, count);
    std::size_t n = 0;
    remove([&](const Record & /*record*/) {
        return chosen[n++];
    });
}

} // namespace bamboomoor::quarantine
