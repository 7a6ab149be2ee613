/**
 * Replacement of the software versions, within their bounds.
 */
#include "bamboomoor/state/softwaretable.hpp"

#include "bamboomoor/state/json.hpp"

namespace bamboomoor::state
{

CountOutcome SoftwareTable::replace(const RecordSoftware &command)
{
    m_versions.clear();
    std::uint64_t count = 0;
    for (const ServiceSoftware &service : command.services) {
        const bool isKnown = m_versions.contains(service.service);
        if (service.service.size() > m_maxNameBytes || (!isKnown && m_versions.size() >= m_maxServices)) {
            continue;
        }
        for (const std::string &it : service.versions) {
            std::set<std::string> &versions = m_versions[service.service];
            if (it.size() <= m_maxNameBytes && versions.size() < m_maxVersions) {
                count += versions.insert(it).second ? 1 : 0;
            }
        }
    }
    return {count};
}

nlohmann::json SoftwareTable::save() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[service, versions] : m_versions) {
        out.push_back(ServiceSoftware{service, {versions.begin(), versions.end()}});
    }
    return out;
}

void SoftwareTable::load(const nlohmann::json &json)
{
    replace({json.get<std::vector<ServiceSoftware>>()});
}

} // namespace bamboomoor::state
