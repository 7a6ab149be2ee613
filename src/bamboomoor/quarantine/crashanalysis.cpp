/**
 * Counting of crashes for each prompt part and request, and the decision on quarantines.
 */
#include "bamboomoor/quarantine/crashanalysis.hpp"

#include "bamboomoor/quarantine/partlimits.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace bamboomoor::quarantine
{

namespace
{

/** @brief Lists what may have caused the loss of an attempt and has not been cleared: shared parts, then the request.
 */
std::vector<std::string_view> subjectsOf(const LostAttempt &attempt)
{
    std::vector<std::string_view> subjects;
    for (const std::string &it : attempt.parts) {
        if (!it.empty()) {
            subjects.emplace_back(it);
        }
    }
    if (!attempt.identity.empty()) {
        subjects.emplace_back(attempt.identity);
    }
    return subjects;
}

bool hasSubject(const LostAttempt &attempt, const std::string &subject)
{
    return attempt.identity == subject
        || std::find(attempt.parts.begin(), attempt.parts.end(), subject) != attempt.parts.end();
}

} // namespace

bool CrashAnalysis::add(base::Millis now, LostAttempt attempt)
{
    const bool explained = std::find(m_explained.begin(), m_explained.end(), attempt.run) != m_explained.end();
    const std::vector<std::string_view> subjects = subjectsOf(attempt);
    if (explained || subjects.empty() || now - attempt.at > m_options.evidenceLife) {
        return false;
    }
    const bool onQuarantined = std::any_of(subjects.begin(), subjects.end(), [&](std::string_view it) {
        return quarantinedFor(now, std::string(it)).has_value();
    });
    if (onQuarantined) {
        explain(attempt.run);
        return false;
    }
    // Another attempt that was lost in the same crash may have been confirmed already.
    bool confirmed = false;
    for (const Record &it : m_records) {
        if (it.attempt.run != attempt.run) {
            continue;
        }
        if (it.attempt.request == attempt.request && it.identity == attempt.identity) {
            return false;
        }
        confirmed = confirmed || it.confirmed;
    }
    std::string identity = attempt.identity;
    insert({std::move(attempt), std::move(identity), confirmed});
    m_evaluateUntil = now + m_options.firstPartSettleTime * 2;
    return true;
}

void CrashAnalysis::insert(Record record)
{
    const auto place =
        std::upper_bound(m_records.begin(), m_records.end(), record.attempt.at, [](base::Millis at, const Record &it) {
            return at < it.attempt.at;
        });
    m_records.insert(place, std::move(record));
    if (m_records.size() > m_options.maxAttempts) {
        const auto unconfirmed = std::find_if(m_records.begin(), m_records.end(), [](const Record &it) {
            return !it.confirmed;
        });
        m_records.erase(unconfirmed == m_records.end() ? m_records.begin() : unconfirmed);
    }
}

void CrashAnalysis::onUnreachable(base::Millis now, const std::string &upstream)
{
    for (Record &it : m_records) {
        if (!it.confirmed && it.attempt.run.id == upstream && now - it.attempt.at <= m_options.confirmTimeout) {
            it.confirmed = true;
            m_evaluateUntil = now + m_options.firstPartSettleTime * 2;
        }
    }
}

bool CrashAnalysis::hasUnconfirmed() const noexcept
{
    return std::any_of(m_records.begin(), m_records.end(), [](const Record &it) {
        return !it.confirmed;
    });
}

void CrashAnalysis::onRun(base::Millis now, const standing::Run &run)
{
    for (Record &it : m_records) {
        const bool restarted = it.attempt.run.id == run.id && it.attempt.run.incarnation < run.incarnation;
        if (!it.confirmed && restarted && now - it.attempt.at <= m_options.confirmTimeout) {
            it.confirmed = true;
            m_evaluateUntil = now + m_options.firstPartSettleTime * 2;
        }
    }
}

bool CrashAnalysis::onSurvival(const Survival &survival)
{
    for (Record &it : m_records) {
        if (it.attempt.at <= survival.at) {
            std::replace(it.attempt.parts.begin(), it.attempt.parts.end(), survival.part, std::string());
            if (it.attempt.identity == survival.part) {
                it.attempt.identity.clear();
            }
        }
    }
    const auto held = m_held.find(survival.part);
    if (held == m_held.end() || survival.at <= held->second.lastCrash) {
        return false;
    }
    m_held.erase(held);
    m_lifted[survival.part] = survival.at;
    if (m_lifted.size() > m_options.maxQuarantined) {
        m_lifted.erase(std::min_element(m_lifted.begin(), m_lifted.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        }));
    }
    return true;
}

