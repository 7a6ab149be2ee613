/**
 * The commands of the replicated log, and their JSON encoding.
 * A command carries everything that its outcome depends on, calendar times included, as applying reads no clock.
 * Texts are UTF-8; bytes that are not are replaced by encode(). Bodies may hold any bytes.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboomoor::state
{

/** @brief Replaces the configuration document if the base is still in force. */
struct ApplyConfig {
    // Names the change; a resend under the same id gets the first outcome.
    std::string changeId;
    std::string author;
    // When it was asked for, milliseconds since the Unix epoch; for people to read.
    std::int64_t wallMillis = 0;
    // The version and digest that the change was made from; 0 and the empty document's digest at first.
    std::uint64_t baseVersion = 0;
    std::string baseDigest;
    // TOML of the config module.
    std::string documentText;

    friend bool operator==(const ApplyConfig &, const ApplyConfig &) = default;
};

/** @brief Puts a document in force whose version its operator chose; changes nothing unless it is the highest. */
struct ReplaceConfig {
    std::string author;
    // When it was asked for, milliseconds since the Unix epoch; for people to read.
    std::int64_t wallMillis = 0;
    // At least 1.
    std::uint64_t version = 0;
    // TOML of the config module.
    std::string documentText;
    // The bytes that the operator sent, given back as they are.
    std::string source;

    friend bool operator==(const ReplaceConfig &, const ReplaceConfig &) = default;
};

/** @brief Gives an organisation a key. */
struct AddKey {
    std::string changeId;
    std::string author;
    std::int64_t wallMillis = 0;
    std::string organisation;
    std::string keyId;
    // base::sha256 of the key.
    std::string hash;

    friend bool operator==(const AddKey &, const AddKey &) = default;
};

/** @brief Withdraws a key for good: its hash is never accepted again. */
struct WithdrawKey {
    std::string changeId;
    std::string author;
    std::int64_t wallMillis = 0;
    std::string organisation;
    std::string keyId;

    friend bool operator==(const WithdrawKey &, const WithdrawKey &) = default;
};

/** @brief Claims the right to run a request once, before anything is sent. */
struct OpenClaim {
    std::string organisation;
    // The caller's Idempotency-Key.
    std::string key;
    std::string requestDigest;
    // The entry that will run the request, and its incarnation; the incarnations of one VM grow.
    std::string vm;
    std::uint64_t incarnation = 0;
    // Names this try to claim; a resend of the same try by the same incarnation is opened again.
    std::string attempt;
    std::int64_t wallMillis = 0;
    // When a closed claim may be swept, milliseconds since the Unix epoch.
    std::int64_t expiresMillis = 0;

    friend bool operator==(const OpenClaim &, const OpenClaim &) = default;
};

/** @brief One header of a stored answer. */
struct Header {
    std::string name;
    std::string value;

    friend bool operator==(const Header &, const Header &) = default;
};

/** @brief Stores the answer of a claimed request. */
struct FinishClaim {
    std::string organisation;
    std::string key;
    // From the outcome of OpenClaim.
    std::uint64_t claimId = 0;
    std::int64_t status = 0;
    std::vector<Header> headers;
    std::string body;

    friend bool operator==(const FinishClaim &, const FinishClaim &) = default;
};

/** @brief Turns the open claims of a dead daemon unknown. */
struct AbandonClaims {
    std::string vm;
    // This incarnation and all earlier ones are dead.
    std::uint64_t incarnation = 0;

    friend bool operator==(const AbandonClaims &, const AbandonClaims &) = default;
};

/** @brief Forgets closed claims whose time has passed. */
struct SweepClaims {
    // Claims that expire earlier than this are forgotten, milliseconds since the Unix epoch.
    std::int64_t before = 0;

    friend bool operator==(const SweepClaims &, const SweepClaims &) = default;
};

/** @brief What a following authority needs to know of one organisation's bucket. */
struct OrganisationCeiling {
    std::string organisation;
    // Of the bucket, with the tokens still in it that holders have in hand.
    std::int64_t level = 0;
    // The most that holders may have in hand until the next entry.
    std::int64_t exposure = 0;

    friend bool operator==(const OrganisationCeiling &, const OrganisationCeiling &) = default;
};

/** @brief Reserves tokens for the budget authority of a term. */
struct RaiseCeiling {
    // The consensus term of the authority; an earlier term than the last is refused.
    std::uint64_t term = 0;
    // Until when the reservation is meant to last, milliseconds since the Unix epoch.
    std::int64_t reservedUntilMillis = 0;
    std::vector<OrganisationCeiling> organisations;

    friend bool operator==(const RaiseCeiling &, const RaiseCeiling &) = default;
};

/** @brief What an order does on an accelerator. */
enum class OrderKind { Load, Unload };

/** @brief Records an order before it is sent to an upstream. */
struct RecordIntent {
    std::string orderId;
    // Strictly greater than that of every earlier intent.
    std::uint64_t fencing = 0;
    std::string upstream;
    // The upstream's incarnation that the order is meant for.
    std::uint64_t incarnation = 0;
    std::string accelerator;
    OrderKind kind = OrderKind::Load;
    std::string model;
    // Empty for an order about the model itself.
    std::string adapter;
    std::string version;
    std::int64_t memoryMib = 0;

    friend bool operator==(const RecordIntent &, const RecordIntent &) = default;
};

/** @brief How an order ended. */
enum class OrderEnd {
    // The upstream confirmed it.
    Done,
    // The upstream refused it, or said that it failed.
    Failed,
    // It can never take effect: a new incarnation has announced itself, or it was provably not sent.
    Void
};

/** @brief Closes an intent whose outcome is confirmed. */
struct CloseIntent {
    std::string orderId;
    OrderEnd end = OrderEnd::Done;

    friend bool operator==(const CloseIntent &, const CloseIntent &) = default;
};

/** @brief Gives a claim up whose request got no whole answer. */
struct ReleaseClaim {
    std::string organisation;
    std::string key;
    // Name the try that opened the claim; the claim of another try stays.
    std::string vm;
    std::string attempt;
    // True turns the claim unknown; false, which must be provable, forgets it, so that a resend may run.
    bool mayHaveRun = true;

    friend bool operator==(const ReleaseClaim &, const ReleaseClaim &) = default;
};

/** @brief Any command. */
using Command = std::variant<ApplyConfig, AddKey, WithdrawKey, OpenClaim, FinishClaim, AbandonClaims, SweepClaims,
    RaiseCeiling, RecordIntent, CloseIntent, ReleaseClaim, ReplaceConfig>;

/** @brief Why bytes are no command. */
struct DecodeError {
    // One line.
    std::string message;
};

/**
 * @brief Encodes a command.
 * @param command The command.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode(const Command &command);

/**
 * @brief Decodes a command; never throws.
 * @param text Any bytes.
 * @return The command, or why the bytes are none.
 */
[[nodiscard]] base::Result<Command, DecodeError> decode(std::string_view text);

} // namespace bamboomoor::state
