/**
 * Records that a leader must commit before it acts, so that its successor knows of the action:
 * ceilings of granted tokens, and intents of orders to upstreams.
 */
#pragma once

#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace bamboomoor::state
{

/** @brief Ceilings and open intents. */
class LeaderLog
{
public:
    /**
     * @brief Replaces the ceilings of the organisations that the command names.
     * @param command The command.
     * @return Raised, or StaleTerm if the term is lower than the latest; then nothing changes.
     */
    CeilingOutcome raise(const RaiseCeiling &command);

    /**
     * @brief Records an intent as open.
     * @param command The command.
     * @return Recorded, also if an identical open intent is resent; otherwise StaleFencing or DuplicateOrder.
     */
    IntentOutcome record(const RecordIntent &command);

    /**
     * @brief Closes an open intent.
     * @param command The command.
     * @return Closed, or UnknownOrder if no open intent has this order id.
     */
    IntentOutcome close(const CloseIntent &command);

    /**
     * @brief Returns the ceilings of all organisations.
     * @return The latest term, the latest end of a reservation, and the organisations ordered by name.
     */
    [[nodiscard]] RaiseCeiling ceiling() const;

    /**
     * @brief Returns the open intents.
     * @return The intents by order id.
     */
    [[nodiscard]] const std::map<std::string, RecordIntent> &openIntents() const noexcept
    {
        return m_intents;
    }

    /**
     * @brief Returns the highest fencing number of all intents so far.
     * @return The number, 0 before the first intent.
     */
    [[nodiscard]] std::uint64_t lastFencing() const noexcept
    {
        return m_lastFencing;
    }

    /**
     * @brief Serialises all records.
     * @return The JSON form, as part of a snapshot.
     */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Loads the result of save() into an empty log.
     * @param json The JSON form; throws internal::BadValue or nlohmann::json::exception if it is invalid.
     */
    void load(const nlohmann::json &json);

private:
    // Terms and times never decrease. A ceiling is taken from the latest command that contains its organisation.
    std::uint64_t m_term = 0;
    std::int64_t m_reservedUntilMillis = 0;
    std::map<std::string, OrganisationCeiling> m_ceilings;
    // By order id.
    std::map<std::string, RecordIntent> m_intents;
    std::uint64_t m_lastFencing = 0;
};

} // namespace bamboomoor::state
