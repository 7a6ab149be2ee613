/**
 * The register of claims, by which a request with an Idempotency-Key runs at most once.
 * A claim is opened before its request is dispatched, and is closed by the stored answer or as unknown.
 */
#pragma once

#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bamboomoor::state
{

/** @brief Where a claim stands. */
enum class ClaimState { Open, Finished, Unknown };

/** @brief What a claim is found by. */
struct ClaimKey {
    std::string organisation;
    std::string key;

    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
};

/** @brief One claim. */
struct Claim {
    // The log index that opened it.
    std::uint64_t id = 0;
    std::string requestDigest;
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string attempt;
    std::int64_t openedMillis = 0;
    std::int64_t expiresMillis = 0;
    ClaimState state = ClaimState::Open;
    // Meaningful in state Finished only.
    StoredAnswer answer;

    friend bool operator==(const Claim &, const Claim &) = default;
};

/** @brief All claims. */
class ClaimTable
{
public:
    /**
     * @brief Makes an empty table.
     * @param limits The bounds.
     */
    explicit ClaimTable(const Limits &limits)
        : m_limits(limits)
    {
    }

    /**
     * @brief Opens a claim, or tells what became of the earlier one under its key.
     * @param index The log index of the command.
     * @param command The command.
     * @return The outcome; only Opened allows to run the request.
     */
    ClaimOutcome open(std::uint64_t index, const OpenClaim &command);

    /**
     * @brief Stores the answer of a claim that is open, or was taken for unknown.
     * @param command The command.
     * @return Finished, also for a resend; NotOpen when no claim has that id.
     */
    ClaimOutcome finish(const FinishClaim &command);

    /**
     * @brief Turns open claims of dead incarnations unknown.
     * @param command The command.
     * @return How many.
     */
    CountOutcome abandon(const AbandonClaims &command);

    /**
     * @brief Gives an open claim up.
     * @param command The command.
     * @return Finished, or NotOpen when the try has no open claim.
     */
    ClaimOutcome release(const ReleaseClaim &command);

    /**
     * @brief Forgets closed claims that have expired; open ones stay.
     * @param command The command.
     * @return How many.
     */
    CountOutcome sweep(const SweepClaims &command);

    /**
     * @brief Finds a claim.
     * @param key Its organisation and key.
     * @return The claim, or null.
     */
    [[nodiscard]] const Claim *find(const ClaimKey &key) const;

    /**
     * @brief Lists all claims.
     * @return The claims by organisation and key.
     */
    [[nodiscard]] const std::map<ClaimKey, Claim> &claims() const noexcept
    {
        return m_claims;
    }

    /**
     * @brief Writes everything but the limits.
     * @return JSON.
     */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Reads what save() wrote into an empty table.
     * @param json The JSON; throws on any mistake.
     */
    void load(const nlohmann::json &json);

private:
    Limits m_limits;
    std::map<ClaimKey, Claim> m_claims;
    // The sum of the sizes of all stored answers.
    std::size_t m_answerBytes = 0;
};

} // namespace bamboomoor::state
