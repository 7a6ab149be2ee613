/**
 * Outcomes of applied commands. Every replica computes the same outcome.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/state/command.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bamboomoor::state
{

/** @brief The result of a configuration change. */
enum class ChangeCode {
    Accepted,
    // Another change was accepted first; the outcome identifies it.
    BaseMismatch,
    InvalidDocument,
    UnknownOrganisation,
    // The key's id or hash is already in use.
    DuplicateKey,
    UnknownKey,
    // The key was withdrawn earlier; a withdrawal is permanent.
    KeyWithdrawn,
    // The change id belongs to another change.
    ChangeIdReused
};

/** @brief The names of ChangeCode. */
inline constexpr auto CHANGE_CODE_NAMES = base::makeNames<ChangeCode>("accepted", "base_mismatch", "invalid_document",
    "unknown_organisation", "duplicate_key", "unknown_key", "key_withdrawn", "change_id_reused");

/** @brief The outcome of ApplyConfig, AddKey, WithdrawKey and ReplaceConfig. */
struct ChangeOutcome {
    ChangeCode code = ChangeCode::Accepted;
    // A human-readable message on one line.
    std::string message;
    // The current version after the change, its digest and its author.
    std::uint64_t version = 0;
    std::string digest;
    std::string author;

    friend bool operator==(const ChangeOutcome &, const ChangeOutcome &) = default;
};

/** @brief The result of a command on a claim. */
enum class ClaimCode {
    // The request may run now; the outcome contains the claim's id.
    Opened,
    // The request is already running under an earlier claim.
    AlreadyOpen,
    // The request has run; the outcome contains the stored response.
    Stored,
    // The request may have run, and will not run again.
    Unknown,
    // The Idempotency-Key was used for another request.
    DifferentRequest,
    // The table of claims is full; no claim was opened.
    Full,
    // The response was stored, or the claim was released.
    Finished,
    // There is no matching claim that could be finished or released.
    NotOpen
};

/** @brief The names of ClaimCode. */
inline constexpr auto CLAIM_CODE_NAMES = base::makeNames<ClaimCode>(
    "opened", "already_open", "stored", "unknown", "different_request", "full", "finished", "not_open");

/** @brief The stored response of a claimed request. */
struct StoredResponse {
    std::int64_t status = 0;
    std::vector<Header> headers;
    // Empty if tooLarge.
    std::string body;
    // True if the request ran, but its headers and body exceeded the limits and were dropped.
    bool tooLarge = false;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

/** @brief The outcome of OpenClaim, FinishClaim and ReleaseClaim. */
struct ClaimOutcome {
    ClaimCode code = ClaimCode::Opened;
    // The log index of the command that opened the claim; 0 if there is none.
    std::uint64_t claimId = 0;
    // Present if and only if the code is Stored.
    std::optional<StoredResponse> response;

    friend bool operator==(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/** @brief The outcome of AbandonClaims, SweepClaims, RecordQuarantines, RecordSoftware and RecordWithdrawal. */
struct CountOutcome {
    // The number of claims that were marked as unknown or removed, of subjects that are quarantined now, of software
    // versions that are recorded now, or of the command's upstreams that are withdrawn now.
    std::uint64_t count = 0;

    friend bool operator==(const CountOutcome &, const CountOutcome &) = default;
};

/** @brief The result of raising a ceiling. */
enum class CeilingCode { Raised, StaleTerm };

/** @brief The names of CeilingCode. */
inline constexpr auto CEILING_CODE_NAMES = base::makeNames<CeilingCode>("raised", "stale_term");

/** @brief The outcome of RaiseCeiling. */
struct CeilingOutcome {
    CeilingCode code = CeilingCode::Raised;
    // The latest term that has raised a ceiling.
    std::uint64_t term = 0;

    friend bool operator==(const CeilingOutcome &, const CeilingOutcome &) = default;
};

/** @brief The result of a command on an intent. */
enum class IntentCode {
    Recorded,
    Closed,
    // The fencing number does not exceed the last one.
    StaleFencing,
    // The order id belongs to another open intent.
    DuplicateOrder,
    // No open intent has the order id.
    UnknownOrder
};

/** @brief The names of IntentCode. */
inline constexpr auto INTENT_CODE_NAMES =
    base::makeNames<IntentCode>("recorded", "closed", "stale_fencing", "duplicate_order", "unknown_order");

/** @brief The outcome of RecordIntent and CloseIntent. */
struct IntentOutcome {
    IntentCode code = IntentCode::Recorded;
    // The highest fencing number so far.
    std::uint64_t lastFencing = 0;

    friend bool operator==(const IntentOutcome &, const IntentOutcome &) = default;
};

/** @brief The result of beginning or ending an evacuation. */
enum class EvacuationCode {
    // The data centre is in the requested state.
    Accepted,
    // Another change of the data centre came first; nothing was changed.
    Stale,
    // The table is full, or the name is too long.
    Full
};

/** @brief The names of EvacuationCode. */
inline constexpr auto EVACUATION_CODE_NAMES = base::makeNames<EvacuationCode>("accepted", "stale", "full");

/** @brief The outcome of SetEvacuation. */
struct EvacuationOutcome {
    EvacuationCode code = EvacuationCode::Accepted;
    // The log index of the data centre's last change; 0 if there is none.
    std::uint64_t changedAt = 0;

    friend bool operator==(const EvacuationOutcome &, const EvacuationOutcome &) = default;
};

/** @brief The outcome of bytes that are not a command; they have no effect. */
struct Malformed {
    std::string message;

    friend bool operator==(const Malformed &, const Malformed &) = default;
};

/** @brief Any outcome of a command. */
using Outcome = std::variant<ChangeOutcome, ClaimOutcome, CountOutcome, CeilingOutcome, IntentOutcome, Malformed,
    EvacuationOutcome>;

/**
 * @brief Encodes an outcome for transmission to another daemon.
 * @param outcome The outcome.
 * @return A single line of JSON.
 */
[[nodiscard]] std::string encode(const Outcome &outcome);

/**
 * @brief Decodes an outcome; never throws.
 * @param text Any bytes.
 * @return The outcome, or the reason why the bytes are not an outcome.
 */
[[nodiscard]] base::Result<Outcome, DecodeError> decodeOutcome(std::string_view text);

} // namespace bamboomoor::state