bool CrashAnalysis::merge(base::Millis now, const Quarantine &quarantine)
{
    const base::Millis until = std::min(quarantine.until, now + m_options.maxQuarantineTime);
    const auto held = m_held.find(quarantine.part);
    if (until <= now) {
        if (held != m_held.end()) {
            m_held.erase(held);
        }
        return false;
    }
    const auto lifted = m_lifted.find(quarantine.part);
    if (lifted != m_lifted.end() && now - lifted->second <= m_options.liftedLife) {
        return false;
    }
    const bool isNews = held == m_held.end() || until - std::max(now, held->second.until) > m_options.clockTolerance;
    if (isNews) {
        hold(quarantine.part, {until, m_options.quarantineTime, now, {}});
    }
    return isNews;
}

std::vector<Finding> CrashAnalysis::evaluate(base::Millis now)
{
    std::vector<Finding> findings;
    if (now < m_nextEvaluation) {
        return findings;
    }
    m_nextEvaluation = now + m_options.evaluationInterval;
    expire(now);
    if (now > m_evaluateUntil) {
        return findings;
    }
    while (const auto candidate = nextCandidate(now, {})) {
        // The evidence against the part goes with the quarantine of the request.
        const auto common = candidate->position == MAX_PARTS ? nextCandidate(now, candidate->part) : std::nullopt;
        findings.push_back(quarantine(now, *candidate));
        if (common) {
            findings.push_back(quarantine(now, *common));
        }
    }
    return findings;
}

Finding CrashAnalysis::quarantine(base::Millis now, const Candidate &candidate)
{
    const auto held = m_held.find(candidate.part);
    const base::Millis duration = held == m_held.end()
        ? m_options.quarantineTime
        : std::min(held->second.duration * 2, m_options.maxQuarantineTime);
    std::set<std::string> rivals = rivalsOf(candidate.part);
    releaseRivalsOf(now, candidate.part);
    std::vector<Record> kept = doubtOf(candidate.part, rivals);
    hold(candidate.part, {now + duration, duration, candidate.lastCrash, std::move(rivals)});
    m_lifted.erase(candidate.part);
    std::vector<standing::Run> runs;
    for (const Record &it : m_records) {
        if (it.confirmed && hasSubject(it.attempt, candidate.part)) {
            runs.push_back(it.attempt.run);
        }
    }
    std::for_each(runs.begin(), runs.end(), [this](const standing::Run &it) {
        explain(it);
    });
    for (Record &it : kept) {
        insert(std::move(it));
    }
    return {candidate.part, now + duration, candidate.crashes};
}

bool CrashAnalysis::isCommonPart(base::Millis now, const Appearances &part, const std::string &request) const
{
    const bool hasQuarantined = std::any_of(part.attempts.begin(), part.attempts.end(), [&](const LostAttempt *it) {
        return it->identity != request && quarantinedFor(now, it->identity);
    });
    const bool hasRequest = std::any_of(part.attempts.begin(), part.attempts.end(), [&](const LostAttempt *it) {
        return it->identity == request;
    });
    return !part.isRequest && hasQuarantined && hasRequest;
}

std::set<std::string> CrashAnalysis::rivalsOf(const std::string &request) const
{
    std::set<standing::Run> runs;
    std::map<std::string, std::set<standing::Run>> others;
    for (const Record &it : m_records) {
        if (it.confirmed && !it.attempt.identity.empty()) {
            (it.attempt.identity == request ? runs : others[it.attempt.identity]).insert(it.attempt.run);
        }
    }
    std::set<std::string> rivals;
    for (const auto &[identity, theirs] : others) {
        if (!runs.empty() && std::includes(theirs.begin(), theirs.end(), runs.begin(), runs.end())) {
            rivals.insert(identity);
        }
    }
    return rivals;
}

