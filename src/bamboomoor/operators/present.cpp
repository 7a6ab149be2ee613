/**
 * Presenting replies to people and programs.
 */
#include "bamboomoor/operators/internal/present.hpp"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace bamboomoor::operators::internal
{
namespace
{

std::string timeOf(std::int64_t wallMillis)
{
    const absl::Time time = absl::FromUnixMillis(wallMillis);
    return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", time, absl::UTCTimeZone());
}

std::string lineOf(const VersionLine &it)
{
    return "version " + std::to_string(it.version) + ", digest " + it.digest + ", by " + it.author + ", since "
        + timeOf(it.wallMillis);
}

void presentJson(const Reply &reply, const Extra &extra, std::ostream &out)
{
    auto json = nlohmann::json::parse(encode(reply));
    if (!extra.changeId.empty()) {
        json["change_id"] = extra.changeId;
    }
    if (!extra.keyId.empty()) {
        json["key_id"] = extra.keyId;
    }
    if (!extra.key.empty()) {
        json["key"] = extra.key;
    }
    out << json.dump() << '\n';
}

void presentStatus(const Reply &reply, std::ostream &out)
{
    const auto status = nlohmann::json::parse(reply.status, nullptr, false);
    if (!status.is_object()) {
        out << reply.message << '\n';
        return;
    }
    for (const auto &[key, value] : status.items()) {
        out << key << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
    }
}

void presentDone(Verb verb, const Reply &reply, std::ostream &out)
{
    switch (verb) {
    case Verb::Show:
        out << "# " << lineOf(reply.version) << '\n' << reply.document.value_or("");
        return;
    case Verb::History:
        for (const VersionLine &line : reply.history) {
            out << lineOf(line) << ": " << line.summary << '\n';
        }
        return;
    case Verb::Status:
        presentStatus(reply, out);
        return;
    case Verb::Check:
    case Verb::Apply:
    case Verb::KeyAdd:
    case Verb::KeyWithdraw:
    case Verb::Drain:
        out << (reply.message.empty() ? "done" : reply.message) << '\n';
        return;
    }
}

void presentKey(const Extra &extra, std::ostream &out)
{
    if (!extra.key.empty()) {
        out << "key id: " << extra.keyId << '\n' << "key, shown only this once: " << extra.key << '\n';
    }
}

} // namespace

void present(Manner manner, const Reply &reply, const Extra &extra, std::ostream &out, std::ostream &err)
{
    if (manner.json) {
        presentJson(reply, extra, out);
        return;
    }
    if (reply.verdict == Verdict::Done) {
        presentDone(manner.verb, reply, out);
        presentKey(extra, out);
        return;
    }
    const bool isUnknown = reply.verdict == Verdict::Unknown;
    err << (isUnknown ? "outcome unknown" : "refused") << " (" << reply.code << "): " << reply.message << '\n';
    presentKey(extra, out);
    if (isUnknown && !extra.changeId.empty() && extra.key.empty()) {
        err << "the same command with --change-id " << extra.changeId
            << " tells the outcome and changes nothing twice\n";
    }
}

} // namespace bamboomoor::operators::internal
