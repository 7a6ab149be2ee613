/**
 * Serialisation of the configuration history for snapshots.
 */
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/state/confighistory.hpp"
#include "bamboomoor/state/json.hpp"

#include <utility>

namespace bamboomoor::state
{
namespace
{

nlohmann::json saveVersion(const VersionInfo &info)
{
    nlohmann::json out = {{"version", info.version}, {"digest", info.digest}, {"author", info.author},
        {"changeId", info.changeId}, {"wallMillis", info.wallMillis}, {"summary", info.summary}};
    if (info.text.has_value()) {
        out["text"] = *info.text;
    }
    if (info.source.has_value()) {
        out["source"] = internal::toBase64(*info.source);
    }
    return out;
}

VersionInfo loadVersion(const nlohmann::json &json)
{
    VersionInfo info;
    json.at("version").get_to(info.version);
    json.at("digest").get_to(info.digest);
    json.at("author").get_to(info.author);
    json.at("changeId").get_to(info.changeId);
    json.at("wallMillis").get_to(info.wallMillis);
    json.at("summary").get_to(info.summary);
    if (json.contains("text")) {
        info.text = json.at("text").get<std::string>();
    }
    if (json.contains("source")) {
        info.source = internal::readBytes(json.at("source"));
    }
    return info;
}

} // namespace

void ConfigHistory::save(std::string &out) const
{
    out += "{\"decided\":";
    internal::appendArray(out, m_decidedOrder, [this](const std::string &id) {
        const DecidedChange &it = m_decided.at(id);
        return nlohmann::json{
            {"changeId", it.changeId}, {"identity", it.identity}, {"base", it.base}, {"outcome", it.outcome}};
    });
    out += ",\"inForce\":" + internal::dump(saveVersion(m_current)) + ",\"versions\":";
    internal::appendArray(out, m_versions, &saveVersion);
    out += ",\"withdrawn\":" + internal::dump(m_withdrawnOrder) + '}';
}

bool ConfigHistory::loadElement(std::string_view name, const nlohmann::json &json)
{
    if (name == "versions") {
        m_versions.push_back(loadVersion(json));
        m_textBytes += bytesOf(m_versions.back());
        return true;
    }
    if (name == "decided") {
        DecidedChange decided;
        json.at("changeId").get_to(decided.changeId);
        json.at("identity").get_to(decided.identity);
        json.at("base").get_to(decided.base);
        json.at("outcome").get_to(decided.outcome);
        const std::size_t size = bytesOf(decided);
        const std::string id = decided.changeId;
        if (!m_decided.emplace(id, std::move(decided)).second) {
            throw internal::BadValue("a change is listed twice");
        }
        m_decidedBytes += size;
        m_decidedOrder.push_back(id);
        return true;
    }
    return false;
}

void ConfigHistory::load(const nlohmann::json &json)
{
    m_current = loadVersion(json.at("inForce"));
    auto parsed = config::parse(m_current.text.value());
    if (parsed.has_error()) {
        throw internal::BadValue("the current document in the snapshot is invalid: " + parsed.error().message);
    }
    m_document = std::make_shared<const config::Document>(std::move(parsed).value());
    // Their elements are loaded already.
    static_cast<void>(json.at("versions"));
    static_cast<void>(json.at("decided"));
    json.at("withdrawn").get_to(m_withdrawnOrder);
    m_withdrawn.insert(m_withdrawnOrder.begin(), m_withdrawnOrder.end());
}

} // namespace bamboomoor::state
