/**
 * Recording of withdrawals, within their bounds.
 */
#include "bamboomoor/state/withdrawaltable.hpp"

#include "bamboomoor/state/json.hpp"

#include <algorithm>

namespace bamboomoor::state
{

CountOutcome WithdrawalTable::apply(std::uint64_t index, const RecordWithdrawal &command)
{
    if (command.upstream.size() > m_maxNameBytes) {
        return {0};
    }
    if (!contains(command.upstream, command.incarnation)) {
        m_withdrawals[command.upstream] = {command.incarnation, command.wallMillis, index};
        m_revision = index;
        dropOld(command.wallMillis);
    }
    return {1};
}

void WithdrawalTable::dropOld(std::int64_t wallMillis)
{
    std::erase_if(m_withdrawals, [&](const auto &it) {
        return it.second.index != m_revision && it.second.wallMillis < wallMillis - m_retentionMillis;
    });
    if (m_withdrawals.size() > m_maxWithdrawals) {
        m_withdrawals.erase(
            std::min_element(m_withdrawals.begin(), m_withdrawals.end(), [](const auto &a, const auto &b) {
                return a.second.index < b.second.index;
            }));
    }
}

bool WithdrawalTable::contains(std::string_view upstream, std::uint64_t incarnation) const
{
    const auto it = m_withdrawals.find(upstream);
    return it != m_withdrawals.end() && incarnation <= it->second.incarnation;
}

nlohmann::json WithdrawalTable::save() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[upstream, it] : m_withdrawals) {
        out.push_back({{"upstream", upstream}, {"incarnation", it.incarnation}, {"wallMillis", it.wallMillis},
            {"index", it.index}});
    }
    return out;
}

void WithdrawalTable::load(const nlohmann::json &json)
{
    m_withdrawals.clear();
    m_revision = 0;
    for (const nlohmann::json &it : json) {
        const auto index = it.at("index").get<std::uint64_t>();
        m_withdrawals[it.at("upstream").get<std::string>()] = {
            it.at("incarnation").get<std::uint64_t>(), it.at("wallMillis").get<std::int64_t>(), index};
        m_revision = std::max(m_revision, index);
    }
}

} // namespace bamboomoor::state