std::vector<CrashAnalysis::Record> CrashAnalysis::doubtOf(
    const std::string &request, const std::set<std::string> &rivals) const
{
    std::map<std::string, std::vector<Record>> kept;
    for (auto it = m_records.rbegin(); it != m_records.rend(); ++it) {
        const std::string &identity = it->attempt.identity;
        const std::size_t wanted = identity == request ? 1 : m_options.minRequestCrashes - 1;
        if (it->confirmed && (identity == request || rivals.contains(identity)) && kept[identity].size() < wanted) {
            kept[identity].push_back(*it);
        }
    }
    std::vector<Record> records;
    for (auto &[identity, it] : kept) {
        records.insert(records.end(), it.begin(), it.end());
    }
    return records;
}

void CrashAnalysis::releaseRivalsOf(base::Millis now, const std::string &request)
{
    std::erase_if(m_held, [&](const auto &it) {
        const bool isRival = it.second.rivals.contains(request);
        if (isRival) {
            m_lifted[it.first] = now;
        }
        return isRival;
    });
}

void CrashAnalysis::explain(const standing::Run &run)
{
    if (std::find(m_explained.begin(), m_explained.end(), run) == m_explained.end()) {
        m_explained.push_back(run);
    }
    if (m_explained.size() > m_options.maxExplained) {
        m_explained.pop_front();
    }
    std::erase_if(m_records, [&run](const Record &it) {
        return it.attempt.run == run;
    });
}

std::optional<CrashAnalysis::Candidate> CrashAnalysis::nextCandidate(base::Millis now, const std::string &request) const
{
    std::map<std::string, Appearances> appearances;
    for (const auto &[attempt, identity, confirmed] : m_records) {
        for (std::size_t n = 0; confirmed && n < attempt.parts.size(); ++n) {
            if (!attempt.parts[n].empty()) {
                Appearances &it = appearances[attempt.parts[n]];
                it.position = std::max(it.position, n);
                it.attempts.push_back(&attempt);
            }
        }
        if (confirmed && !attempt.identity.empty()) {
            Appearances &it = appearances[attempt.identity];
            it.position = MAX_PARTS;
            it.isRequest = true;
            it.attempts.push_back(&attempt);
        }
    }
    // A part in clearly more crashes, which may still be cleared, is the better explanation.
    std::size_t most = 0;
    for (auto &[subject, it] : appearances) {
        it.crashes = countCrashes(now, subject, it).crashes;
        most = std::max(most, it.crashes);
    }
    std::optional<Candidate> best;
    for (const auto &[part, it] : appearances) {
        const std::size_t minCrashes = it.isRequest ? m_options.minRequestCrashes : m_options.minCrashes;
        const std::size_t needed = isOnProbation(now, part) ? 1 : minCrashes;
        const base::Millis settle = it.position == 0 ? m_options.firstPartSettleTime : m_options.settleTime;
        Candidate candidate = countCrashes(now - settle, part, it);
        if (candidate.crashes < needed || it.crashes + 1 < most) {
            continue;
        }
        if (!request.empty() && !isCommonPart(now, it, request)) {
            continue;
        }
        // Of subjects that go together, the later one affects the fewest sound requests.
        if (!best || std::pair(candidate.position, candidate.crashes) > std::pair(best->position, best->crashes)) {
            best = std::move(candidate);
        }
    }
    return best;
}

bool CrashAnalysis::isAlone(base::Millis from, base::Millis to, const Appearances &appearances) const
{
    return std::all_of(m_records.begin(), m_records.end(), [&](const Record &it) {
        const bool isBeside =
            it.attempt.at > from - m_options.mergeInterval && it.attempt.at < to + m_options.mergeInterval;
        return !isBeside
            || std::any_of(appearances.attempts.begin(), appearances.attempts.end(), [&it](const LostAttempt *attempt) {
                   return attempt->run == it.attempt.run;
               });
    });
}

