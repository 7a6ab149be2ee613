/**
 * The table of claims, which ensures that a request with an Idempotency-Key runs at most once.
 * A claim is opened before its request is dispatched. It is closed with the stored response, or as unknown if the
 * request may have run without one.
 */
#pragma once

#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::state
{

/** @brief The state of a claim. */
enum class ClaimState { Open, Finished, Unknown };

/** @brief The lookup key of a claim. */
struct ClaimKey {
    std::string organisation;
    std::string key;

    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
};

/** @brief The claim of one request with an Idempotency-Key. */
struct Claim {
    // The log index of the command that opened the claim.
    std::uint64_t id = 0;
    std::string requestDigest;
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string attempt;
    std::int64_t openedMillis = 0;
    std::int64_t expiresMillis = 0;
    ClaimState state = ClaimState::Open;
    // Valid only in state Finished.
    StoredResponse response;

    friend bool operator==(const Claim &, const Claim &) = default;
};

/** @brief All claims, bounded by Limits. */
class ClaimTable
{
public:
    /**
     * @brief Constructs an empty table.
     * @param limits The bounds, which must be the same on every replica.
     */
    explicit ClaimTable(const Limits &limits)
        : m_limits(limits)
    {
    }

    /**
     * @brief Opens a claim, or returns the state of the existing claim with the same key.
     * @param index The log index of the command.
     * @param command The command.
     * @return The outcome; the request may run only if it is Opened.
     */
    ClaimOutcome open(std::uint64_t index, const OpenClaim &command);

    /**
     * @brief Stores the response of a claim that is open or unknown.
     * @param command The command.
     * @return Finished, also if the command is resent; NotOpen if no claim has this id.
     */
    ClaimOutcome finish(const FinishClaim &command);

    /**
     * @brief Finds the outcome of a command that has taken effect already.
     * @param command The command.
     * @return What open() would return for an existing claim; nothing if it would open one.
     */
    [[nodiscard]] std::optional<ClaimOutcome> decided(const OpenClaim &command) const;

    /**
     * @copybrief decided
     * @param command The command.
     * @return Finished if the claim is; nothing if finish() may change it.
     */
    [[nodiscard]] std::optional<ClaimOutcome> decided(const FinishClaim &command) const;

    /**
     * @brief Marks open claims of dead incarnations as unknown.
     * @param command The command.
     * @return The number of affected claims.
     */
    CountOutcome abandon(const AbandonClaims &command);

    /**
     * @brief Releases an open claim whose request got no complete response.
     * @param command The command.
     * @return Finished, or NotOpen if the attempt has no open claim.
     */
    ClaimOutcome release(const ReleaseClaim &command);

    /**
     * @brief Removes closed claims that have expired. Open claims are kept.
     * @param command The command.
     * @return The number of affected claims.
     */
    CountOutcome sweep(const SweepClaims &command);

    /**
     * @brief Finds a claim.
     * @param key The organisation and the Idempotency-Key.
     * @return The claim, owned by the table, or null.
     */
    [[nodiscard]] const Claim *find(const ClaimKey &key) const;

    /**
     * @brief Returns all claims.
     * @return The claims, ordered by organisation and key.
     */
    [[nodiscard]] const std::map<ClaimKey, Claim> &claims() const noexcept
    {
        return m_claims;
    }

    /**
     * @brief Serialises everything except the limits, claim by claim.
     * @param out Receives a JSON array, appended.
     */
    void save(std::string &out) const;

    /**
     * @brief Loads one element of what save() has written.
     * @param json The element; throws internal::BadValue or nlohmann::json::exception if it is invalid.
     */
    void loadClaim(const nlohmann::json &json);

    /**
     * @brief Returns the total size of the claims and their responses.
     * @return Size in bytes, as bounded by Limits.
     */
    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_claimBytes + m_responseBytes;
    }

private:
    Limits m_limits;
    std::map<ClaimKey, Claim> m_claims;
    // The total size of all claims without their responses, and of all stored responses, in bytes.
    std::size_t m_claimBytes = 0;
    std::size_t m_responseBytes = 0;
};

} // namespace bamboomoor::state
