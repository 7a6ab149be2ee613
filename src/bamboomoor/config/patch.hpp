/**
 * The difference between two documents, as parts that are copied from the first and the text of those that are not.
 * A part is an element of one of the document's lists, with everything in it. The side that makes a patch needs the
 * fingerprint of the first document only.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/config/document.hpp"
#include "bamboomoor/config/parse.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::config
{

/** @brief A hash of each part of a document, in the order of the canonical text. */
using Fingerprint = std::vector<std::uint64_t>;

/** @brief A step of a patch: either a range of the base's parts, or new text. */
struct PatchStep {
    // The range, which is empty in a step with text.
    std::size_t first = 0;
    std::size_t count = 0;
    // Canonical text of whole parts. The limits are no part; they head the text of the first step.
    std::string text = {};

    friend bool operator==(const PatchStep &, const PatchStep &) = default;
};

/** @brief The steps that yield a document, in the order of its canonical text. */
using Patch = std::vector<PatchStep>;

/**
 * @brief Hashes the parts of a document.
 * @param text The document in its canonical form.
 * @return The hashes.
 */
[[nodiscard]] Fingerprint fingerprintOf(std::string_view text);

/**
 * @brief Makes a patch.
 * @param base The fingerprint of the document to which the patch will be applied; empty for none.
 * @param text The document that is to result, in its canonical form.
 * @return The patch. As hashes may collide, the result of applying it has to be compared by digest().
 */
[[nodiscard]] Patch makePatch(const Fingerprint &base, std::string_view text);

/**
 * @brief Applies a patch.
 * @param base The document that the patch was made for.
 * @param patch The patch.
 * @return The resulting document, or why there is none.
 */
[[nodiscard]] base::Result<Document, ConfigError> applyPatch(const Document &base, const Patch &patch);

/**
 * @brief Parses a document like parse(), in less time if another one has most of its parts.
 * @param text The TOML text.
 * @param base The other document.
 * @param baseText The other document in its canonical form.
 * @return What parse() returns.
 */
[[nodiscard]] base::Result<Document, ConfigError> parseBeside(
    std::string_view text, const Document &base, std::string_view baseText);

} // namespace bamboomoor::config
