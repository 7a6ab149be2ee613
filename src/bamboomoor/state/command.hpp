/**
 * The commands of the replicated log and their JSON encoding.
 * A command contains all inputs of its outcome, including wall-clock times, since applying a command reads no clock.
 * Texts are UTF-8; encode() replaces invalid bytes. Bodies may contain any bytes.
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

/** @brief Replaces the configuration document by compare-and-set: only if the base is still the current version. */
struct ApplyConfig {
    // Identifies the change; resending it with the same id returns the first outcome.
    std::string changeId;
    std::string author;
    // The time of the request, in milliseconds since the Unix epoch; informational.
    std::int64_t wallMillis = 0;
    // The version and digest that the change is based on; initially 0 and the digest of the empty document.
    std::uint64_t baseVersion = 0;
    std::string baseDigest;
    // The document as TOML, as defined by the config module.
    std::string documentText;

    friend bool operator==(const ApplyConfig &, const ApplyConfig &) = default;
};

/** @brief Activates a document under a version chosen by the operator; ignored unless that version is the highest. */
struct ReplaceConfig {
    std::string author;
    // The time of the request, in milliseconds since the Unix epoch; informational.
    std::int64_t wallMillis = 0;
    // At least 1.
    std::uint64_t version = 0;
    // The document as TOML, as defined by the config module.
    std::string documentText;
    // The original bytes sent by the operator, returned unchanged on reads.
    std::string source;

    friend bool operator==(const ReplaceConfig &, const ReplaceConfig &) = default;
};

/** @brief Adds a key to an organisation. */
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

/** @brief Withdraws a key permanently: its hash is never accepted again. */
struct WithdrawKey {
    std::string changeId;
    std::string author;
    std::int64_t wallMillis = 0;
    std::string organisation;
    std::string keyId;

    friend bool operator==(const WithdrawKey &, const WithdrawKey &) = default;
};

/** @brief Claims the exclusive right to run a request, before it is dispatched. */
struct OpenClaim {
    std::string organisation;
    // The caller's Idempotency-Key.
    std::string key;
    std::string requestDigest;
    // The VM of the entry that will run the request, and its incarnation; incarnations of a VM increase.
    std::string vm;
    std::uint64_t incarnation = 0;
    // Identifies this attempt to open a claim; resending it from the same incarnation returns Opened again.
    std::string attempt;
    std::int64_t wallMillis = 0;
    // The time from which a closed claim may be removed, in milliseconds since the Unix epoch.
    std::int64_t expiresMillis = 0;

    friend bool operator==(const OpenClaim &, const OpenClaim &) = default;
};

/** @brief One HTTP header of a stored response. */
struct Header {
    std::string name;
    std::string value;

    friend bool operator==(const Header &, const Header &) = default;
};

/** @brief Stores the response of a claimed request. */
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

/** @brief Marks the open claims of a dead daemon as unknown. */
struct AbandonClaims {
    std::string vm;
    // This incarnation and all earlier ones are dead.
    std::uint64_t incarnation = 0;

    friend bool operator==(const AbandonClaims &, const AbandonClaims &) = default;
};

/** @brief Removes closed claims that have expired. */
struct SweepClaims {
    // Claims that expire before this time are removed, in milliseconds since the Unix epoch.
    std::int64_t before = 0;

    friend bool operator==(const SweepClaims &, const SweepClaims &) = default;
};

/** @brief The state of one organisation's token bucket, as needed by the next budget authority. */
struct OrganisationCeiling {
    std::string organisation;
    // The bucket's level, including tokens granted to holders.
    std::int64_t level = 0;
    // The maximum number of tokens that holders may have until the next entry.
    std::int64_t exposure = 0;

    friend bool operator==(const OrganisationCeiling &, const OrganisationCeiling &) = default;
};

/** @brief Reserves tokens for the budget authority of a term. */
struct RaiseCeiling {
    // The Raft term of the authority; a term lower than the latest is rejected.
    std::uint64_t term = 0;
    // The intended end of the reservation, in milliseconds since the Unix epoch.
    std::int64_t reservedUntilMillis = 0;
    std::vector<OrganisationCeiling> organisations;

    friend bool operator==(const RaiseCeiling &, const RaiseCeiling &) = default;
};

/** @brief The action of an order on an accelerator. */
enum class OrderKind { Load, Unload };

