/**
 * Ceilings of granted tokens and intents of orders.
 */
#include "bamboomoor/state/leaderlog.hpp"

#include "bamboomoor/state/json.hpp"

#include <algorithm>

namespace bamboomoor::state
{

CeilingOutcome LeaderLog::raise(const RaiseCeiling &command)
{
    if (command.term < m_term) {
        return {.code = CeilingCode::StaleTerm, .term = m_term};
    }
    m_term = command.term;
    m_reservedUntilMillis = std::max(m_reservedUntilMillis, command.reservedUntilMillis);
    for (const OrganisationCeiling &it : command.organisations) {
        m_ceilings[it.organisation] = it;
    }
    return {.code = CeilingCode::Raised, .term = m_term};
}

IntentOutcome LeaderLog::record(const RecordIntent &command)
{
    const auto it = m_intents.find(command.orderId);
    if (it != m_intents.end()) {
        const IntentCode code = it->second == command ? IntentCode::Recorded : IntentCode::DuplicateOrder;
        return {.code = code, .lastFencing = m_lastFencing};
    }
    if (command.fencing <= m_lastFencing) {
        return {.code = IntentCode::StaleFencing, .lastFencing = m_lastFencing};
    }
    m_lastFencing = command.fencing;
    m_intents.emplace(command.orderId, command);
    return {.code = IntentCode::Recorded, .lastFencing = m_lastFencing};
}

IntentOutcome LeaderLog::close(const CloseIntent &command)
{
    const bool closed = m_intents.erase(command.orderId) > 0;
    return {.code = closed ? IntentCode::Closed : IntentCode::UnknownOrder, .lastFencing = m_lastFencing};
}

RaiseCeiling LeaderLog::ceiling() const
{
    RaiseCeiling out{.term = m_term, .reservedUntilMillis = m_reservedUntilMillis, .organisations = {}};
    for (const auto &[organisation, ceiling] : m_ceilings) {
        out.organisations.push_back(ceiling);
    }
    return out;
}

nlohmann::json LeaderLog::save() const
{
    nlohmann::json intents = nlohmann::json::array();
    for (const auto &[id, intent] : m_intents) {
        intents.push_back(intent);
    }
    return {{"ceiling", ceiling()}, {"intents", std::move(intents)}, {"lastFencing", m_lastFencing}};
}

void LeaderLog::load(const nlohmann::json &json)
{
    raise(json.at("ceiling").get<RaiseCeiling>());
    for (const auto &it : json.at("intents")) {
        auto intent = it.get<RecordIntent>();
        m_intents.emplace(intent.orderId, intent);
    }
    json.at("lastFencing").get_to(m_lastFencing);
}

} // namespace bamboomoor::state
