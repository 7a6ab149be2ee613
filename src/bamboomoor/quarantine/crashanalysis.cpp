/**
 * Counting of crashes for each prompt part and request, and the decision on quarantines.
 */
#include "bamboomoor/quarantine/crashanalysis.hpp"

#include "bamboomoor/quarantine/partlimits.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <string_view>
#include <tuple>
#include <utility>

namespace bamboomoor::quarantine
{

namespace
{

/** @brief Lists what may have caused the loss of an attempt: shared parts, then the request. */
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

} // namespace

bool CrashAnalysis::add(base::Millis now, const LostAttempt &attempt)
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
    if (!m_losses.add(attempt)) {
        return false;
    }
    m_evaluateUntil = now + m_options.firstPartSettleTime * 2;
    return true;
}

void CrashAnalysis::onUnreachable(base::Millis now, const std::string &upstream, base::Millis until)
{
    if (m_losses.confirm(upstream, std::numeric_limits<std::uint64_t>::max(), now - m_options.confirmTimeout, until)) {
        m_evaluateUntil = now + m_options.firstPartSettleTime * 2;
    }
}

void CrashAnalysis::onAnswered(const standing::Run &run, base::Millis sentAt)
{
    m_losses.refute(run, sentAt);
}

void CrashAnalysis::onRun(base::Millis now, const standing::Run &run)
{
    if (m_losses.confirm(run.id, run.incarnation, now - m_options.confirmTimeout, base::NEVER)) {
        m_evaluateUntil = now + m_options.firstPartSettleTime * 2;
    }
}

bool CrashAnalysis::hasCrashed(const standing::Run &run) const
{
    return m_losses.isConfirmed(run) || std::find(m_explained.begin(), m_explained.end(), run) != m_explained.end();
}

bool CrashAnalysis::onSurvival(const Survival &survival)
{
    m_losses.clear(survival.part, survival.at);
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
    const std::set<const Record *> kept = doubtOf(candidate.part, rivals);
    hold(candidate.part, {now + duration, duration, candidate.lastCrash, std::move(rivals)});
    m_lifted.erase(candidate.part);
    const std::uint32_t subject = m_losses.names().find(candidate.part);
    std::set<std::uint32_t> runs;
    for (const Record &it : m_losses.records()) {
        if (it.confirmed && it.has(subject)) {
            runs.insert(it.run);
        }
    }
    for (const std::uint32_t it : runs) {
        addExplained(m_losses.runs().key(it));
    }
    m_losses.remove([&](const Record &it) {
        return runs.contains(it.run) && !kept.contains(&it);
    });
    return {candidate.part, now + duration, candidate.crashes};
}

bool CrashAnalysis::isCommonPart(base::Millis now, const Appearances &part, std::uint32_t request) const
{
    const bool hasQuarantined = std::any_of(part.attempts.begin(), part.attempts.end(), [&](const Record *it) {
        return it->identity != request && it->identity != 0 && quarantinedFor(now, m_losses.names().key(it->identity));
    });
    const bool hasRequest = std::any_of(part.attempts.begin(), part.attempts.end(), [&](const Record *it) {
        return it->identity == request;
    });
    return !part.isRequest && hasQuarantined && hasRequest;
}

std::set<std::string> CrashAnalysis::rivalsOf(const std::string &request) const
{
    const std::uint32_t subject = m_losses.names().find(request);
    std::set<std::uint32_t> runs;
    for (const Record &it : m_losses.records()) {
        if (it.confirmed && it.identity == subject && subject != 0) {
            runs.insert(it.run);
        }
    }
    std::map<std::uint32_t, std::set<std::uint32_t>> others;
    for (const Record &it : m_losses.records()) {
        if (it.confirmed && it.identity != 0 && it.identity != subject && runs.contains(it.run)) {
            others[it.identity].insert(it.run);
        }
    }
    std::set<std::string> rivals;
    for (const auto &[identity, theirs] : others) {
        if (theirs.size() == runs.size()) {
            rivals.insert(m_losses.names().key(identity));
        }
    }
    // Many are in a single crash only, which renews a quarantine.
    while (rivals.size() > m_options.maxRivals) {
        rivals.erase(std::prev(rivals.end()));
    }
    return rivals;
}

std::set<const CrashAnalysis::Record *> CrashAnalysis::doubtOf(
    const std::string &request, const std::set<std::string> &rivals) const
{
    std::set<const Record *> kept;
    std::map<std::uint32_t, std::size_t> counts;
    const auto &records = m_losses.records();
    const std::uint32_t subject = m_losses.names().find(request);
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
        const bool isRequest = it->identity == subject;
        if (!it->confirmed || it->identity == 0
            || !(isRequest || rivals.contains(m_losses.names().key(it->identity)))) {
            continue;
        }
        const std::size_t wanted = isRequest ? 1 : m_options.minRequestCrashes - 1;
        if (counts[it->identity] < wanted) {
            ++counts[it->identity];
            kept.insert(&*it);
        }
    }
    return kept;
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

void CrashAnalysis::addExplained(const standing::Run &run)
{
    if (std::find(m_explained.begin(), m_explained.end(), run) == m_explained.end()) {
        m_explained.push_back(run);
    }
    if (m_explained.size() > m_options.maxExplained) {
        m_explained.pop_front();
    }
}

