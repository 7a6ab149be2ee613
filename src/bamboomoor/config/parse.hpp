/**
 * Reading, checking and printing configuration documents in TOML.
 * The printed form is canonical: equal documents print to equal bytes, and so have equal digests.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/config/document.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::config
{

/** @brief Why a document was not accepted. */
struct ConfigError {
    // The key's path, such as "organisation[0].rate", or "line 3, column 7" for broken TOML.
    std::string place;
    // What is allowed there, on one line.
    std::string message;

    friend bool operator==(const ConfigError &, const ConfigError &) = default;
};

/**
 * @brief Parses a document; types and ranges are judged here, references between parts by check().
 * @param text The TOML text.
 * @return The document, or the first mistake.
 */
[[nodiscard]] base::Result<Document, ConfigError> parse(std::string_view text);

/**
 * @brief Judges a document as a whole: duplicates, unknown references, and memory that cannot fit.
 * @param document The document.
 * @return The first mistake, or nothing for a good document.
 */
[[nodiscard]] std::optional<ConfigError> check(const Document &document);

/**
 * @brief Prints a document in its canonical form; parse() reads the same document back.
 * @param document A document whose texts are UTF-8.
 * @return TOML.
 */
[[nodiscard]] std::string print(const Document &document);

/**
 * @brief Digests the canonical form.
 * @param document The document.
 * @return base::sha256 of print().
 */
[[nodiscard]] std::string digest(const Document &document);

} // namespace bamboomoor::config
