/**
 * The evacuated data centres, whose upstreams get no requests.
 *
 * Calls of operators have no ids and may be delayed or repeated. Each change therefore names the last change of its
 * data centre that its sender knew; a change that another one overtook has no effect.
 */
#pragma once

#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bamboomoor::state
{

/** @brief The state of one data centre. */
struct Evacuation {
    bool evacuated = false;
    // The log index of its last change.
    std::uint64_t changedAt = 0;

    friend bool operator==(const Evacuation &, const Evacuation &) = default;
};

/** @brief The evacuations that operators began and ended. */
class EvacuationTable
{
public:
    /** @brief Creates an empty table. @param limits The bounds, the same on every replica. */
    explicit EvacuationTable(const Limits &limits = {}) noexcept
        : m_maxDataCentres(limits.evacuations)
        , m_maxNameBytes(limits.evacuationNameBytes)
    {
    }

    /**
     * @brief Begins or ends an evacuation.
     * @param index The log index of the command.
     * @param command The change; one that requests the present state is accepted and changes nothing.
     * @return Whether the data centre is in the requested state.
     */
    EvacuationOutcome apply(std::uint64_t index, const SetEvacuation &command);

    /** @brief Returns the state of every data centre that was ever evacuated, by name. */
    [[nodiscard]] const std::map<std::string, Evacuation> &dataCentres() const noexcept
    {
        return m_dataCentres;
    }

    /** @brief Returns the data centres that are evacuated now. */
    [[nodiscard]] std::set<std::string> evacuated() const;

    /** @brief Returns the log index of the last change of any data centre; 0 before the first. */
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /** @brief Returns the log index of the last change. @param dataCentre The data centre. @return 0 if there is none.
     */
    [[nodiscard]] std::uint64_t changedAt(const std::string &dataCentre) const;

    /** @brief Serialises the table. @return The JSON form, as part of a snapshot. */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Loads the result of save().
     * @param json The JSON form; throws nlohmann::json::exception if it is invalid.
     */
    void load(const nlohmann::json &json);

private:
    std::size_t m_maxDataCentres;
    std::size_t m_maxNameBytes;
    // Entries stay after the end of an evacuation, as their index rejects delayed calls.
    std::map<std::string, Evacuation> m_dataCentres;
};

} // namespace bamboomoor::state
