/**
 * The leader's record of streams, and held questions.
 */
#include "bamboomoor/lineage/originauthority.hpp"

#include <algorithm>

namespace bamboomoor::lineage
{

void OriginAuthority::add(base::Millis now, const StreamRecord &record)
{
    while (!m_ends.empty() && m_ends.begin()->first <= now) {
        m_streams.erase(m_ends.begin()->second);
        m_ends.erase(m_ends.begin());
    }
    const auto known = m_streams.find(record.stream);
    if (known != m_streams.end()) {
        known->second.contradictory = known->second.contradictory || known->second.origin != record.origin;
        return;
    }
    if (m_streams.size() >= m_options.maxStreams || record.until <= now) {
        return;
    }
    m_streams.emplace(record.stream, Stream{record.origin, record.until, false});
    m_ends.emplace(record.until, record.stream);
    if (!m_held.empty()) {
        m_reported.insert(record.stream);
    }
}

std::optional<Answer> OriginAuthority::answerTo(base::Millis now, const Question &question) const
{
    const auto it = m_streams.find(question.stream);
    if (it == m_streams.end() || now >= it->second.until) {
        return std::nullopt;
    }
    const bool isCertain = !it->second.contradictory && it->second.origin.service == question.service;
    return Answer{question.number, isCertain ? std::optional(it->second.origin.software) : std::nullopt};
}

std::optional<Answer> OriginAuthority::ask(base::Millis now, Question question)
{
    if (question.versions.size() == 1) {
        return Answer{question.number, *question.versions.begin()};
    }
    if (question.versions.empty() || question.stream.empty()) {
        return Answer{question.number, std::nullopt};
    }
    if (auto answer = answerTo(now, question)) {
        return answer;
    }
    if (m_held.size() >= m_options.maxHeld) {
        return Answer{question.number, std::nullopt};
    }
    m_held.emplace(now + m_options.hold, std::move(question));
    return std::nullopt;
}

std::vector<Answer> OriginAuthority::takeAnswers(base::Millis now)
{
    std::vector<Answer> answers;
    const bool hasNews = !m_reported.empty();
    for (auto it = m_held.begin(); it != m_held.end();) {
        const bool isOver = now >= it->first;
        if (!isOver && !hasNews) {
            break;
        }
        if (!isOver && !m_reported.contains(it->second.stream)) {
            ++it;
            continue;
        }
        answers.push_back(answerTo(now, it->second).value_or(Answer{it->second.number, std::nullopt}));
        it = m_held.erase(it);
    }
    m_reported.clear();
    return answers;
}

base::Millis OriginAuthority::nextDeadline() const noexcept
{
    if (m_held.empty()) {
        return base::NEVER;
    }
    return m_reported.empty() ? m_held.begin()->first : base::Millis{0};
}

} // namespace bamboomoor::lineage
