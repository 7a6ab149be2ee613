/**
 * An immutable index over one version of the configuration: routes by host and longest path prefix, organisations by
 * API key, and services by name.
 */
#pragma once

#include "bamboomoor/config/document.hpp"
#include "bamboomoor/relay/request.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboomoor::relay
{

/** @brief The routing index of one configuration version; immutable. */
class RouteTable
{
public:
    /**
     * @brief Indexes a configuration document.
     * @param version The document's version.
     * @param document The document, not null; the table shares its ownership.
     */
    RouteTable(std::uint64_t version, std::shared_ptr<const config::Document> document);

    /**
     * @brief Finds the route of a request.
     * @param host The host in lower case, without port.
     * @param path The path.
     * @return The route with the longest matching prefix, valid as long as the table; null if none matches.
     */
    [[nodiscard]] const config::Relay *find(std::string_view host, std::string_view path) const;

    /**
     * @brief Finds the organisation that owns an API key.
     * @param key The key in clear text, as presented by the caller.
     * @return The organisation, valid as long as the table; null for an unknown key.
     */
    [[nodiscard]] const config::Organisation *organisationOf(std::string_view key) const;

    /**
     * @brief Selects the service for a request by the weights of its route, hashing the request id.
     * @param route A route of this table.
     * @param requestId The request id; the same id always selects the same service.
     * @return The service's name.
     */
    [[nodiscard]] static const std::string &serviceOf(const config::Relay &route, std::string_view requestId);

    /** @brief Finds a service. @param name Its name. @return The service, valid as long as the table; null if unknown.
     */
    [[nodiscard]] const config::Service *service(const std::string &name) const;

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    [[nodiscard]] const config::Document &document() const noexcept
    {
        return *m_document;
    }

private:
    std::uint64_t m_version;
    std::shared_ptr<const config::Document> m_document;
    // Routes by host and path prefix.
    std::unordered_map<std::string, std::map<std::string, const config::Relay *, std::less<>>> m_hosts;
    // Organisations by the SHA-256 digest of their keys.
    std::unordered_map<std::string, const config::Organisation *> m_organisations;
    std::unordered_map<std::string, const config::Service *> m_services;
};

} // namespace bamboomoor::relay
