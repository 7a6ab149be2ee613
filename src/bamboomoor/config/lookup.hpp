/**
 * Searches in a configuration document, and the differences between two documents.
 */
#pragma once

#include "bamboomoor/config/document.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::config
{

/**
 * @brief Finds the organisation that a key belongs to.
 * @param document The document.
 * @param hash base::sha256 of the key.
 * @return The organisation, null for an unknown key.
 */
[[nodiscard]] const Organisation *findByKey(const Document &document, std::string_view hash) noexcept;

/**
 * @brief Finds an organisation.
 * @param document The document.
 * @param name Its name.
 * @return The organisation, or null.
 */
[[nodiscard]] const Organisation *findOrganisation(const Document &document, std::string_view name) noexcept;

/**
 * @brief Finds a service.
 * @param document The document.
 * @param name Its name.
 * @return The service, or null.
 */
[[nodiscard]] const Service *findService(const Document &document, std::string_view name) noexcept;

/**
 * @brief Finds a model.
 * @param document The document.
 * @param name Its name.
 * @return The model, or null.
 */
[[nodiscard]] const Model *findModel(const Document &document, std::string_view name) noexcept;

/**
 * @brief Finds an adapter.
 * @param document The document.
 * @param name Its name.
 * @return The adapter, or null.
 */
[[nodiscard]] const Adapter *findAdapter(const Document &document, std::string_view name) noexcept;

/**
 * @brief Finds the route of a path: the longest prefix wins, and a prefix ends at the path's end or at a slash.
 * @param document The document.
 * @param path The request's path, without query.
 * @return The route, or null.
 */
[[nodiscard]] const Route *findRoute(const Document &document, std::string_view path) noexcept;

/** @brief What happened to one part of a document. */
enum class ChangeKind { Added, Removed, Altered };

/** @brief One difference between two documents. */
struct Change {
    ChangeKind kind = ChangeKind::Altered;
    // The part, such as "organisation acme".
    std::string part;
    // What differs, such as "rate 10 -> 20"; empty for a part added or removed.
    std::string detail;

    friend bool operator==(const Change &, const Change &) = default;
};

/**
 * @brief Compares two documents.
 * @param before The older document.
 * @param after The newer document.
 * @return The differences in the order of the canonical form; empty exactly when the documents hold the same parts.
 */
[[nodiscard]] std::vector<Change> diff(const Document &before, const Document &after);

/**
 * @brief Words one difference.
 * @param change The difference.
 * @return One line without a line break.
 */
[[nodiscard]] std::string describe(const Change &change);

} // namespace bamboomoor::config
