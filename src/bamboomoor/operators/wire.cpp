/**
 * The JSON between the command line and an entry.
 */
#include "bamboomoor/operators/wire.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace bamboomoor::operators
{
namespace
{

using nlohmann::json;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string textAt(const json &in, const char *key)
{
    return in.at(key).get<std::string>();
}

std::string optionalText(const json &in, const char *key)
{
    return in.contains(key) ? textAt(in, key) : "";
}

std::uint64_t countAt(const json &in, const char *key)
{
    const json &value = in.at(key);
    if (!value.is_number_unsigned()) {
        throw std::runtime_error(std::string(key) + " must be an integer of at least 0");
    }
    return value.get<std::uint64_t>();
}

json saveLine(const VersionLine &value)
{
    return {{"version", value.version}, {"digest", value.digest}, {"author", value.author},
        {"change_id", value.changeId}, {"wall_millis", value.wallMillis}, {"summary", value.summary}};
}

VersionLine loadLine(const json &in)
{
    VersionLine out;
    out.version = in.contains("version") ? countAt(in, "version") : 0;
    out.digest = optionalText(in, "digest");
    out.author = optionalText(in, "author");
    out.changeId = optionalText(in, "change_id");
    if (in.contains("wall_millis") && in.at("wall_millis").is_number_integer()) {
        out.wallMillis = in.at("wall_millis").get<std::int64_t>();
    }
    out.summary = optionalText(in, "summary");
    return out;
}

Verdict readVerdict(const json &in)
{
    const auto verdict = VERDICT_NAMES.find(textAt(in, "outcome"));
    if (!verdict.has_value()) {
        throw std::runtime_error("outcome must be one of " + VERDICT_NAMES.list());
    }
    return *verdict;
}

// The error body that callers get too; not_run tells whether anything can have happened.
Reply loadError(const json &error)
{
    Reply out;
    const bool notRun =
        error.contains("not_run") && error.at("not_run").is_boolean() && error.at("not_run").get<bool>();
    out.verdict = notRun ? Verdict::Refused : Verdict::Unknown;
    out.code = optionalText(error, "code");
    out.message = optionalText(error, "message");
    return out;
}

Reply loadReply(const json &in)
{
    if (in.contains("error")) {
        return loadError(in.at("error"));
    }
    Reply out;
    out.verdict = readVerdict(in);
    out.code = optionalText(in, "code");
    out.message = optionalText(in, "message");
    out.version = loadLine(in);
    if (in.contains("document")) {
        out.document = textAt(in, "document");
    }
    if (in.contains("versions")) {
        for (const json &line : in.at("versions")) {
            out.history.push_back(loadLine(line));
        }
    }
    if (in.contains("status")) {
        out.status = dump(in.at("status"));
    }
    return out;
}

template<class Value, class Load>
base::Result<Value, WireError> load(std::string_view text, Load read)
{
    try {
        const json in = json::parse(text, nullptr, false);
        if (!in.is_object()) {
            return base::failure(WireError{.message = "must be a JSON object"});
        }
        return Value(read(in));
    } catch (const std::exception &error) {
        return base::failure(WireError{.message = error.what()});
    }
}

} // namespace

std::string encode(const ApplyRequest &value)
{
    return dump({{"change_id", value.changeId}, {"author", value.author}, {"base_version", value.baseVersion},
        {"base_digest", value.baseDigest}, {"document", value.document}});
}

std::string encode(const AddKeyRequest &value)
{
    return dump({{"change_id", value.changeId}, {"author", value.author}, {"organisation", value.organisation},
        {"key_id", value.keyId}, {"hash", value.hash}});
}

std::string encode(const WithdrawKeyRequest &value)
{
    return dump({{"change_id", value.changeId}, {"author", value.author}, {"organisation", value.organisation},
        {"key_id", value.keyId}});
}

std::string encode(const Reply &value)
{
    json out = saveLine(value.version);
    out["outcome"] = VERDICT_NAMES.name(value.verdict);
    out["code"] = value.code;
    out["message"] = value.message;
    if (value.document.has_value()) {
        out["document"] = *value.document;
    }
    for (const VersionLine &line : value.history) {
        out["versions"].push_back(saveLine(line));
    }
    if (!value.status.empty()) {
        out["status"] = json::parse(value.status, nullptr, false);
    }
    return dump(out);
}

base::Result<ApplyRequest, WireError> decodeApply(std::string_view text)
{
    return load<ApplyRequest>(text, [](const json &in) {
        return ApplyRequest{.changeId = textAt(in, "change_id"),
            .author = textAt(in, "author"),
            .baseVersion = countAt(in, "base_version"),
            .baseDigest = textAt(in, "base_digest"),
            .document = textAt(in, "document")};
    });
}

base::Result<AddKeyRequest, WireError> decodeAddKey(std::string_view text)
{
    return load<AddKeyRequest>(text, [](const json &in) {
        return AddKeyRequest{.changeId = textAt(in, "change_id"),
            .author = textAt(in, "author"),
            .organisation = textAt(in, "organisation"),
            .keyId = textAt(in, "key_id"),
            .hash = textAt(in, "hash")};
    });
}

base::Result<WithdrawKeyRequest, WireError> decodeWithdrawKey(std::string_view text)
{
    return load<WithdrawKeyRequest>(text, [](const json &in) {
        return WithdrawKeyRequest{.changeId = textAt(in, "change_id"),
            .author = textAt(in, "author"),
            .organisation = textAt(in, "organisation"),
            .keyId = textAt(in, "key_id")};
    });
}

base::Result<Reply, WireError> decodeReply(std::string_view text)
{
    return load<Reply>(text, loadReply);
}

} // namespace bamboomoor::operators
