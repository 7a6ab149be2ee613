/**
 * The software versions of the upstreams of each service that have been in service lately. A restart of all voters must
 * not forget them: a stream may go on only at the version that began it, and its upstreams may be gone by then.
 */
#pragma once

#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <set>
#include <string>

namespace bamboomoor::state
{

/** @brief The software versions by service. An upstream that does not name its version has the empty one. */
using SoftwareVersions = std::map<std::string, std::set<std::string>>;

/** @brief The versions that the last leader recorded. */
class SoftwareTable
{
public:
    /** @brief Creates an empty table. @param limits The bounds, the same on every replica. */
    explicit SoftwareTable(const Limits &limits) noexcept
        : m_maxServices(limits.softwareServices)
        , m_maxVersions(limits.softwareVersions)
        , m_maxNameBytes(limits.softwareNameBytes)
    {
    }

    /**
     * @brief Replaces all versions.
     * @param command The versions. Too long names, and what exceeds the bounds, are ignored.
     * @return The number of versions.
     */
    CountOutcome replace(const RecordSoftware &command);

    /** @brief Returns the versions by service. */
    [[nodiscard]] const SoftwareVersions &versions() const noexcept
    {
        return m_versions;
    }

    /** @brief Serialises the table. @return The JSON form, as part of a snapshot. */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Loads the result of save().
     * @param json The JSON form; throws nlohmann::json::exception if it is invalid.
     */
    void load(const nlohmann::json &json);

private:
    std::size_t m_maxServices;
    std::size_t m_maxVersions;
    std::size_t m_maxNameBytes;
    SoftwareVersions m_versions;
};

} // namespace bamboomoor::state
