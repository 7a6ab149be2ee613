/**
 * The relays of a configuration, indexed for requests: route by host and longest prefix, organisation by key.
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

/** @brief One version of the relays; never changes. */
class RouteTable
{
public:
    /**
     * @brief Indexes a document.
     * @param version The document's version.
     * @param document The document; outlives the table.
     */
    RouteTable(std::uint64_t version, std::shared_ptr<const config::Document> document);

    /**
     * @brief Finds the route of a request.
     * @param host The host in lower case, without port.
     * @param path The path.
     * @return The route with the longest prefix, valid as long as the table; null when none fits.
     */
    [[nodiscard]] const config::Relay *find(std::string_view host, std::string_view path) const;

    /**
     * @brief Finds the organisation that a key belongs to.
     * @param key The key as presented.
     * @return The organisation, valid as long as the table; null for an unknown key.
     */
    [[nodiscard]] const config::Organisation *organisationOf(std::string_view key) const;

    /**
     * @brief Chooses the service of a request among the shares of its route.
     * @param route A route of this table.
     * @param requestId The request; the same id gets the same service.
     * @return The service's name.
     */
    [[nodiscard]] static const std::string &serviceOf(const config::Relay &route, std::string_view requestId);

    /** @brief Finds a service. @param name Its name. @return The service, or null. */
    [[nodiscard]] const config::Service *service(const std::string &name) const;

    /** @brief Tells whether callers need keys. @return True when there are organisations. */
    [[nodiscard]] bool wantsKeys() const noexcept
    {
        return !m_document->organisations.empty();
    }

    /** @brief Reads the version. @return The document's version. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /** @brief Reads the document. @return The document. */
    [[nodiscard]] const config::Document &document() const noexcept
    {
        return *m_document;
    }

private:
    std::uint64_t m_version;
    std::shared_ptr<const config::Document> m_document;
    // Routes of a host by prefix.
    std::unordered_map<std::string, std::map<std::string, const config::Relay *, std::less<>>> m_hosts;
    // Organisations by the digest of a key.
    std::unordered_map<std::string, const config::Organisation *> m_organisations;
    std::unordered_map<std::string, const config::Service *> m_services;
};

} // namespace bamboomoor::relay
