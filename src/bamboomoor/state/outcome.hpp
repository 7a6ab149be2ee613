/**
 * What applying a command led to; every replica computes the same outcome.
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

/** @brief What became of a change of configuration. */
enum class ChangeCode {
    Accepted,
    // Another change came first; the outcome names it.
    BaseMismatch,
    InvalidDocument,
    UnknownOrganisation,
    // The key's id or hash is in use.
    DuplicateKey,
    UnknownKey,
    // The key was withdrawn earlier, which is for good.
    KeyWithdrawn,
    // The change id belongs to another change.
    ChangeIdReused
};

/** @brief The names of ChangeCode. */
inline constexpr auto CHANGE_CODE_NAMES = base::makeNames<ChangeCode>("accepted", "base_mismatch", "invalid_document",
    "unknown_organisation", "duplicate_key", "unknown_key", "key_withdrawn", "change_id_reused");

/** @brief The outcome of ApplyConfig, AddKey and WithdrawKey. */
struct ChangeOutcome {
    ChangeCode code = ChangeCode::Accepted;
    // One line for people.
    std::string message;
    // The version in force after the change, its digest, and the author who made it.
    std::uint64_t version = 0;
    std::string digest;
    std::string author;

    friend bool operator==(const ChangeOutcome &, const ChangeOutcome &) = default;
};

/** @brief What became of a claim. */
enum class ClaimCode {
    // The request may run now; the outcome holds the claim's id.
    Opened,
    // It is running under an earlier claim.
    AlreadyOpen,
    // It has run; the outcome holds the stored answer.
    Stored,
    // It may have run, and will not run again.
    Unknown,
    // The key was used for another request.
    DifferentRequest,
    // No room for another claim; nothing was claimed.
    Full,
    // The answer was stored.
    Finished,
    // There is no such claim that could take an answer.
    NotOpen
};

/** @brief The names of ClaimCode. */
inline constexpr auto CLAIM_CODE_NAMES = base::makeNames<ClaimCode>(
    "opened", "already_open", "stored", "unknown", "different_request", "full", "finished", "not_open");

/** @brief The answer of a claimed request. */
struct StoredAnswer {
    std::int64_t status = 0;
    std::vector<Header> headers;
    // Empty when tooLarge.
    std::string body;
    // True when the request ran but its body was above the bounds and is not kept.
    bool tooLarge = false;

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/** @brief The outcome of OpenClaim and FinishClaim. */
struct ClaimOutcome {
    ClaimCode code = ClaimCode::Opened;
    // The log index that opened the claim; 0 when there is none.
    std::uint64_t claimId = 0;
    // Held exactly with code Stored.
    std::optional<StoredAnswer> answer;

    friend bool operator==(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/** @brief The outcome of AbandonClaims and SweepClaims. */
struct CountOutcome {
    // The number of claims that were abandoned or forgotten.
    std::uint64_t count = 0;

    friend bool operator==(const CountOutcome &, const CountOutcome &) = default;
};

/** @brief What became of a reservation. */
enum class CeilingCode { Raised, StaleTerm };

/** @brief The names of CeilingCode. */
inline constexpr auto CEILING_CODE_NAMES = base::makeNames<CeilingCode>("raised", "stale_term");

/** @brief The outcome of RaiseCeiling. */
struct CeilingOutcome {
    CeilingCode code = CeilingCode::Raised;
    // The latest term that has reserved.
    std::uint64_t term = 0;

    friend bool operator==(const CeilingOutcome &, const CeilingOutcome &) = default;
};

/** @brief What became of an intent. */
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
    // The greatest fencing number so far.
    std::uint64_t lastFencing = 0;

    friend bool operator==(const IntentOutcome &, const IntentOutcome &) = default;
};

/** @brief The outcome of bytes that are no command; nothing was changed. */
struct Malformed {
    std::string message;

    friend bool operator==(const Malformed &, const Malformed &) = default;
};

/** @brief Any outcome. */
using Outcome = std::variant<ChangeOutcome, ClaimOutcome, CountOutcome, CeilingOutcome, IntentOutcome, Malformed>;

/**
 * @brief Encodes an outcome for another daemon.
 * @param outcome The outcome.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode(const Outcome &outcome);

/**
 * @brief Decodes an outcome; never throws.
 * @param text Any bytes.
 * @return The outcome, or why the bytes are none.
 */
[[nodiscard]] base::Result<Outcome, DecodeError> decodeOutcome(std::string_view text);

} // namespace bamboomoor::state