/** @brief Records an order before it is sent to an upstream. */
struct RecordIntent {
    std::string orderId;
    // The fencing number; strictly greater than that of every earlier intent.
    std::uint64_t fencing = 0;
    std::string upstream;
    // The incarnation of the upstream to which the order is addressed.
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

/** @brief The final state of an order. */
enum class OrderEnd {
    // The upstream confirmed it.
    Done,
    // The upstream rejected it or reported a failure.
    Failed,
    // It can never take effect: the upstream has announced a new incarnation, or the order was provably not sent.
    Void
};

/** @brief Closes an intent whose outcome is confirmed. */
struct CloseIntent {
    std::string orderId;
    OrderEnd end = OrderEnd::Done;

    friend bool operator==(const CloseIntent &, const CloseIntent &) = default;
};

/** @brief Releases a claim whose request got no complete response. */
struct ReleaseClaim {
    std::string organisation;
    std::string key;
    // Identify the attempt that opened the claim; the claim of another attempt is not affected.
    std::string vm;
    std::string attempt;
    // True marks the claim as unknown. False requires proof that the request did not run; it removes the claim, so that
    // a retry may run.
    bool mayHaveRun = true;

    friend bool operator==(const ReleaseClaim &, const ReleaseClaim &) = default;
};

/** @brief A subject that is not sent to upstreams, and the end of that. */
struct QuarantineEnd {
    // A prompt part or the identity of a request.
    std::string subject;
    // In milliseconds since the Unix epoch.
    std::int64_t untilMillis = 0;

    friend bool operator==(const QuarantineEnd &, const QuarantineEnd &) = default;
};

/** @brief Replaces the set of quarantined subjects, so that a replica that lacks earlier commands has them again. */
struct RecordQuarantines {
    std::vector<QuarantineEnd> quarantines;

    friend bool operator==(const RecordQuarantines &, const RecordQuarantines &) = default;
};

/** @brief The software versions of the upstreams of one service. */
struct ServiceSoftware {
    std::string service;
    std::vector<std::string> versions;

    friend bool operator==(const ServiceSoftware &, const ServiceSoftware &) = default;
};

/** @brief Replaces the software versions that are or were in service lately. */
struct RecordSoftware {
    std::vector<ServiceSoftware> services;

    friend bool operator==(const RecordSoftware &, const RecordSoftware &) = default;
};

/** @brief Begins or ends the evacuation of a data centre, whose upstreams then get no requests. */
struct SetEvacuation {
    std::string author;
    // The time of the request, in milliseconds since the Unix epoch; informational.
    std::int64_t wallMillis = 0;
    std::string dataCentre;
    bool evacuated = false;
    // The log index of the data centre's last change that the request is based on; 0 if it never changed.
    std::uint64_t base = 0;

    friend bool operator==(const SetEvacuation &, const SetEvacuation &) = default;
};

/** @brief Records that an upstream has withdrawn itself, before that is confirmed to it. */
struct RecordWithdrawal {
    std::string upstream;
    // The process that has withdrawn; all earlier ones of the upstream are gone as well.
    std::uint64_t incarnation = 0;
    // The time of the request, in milliseconds since the Unix epoch.
    std::int64_t wallMillis = 0;

    friend bool operator==(const RecordWithdrawal &, const RecordWithdrawal &) = default;
};

/** @brief Any command of the replicated log. */
using Command = std::variant<ApplyConfig, AddKey, WithdrawKey, OpenClaim, FinishClaim, AbandonClaims, SweepClaims,
    RaiseCeiling, RecordIntent, CloseIntent, ReleaseClaim, ReplaceConfig, RecordQuarantines, RecordSoftware,
    SetEvacuation, RecordWithdrawal>;

/** @brief The reason why bytes cannot be decoded. */
struct DecodeError {
    // One line.
    std::string message;
};

/**
 * @brief Encodes a command.
 * @param command The command.
 * @return A single line of JSON.
 */
[[nodiscard]] std::string encode(const Command &command);

/**
 * @brief Decodes a command; never throws.
 * @param text Any bytes.
 * @return The command, or the reason why the bytes are not a command.
 */
[[nodiscard]] base::Result<Command, DecodeError> decode(std::string_view text);

} // namespace bamboomoor::state
