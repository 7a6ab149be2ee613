/**
 * Configuration changes by compare-and-set, with idempotent change ids.
 */
#include "bamboomoor/state/confighistory.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/config/lookup.hpp"
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/config/patch.hpp"
#include "bamboomoor/reader/tablereader.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::state
{
namespace
{

constexpr std::size_t MAX_SUMMARY_LINES = 8;

std::string summarise(const config::Document &before, const config::Document &after)
{
    const auto changes = config::diff(before, after);
    std::string text;
    for (std::size_t n = 0; n < std::min(changes.size(), MAX_SUMMARY_LINES); ++n) {
        text += text.empty() ? "" : "; ";
        text += config::describe(changes[n]);
    }
    if (changes.size() > MAX_SUMMARY_LINES) {
        text += "; and " + std::to_string(changes.size() - MAX_SUMMARY_LINES) + " more";
    }
    return text.empty() ? "no difference" : text;
}

config::Organisation *findMutable(config::Document &document, std::string_view name)
{
    for (auto &it : document.organisations) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

bool containsKey(const config::Organisation &organisation, const config::Key &key)
{
    return std::any_of(organisation.keys.begin(), organisation.keys.end(), [&key](const config::Key &it) {
        return it.hash == key.hash;
    });
}

std::string unknownOrganisation(std::string_view name)
{
    return "there is no organisation \"" + std::string(name) + "\"";
}

} // namespace

ConfigHistory::ConfigHistory(const Limits &limits)
    : m_limits(limits)
    , m_document(std::make_shared<const config::Document>())
{
    m_current.text = config::print(*m_document);
    m_current.digest = base::sha256(*m_current.text);
}

ConfigHistory::Request ConfigHistory::requestOf(const ApplyConfig &change)
{
    return {change.changeId, change.author, change.wallMillis, base::sha256("apply\n" + change.documentText),
        std::to_string(change.baseVersion) + " " + change.baseDigest};
}

ConfigHistory::Request ConfigHistory::requestOf(const AddKey &change)
{
    return {change.changeId, change.author, change.wallMillis,
        base::sha256("add\n" + change.organisation + "\n" + change.keyId + "\n" + change.hash), {}};
}

ConfigHistory::Request ConfigHistory::requestOf(const WithdrawKey &change)
{
    return {change.changeId, change.author, change.wallMillis,
        base::sha256("withdraw\n" + change.organisation + "\n" + change.keyId), {}};
}

template<class Change>
ChangeOutcome ConfigHistory::applyOnce(const Change &change)
{
    const Request request = requestOf(change);
    if (auto earlier = findDecided(request); earlier.has_value()) {
        return *std::move(earlier);
    }
    ChangeOutcome outcome = decide(change, request);
    recordOutcome(request, outcome);
    return outcome;
}

ChangeOutcome ConfigHistory::apply(const ApplyConfig &change)
{
    return applyOnce(change);
}

ChangeOutcome ConfigHistory::apply(const AddKey &change)
{
    return applyOnce(change);
}

ChangeOutcome ConfigHistory::apply(const WithdrawKey &change)
{
    return applyOnce(change);
}

std::optional<ChangeOutcome> ConfigHistory::decided(const ApplyConfig &change) const
{
    return findDecided(requestOf(change));
}

std::optional<ChangeOutcome> ConfigHistory::decided(const AddKey &change) const
{
    return findDecided(requestOf(change));
}

std::optional<ChangeOutcome> ConfigHistory::decided(const WithdrawKey &change) const
{
    return findDecided(requestOf(change));
}

std::optional<ChangeOutcome> ConfigHistory::decided(const ReplaceConfig &change) const
{
    // A repeated or superseded change is not an error of its sender.
    if (change.version <= m_current.version) {
        return makeOutcome(ChangeCode::Accepted, "version " + std::to_string(m_current.version) + " is in force");
    }
    return std::nullopt;
}

ChangeOutcome ConfigHistory::apply(const ReplaceConfig &change)
{
    if (auto earlier = decided(change); earlier.has_value()) {
        return *std::move(earlier);
    }
    auto parsed = config::parseBeside(change.documentText, *m_document, *m_current.text);
    if (parsed.has_error()) {
        return makeOutcome(ChangeCode::InvalidDocument, parsed.error().place + ": " + parsed.error().message);
    }
    if (const auto problem = config::check(parsed.value()); problem.has_value()) {
        return makeOutcome(ChangeCode::InvalidDocument, problem->place + ": " + problem->message);
    }
    VersionInfo next;
    next.version = change.version;
    next.author = change.author;
    next.wallMillis = change.wallMillis;
    next.summary = summarise(*m_document, parsed.value());
    next.source = change.source;
    return install(std::move(parsed).value(), std::move(next));
}

std::optional<ChangeOutcome> ConfigHistory::findDecided(const Request &request) const
{
    const auto it = m_decided.find(request.changeId);
    if (it == m_decided.end()) {
        return std::nullopt;
    }
    const DecidedChange &first = it->second;
    if (first.identity != request.identity) {
        return makeOutcome(
            ChangeCode::ChangeIdReused, "the change id \"" + request.changeId + "\" belongs to another change");
    }
    // A change that lost a race may be retried from another base.
    if (first.outcome.code == ChangeCode::BaseMismatch && first.base != request.base) {
        return std::nullopt;
    }
    return first.outcome;
}

ChangeOutcome ConfigHistory::makeOutcome(ChangeCode code, std::string message) const
{
    return {.code = code,
        .message = std::move(message),
        .version = m_current.version,
        .digest = m_current.digest,
        .author = m_current.author};
}

ChangeOutcome ConfigHistory::decide(const ApplyConfig &change, const Request &request)
{
    if (change.baseVersion != m_current.version || change.baseDigest != m_current.digest) {
        return makeOutcome(ChangeCode::BaseMismatch,
            "the change was made from version " + std::to_string(change.baseVersion) + ", but version "
                + std::to_string(m_current.version) + " by \"" + m_current.author + "\" is in force");
    }
    auto parsed = config::parseBeside(change.documentText, *m_document, *m_current.text);
    if (parsed.has_error()) {
        return makeOutcome(ChangeCode::InvalidDocument, parsed.error().place + ": " + parsed.error().message);
    }
    config::Document document = std::move(parsed).value();
    if (auto withdrawn = findWithdrawn(document); withdrawn.has_value()) {
        return makeOutcome(ChangeCode::KeyWithdrawn, *std::move(withdrawn));
    }
    keepAddedKeys(document);
    if (const auto problem = config::check(document); problem.has_value()) {
        return makeOutcome(ChangeCode::InvalidDocument, problem->place + ": " + problem->message);
    }
    std::string summary = summarise(*m_document, document);
    return accept(std::move(document), std::move(summary), request);
}

ChangeOutcome ConfigHistory::decide(const AddKey &change, const Request &request)
{
    if (m_withdrawn.contains(change.hash)) {
        return makeOutcome(ChangeCode::KeyWithdrawn, "the key was withdrawn earlier");
    }
    config::Document document = *m_document;
    config::Organisation *organisation = findMutable(document, change.organisation);
    if (organisation == nullptr) {
        return makeOutcome(ChangeCode::UnknownOrganisation, unknownOrganisation(change.organisation));
    }
    // A document with a malformed id or hash could not be parsed again.
    if (!reader::hasForm(change.keyId, reader::Form::Name) || !reader::hasForm(change.hash, reader::Form::Sha256)) {
        return makeOutcome(ChangeCode::InvalidDocument, "the key's id must be a name and its hash a SHA-256 digest");
    }
    organisation->keys.push_back({.id = change.keyId, .hash = change.hash, .added = true});
    if (const auto problem = config::check(document); problem.has_value()) {
        return makeOutcome(ChangeCode::DuplicateKey, problem->place + ": " + problem->message);
    }
    std::string summary = "added key " + change.keyId + " of organisation " + change.organisation;
    return accept(std::move(document), std::move(summary), request);
}

ChangeOutcome ConfigHistory::decide(const WithdrawKey &change, const Request &request)
{
    config::Document document = *m_document;
    config::Organisation *organisation = findMutable(document, change.organisation);
    if (organisation == nullptr) {
        return makeOutcome(ChangeCode::UnknownOrganisation, unknownOrganisation(change.organisation));
    }
    const auto it = std::find_if(organisation->keys.begin(), organisation->keys.end(), [&change](const auto &key) {
        return key.id == change.keyId;
    });
    if (it == organisation->keys.end()) {
        return makeOutcome(ChangeCode::UnknownKey, "the organisation has no key \"" + change.keyId + "\"");
    }
    recordWithdrawn(it->hash);
    organisation->keys.erase(it);
    std::string summary = "withdrew key " + change.keyId + " of organisation " + change.organisation;
    return accept(std::move(document), std::move(summary), request);
}

ChangeOutcome ConfigHistory::accept(config::Document document, std::string summary, const Request &request)
{
    VersionInfo next;
    next.version = m_current.version + 1;
    next.author = request.author;
    next.changeId = request.changeId;
    next.wallMillis = request.wallMillis;
    next.summary = std::move(summary);
    return install(std::move(document), std::move(next));
}

ChangeOutcome ConfigHistory::install(config::Document document, VersionInfo next)
{
    next.text = config::print(document);
    next.digest = base::sha256(*next.text);
    m_document = std::make_shared<const config::Document>(std::move(document));
    m_textBytes += bytesOf(next);
    m_current = next;
    m_versions.push_back(std::move(next));
    trimVersions();
    return makeOutcome(ChangeCode::Accepted, "version " + std::to_string(m_current.version) + " is in force");
}

std::optional<std::string> ConfigHistory::findWithdrawn(const config::Document &document) const
{
    for (const auto &organisation : document.organisations) {
        for (const auto &key : organisation.keys) {
            if (m_withdrawn.contains(key.hash)) {
                return "the key \"" + key.id + "\" of organisation \"" + organisation.name
                    + "\" was withdrawn earlier; it must be removed from the document";
            }
        }
    }
    return std::nullopt;
}

void ConfigHistory::keepAddedKeys(config::Document &document) const
{
    for (auto &organisation : document.organisations) {
        const config::Organisation *before = config::findOrganisation(*m_document, organisation.name);
        if (before == nullptr) {
            continue;
        }
        for (const config::Key &key : before->keys) {
            if (key.added && !containsKey(organisation, key)) {
                organisation.keys.push_back(key);
            }
        }
    }
}

void ConfigHistory::recordOutcome(const Request &request, const ChangeOutcome &outcome)
{
    DecidedChange decided{
        .changeId = request.changeId, .identity = request.identity, .base = request.base, .outcome = outcome};
    const auto earlier = m_decided.find(request.changeId);
    if (earlier != m_decided.end()) {
        m_decidedBytes -= bytesOf(earlier->second);
    } else {
        m_decidedOrder.push_back(request.changeId);
    }
    m_decidedBytes += bytesOf(decided);
    m_decided.insert_or_assign(request.changeId, std::move(decided));
    // The newest is kept whatever its size.
    while (m_decidedOrder.size() > 1
        && (m_decidedOrder.size() > m_limits.changes || m_decidedBytes > m_limits.changeBytes)) {
        const auto oldest = m_decided.find(m_decidedOrder.front());
        m_decidedBytes -= bytesOf(oldest->second);
        m_decided.erase(oldest);
        m_decidedOrder.pop_front();
    }
}

void ConfigHistory::recordWithdrawn(const std::string &hash)
{
    if (!m_withdrawn.insert(hash).second) {
        return;
    }
    m_withdrawnOrder.push_back(hash);
    if (m_withdrawnOrder.size() > m_limits.withdrawnKeys) {
        m_withdrawn.erase(m_withdrawnOrder.front());
        m_withdrawnOrder.pop_front();
    }
}

void ConfigHistory::trimVersions()
{
    if (m_versions.size() > m_limits.history) {
        dropText(m_versions.front());
        m_versions.pop_front();
    }
    if (m_versions.size() > m_limits.historyTexts) {
        dropText(m_versions[m_versions.size() - m_limits.historyTexts - 1]);
    }
    for (std::size_t n = 0; m_textBytes > m_limits.historyTextBytes && n < m_versions.size(); ++n) {
        dropText(m_versions[n]);
    }
}

void ConfigHistory::dropText(VersionInfo &info)
{
    m_textBytes -= bytesOf(info);
    info.text.reset();
    info.source.reset();
}

std::size_t ConfigHistory::bytesOf(const VersionInfo &info) noexcept
{
    return (info.text ? info.text->size() : 0) + (info.source ? info.source->size() : 0);
}

std::size_t ConfigHistory::bytesOf(const DecidedChange &change) noexcept
{
    const ChangeOutcome &outcome = change.outcome;
    return change.changeId.size() + change.identity.size() + change.base.size() + outcome.message.size()
        + outcome.digest.size() + outcome.author.size();
}

const VersionInfo *ConfigHistory::find(std::uint64_t version) const noexcept
{
    if (version == m_current.version) {
        return &m_current;
    }
    const auto it = std::lower_bound(
        m_versions.begin(), m_versions.end(), version, [](const VersionInfo &info, std::uint64_t number) {
            return info.version < number;
        });
    return it != m_versions.end() && it->version == version ? &*it : nullptr;
}

} // namespace bamboomoor::state
