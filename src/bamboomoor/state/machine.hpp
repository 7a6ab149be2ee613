/**
 * The replicated state machine. Applying the commands of the log in order produces the same state on every replica.
 * It performs no I/O and reads no clock; its owner passes in committed commands and replies to callers with the
 * outcomes.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/state/claimtable.hpp"
#include "bamboomoor/state/command.hpp"
#include "bamboomoor/state/confighistory.hpp"
#include "bamboomoor/state/evacuationtable.hpp"
#include "bamboomoor/state/leaderlog.hpp"
#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"
#include "bamboomoor/state/quarantinetable.hpp"
#include "bamboomoor/state/softwaretable.hpp"
#include "bamboomoor/state/withdrawaltable.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboomoor::state
{

/** @brief The reason why a snapshot cannot be restored. */
struct RestoreError {
    // One line.
    std::string message;
};

/** @brief The replicated state: configuration, claims, ceilings, intents, quarantines, software versions, evacuations
 * and withdrawals. */
class Machine
{
public:
    /**
     * @brief Constructs the state before the first command.
     * @param limits The bounds, the same on every replica.
     */
    explicit Machine(const Limits &limits = {});

    /**
     * @brief Applies one command.
     * @param index The log index, greater than lastIndex().
     * @param command The result of encode(); any other bytes yield Malformed and have no effect.
     * @return The outcome, the same on every replica.
     */
    Outcome apply(std::uint64_t index, std::string_view command);

    /**
     * @brief Finds the outcome of a command that has taken effect already, such as a resent one.
     * @param command The result of encode(), or any other bytes.
     * @return What apply() would return without changing anything; nothing if it may change something.
     */
    [[nodiscard]] std::optional<Outcome> decided(std::string_view command) const;

    /**
     * @brief Serialises the whole state.
     * @return JSON; equal states produce equal bytes.
     */
    [[nodiscard]] std::string snapshot() const;

    /**
     * @brief Restores the state from a snapshot.
     * @param bytes Any bytes.
     * @param limits The bounds, the same on every replica.
     * @return The state, or the reason why the bytes are not a valid snapshot.
     */
    [[nodiscard]] static base::Result<Machine, RestoreError> restore(std::string_view bytes, const Limits &limits = {});

    /**
     * @brief Computes a digest of the state, to compare replicas at the same index.
     * @return base::sha256 of the snapshot.
     */
    [[nodiscard]] std::string digest() const;

    /**
     * @brief Returns the log index of the last applied command.
     * @return The index, 0 before the first.
     */
    [[nodiscard]] std::uint64_t lastIndex() const noexcept
    {
        return m_lastIndex;
    }

    /**
     * @brief Returns the configuration.
     * @return The current version and its history.
     */
    [[nodiscard]] const ConfigHistory &configuration() const noexcept
    {
        return m_configuration;
    }

    /**
     * @brief Returns the claims of idempotent requests.
     * @return All claims.
     */
    [[nodiscard]] const ClaimTable &claims() const noexcept
    {
        return m_claims;
    }

    /**
     * @brief Returns the ceilings and open intents.
     * @return The records of this and earlier leaders.
     */
    [[nodiscard]] const LeaderLog &leaderLog() const noexcept
    {
        return m_leaderLog;
    }

    /**
     * @brief Returns the quarantined subjects.
     * @return The subjects that the last leader recorded; some may have ended since.
     */
    [[nodiscard]] const QuarantineTable &quarantines() const noexcept
    {
        return m_quarantines;
    }

    /**
     * @brief Returns the software versions of upstreams.
     * @return The versions that are or were in service lately.
     */
    [[nodiscard]] const SoftwareTable &software() const noexcept
    {
        return m_software;
    }

    /**
     * @brief Returns the evacuated data centres.
     * @return The state of every data centre that was ever evacuated.
     */
    [[nodiscard]] const EvacuationTable &evacuations() const noexcept
    {
        return m_evacuations;
    }

    /**
     * @brief Returns the upstreams that have withdrawn themselves.
     * @return The latest withdrawal of each.
     */
    [[nodiscard]] const WithdrawalTable &withdrawals() const noexcept
    {
        return m_withdrawals;
    }

private:
    Outcome applyCommand(std::uint64_t index, const Command &command);

    std::uint64_t m_lastIndex = 0;
    ConfigHistory m_configuration;
    ClaimTable m_claims;
    LeaderLog m_leaderLog;
    QuarantineTable m_quarantines;
    SoftwareTable m_software;
    EvacuationTable m_evacuations;
    WithdrawalTable m_withdrawals;
};

} // namespace bamboomoor::state
