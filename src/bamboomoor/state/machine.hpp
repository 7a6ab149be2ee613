/**
 * The replicated state machine: the commands of the log, applied in order, make the same state on every replica.
 * It is pure; the shell hands it commands that a quorum has on disk, and answers callers from its outcomes.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/state/claimtable.hpp"
#include "bamboomoor/state/command.hpp"
#include "bamboomoor/state/confighistory.hpp"
#include "bamboomoor/state/leaderlog.hpp"
#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboomoor::state
{

/** @brief Why a snapshot cannot be restored. */
struct RestoreError {
    // One line.
    std::string message;
};

/** @brief Configuration, claims, ceilings and intents. */
class Machine
{
public:
    /**
     * @brief Makes the state before the first command.
     * @param limits The bounds, the same on every replica.
     */
    explicit Machine(const Limits &limits = {});

    /**
     * @brief Applies one command.
     * @param index Its log index, greater than lastIndex().
     * @param command Bytes from encode(); others change nothing.
     * @return The outcome, the same on every replica.
     */
    Outcome apply(std::uint64_t index, std::string_view command);

    /**
     * @brief Writes the whole state.
     * @return JSON; equal states write equal bytes.
     */
    [[nodiscard]] std::string snapshot() const;

    /**
     * @brief Reads a snapshot.
     * @param bytes Any bytes.
     * @param limits The bounds, the same on every replica.
     * @return The state, or why the bytes are no snapshot.
     */
    [[nodiscard]] static base::Result<Machine, RestoreError> restore(std::string_view bytes, const Limits &limits = {});

    /**
     * @brief Digests the state, to compare replicas at the same index.
     * @return base::sha256 of the snapshot.
     */
    [[nodiscard]] std::string digest() const;

    /**
     * @brief Reads the index of the last applied command.
     * @return The index, 0 before the first.
     */
    [[nodiscard]] std::uint64_t lastIndex() const noexcept
    {
        return m_lastIndex;
    }

    /**
     * @brief Reads the configuration.
     * @return The version in force and the ones before it.
     */
    [[nodiscard]] const ConfigHistory &configuration() const noexcept
    {
        return m_configuration;
    }

    /**
     * @brief Reads the claims.
     * @return All claims.
     */
    [[nodiscard]] const ClaimTable &claims() const noexcept
    {
        return m_claims;
    }

    /**
     * @brief Reads ceilings and open intents.
     * @return What earlier leaders have left.
     */
    [[nodiscard]] const LeaderLog &leaderLog() const noexcept
    {
        return m_leaderLog;
    }

private:
    Outcome applyCommand(std::uint64_t index, const Command &command);

    std::uint64_t m_lastIndex = 0;
    ConfigHistory m_configuration;
    ClaimTable m_claims;
    LeaderLog m_leaderLog;
};

} // namespace bamboomoor::state
