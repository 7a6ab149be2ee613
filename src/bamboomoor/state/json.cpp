/**
 * JSON encoding of commands and outcomes: {"kind": NAME, "value": {...}}.
 */
#include "bamboomoor/state/json.hpp"

#include <array>
#include <utility>

namespace bamboomoor::state
{
namespace
{

using nlohmann::json;

constexpr const char *ONLY_INTEGERS = "numbers must be integers of at most 64 bits";

// The names of the alternatives, in the order of the variant.
constexpr std::array<std::string_view, std::variant_size_v<Command>> COMMAND_NAMES{"apply_config", "add_key",
    "withdraw_key", "open_claim", "finish_claim", "abandon_claims", "sweep_claims", "raise_ceiling", "record_intent",
    "close_intent", "release_claim", "replace_config", "record_quarantines", "record_software", "set_evacuation",
    "record_withdrawal"};
constexpr std::array<std::string_view, std::variant_size_v<Outcome>> OUTCOME_NAMES{
    "change", "claim", "count", "ceiling", "intent", "malformed", "evacuation"};

template<class Variant, std::size_t Size>
std::string encodeVariant(const Variant &variant, const std::array<std::string_view, Size> &names)
{
    json out;
    out["kind"] = names.at(variant.index());
    std::visit(
        [&out](const auto &value) {
            out["value"] = value;
        },
        variant);
    return internal::dump(out);
}

template<class Variant, std::size_t Size, std::size_t... Index>
Variant readVariant(const json &in, const std::array<std::string_view, Size> &names, std::index_sequence<Index...>)
{
    const auto kind = in.at("kind").get<std::string>();
    std::optional<Variant> found;
    const auto readOne = [&]<std::size_t N>(std::integral_constant<std::size_t, N>) {
        if (names[N] == kind) {
            found.emplace(
                std::in_place_index<N>, in.at("value").template get<std::variant_alternative_t<N, Variant>>());
        }
    };
    (readOne(std::integral_constant<std::size_t, Index>()), ...);
    if (!found.has_value()) {
        throw internal::BadValue("unknown kind");
    }
    return *std::move(found);
}

template<class Variant, std::size_t Size>
base::Result<Variant, DecodeError> decodeVariant(std::string_view text, const std::array<std::string_view, Size> &names)
{
    try {
        const json in = internal::parseStrictly(text);
        return readVariant<Variant>(in, names, std::make_index_sequence<Size>());
    } catch (const std::exception &error) {
        return base::failure(DecodeError{.message = error.what()});
    }
}

// Iterative, since untrusted input may be nested deeply enough to overflow the stack.
bool containsFloat(const json &root)
{
    std::vector<const json *> left{&root};
    while (!left.empty()) {
        const json &value = *left.back();
        left.pop_back();
        if (value.is_number_float()) {
            return true;
        }
        if (value.is_structured()) {
            for (const json &inner : value) {
                left.push_back(&inner);
            }
        }
    }
    return false;
}

} // namespace

nlohmann::json internal::parseStrictly(std::string_view text)
{
    json out = json::parse(text, nullptr, false);
    if (out.is_discarded()) {
        throw BadValue("no JSON");
    }
    if (containsFloat(out)) {
        throw BadValue(ONLY_INTEGERS);
    }
    return out;
}

nlohmann::json internal::parseStrictly(std::string_view text, const TakeElement &take)
{
    // The structures around the parser's position: the key of each object's current member, empty for arrays.
    std::vector<std::string> path;
    std::vector<bool> isArray;
    const auto callback = [&](int /*depth*/, json::parse_event_t event, json &parsed) {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            isArray.push_back(event == json::parse_event_t::array_start);
            path.emplace_back();
            return true;
        case json::parse_event_t::key:
            path.back() = parsed.get<std::string>();
            return true;
        case json::parse_event_t::array_end:
        case json::parse_event_t::object_end:
            isArray.pop_back();
            path.pop_back();
            break;
        case json::parse_event_t::value:
            return true;
        }
        if (event != json::parse_event_t::object_end || isArray.empty() || !isArray.back()) {
            return true;
        }
        std::vector<std::string> keys(path.begin(), path.end() - 1);
        if (containsFloat(parsed)) {
            throw BadValue(ONLY_INTEGERS);
        }
        return !take(keys, parsed);
    };
    json out = json::parse(text, callback, false);
    if (out.is_discarded()) {
        throw BadValue("no JSON");
    }
    if (containsFloat(out)) {
        throw BadValue(ONLY_INTEGERS);
    }
    return out;
}

void to_json(json &json, const FinishClaim &value)
{
    json = {{"organisation", value.organisation}, {"key", value.key}, {"claimId", value.claimId},
        {"status", value.status}, {"headers", value.headers}, {"body", internal::toBase64(value.body)}};
}

void from_json(const json &json, FinishClaim &value)
{
    json.at("organisation").get_to(value.organisation);
    json.at("key").get_to(value.key);
    json.at("claimId").get_to(value.claimId);
    json.at("status").get_to(value.status);
    json.at("headers").get_to(value.headers);
    value.body = internal::readBytes(json.at("body"));
}

