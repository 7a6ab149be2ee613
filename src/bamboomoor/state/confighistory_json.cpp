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

nlohmann::json ConfigHistory::save() const
{
    nlohmann::json versions = nlohmann::json::array();
    for (const VersionInfo &info : m_versions) {
        versions.push_back(saveVersion(info));
    }
    nlohmann::json decided = nlohmann::json::array();
    for (const std::string &id : m_decidedOrder) {
        const DecidedChange &it = m_decided.at(id);
        decided.push_back(
            {{"changeId", it.changeId}, {"identity", it.identity}, {"base", it.base}, {"outcome", it.outcome}});
    }
    return {{"inForce", saveVersion(m_current)}, {"versions", std::move(versions)}, {"decided", std::move(decided)},
        {"withdrawn", m_withdrawnOrder}};
}

void ConfigHistory::load(const nlohmann::json &json)
{
    m_current = loadVersion(json.at("inForce"));
    auto parsed = config::parse(m_current.text.value());
    if (parsed.has_error()) {
        throw internal::BadValue("the current document in the snapshot is invalid: " + parsed.error().message);
    }
    m_document = std::make_shared<const config::Document>(std::move(parsed).value());
    m_textBytes = 0;
    for (const auto &it : json.at("versions")) {
        m_versions.push_back(loadVersion(it));
        m_textBytes += bytesOf(m_versions.back());
    }
    for (const auto &it : json.at("decided")) {
        DecidedChange decided;
        it.at("changeId").get_to(decided.changeId);
        it.at("identity").get_to(decided.identity);
        it.at("base").get_to(decided.base);
        it.at("outcome").get_to(decided.outcome);
        m_decidedOrder.push_back(decided.changeId);
        m_decided.emplace(decided.changeId, decided);
    }
    json.at("withdrawn").get_to(m_withdrawnOrder);
    m_withdrawn.insert(m_withdrawnOrder.begin(), m_withdrawnOrder.end());
}

} // namespace bamboomoor::state
