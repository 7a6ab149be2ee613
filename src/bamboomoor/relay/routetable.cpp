/**
 * Construction and lookup of the routing index.
 */
#include "bamboomoor/relay/routetable.hpp"

#include "bamboomoor/base/digest.hpp"

#include <cassert>
#include <functional>
#include <utility>

namespace bamboomoor::relay
{

RouteTable::RouteTable(std::uint64_t version, std::shared_ptr<const config::Document> document)
    : m_version(version)
    , m_document(std::move(document))
{
    assert(m_document != nullptr);
    for (const config::Relay &it : m_document->relays) {
        m_hosts[it.host].emplace(it.prefix, &it);
    }
    for (const config::Organisation &organisation : m_document->organisations) {
        for (const config::Key &key : organisation.keys) {
            m_organisations.emplace(key.hash, &organisation);
        }
    }
    for (const config::Service &it : m_document->services) {
        m_services.emplace(it.name, &it);
    }
}

const config::Relay *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_hosts.find(std::string(host));
    if (routes == m_hosts.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path up to each of its slashes need to be looked up.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto it = routes->second.find(path.substr(0, end + 1));
        if (it != routes->second.end()) {
            return it->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const config::Organisation *RouteTable::organisationOf(std::string_view key) const
{
    if (key.empty()) {
        return nullptr;
    }
    const auto it = m_organisations.find(base::sha256(key));
    return it == m_organisations.end() ? nullptr : it->second;
}

const std::string &RouteTable::serviceOf(const config::Relay &route, std::string_view requestId)
{
    assert(!route.shares.empty());
    std::int64_t weights = 0;
    for (const config::Share &it : route.shares) {
        weights += it.weight;
    }
    assert(weights > 0);
    auto point =
        static_cast<std::int64_t>(std::hash<std::string_view>()(requestId) % static_cast<std::uint64_t>(weights));
    for (const config::Share &it : route.shares) {
        if (point < it.weight) {
            return it.service;
        }
        point -= it.weight;
    }
    return route.shares.back().service;
}

const config::Service *RouteTable::service(const std::string &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

} // namespace bamboomoor::relay
