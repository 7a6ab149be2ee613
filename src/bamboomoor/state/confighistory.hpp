/**
 * The configuration in force, the versions before it, and the changes that led there.
 * Versions only grow. A change id is remembered with its outcome, so that a resend changes nothing.
 */
#pragma once

#include "bamboomoor/config/document.hpp"
#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bamboomoor::state
{

/** @brief One version of the configuration. */
struct VersionInfo {
    // Grows from 1, in steps where operators choose it; 0 is the empty document before the first change.
    std::uint64_t version = 0;
    // config::digest of the document.
    std::string digest;
    std::string author;
    std::string changeId;
    // Since when, milliseconds since the Unix epoch.
    std::int64_t wallMillis = 0;
    // What differs from the version before, on one line.
    std::string summary;
    // The canonical form; nothing for an old version whose text is no longer kept.
    std::optional<std::string> text;
    // The bytes of a document that came in a form of the operator's; kept as long as the text.
    std::optional<std::string> source;

    friend bool operator==(const VersionInfo &, const VersionInfo &) = default;
};

/** @brief Versions of the configuration. */
class ConfigHistory
{
public:
    /**
     * @brief Starts with the empty document at version 0.
     * @param limits The bounds.
     */
    explicit ConfigHistory(const Limits &limits);

    /**
     * @brief Applies a change.
     * @param change The change.
     * @return Its outcome, or the first outcome of the same change.
     */
    ChangeOutcome apply(const ApplyConfig &change);
    ChangeOutcome apply(const AddKey &change);
    ChangeOutcome apply(const WithdrawKey &change);

    /**
     * @brief Puts a document in force if its version is the highest.
     * @param change The document with its version.
     * @return Accepted with the version in force afterwards, also when that is a higher one; or InvalidDocument.
     */
    ChangeOutcome apply(const ReplaceConfig &change);

    /**
     * @brief Reads the version in force.
     * @return The version, always with its text.
     */
    [[nodiscard]] const VersionInfo &inForce() const noexcept
    {
        return m_inForce;
    }

    /**
     * @brief Reads the document in force.
     * @return The document, which never changes and may be kept.
     */
    [[nodiscard]] std::shared_ptr<const config::Document> document() const noexcept
    {
        return m_document;
    }

    /**
     * @brief Lists versions, the oldest first, the one in force last.
     * @return The versions; empty at version 0.
     */
    [[nodiscard]] const std::deque<VersionInfo> &versions() const noexcept
    {
        return m_versions;
    }

    /**
     * @brief Finds a version.
     * @param version The version.
     * @return The version, or null when it is not known or not kept any more.
     */
    [[nodiscard]] const VersionInfo *find(std::uint64_t version) const noexcept;

    /**
     * @brief Writes everything but the limits.
     * @return JSON.
     */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Reads what save() wrote into an empty history.
     * @param json The JSON; throws on any mistake.
     */
    void load(const nlohmann::json &json);

private:
    // A change that was decided.
    struct Decided {
        std::string changeId;
        // Tells one change from another under the same id.
        std::string identity;
        // The base of an ApplyConfig, empty for others.
        std::string base;
        ChangeOutcome outcome;
    };

    // What a change is, whoever sends it and whenever.
    struct Request {
        std::string changeId;
        std::string author;
        std::int64_t wallMillis = 0;
        std::string identity;
        std::string base;
    };

    [[nodiscard]] std::optional<ChangeOutcome> findDecided(const Request &request) const;
    [[nodiscard]] ChangeOutcome refuse(ChangeCode code, std::string message) const;
    [[nodiscard]] ChangeOutcome decide(const ApplyConfig &change, const Request &request);
    [[nodiscard]] ChangeOutcome decide(const AddKey &change, const Request &request);
    [[nodiscard]] ChangeOutcome decide(const WithdrawKey &change, const Request &request);
    [[nodiscard]] ChangeOutcome accept(config::Document document, std::string summary, const Request &request);
    [[nodiscard]] ChangeOutcome install(config::Document document, VersionInfo next);
    [[nodiscard]] static std::size_t bytesOf(const VersionInfo &info) noexcept;
    template<class Change>
    ChangeOutcome applyOnce(const Change &change, Request request);
    [[nodiscard]] std::optional<std::string> findWithdrawn(const config::Document &document) const;
    void keepAddedKeys(config::Document &document) const;
    void remember(const Request &request, const ChangeOutcome &outcome);
    void rememberWithdrawn(const std::string &hash);
    void trimVersions();
    void dropText(VersionInfo &info);

    Limits m_limits;
    VersionInfo m_inForce;
    // Parsed from m_inForce.text; never null.
    std::shared_ptr<const config::Document> m_document;
    // Versions by ascending number, the last one equal to m_inForce.
    std::deque<VersionInfo> m_versions;
    // The sum of the sizes of all texts in m_versions.
    std::size_t m_textBytes = 0;
    // By change id, and the ids in the order in which they were decided.
    std::map<std::string, Decided, std::less<>> m_decided;
    std::deque<std::string> m_decidedOrder;
    // Hashes, and the same in the order in which they were withdrawn.
    std::set<std::string, std::less<>> m_withdrawn;
    std::deque<std::string> m_withdrawnOrder;
};

} // namespace bamboomoor::state
