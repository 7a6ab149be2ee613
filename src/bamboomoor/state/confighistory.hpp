/**
 * The current configuration, its previous versions and the outcomes of recent changes.
 * Version numbers only increase. The outcome of each change id is retained, so that resending a change has no effect.
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
    // Increases from 1, with gaps if operators choose the number; 0 is the empty document before the first change.
    std::uint64_t version = 0;
    // The SHA-256 digest of the canonical text.
    std::string digest;
    std::string author;
    std::string changeId;
    // The time of the change, in milliseconds since the Unix epoch.
    std::int64_t wallMillis = 0;
    // The differences from the previous version, on one line.
    std::string summary;
    // The canonical text; nothing for an old version whose text has been dropped.
    std::optional<std::string> text;
    // The original bytes of a ReplaceConfig; retained as long as the text.
    std::optional<std::string> source;

    friend bool operator==(const VersionInfo &, const VersionInfo &) = default;
};

/** @brief The current configuration and its history, bounded by Limits. */
class ConfigHistory
{
public:
    /**
     * @brief Constructs a history with the empty document at version 0.
     * @param limits The bounds, which must be the same on every replica.
     */
    explicit ConfigHistory(const Limits &limits);

    /**
     * @brief Applies a change.
     * @param change The change.
     * @return The outcome; for a change that was decided earlier, its first outcome.
     */
    ChangeOutcome apply(const ApplyConfig &change);
    ChangeOutcome apply(const AddKey &change);
    ChangeOutcome apply(const WithdrawKey &change);

    /**
     * @brief Activates a document if its version is the highest.
     * @param change The document with its version.
     * @return Accepted with the version that is current afterwards, even if that is a higher one; or InvalidDocument.
     */
    ChangeOutcome apply(const ReplaceConfig &change);

    /**
     * @brief Finds the outcome of a change that apply() would not decide anew.
     * @param change The change.
     * @return The outcome that apply() would return, or nothing if it may change something.
     */
    [[nodiscard]] std::optional<ChangeOutcome> decided(const ApplyConfig &change) const;
    /** @copydoc decided */
    [[nodiscard]] std::optional<ChangeOutcome> decided(const AddKey &change) const;
    /** @copydoc decided */
    [[nodiscard]] std::optional<ChangeOutcome> decided(const WithdrawKey &change) const;
    /** @copydoc decided */
    [[nodiscard]] std::optional<ChangeOutcome> decided(const ReplaceConfig &change) const;

    /**
     * @brief Returns the current version.
     * @return The version; its text is always present.
     */
    [[nodiscard]] const VersionInfo &current() const noexcept
    {
        return m_current;
    }

    /**
     * @brief Returns the current document.
     * @return The document; it is immutable and may be shared.
     */
    [[nodiscard]] std::shared_ptr<const config::Document> document() const noexcept
    {
        return m_document;
    }

    /**
     * @brief Returns the retained versions, oldest first; the last one is current.
     * @return The versions; empty at version 0.
     */
    [[nodiscard]] const std::deque<VersionInfo> &versions() const noexcept
    {
        return m_versions;
    }

    /**
     * @brief Finds a version.
     * @param version The version.
     * @return The version, owned by the history, or null if it is unknown or no longer retained.
     */
    [[nodiscard]] const VersionInfo *find(std::uint64_t version) const noexcept;

    /**
     * @brief Serialises everything except the limits, element by element.
     * @param out Receives a JSON object, appended.
     */
    void save(std::string &out) const;

    /**
     * @brief Loads an element of an array that save() has written.
     * @param name Name of the array.
     * @param json The element; throws internal::BadValue or nlohmann::json::exception if it is invalid.
     * @return False if the history has no such array of objects.
     */
    bool loadElement(std::string_view name, const nlohmann::json &json);

    /**
     * @brief Loads the rest of what save() has written, after all elements.
     * @param json The JSON form; throws internal::BadValue or nlohmann::json::exception if it is invalid.
     */
    void load(const nlohmann::json &json);

    /**
     * @brief Returns the total size of what is retained.
     * @return Size in bytes, as bounded by Limits, without the current version.
     */
    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_textBytes + m_decidedBytes;
    }

private:
    // A decided change with its outcome.
    struct DecidedChange {
        std::string changeId;
        // A digest of the change's content, which detects the reuse of an id for another change.
        std::string identity;
        // The base of an ApplyConfig, empty for others.
        std::string base;
        ChangeOutcome outcome;
    };

    // The attributes that all kinds of changes have in common.
    struct Request {
        std::string changeId;
        std::string author;
        std::int64_t wallMillis = 0;
        std::string identity;
        std::string base;
    };

    [[nodiscard]] std::optional<ChangeOutcome> findDecided(const Request &request) const;
    [[nodiscard]] ChangeOutcome makeOutcome(ChangeCode code, std::string message) const;
    [[nodiscard]] ChangeOutcome decide(const ApplyConfig &change, const Request &request);
    [[nodiscard]] ChangeOutcome decide(const AddKey &change, const Request &request);
    [[nodiscard]] ChangeOutcome decide(const WithdrawKey &change, const Request &request);
    [[nodiscard]] ChangeOutcome accept(config::Document document, std::string summary, const Request &request);
    [[nodiscard]] ChangeOutcome install(config::Document document, VersionInfo next);
    [[nodiscard]] static std::size_t bytesOf(const VersionInfo &info) noexcept;
    [[nodiscard]] static std::size_t bytesOf(const DecidedChange &change) noexcept;
    [[nodiscard]] static Request requestOf(const ApplyConfig &change);
    [[nodiscard]] static Request requestOf(const AddKey &change);
    [[nodiscard]] static Request requestOf(const WithdrawKey &change);
    template<class Change>
    ChangeOutcome applyOnce(const Change &change);
    [[nodiscard]] std::optional<std::string> findWithdrawn(const config::Document &document) const;
    void keepAddedKeys(config::Document &document) const;
    void recordOutcome(const Request &request, const ChangeOutcome &outcome);
    void recordWithdrawn(const std::string &hash);
    void trimVersions();
    void dropText(VersionInfo &info);

    Limits m_limits;
    VersionInfo m_current;
    // The parsed form of m_current.text; never null.
    std::shared_ptr<const config::Document> m_document;
    // Versions by ascending number, the last one equal to m_current.
    std::deque<VersionInfo> m_versions;
    // The total size of all texts and sources in m_versions, in bytes.
    std::size_t m_textBytes = 0;
    // Decided changes by id, and their ids in the order of the decisions.
    std::map<std::string, DecidedChange, std::less<>> m_decided;
    std::deque<std::string> m_decidedOrder;
    // The total size of m_decided, in bytes.
    std::size_t m_decidedBytes = 0;
    // Hashes of withdrawn keys, and the same in the order of withdrawal.
    std::set<std::string, std::less<>> m_withdrawn;
    std::deque<std::string> m_withdrawnOrder;
};

} // namespace bamboomoor::state
