/**
 * The differences between two configuration documents.
 * Each part that differs is printed alone, and its lines are compared; so no key can be forgotten here.
 */
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/config/lookup.hpp"
#include "bamboomoor/config/parse.hpp"

#include <map>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace bamboomoor::config
{
namespace
{

constexpr auto KIND_NAMES = base::makeNames<ChangeKind>("added", "removed", "altered");

// One part by its name, with its printed keys.
struct PrintedPart {
    std::string name;
    // Key to value, as printed.
    std::map<std::string, std::string> lines;
};

std::map<std::string, std::string> linesOf(const std::string &printed)
{
    std::map<std::string, std::string> lines;
    std::istringstream in(printed);
    std::string id;
    for (std::string line; std::getline(in, line);) {
        const auto at = line.find(" = ");
        if (at == std::string::npos) {
            continue;
        }
        const std::string key = line.substr(0, at);
        const std::string value = line.substr(at + 3);
        id = key == "id" ? value : id;
        const bool ofKey = key == "hash" || key == "added";
        const std::string place = ofKey ? "key " + id + " " : "";
        lines[place + key] = value;
    }
    lines.erase("id");
    return lines;
}

// The printed lines of a document that holds this part alone, without those of an empty document.
template<class Part>
std::map<std::string, std::string> linesOfPart(std::vector<Part> Document::*list, const Part &part)
{
    Document alone;
    (alone.*list).push_back(part);
    auto lines = linesOf(print(alone));
    static const auto common = linesOf(print(Document{}));
    for (const auto &[key, value] : common) {
        lines.erase(key);
    }
    return lines;
}

// Adds the parts that the other document does not have in the same form; `name` is called with every part, in order.
template<class Part, class Name>
void addParts(std::vector<PrintedPart> &out, const Document &document, const Document &other,
    std::vector<Part> Document::*list, Name name, Name otherName)
{
    std::unordered_map<std::string, const Part *> others;
    for (const Part &part : other.*list) {
        others.emplace(otherName(part), &part);
    }
    for (const Part &part : document.*list) {
        std::string partName = name(part);
        const auto it = others.find(partName);
        if (it == others.end() || *it->second != part) {
            out.push_back({.name = std::move(partName), .lines = linesOfPart(list, part)});
        }
    }
}

template<class Part, class Name>
void addParts(std::vector<PrintedPart> &out, const Document &document, const Document &other,
    std::vector<Part> Document::*list, Name name)
{
    addParts(out, document, other, list, name, name);
}

// Names pools by their places, as they have no names.
auto poolName()
{
    return [n = std::size_t{0}](const AcceleratorPool &it) mutable {
        return "accelerator pool " + std::to_string(n++) + " in " + it.dataCentre;
    };
}

// The limits, and the parts of a document that another one does not have in the same form.
std::vector<PrintedPart> partsBeside(const Document &document, const Document &other)
{
    std::vector<PrintedPart> out;
    Document limits;
    limits.limits = document.limits;
    out.push_back({.name = "limits", .lines = linesOf(print(limits))});
    addParts(out, document, other, &Document::organisations, [](const Organisation &it) {
        return "organisation " + it.name;
    });
    addParts(out, document, other, &Document::routes, [](const Route &it) {
        return "route " + it.prefix;
    });
    addParts(out, document, other, &Document::relays, [](const Relay &it) {
        return "relay " + it.name;
    });
    addParts(out, document, other, &Document::services, [](const Service &it) {
        return "service " + it.name;
    });
    addParts(out, document, other, &Document::models, [](const Model &it) {
        return "model " + it.name;
    });
    addParts(out, document, other, &Document::adapters, [](const Adapter &it) {
        return "adapter " + it.name;
    });
    addParts(out, document, other, &Document::versions, [](const Version &it) {
        return "version " + it.model + " " + it.version;
    });
    addParts(out, document, other, &Document::pools, poolName(), poolName());
    return out;
}

std::string valueAt(const std::map<std::string, std::string> &lines, const std::string &key)
{
    const auto it = lines.find(key);
    return it == lines.end() ? "none" : it->second;
}

std::string detailOf(const PrintedPart &before, const PrintedPart &after)
{
    std::map<std::string, std::string> keys = before.lines;
    keys.insert(after.lines.begin(), after.lines.end());
    std::string detail;
    for (const auto &[key, value] : keys) {
        const std::string from = valueAt(before.lines, key);
        const std::string to = valueAt(after.lines, key);
        if (from != to) {
            detail += detail.empty() ? "" : ", ";
            detail += key;
            detail += " " + from;
            detail += " -> " + to;
        }
    }
    return detail;
}

const PrintedPart *findPart(const std::map<std::string, const PrintedPart *> &parts, const std::string &name)
{
    const auto it = parts.find(name);
    return it == parts.end() ? nullptr : it->second;
}

std::map<std::string, const PrintedPart *> indexOf(const std::vector<PrintedPart> &parts)
{
    std::map<std::string, const PrintedPart *> index;
    for (const PrintedPart &part : parts) {
        index.emplace(part.name, &part);
    }
    return index;
}

} // namespace

std::vector<Change> diff(const Document &before, const Document &after)
{
    const auto oldParts = partsBeside(before, after);
    const auto newParts = partsBeside(after, before);
    const auto oldIndex = indexOf(oldParts);
    const auto newIndex = indexOf(newParts);
    std::vector<Change> changes;
    for (const PrintedPart &part : oldParts) {
        if (findPart(newIndex, part.name) == nullptr) {
            changes.push_back({.kind = ChangeKind::Removed, .part = part.name, .detail = ""});
        }
    }
    for (const PrintedPart &part : newParts) {
        const PrintedPart *old = findPart(oldIndex, part.name);
        if (old == nullptr) {
            changes.push_back({.kind = ChangeKind::Added, .part = part.name, .detail = ""});
        } else if (old->lines != part.lines) {
            changes.push_back({.kind = ChangeKind::Altered, .part = part.name, .detail = detailOf(*old, part)});
        }
    }
    return changes;
}

std::string describe(const Change &change)
{
    std::string line = std::string(KIND_NAMES.name(change.kind)) + " " + change.part;
    line += change.detail.empty() ? "" : ": " + change.detail;
    return line;
}

} // namespace bamboomoor::config
