/**
 * What a leader must have in the log before it acts, so that the next leader knows of it:
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
     * @return StaleTerm for an earlier term than the last, and nothing is raised then.
     */
    CeilingOutcome raise(const RaiseCeiling &command);

    /**
     * @brief Opens an intent.
     * @param command The command.
     * @return Recorded, also for a resend of an open intent.
     */
    IntentOutcome record(const RecordIntent &command);

    /**
     * @brief Closes an intent.
     * @param command The command.
     * @return UnknownOrder when no open intent has the order id.
     */
    IntentOutcome close(const CloseIntent &command);

    /**
     * @brief Reads the ceilings.
     * @return The latest term, the latest time, and every organisation by name in order.
     */
    [[nodiscard]] RaiseCeiling ceiling() const;

    /**
     * @brief Lists the open intents.
     * @return The intents by order id.
     */
    [[nodiscard]] const std::map<std::string, RecordIntent> &openIntents() const noexcept
    {
        return m_intents;
    }

    /**
     * @brief Reads the greatest fencing number of all intents so far.
     * @return The number, 0 before the first intent.
     */
    [[nodiscard]] std::uint64_t lastFencing() const noexcept
    {
        return m_lastFencing;
    }

    /**
     * @brief Writes everything.
     * @return JSON.
     */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Reads what save() wrote.
     * @param json The JSON; throws on any mistake.
     */
    void load(const nlohmann::json &json);

private:
    // Terms and times never shrink; a ceiling is that of the latest command that names its organisation.
    std::uint64_t m_term = 0;
    std::int64_t m_reservedUntilMillis = 0;
    std::map<std::string, OrganisationCeiling> m_ceilings;
    // By order id.
    std::map<std::string, RecordIntent> m_intents;
    std::uint64_t m_lastFencing = 0;
};

} // namespace bamboomoor::state
