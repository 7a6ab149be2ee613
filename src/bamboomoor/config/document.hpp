/**
 * The deployment's configuration document: what operators decide, and what all daemons share.
 * A document is a plain value; it is parsed from TOML, checked, printed in one canonical form, and compared.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::config
{

/** @brief A caller's key, of which only the digest is kept. */
struct Key {
    // Names the key to operators; unique within its organisation.
    std::string id;
    // base::sha256 of the key; unique in the document.
    std::string hash;
    // True for a key given by an operator's command; such a key outlives documents that do not list it.
    bool added = false;

    friend bool operator==(const Key &, const Key &) = default;
};

/** @brief A customer whose callers present keys. */
struct Organisation {
    // Unique.
    std::string name;
    // Tokens a second across the fleet, at least 1.
    std::int64_t rate = 1;
    // Tokens that may be spent at once across the fleet, at least 1.
    std::int64_t burst = 1;
    std::vector<Key> keys;

    friend bool operator==(const Organisation &, const Organisation &) = default;
};

/** @brief A path prefix that leads to a plain service. */
struct Route {
    // Starts with a slash; unique.
    std::string prefix;
    // The name that the service's upstreams announce.
    std::string upstream;
    // True when callers need no key.
    bool open = false;
    // True when a request may be sent again after an unknown outcome.
    bool idempotent = false;
    // How long the answers to requests with an Idempotency-Key are kept.
    base::Millis retention{86'400'000};
    // Tokens that one request costs its organisation.
    std::int64_t tokens = 1;

    friend bool operator==(const Route &, const Route &) = default;
};

/** @brief A language model. */
struct Model {
    // Unique among models and adapters, as callers ask for both by name.
    std::string name;
    // Accelerator memory of one replica, in MiB.
    std::int64_t memoryMib = 0;
    // With 2 or more, replicas lie in different data centres where memory allows.
    std::int64_t minReplicas = 1;
    // True when min_replicas are kept loaded without demand.
    bool resident = true;
    // Generated tokens a second of one replica, a hint for placement; 0 when not known.
    std::int64_t tokensPerSecond = 0;
    // Requests that one replica serves at once, a hint for placement; 0 when not known.
    std::int64_t concurrency = 0;

    friend bool operator==(const Model &, const Model &) = default;
};

/** @brief An adapter on top of a model. */
struct Adapter {
    // Unique among models and adapters.
    std::string name;
    std::string model;
    // Accelerator memory beside its model, in MiB.
    std::int64_t memoryMib = 0;
    // True when it is kept loaded without demand.
    bool resident = false;

    friend bool operator==(const Adapter &, const Adapter &) = default;
};

/** @brief A version of a model that callers may name. */
struct Version {
    std::string model;
    // Unique within its model.
    std::string version;
    // True when it is kept loaded without demand.
    bool resident = false;

    friend bool operator==(const Version &, const Version &) = default;
};

/** @brief Accelerators of one kind in one data centre, declared so that check() can judge memory. */
struct AcceleratorPool {
    std::string dataCentre;
    std::int64_t count = 1;
    // Memory of each accelerator, in MiB.
    std::int64_t memoryMib = 0;

    friend bool operator==(const AcceleratorPool &, const AcceleratorPool &) = default;
};

/** @brief Bounds on single requests. */
struct Limits {
    // The most tokens that one request may generate.
    std::int64_t maxTokens = 131'072;
    // Taken when a caller names no limit; at most maxTokens.
    std::int64_t defaultTokens = 1'024;
    // The longest time that a request waits in a queue.
    base::Millis queueDeadline{30'000};

    friend bool operator==(const Limits &, const Limits &) = default;
};

/** @brief The whole configuration document; all lists keep the order in which they were written. */
struct Document {
    Limits limits;
    std::vector<Organisation> organisations;
    std::vector<Route> routes;
    std::vector<Model> models;
    std::vector<Adapter> adapters;
    std::vector<Version> versions;
    std::vector<AcceleratorPool> pools;

    friend bool operator==(const Document &, const Document &) = default;
};

} // namespace bamboomoor::config
