/**
 * Replacement of the quarantined subjects, within their bounds.
 */
#include "bamboomoor/state/quarantinetable.hpp"

#include "bamboomoor/state/json.hpp"

#include <algorithm>

namespace bamboomoor::state
{

CountOutcome QuarantineTable::replace(const RecordQuarantines &command)
{
    m_ends.clear();
    for (const QuarantineEnd &it : command.quarantines) {
        if (it.subject.empty() || it.subject.size() > m_maxSubjectBytes) {
            continue;
        }
        const auto [held, isNew] = m_ends.try_emplace(it.subject, it.untilMillis);
        held->second = std::max(held->second, it.untilMillis);
        if (m_ends.size() > m_maxSubjects) {
            m_ends.erase(std::min_element(m_ends.begin(), m_ends.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            }));
        }
    }
    return {m_ends.size()};
}

nlohmann::json QuarantineTable::save() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[subject, untilMillis] : m_ends) {
        out.push_back(QuarantineEnd{subject, untilMillis});
    }
    return out;
}

void QuarantineTable::load(const nlohmann::json &json)
{
    replace({json.get<std::vector<QuarantineEnd>>()});
}

} // namespace bamboomoor::state
