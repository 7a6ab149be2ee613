/**
 * Changes of evacuations, checked against the state that they are based on.
 */
#include "bamboomoor/state/evacuationtable.hpp"

#include "bamboomoor/state/json.hpp"

#include <algorithm>

namespace bamboomoor::state
{

EvacuationOutcome EvacuationTable::apply(std::uint64_t index, const SetEvacuation &command)
{
    const auto known = m_dataCentres.find(command.dataCentre);
    const Evacuation before = known == m_dataCentres.end() ? Evacuation{} : known->second;
    if (before.evacuated == command.evacuated) {
        return {EvacuationCode::Accepted, before.changedAt};
    }
    if (before.changedAt != command.base) {
        return {EvacuationCode::Stale, before.changedAt};
    }
    const bool fits = m_dataCentres.size() < m_maxDataCentres && command.dataCentre.size() <= m_maxNameBytes;
    if (known == m_dataCentres.end() && !fits) {
        return {EvacuationCode::Full, 0};
    }
    m_dataCentres[command.dataCentre] = {command.evacuated, index};
    return {EvacuationCode::Accepted, index};
}

std::set<std::string> EvacuationTable::evacuated() const
{
    std::set<std::string> names;
    for (const auto &[name, it] : m_dataCentres) {
        if (it.evacuated) {
            names.insert(name);
        }
    }
    return names;
}

std::uint64_t EvacuationTable::revision() const noexcept
{
    std::uint64_t newest = 0;
    for (const auto &[name, it] : m_dataCentres) {
        newest = std::max(newest, it.changedAt);
    }
    return newest;
}

std::uint64_t EvacuationTable::changedAt(const std::string &dataCentre) const
{
    const auto known = m_dataCentres.find(dataCentre);
    return known == m_dataCentres.end() ? 0 : known->second.changedAt;
}

nlohmann::json EvacuationTable::save() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[name, it] : m_dataCentres) {
        out.push_back({{"dataCentre", name}, {"evacuated", it.evacuated}, {"changedAt", it.changedAt}});
    }
    return out;
}

void EvacuationTable::load(const nlohmann::json &json)
{
    m_dataCentres.clear();
    for (const nlohmann::json &it : json) {
        m_dataCentres[it.at("dataCentre").get<std::string>()] = {
            it.at("evacuated").get<bool>(), it.at("changedAt").get<std::uint64_t>()};
    }
}

} // namespace bamboomoor::state
