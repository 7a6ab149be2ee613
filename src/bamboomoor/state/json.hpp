/**
 * JSON conversion of the plain types of the state module; the keys are the member names, which are stored data.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/state/base64.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::state
{

namespace internal
{

/** @brief Thrown by JSON readers of this module and caught by all of its decoders. */
class BadValue : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
 * @brief Reads an enum value by its name.
 * @param json The JSON string with the name.
 * @param names The table of names.
 * @return The value; throws BadValue if the name is unknown.
 */
template<class Enum, std::size_t Size>
[[nodiscard]] Enum readName(const nlohmann::json &json, const base::NameTable<Enum, Size> &names)
{
    const auto value = names.find(json.get<std::string>());
    if (!value.has_value()) {
        throw BadValue("must be one of " + names.list());
    }
    return *value;
}

/**
 * @brief Reads base64-encoded bytes.
 * @param json The JSON string.
 * @return The bytes; throws BadValue if the string is not valid base64.
 */
[[nodiscard]] inline std::string readBytes(const nlohmann::json &json)
{
    auto bytes = fromBase64(json.get<std::string>());
    if (!bytes.has_value()) {
        throw BadValue("must be base64");
    }
    return *std::move(bytes);
}

/**
 * @brief Serialises JSON on one line; invalid UTF-8 is replaced.
 * @param json The JSON.
 * @return The text.
 */
[[nodiscard]] inline std::string dump(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/**
 * @brief Serialises a range as a JSON array, with one element in memory at a time.
 * @param out Receives the array, appended.
 * @param range The range.
 * @param toJson Returns the JSON of one element.
 */
template<class Range, class ToJson>
void appendArray(std::string &out, const Range &range, ToJson toJson)
{
    char separator = '[';
    for (const auto &it : range) {
        out += separator;
        out += dump(toJson(it));
        separator = ',';
    }
    out += separator == '[' ? "[]" : "]";
}

/**
 * @brief Parses JSON in which all numbers are integers.
 * @param text Any bytes.
 * @return The JSON; throws BadValue for invalid JSON and for other numbers.
 */
[[nodiscard]] nlohmann::json parseStrictly(std::string_view text);

/**
 * @brief Takes an element of a JSON array while the text is being parsed.
 * @param path Keys of the objects around the array and of the array itself.
 * @param element The element, an object.
 * @return True if the element was taken, and is to be left out of the result.
 */
using TakeElement = std::function<bool(const std::vector<std::string> &path, const nlohmann::json &element)>;

/**
 * @brief As parseStrictly(), but hands out objects in arrays as soon as they are parsed, so that a large array is never
 * in memory as a whole.
 * @param text Any bytes.
 * @param take Called with each object that is an element of an array; what it throws is passed on.
 * @return The JSON without the elements that were taken.
 */
[[nodiscard]] nlohmann::json parseStrictly(std::string_view text, const TakeElement &take);

} // namespace internal

inline constexpr auto ORDER_KIND_NAMES = base::makeNames<OrderKind>("load", "unload");
inline constexpr auto ORDER_END_NAMES = base::makeNames<OrderEnd>("done", "failed", "void");

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApplyConfig, changeId, author, wallMillis, baseVersion, baseDigest, documentText)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AddKey, changeId, author, wallMillis, organisation, keyId, hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WithdrawKey, changeId, author, wallMillis, organisation, keyId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    OpenClaim, organisation, key, requestDigest, vm, incarnation, attempt, wallMillis, expiresMillis)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Header, name, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AbandonClaims, vm, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SweepClaims, before)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseClaim, organisation, key, vm, attempt, mayHaveRun)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrganisationCeiling, organisation, level, exposure)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RaiseCeiling, term, reservedUntilMillis, organisations)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuarantineEnd, subject, untilMillis)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordQuarantines, quarantines)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceSoftware, service, versions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordSoftware, services)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetEvacuation, author, wallMillis, dataCentre, evacuated, base)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordWithdrawal, upstream, incarnation, wallMillis)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CountOutcome, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Malformed, message)

void to_json(nlohmann::json &json, const FinishClaim &value);
void from_json(const nlohmann::json &json, FinishClaim &value);
void to_json(nlohmann::json &json, const ReplaceConfig &value);
void from_json(const nlohmann::json &json, ReplaceConfig &value);
void to_json(nlohmann::json &json, const RecordIntent &value);
void from_json(const nlohmann::json &json, RecordIntent &value);
void to_json(nlohmann::json &json, const CloseIntent &value);
void from_json(const nlohmann::json &json, CloseIntent &value);
void to_json(nlohmann::json &json, const StoredResponse &value);
void from_json(const nlohmann::json &json, StoredResponse &value);
void to_json(nlohmann::json &json, const ChangeOutcome &value);
void from_json(const nlohmann::json &json, ChangeOutcome &value);
void to_json(nlohmann::json &json, const ClaimOutcome &value);
void from_json(const nlohmann::json &json, ClaimOutcome &value);
void to_json(nlohmann::json &json, const CeilingOutcome &value);
void from_json(const nlohmann::json &json, CeilingOutcome &value);
void to_json(nlohmann::json &json, const IntentOutcome &value);
void from_json(const nlohmann::json &json, IntentOutcome &value);
void to_json(nlohmann::json &json, const EvacuationOutcome &value);
void from_json(const nlohmann::json &json, EvacuationOutcome &value);

} // namespace bamboomoor::state
