/**
 * Reporting to the leader, and the watch for survivals.
 */
#include "bamboomoor/quarantine/promptguard.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/quarantine/lossranking.hpp"
#include "bamboomoor/quarantine/partlimits.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace bamboomoor::quarantine
{

namespace
{

std::string keyOf(const std::string &id)
{
    return id.size() > MAX_PART_LENGTH || id.starts_with(REQUEST_PREFIX) ? base::sha256(id) : id;
}

std::string identityOf(const RequestTraits &request)
{
    return std::string(REQUEST_PREFIX) + request.fingerprint;
}

/** @brief Lists the parts that other requests may share, which are all but the last. */
std::vector<std::string> sharedParts(const std::vector<std::string> &parts)
{
    std::vector<std::string> shared;
    for (std::size_t n = 0; n + 1 < parts.size() && n < MAX_PARTS; ++n) {
        shared.push_back(keyOf(parts[n]));
    }
    return shared;
}

/** @brief Lists what may be quarantined about a request. */
std::vector<std::string> subjectsOf(const RequestTraits &request)
{
    std::vector<std::string> subjects = sharedParts(request.parts);
    subjects.push_back(identityOf(request));
    return subjects;
}

} // namespace

void PromptGuard::watch(base::Millis now, const std::string &part)
{
    const auto [it, isNew] = m_watched.try_emplace(part, Watched{now, std::nullopt, 0, false});
    if (!isNew) {
        it->second.since = now;
        return;
    }
    if (m_watched.size() > m_options.maxWatched) {
        m_watched.erase(std::min_element(m_watched.begin(), m_watched.end(), [](const auto &left, const auto &right) {
            return left.second.since < right.second.since;
        }));
    }
}

void PromptGuard::onLost(base::Millis now, const standing::Run &run, const RequestTraits &request, base::Millis sentAt)
{
    const std::string identity = identityOf(request);
    const std::string key = request.parts.empty() ? identity : keyOf(request.parts.back());
    LostAttempt attempt{run, now, key, sharedParts(request.parts), identity, sentAt};
    for (const std::string &it : subjectsOf(request)) {
        watch(now, it);
    }
    m_analysis.add(now, attempt);
    m_lost.push_back({std::move(attempt), 0, false});
    if (m_lost.size() > m_options.maxLost) {
        dropLost();
    }
    m_urgent = true;
}

void PromptGuard::dropLost()
{
    std::vector<Loss> losses;
    losses.reserve(m_lost.size());
    const std::hash<std::string> digest;
    for (const Unacknowledged &it : m_lost) {
        Loss loss;
        loss.upstream = digest(it.attempt.run.id) + it.attempt.run.incarnation;
        loss.request = digest(it.attempt.identity);
        for (const std::string &part : it.attempt.parts) {
            loss.subjects.push_back(digest(part));
        }
        loss.subjects.push_back(loss.request);
        loss.isPreferred = !it.acknowledged;
        losses.push_back(std::move(loss));
    }
    const std::size_t count = std::max<std::size_t>(1, m_options.maxLost / DROPPED_PART);
    const std::vector<bool> dropped = leastInformative(losses, count);
    std::size_t n = 0;
    std::erase_if(m_lost, [&](const Unacknowledged & /*it*/) {
        return dropped[n++];
    });
}

void PromptGuard::onUnreachable(base::Millis now, const std::string &upstream)
{
    if (m_reachedAt) {
        m_analysis.onUnreachable(now, upstream, *m_reachedAt);
    }
    if (haveOthersCrashed(upstream)) {
        m_analysis.onUnreachable(now, upstream);
    }
}

bool PromptGuard::haveOthersCrashed(const std::string &upstream) const
{
    return m_runs.size() > 1 && std::all_of(m_runs.begin(), m_runs.end(), [&](const standing::Run &it) {
        return it.id == upstream || m_analysis.hasCrashed(it);
    });
}

void PromptGuard::onReached(base::Millis sentAt, bool newConnection) noexcept
{
    if (newConnection) {
        m_reachedAt = std::max(m_reachedAt.value_or(sentAt), sentAt);
    }
}

void PromptGuard::onAnswered(const standing::Run &run, base::Millis sentAt)
{
    m_analysis.onAnswered(run, sentAt);
}

void PromptGuard::onRuns(base::Millis now, const std::vector<standing::Run> &runs)
{
    if (!runs.empty()) {
        m_runs = runs;
    }
    if (m_analysis.hasUnconfirmed()) {
        for (const standing::Run &it : runs) {
            m_analysis.onRun(now, it);
        }
    }
}

void PromptGuard::onSurvival(base::Millis now, const RequestTraits &request)
{
    for (const std::string &subject : subjectsOf(request)) {
        const auto it = m_watched.find(subject);
        if (it == m_watched.end()) {
            continue;
        }
        m_analysis.onSurvival({it->first, now});
        Watched &watched = it->second;
        m_urgent = m_urgent || !watched.survivedAt || *watched.survivedAt < watched.since;
        watched.survivedAt = now;
        watched.sequence = 0;
        watched.acknowledged = false;
    }
}

std::optional<std::pair<std::string, base::Millis>> PromptGuard::quarantined(
    base::Millis now, const RequestTraits &request) const
{
    for (std::string &subject : subjectsOf(request)) {
        if (const auto left = m_analysis.quarantinedFor(now, subject)) {
            return std::pair(std::move(subject), *left);
        }
    }
    return std::nullopt;
}

std::vector<Finding> PromptGuard::onLeaderReply(base::Millis now, const LeaderReply &reply)
{
    if (reply.term < m_term) {
        return {};
    }
    const bool isOtherLeader = m_term != 0 && reply.term > m_term;
    m_term = reply.term;
    if (isOtherLeader) {
        // The answered report left out what an earlier leader had acknowledged.
        for (Unacknowledged &it : m_lost) {
            it.sequence = 0;
            it.acknowledged = false;
        }
        for (auto &[part, it] : m_watched) {
            it.sequence = 0;
            it.acknowledged = false;
        }
    }
    bool isNews = false;
    bool hasMore = false;
    for (Unacknowledged &it : m_lost) {
        const bool isAcknowledged = it.sequence != 0 && it.sequence <= reply.acknowledged;
        isNews = isNews || (isAcknowledged && !it.acknowledged);
        it.acknowledged = it.acknowledged || isAcknowledged;
        hasMore = hasMore || (it.sequence == 0 && !it.acknowledged);
    }
    // What did not fit into the acknowledged report.
    m_urgent = m_urgent || (isNews && hasMore);
    for (auto &[part, it] : m_watched) {
        it.acknowledged = it.acknowledged || (it.sequence != 0 && it.sequence <= reply.acknowledged);
    }
    for (const std::string &it : reply.suspects) {
        watch(now, it);
    }
    std::vector<Finding> findings;
    for (const Quarantine &it : reply.quarantines) {
        watch(now, it.part);
        const bool isNew = !m_analysis.quarantinedFor(now, it.part);
        if (m_analysis.merge(now, it) && isNew) {
            findings.push_back({it.part, it.until, 0});
        }
    }
    return findings;
}

std::vector<Finding> PromptGuard::evaluate(base::Millis now)
{
    std::vector<Finding> findings = m_analysis.evaluate(now);
    for (const Finding &it : findings) {
        watch(now, it.part);
    }
    m_urgent = m_urgent || !findings.empty();
    return findings;
}

Report PromptGuard::takeReport(base::Millis now)
{
    while (!m_lost.empty() && now - m_lost.front().attempt.at > m_options.reportLife) {
        m_lost.pop_front();
    }
    std::erase_if(m_watched, [&](const auto &it) {
        return now - it.second.since > m_options.reportLife;
    });
    Report report;
    report.sequence = ++m_lastSequence;
    for (Unacknowledged &it : m_lost) {
        if (!it.acknowledged && report.lostAttempts.size() < m_options.maxReported) {
            it.sequence = it.sequence == 0 ? report.sequence : it.sequence;
            report.lostAttempts.push_back(it.attempt);
        }
    }
    for (auto &[part, it] : m_watched) {
        if (it.survivedAt && !it.acknowledged) {
            it.sequence = it.sequence == 0 ? report.sequence : it.sequence;
            report.survivals.push_back({part, *it.survivedAt});
        }
    }
    report.quarantines = m_analysis.quarantines(now);
    return report;
}

} // namespace bamboomoor::quarantine
