/**
 * Making and applying patches of documents.
 */
#include "bamboomoor/config/patch.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace bamboomoor::config
{

namespace
{

constexpr std::string_view LIMITS_HEADER = "[limits]";
// Separates tables; it occurs nowhere else, as line ends in values are escaped.
constexpr std::string_view TABLE_START = "\n\n[";

// A table within a part has a dotted name.
bool isPartStart(std::string_view table)
{
    return table.substr(0, table.find(']')).find('.') == std::string_view::npos;
}

// Splits canonical text into the limits, followed by the parts; each piece ends with its last line.
std::vector<std::string_view> splitParts(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    for (std::size_t at = text.find(TABLE_START); at != std::string_view::npos; at = text.find(TABLE_START, at + 1)) {
        const std::size_t table = at + TABLE_START.size() - 1;
        if (isPartStart(text.substr(table))) {
            parts.push_back(text.substr(begin, at + 1 - begin));
            begin = table;
        }
    }
    parts.push_back(text.substr(begin));
    return parts;
}

// Calls `visit` with each list of a document, in the order of the canonical text.
template<class Visit>
void visitLists(Visit visit)
{
    visit(&Document::organisations);
    visit(&Document::routes);
    visit(&Document::relays);
    visit(&Document::services);
    visit(&Document::models);
    visit(&Document::adapters);
    visit(&Document::versions);
    visit(&Document::pools);
}

// Returns false if the base has no such parts.
bool copyParts(const Document &base, const PatchStep &step, Document &out)
{
    std::size_t skipped = step.first;
    std::size_t left = step.count;
    visitLists([&](auto list) {
        const auto &parts = base.*list;
        const std::size_t first = std::min(skipped, parts.size());
        const std::size_t count = std::min(left, parts.size() - first);
        const auto from = parts.begin() + static_cast<std::ptrdiff_t>(first);
        (out.*list).insert((out.*list).end(), from, from + static_cast<std::ptrdiff_t>(count));
        skipped -= first;
        left -= count;
    });
    return left == 0;
}

void moveParts(Document &&from, Document &out)
{
    visitLists([&](auto list) {
        auto &parts = from.*list;
        std::move(parts.begin(), parts.end(), std::back_inserter(out.*list));
    });
}

} // namespace

Fingerprint fingerprintOf(std::string_view text)
{
    const std::vector<std::string_view> parts = splitParts(text);
    Fingerprint hashes;
    hashes.reserve(parts.size());
    std::transform(parts.begin() + 1, parts.end(), std::back_inserter(hashes), [](std::string_view it) {
        return XXH3_64bits(it.data(), it.size());
    });
    return hashes;
}

Patch makePatch(const Fingerprint &base, std::string_view text)
{
    std::unordered_map<std::uint64_t, std::size_t> places;
    for (std::size_t n = 0; n < base.size(); ++n) {
        places.emplace(base[n], n);
    }
    const std::vector<std::string_view> parts = splitParts(text);
    Patch patch;
    patch.push_back({.text = std::string(parts.front())});
    for (auto it = parts.begin() + 1; it != parts.end(); ++it) {
        PatchStep &last = patch.back();
        const std::uint64_t hash = XXH3_64bits(it->data(), it->size());
        const std::size_t next = last.first + last.count;
        if (last.count > 0 && next < base.size() && base[next] == hash) {
            ++last.count;
        } else if (const auto place = places.find(hash); place != places.end()) {
            patch.push_back({.first = place->second, .count = 1});
        } else if (last.count == 0) {
            last.text += "\n";
            last.text += *it;
        } else {
            patch.push_back({.text = std::string(*it)});
        }
    }
    return patch;
}

base::Result<Document, ConfigError> applyPatch(const Document &base, const Patch &patch)
{
    Document out;
    for (const PatchStep &it : patch) {
        if (it.count > 0) {
            if (!copyParts(base, it, out)) {
                return base::failure(ConfigError{.place = "patch", .message = "copies parts that the base lacks"});
            }
            continue;
        }
        BOOST_OUTCOME_TRY(added, parse(it.text));
        if (it.text.starts_with(LIMITS_HEADER)) {
            out.limits = added.limits;
        }
        moveParts(std::move(added), out);
    }
    return out;
}

base::Result<Document, ConfigError> parseBeside(std::string_view text, const Document &base, std::string_view baseText)
{
    auto patched = applyPatch(base, makePatch(fingerprintOf(baseText), text));
    // Equal canonical texts have equal documents; a text in another form is parsed as a whole.
    if (patched && print(patched.value()) == text) {
        return patched;
    }
    return parse(text);
}

} // namespace bamboomoor::config
