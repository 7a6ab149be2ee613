/**
 * Searches in a configuration document.
 */
#include "bamboomoor/config/lookup.hpp"

#include <algorithm>

namespace bamboomoor::config
{
namespace
{

template<class Part>
const Part *findNamed(const std::vector<Part> &parts, std::string_view name) noexcept
{
    const auto it = std::find_if(parts.begin(), parts.end(), [name](const Part &part) {
        return part.name == name;
    });
    return it == parts.end() ? nullptr : &*it;
}

bool leadsTo(std::string_view prefix, std::string_view path) noexcept
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

const Organisation *findByKey(const Document &document, std::string_view hash) noexcept
{
    for (const Organisation &organisation : document.organisations) {
        for (const Key &key : organisation.keys) {
            if (key.hash == hash) {
                return &organisation;
            }
        }
    }
    return nullptr;
}

const Organisation *findOrganisation(const Document &document, std::string_view name) noexcept
{
    return findNamed(document.organisations, name);
}

const Service *findService(const Document &document, std::string_view name) noexcept
{
    return findNamed(document.services, name);
}

const Model *findModel(const Document &document, std::string_view name) noexcept
{
    return findNamed(document.models, name);
}

const Adapter *findAdapter(const Document &document, std::string_view name) noexcept
{
    return findNamed(document.adapters, name);
}

const Route *findRoute(const Document &document, std::string_view path) noexcept
{
    const Route *found = nullptr;
    for (const Route &route : document.routes) {
        const bool longer = found == nullptr || route.prefix.size() > found->prefix.size();
        if (longer && leadsTo(route.prefix, path)) {
            found = &route;
        }
    }
    return found;
}

} // namespace bamboomoor::config
