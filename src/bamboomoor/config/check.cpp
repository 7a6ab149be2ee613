/**
 * Judging a configuration document as a whole.
 */
#include "bamboomoor/config/lookup.hpp"
#include "bamboomoor/config/parse.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboomoor::config
{
namespace
{

using Problem = std::optional<ConfigError>;

std::string placeOf(std::string_view part, std::size_t n, std::string_view key)
{
    return std::string(part) + "[" + std::to_string(n) + "]." + std::string(key);
}

Problem duplicate(std::string place, std::string_view value, std::string_view scope)
{
    std::string message = "\"" + std::string(value) + "\" is there twice; must be unique among " + std::string(scope);
    return ConfigError{.place = std::move(place), .message = std::move(message)};
}

Problem unknownModel(std::string place, std::string_view name)
{
    std::string message = "\"" + std::string(name) + "\" is not the name of a [[model]]";
    return ConfigError{.place = std::move(place), .message = std::move(message)};
}

Problem checkKeys(const Organisation &organisation, std::size_t n, std::set<std::string_view> &hashes)
{
    std::set<std::string_view> ids;
    for (std::size_t k = 0; k < organisation.keys.size(); ++k) {
        const Key &key = organisation.keys[k];
        const std::string place = placeOf("organisation", n, "key");
        if (!ids.insert(key.id).second) {
            return duplicate(placeOf(place, k, "id"), key.id, "the organisation's keys");
        }
        if (!hashes.insert(key.hash).second) {
            return duplicate(placeOf(place, k, "hash"), key.hash, "all keys");
        }
    }
    return std::nullopt;
}

Problem checkOrganisations(const Document &document)
{
    std::set<std::string_view> names;
    std::set<std::string_view> hashes;
    for (std::size_t n = 0; n < document.organisations.size(); ++n) {
        const Organisation &it = document.organisations[n];
        if (!names.insert(it.name).second) {
            return duplicate(placeOf("organisation", n, "name"), it.name, "organisations");
        }
        if (it.rate < 1) {
            return ConfigError{.place = placeOf("organisation", n, "rate"), .message = "must be at least 1"};
        }
        if (it.burst < 1) {
            return ConfigError{.place = placeOf("organisation", n, "burst"), .message = "must be at least 1"};
        }
        if (auto problem = checkKeys(it, n, hashes); problem.has_value()) {
            return problem;
        }
    }
    return std::nullopt;
}

Problem checkRoutes(const Document &document)
{
    std::set<std::string_view> prefixes;
    for (std::size_t n = 0; n < document.routes.size(); ++n) {
        const Route &it = document.routes[n];
        if (!prefixes.insert(it.prefix).second) {
            return duplicate(placeOf("route", n, "prefix"), it.prefix, "routes");
        }
    }
    return std::nullopt;
}

Problem checkShares(const Document &document, const Relay &relay, std::size_t n)
{
    std::int64_t weights = 0;
    for (const Share &share : relay.shares) {
        weights += share.weight;
        if (findService(document, share.service) == nullptr) {
            return ConfigError{.place = placeOf("relay", n, "share"),
                .message = "\"" + share.service + "\" is not the name of a [[service]]"};
        }
    }
    if (weights > 0) {
        return std::nullopt;
    }
    return ConfigError{.place = placeOf("relay", n, "share"), .message = "the weights must add up to more than 0"};
}

Problem checkRelays(const Document &document)
{
    std::set<std::string_view> services;
    for (std::size_t n = 0; n < document.services.size(); ++n) {
        if (!services.insert(document.services[n].name).second) {
            return duplicate(placeOf("service", n, "name"), document.services[n].name, "services");
        }
    }
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (std::size_t n = 0; n < document.relays.size(); ++n) {
        const Relay &it = document.relays[n];
        if (!places.emplace(it.host, it.prefix).second) {
            return duplicate(placeOf("relay", n, "prefix"), it.host + it.prefix, "relays");
        }
        if (auto problem = checkShares(document, it, n); problem.has_value()) {
            return problem;
        }
    }
    return std::nullopt;
}

Problem checkModels(const Document &document)
{
    std::set<std::string_view> names;
    for (std::size_t n = 0; n < document.models.size(); ++n) {
        const Model &it = document.models[n];
        if (!names.insert(it.name).second) {
            return duplicate(placeOf("model", n, "name"), it.name, "models and adapters");
        }
    }
    for (std::size_t n = 0; n < document.adapters.size(); ++n) {
        const Adapter &it = document.adapters[n];
        if (!names.insert(it.name).second) {
            return duplicate(placeOf("adapter", n, "name"), it.name, "models and adapters");
        }
        if (findModel(document, it.model) == nullptr) {
            return unknownModel(placeOf("adapter", n, "model"), it.model);
        }
    }
    return std::nullopt;
}

Problem checkVersions(const Document &document)
{
    std::set<std::pair<std::string_view, std::string_view>> seen;
    for (std::size_t n = 0; n < document.versions.size(); ++n) {
        const Version &it = document.versions[n];
        if (findModel(document, it.model) == nullptr) {
            return unknownModel(placeOf("version", n, "model"), it.model);
        }
        if (!seen.emplace(it.model, it.version).second) {
            return duplicate(placeOf("version", n, "version"), it.version, "the model's versions");
        }
    }
    return std::nullopt;
}

Problem tooLarge(std::string place, std::int64_t needed, std::int64_t largest)
{
    std::string message = "needs " + std::to_string(needed) + " MiB on one accelerator, the largest declared has "
        + std::to_string(largest);
    return ConfigError{.place = std::move(place), .message = std::move(message)};
}

// Each model, alone and with each of its adapters, must fit on the largest accelerator.
Problem checkEachFits(const Document &document)
{
    std::int64_t largest = 0;
    for (const AcceleratorPool &pool : document.pools) {
        largest = std::max(largest, pool.memoryMib);
    }
    for (std::size_t n = 0; n < document.models.size(); ++n) {
        const std::int64_t needed = document.models[n].memoryMib;
        if (needed > largest) {
            return tooLarge(placeOf("model", n, "memory_mib"), needed, largest);
        }
    }
    for (std::size_t n = 0; n < document.adapters.size(); ++n) {
        const Adapter &it = document.adapters[n];
        const std::int64_t needed = findModel(document, it.model)->memoryMib + it.memoryMib;
        if (needed > largest) {
            return tooLarge(placeOf("adapter", n, "memory_mib"), needed, largest);
        }
    }
    return std::nullopt;
}

// All resident parts together must fit into the sum of all pools; a necessary condition, not a packing.
Problem checkSumFits(const Document &document)
{
    double offered = 0;
    for (const AcceleratorPool &pool : document.pools) {
        offered += static_cast<double>(pool.count) * static_cast<double>(pool.memoryMib);
    }
    double needed = 0;
    for (const Model &model : document.models) {
        const double replica = static_cast<double>(model.memoryMib);
        needed += model.resident ? replica * static_cast<double>(model.minReplicas) : 0;
    }
    for (const Adapter &adapter : document.adapters) {
        needed += adapter.resident ? static_cast<double>(adapter.memoryMib) : 0;
    }
    if (needed <= offered) {
        return std::nullopt;
    }
    std::string message = "hold " + std::to_string(static_cast<std::int64_t>(offered)) + " MiB together, but resident"
        + " models and adapters need " + std::to_string(static_cast<std::int64_t>(needed));
    return ConfigError{.place = "accelerator_pool", .message = std::move(message)};
}

Problem checkMemory(const Document &document)
{
    if (document.pools.empty()) {
        return std::nullopt;
    }
    Problem problem = checkEachFits(document);
    return problem.has_value() ? problem : checkSumFits(document);
}

} // namespace

std::optional<ConfigError> check(const Document &document)
{
    for (auto *part : {checkOrganisations, checkRoutes, checkRelays, checkModels, checkVersions, checkMemory}) {
        if (auto problem = part(document); problem.has_value()) {
            return problem;
        }
    }
    return std::nullopt;
}

} // namespace bamboomoor::config