void to_json(json &json, const ReplaceConfig &value)
{
    json = {{"author", value.author}, {"wallMillis", value.wallMillis}, {"version", value.version},
        {"documentText", value.documentText}, {"source", internal::toBase64(value.source)}};
}

void from_json(const json &json, ReplaceConfig &value)
{
    json.at("author").get_to(value.author);
    json.at("wallMillis").get_to(value.wallMillis);
    json.at("version").get_to(value.version);
    json.at("documentText").get_to(value.documentText);
    value.source = internal::readBytes(json.at("source"));
}

void to_json(json &json, const RecordIntent &value)
{
    json = {{"orderId", value.orderId}, {"fencing", value.fencing}, {"upstream", value.upstream},
        {"incarnation", value.incarnation}, {"accelerator", value.accelerator},
        {"kind", ORDER_KIND_NAMES.name(value.kind)}, {"model", value.model}, {"adapter", value.adapter},
        {"version", value.version}, {"memoryMib", value.memoryMib}};
}

void from_json(const json &json, RecordIntent &value)
{
    json.at("orderId").get_to(value.orderId);
    json.at("fencing").get_to(value.fencing);
    json.at("upstream").get_to(value.upstream);
    json.at("incarnation").get_to(value.incarnation);
    json.at("accelerator").get_to(value.accelerator);
    value.kind = internal::readName(json.at("kind"), ORDER_KIND_NAMES);
    json.at("model").get_to(value.model);
    json.at("adapter").get_to(value.adapter);
    json.at("version").get_to(value.version);
    json.at("memoryMib").get_to(value.memoryMib);
}

void to_json(json &json, const CloseIntent &value)
{
    json = {{"orderId", value.orderId}, {"end", ORDER_END_NAMES.name(value.end)}};
}

void from_json(const json &json, CloseIntent &value)
{
    json.at("orderId").get_to(value.orderId);
    value.end = internal::readName(json.at("end"), ORDER_END_NAMES);
}

void to_json(json &json, const StoredResponse &value)
{
    json = {{"status", value.status}, {"headers", value.headers}, {"body", internal::toBase64(value.body)},
        {"tooLarge", value.tooLarge}};
}

void from_json(const json &json, StoredResponse &value)
{
    json.at("status").get_to(value.status);
    json.at("headers").get_to(value.headers);
    value.body = internal::readBytes(json.at("body"));
    json.at("tooLarge").get_to(value.tooLarge);
}

void to_json(json &json, const ChangeOutcome &value)
{
    json = {{"code", CHANGE_CODE_NAMES.name(value.code)}, {"message", value.message}, {"version", value.version},
        {"digest", value.digest}, {"author", value.author}};
}

void from_json(const json &json, ChangeOutcome &value)
{
    value.code = internal::readName(json.at("code"), CHANGE_CODE_NAMES);
    json.at("message").get_to(value.message);
    json.at("version").get_to(value.version);
    json.at("digest").get_to(value.digest);
    json.at("author").get_to(value.author);
}

void to_json(json &json, const ClaimOutcome &value)
{
    json = {{"code", CLAIM_CODE_NAMES.name(value.code)}, {"claimId", value.claimId}};
    if (value.response.has_value()) {
        json["answer"] = *value.response;
    }
}

void from_json(const json &json, ClaimOutcome &value)
{
    value.code = internal::readName(json.at("code"), CLAIM_CODE_NAMES);
    json.at("claimId").get_to(value.claimId);
    value.response.reset();
    if (json.contains("answer")) {
        value.response = json.at("answer").get<StoredResponse>();
    }
}

void to_json(json &json, const CeilingOutcome &value)
{
    json = {{"code", CEILING_CODE_NAMES.name(value.code)}, {"term", value.term}};
}

void from_json(const json &json, CeilingOutcome &value)
{
    value.code = internal::readName(json.at("code"), CEILING_CODE_NAMES);
    json.at("term").get_to(value.term);
}

void to_json(json &json, const IntentOutcome &value)
{
    json = {{"code", INTENT_CODE_NAMES.name(value.code)}, {"lastFencing", value.lastFencing}};
}

void from_json(const json &json, IntentOutcome &value)
{
    value.code = internal::readName(json.at("code"), INTENT_CODE_NAMES);
    json.at("lastFencing").get_to(value.lastFencing);
}

void to_json(json &json, const EvacuationOutcome &value)
{
    json = {{"code", EVACUATION_CODE_NAMES.name(value.code)}, {"changedAt", value.changedAt}};
}

void from_json(const json &json, EvacuationOutcome &value)
{
    value.code = internal::readName(json.at("code"), EVACUATION_CODE_NAMES);
    json.at("changedAt").get_to(value.changedAt);
}

std::string encode(const Command &command)
{
    return encodeVariant(command, COMMAND_NAMES);
}

base::Result<Command, DecodeError> decode(std::string_view text)
{
    return decodeVariant<Command>(text, COMMAND_NAMES);
}

std::string encode(const Outcome &outcome)
{
    return encodeVariant(outcome, OUTCOME_NAMES);
}

base::Result<Outcome, DecodeError> decodeOutcome(std::string_view text)
{
    return decodeVariant<Outcome>(text, OUTCOME_NAMES);
}

} // namespace bamboomoor::state