void CrashAnalysis::explain(const standing::Run &run)
{
    addExplained(run);
    const std::uint32_t number = m_losses.runs().find(run);
    if (number != 0) {
        m_losses.remove([number](const Record &it) {
            return it.run == number;
        });
    }
}

std::unordered_map<std::uint32_t, CrashAnalysis::Appearances> CrashAnalysis::appearances() const
{
    // A crash that is the only one counts only against what was quarantined before.
    std::vector<bool> matters = m_losses.atSeveral(true);
    for (const auto &[subject, held] : m_held) {
        matters[m_losses.names().find(subject)] = true;
    }
    matters[0] = false;
    std::unordered_map<std::uint32_t, Appearances> found;
    for (const Record &record : m_losses.records()) {
        for (std::size_t n = 0; record.confirmed && n < record.parts.size(); ++n) {
            if (matters[record.parts[n]]) {
                Appearances &it = found[record.parts[n]];
                it.position = std::max(it.position, n);
                it.attempts.push_back(&record);
            }
        }
        if (record.confirmed && matters[record.identity]) {
            Appearances &it = found[record.identity];
            it.position = MAX_PARTS;
            it.isRequest = true;
            it.attempts.push_back(&record);
        }
    }
    return found;
}

std::optional<CrashAnalysis::Candidate> CrashAnalysis::nextCandidate(base::Millis now, const std::string &request) const
{
    std::unordered_map<std::uint32_t, Appearances> subjects = appearances();
    const std::uint32_t requestNumber = m_losses.names().find(request);
    // A part in clearly more crashes, which may still be cleared, is the better explanation.
    std::size_t most = 0;
    for (auto &[subject, it] : subjects) {
        it.crashes = countCrashes(now, m_losses.names().key(subject), it).crashes;
        most = std::max(most, it.crashes);
    }
    std::optional<Candidate> best;
    for (const auto &[subject, it] : subjects) {
        const std::string &part = m_losses.names().key(subject);
        const std::size_t minCrashes = it.isRequest ? m_options.minRequestCrashes : m_options.minCrashes;
        const std::size_t needed = isOnProbation(now, part) ? 1 : minCrashes;
        const base::Millis settle = it.position == 0 ? m_options.firstPartSettleTime : m_options.settleTime;
        Candidate candidate = countCrashes(now - settle, part, it);
        if (candidate.crashes < needed || it.crashes + 1 < most) {
            continue;
        }
        if (!request.empty() && !isCommonPart(now, it, requestNumber)) {
            continue;
        }
        // Of subjects that go together, the later one affects the fewest sound requests.
        if (!best
            || std::tie(candidate.position, candidate.crashes, best->part)
                > std::tie(best->position, best->crashes, candidate.part)) {
            best = std::move(candidate);
        }
    }
    return best;
}

bool CrashAnalysis::isAlone(base::Millis from, base::Millis to, const Appearances &appearances) const
{
    std::set<std::uint32_t> runs;
    for (const Record *it : appearances.attempts) {
        runs.insert(it->run);
    }
    const auto &records = m_losses.records();
    const auto first =
        std::upper_bound(records.begin(), records.end(), from - m_options.mergeInterval, [](auto at, const auto &it) {
            return at < it.at;
        });
    return std::all_of(first, records.end(), [&](const Record &it) {
        return it.at >= to + m_options.mergeInterval || runs.contains(it.run);
    });
}

CrashAnalysis::Candidate CrashAnalysis::countCrashes(
    base::Millis until, const std::string &part, const Appearances &appearances) const
{
    const auto held = m_held.find(part);
    Candidate candidate{part, appearances.position, 0, {}};
    std::set<std::uint32_t> requests;
    std::vector<std::uint32_t> runs;
    std::size_t moments = 0;
    base::Millis moment;
    for (const Record *it : appearances.attempts) {
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
    m_losses.remove([&](const Record &it) {
        // Cleared ones remain for a while, as reports of them are repeated.
        const bool isEvidence = it.confirmed && !it.isCleared();
        return now - it.at > (isEvidence ? m_options.evidenceLife : m_options.confirmTimeout);
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
    const std::vector<bool> atSeveral = m_losses.atSeveral(false);
    std::unordered_map<std::uint32_t, std::set<std::uint32_t>> runs;
    for (const Record &it : m_losses.records()) {
        for (const std::uint32_t part : it.parts) {
            if (atSeveral[part]) {
                runs[part].insert(it.run);
            }
        }
        if (atSeveral[it.identity]) {
            runs[it.identity].insert(it.run);
        }
    }
    std::vector<std::pair<std::size_t, std::string>> counts;
    counts.reserve(runs.size());
    for (const auto &[subject, known] : runs) {
        counts.emplace_back(known.size(), m_losses.names().key(subject));
    }
    std::sort(counts.rbegin(), counts.rend());
    std::vector<std::string> parts;
    for (std::size_t n = 0; n < counts.size() && n < m_options.maxSuspects; ++n) {
        parts.push_back(std::move(counts[n].second));
    }
    return parts;
}

} // namespace bamboomoor::quarantine