CrashAnalysis::Candidate CrashAnalysis::countCrashes(
    base::Millis until, const std::string &part, const Appearances &appearances) const
{
    const auto held = m_held.find(part);
    Candidate candidate{part, appearances.position, 0, {}};
    std::set<std::string> requests;
    std::vector<standing::Run> runs;
    std::size_t moments = 0;
    base::Millis moment;
    for (const LostAttempt *it : appearances.attempts) {
        const bool isKnown = std::find(runs.begin(), runs.end(), it->run) != runs.end();
        if (isKnown || it->at > until || (held != m_held.end() && it->at <= held->second.until)) {
            continue;
        }
        bool isSeparate = moments == 0 || it->at - moment >= m_options.mergeInterval;
        // A rack may fail within some time; then it loses upstreams that the request was not at.
        const bool isByRequest = !isSeparate && appearances.isRequest && m_options.countBursts
            && isAlone(candidate.lastCrash, it->at, appearances);
        isSeparate = isSeparate || (isByRequest && it->sentAt && *it->sentAt >= candidate.lastCrash);
        if (!isSeparate && !isByRequest) {
            continue;
        }
        if (isSeparate) {
            ++moments;
            moment = it->at;
        }
        candidate.lastCrash = it->at;
        requests.insert(it->request);
        runs.push_back(it->run);
    }
    const bool suffices =
        appearances.isRequest ? moments >= m_options.minRequestMoments : requests.size() >= m_options.minRequests;
    if (suffices || held != m_held.end()) {
        candidate.crashes = runs.size();
    } else if (appearances.isRequest) {
        candidate.crashes = moments;
    }
    return candidate;
}

bool CrashAnalysis::isOnProbation(base::Millis now, const std::string &part) const
{
    const auto held = m_held.find(part);
    return held != m_held.end() && held->second.until <= now;
}

void CrashAnalysis::hold(const std::string &part, const Held &held)
{
    m_held[part] = held;
    if (m_held.size() > m_options.maxQuarantined) {
        m_held.erase(std::min_element(m_held.begin(), m_held.end(), [](const auto &left, const auto &right) {
            return left.second.until < right.second.until;
        }));
    }
}

void CrashAnalysis::expire(base::Millis now)
{
    std::erase_if(m_records, [&](const Record &it) {
        // Cleared ones remain for a while, as reports of them are repeated.
        const bool isEvidence = it.confirmed && !subjectsOf(it.attempt).empty();
        return now - it.attempt.at > (isEvidence ? m_options.evidenceLife : m_options.confirmTimeout);
    });
    std::erase_if(m_lifted, [&](const auto &it) {
        return now - it.second > m_options.liftedLife;
    });
    std::erase_if(m_held, [now](const auto &it) {
        return now - it.second.until > it.second.duration;
    });
}

std::optional<base::Millis> CrashAnalysis::quarantinedFor(base::Millis now, const std::string &part) const
{
    const auto held = m_held.find(part);
    return held == m_held.end() || held->second.until <= now ? std::nullopt : std::optional(held->second.until - now);
}

std::vector<Quarantine> CrashAnalysis::quarantines(base::Millis now) const
{
    std::vector<Quarantine> quarantined;
    for (const auto &[part, held] : m_held) {
        if (held.until > now) {
            quarantined.push_back({part, held.until});
        }
    }
    return quarantined;
}

std::vector<Quarantine> CrashAnalysis::announced(base::Millis now) const
{
    std::vector<Quarantine> parts = quarantines(now);
    for (const auto &[part, at] : m_lifted) {
        if (now - at <= m_options.liftedLife) {
            parts.push_back({part, now});
        }
    }
    return parts;
}

const std::vector<std::string> &CrashAnalysis::suspects(base::Millis now)
{
    if (now >= m_nextSuspects) {
        m_nextSuspects = now + m_options.suspectInterval;
        m_suspects = findSuspects();
    }
    return m_suspects;
}

std::vector<std::string> CrashAnalysis::findSuspects() const
{
    std::map<std::string, std::vector<const standing::Run *>> runs;
    for (const Record &it : m_records) {
        for (const std::string_view subject : subjectsOf(it.attempt)) {
            auto &known = runs[std::string(subject)];
            const bool isNew = std::none_of(known.begin(), known.end(), [&it](const standing::Run *run) {
                return *run == it.attempt.run;
            });
            if (isNew) {
                known.push_back(&it.attempt.run);
            }
        }
    }
    std::vector<std::pair<std::size_t, std::string>> counts;
    for (const auto &[part, known] : runs) {
        if (known.size() > 1) {
            counts.emplace_back(known.size(), part);
        }
    }
    std::sort(counts.rbegin(), counts.rend());
    std::vector<std::string> parts;
    for (std::size_t n = 0; n < counts.size() && n < m_options.maxSuspects; ++n) {
        parts.push_back(std::move(counts[n].second));
    }
    return parts;
}

} // namespace bamboomoor::quarantine
