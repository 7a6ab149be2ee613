/**
 * The quarantined subjects, which a restart of all voters and entries must not forget.
 */
#pragma once

#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace bamboomoor::state
{

/** @brief The set of quarantined subjects that the last leader recorded. */
class QuarantineTable
{
public:
    /** @brief Creates an empty table. @param limits The bounds, the same on every replica. */
    explicit QuarantineTable(const Limits &limits) noexcept
        : m_maxSubjects(limits.quarantines)
        , m_maxSubjectBytes(limits.quarantineSubjectBytes)
    {
    }

    /**
     * @brief Replaces the set.
     * @param command The new set. Empty and too long subjects are ignored, of repeated ones the latest end counts, and
     * of too many the ones that end first are dropped.
     * @return The number of subjects.
     */
    CountOutcome replace(const RecordQuarantines &command);

    /**
     * @brief Returns the subjects.
     * @return The ends in milliseconds since the Unix epoch, by subject.
     */
    [[nodiscard]] const std::map<std::string, std::int64_t> &ends() const noexcept
    {
        return m_ends;
    }

    /** @brief Serialises the table. @return The JSON form, as part of a snapshot. */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Loads the result of save().
     * @param json The JSON form; throws nlohmann::json::exception if it is invalid.
     */
    void load(const nlohmann::json &json);

private:
    std::size_t m_maxSubjects;
    std::size_t m_maxSubjectBytes;
    // At most m_maxSubjects.
    std::map<std::string, std::int64_t> m_ends;
};

} // namespace bamboomoor::state
