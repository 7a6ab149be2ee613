/**
 * The JSON between the command line and an entry; both sides use these values.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::operators
{

inline constexpr std::string_view APPLY_PATH = "/operator/v1/apply";
inline constexpr std::string_view SHOW_PATH = "/operator/v1/show";
inline constexpr std::string_view HISTORY_PATH = "/operator/v1/history";
inline constexpr std::string_view ADD_KEY_PATH = "/operator/v1/keys/add";
inline constexpr std::string_view WITHDRAW_KEY_PATH = "/operator/v1/keys/withdraw";
inline constexpr std::string_view STATUS_PATH = "/operator/v1/status";
inline constexpr std::string_view DRAIN_PATH = "/operator/v1/drain";

/** @brief The body of POST apply. */
struct ApplyRequest {
    std::string changeId;
    std::string author;
    std::uint64_t baseVersion = 0;
    std::string baseDigest;
    std::string document;

    friend bool operator==(const ApplyRequest &, const ApplyRequest &) = default;
};

/** @brief The body of POST keys/add. */
struct AddKeyRequest {
    std::string changeId;
    std::string author;
    std::string organisation;
    std::string keyId;
    // base::sha256 of the key; the key itself never travels.
    std::string hash;

    friend bool operator==(const AddKeyRequest &, const AddKeyRequest &) = default;
};

/** @brief The body of POST keys/withdraw. */
struct WithdrawKeyRequest {
    std::string changeId;
    std::string author;
    std::string organisation;
    std::string keyId;

    friend bool operator==(const WithdrawKeyRequest &, const WithdrawKeyRequest &) = default;
};

/** @brief What became of a request. */
enum class Verdict {
    Done,
    // Nothing was changed.
    Refused,
    // It may have been done, or may still be.
    Unknown
};

/** @brief The names of Verdict. */
inline constexpr auto VERDICT_NAMES = base::makeNames<Verdict>("done", "refused", "unknown");

/** @brief One version in the history. */
struct VersionLine {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string changeId;
    // Since when, milliseconds since the Unix epoch.
    std::int64_t wallMillis = 0;
    std::string summary;

    friend bool operator==(const VersionLine &, const VersionLine &) = default;
};

/** @brief The answer to any request. */
struct Reply {
    Verdict verdict = Verdict::Done;
    // A name for programs, such as "base_mismatch"; may be empty.
    std::string code;
    // One line for people; may be empty.
    std::string message;
    // The version that the answer is about; of a refused change, the one in force.
    VersionLine version;
    // The document's text, for show.
    std::optional<std::string> document;
    // For history, the oldest first.
    std::vector<VersionLine> history;
    // For status: the text of a JSON object; empty otherwise.
    std::string status;

    friend bool operator==(const Reply &, const Reply &) = default;
};

/** @brief Why bytes are not what they should be. */
struct WireError {
    // One line.
    std::string message;
};

/**
 * @brief Encodes a value.
 * @param value The value; its texts are UTF-8.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode(const ApplyRequest &value);
[[nodiscard]] std::string encode(const AddKeyRequest &value);
[[nodiscard]] std::string encode(const WithdrawKeyRequest &value);
[[nodiscard]] std::string encode(const Reply &value);

/**
 * @brief Decodes a value; never throws.
 * @param text Any bytes.
 * @return The value, or why the bytes are none.
 */
[[nodiscard]] base::Result<ApplyRequest, WireError> decodeApply(std::string_view text);
[[nodiscard]] base::Result<AddKeyRequest, WireError> decodeAddKey(std::string_view text);
[[nodiscard]] base::Result<WithdrawKeyRequest, WireError> decodeWithdrawKey(std::string_view text);
[[nodiscard]] base::Result<Reply, WireError> decodeReply(std::string_view text);

} // namespace bamboomoor::operators
