/**
 * The deployment's configuration document: what operators decide, and what all daemons share.
 * A document is a plain value; it is parsed from TOML, checked, printed in one canonical form, and compared.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <cstdint>
#include <optional>
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
    // True when rate and burst do not bind it.
    bool unlimited = false;
    // Rank of its requests, 0 first; goes before the rank of the route. Nothing leaves the route's.
    std::optional<std::int64_t> priority = {};
    // What a relayed request costs that does not tell its tokens.
    std::int64_t plainTokens = 1;
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

/** @brief What of a relayed request may be repeated. */
enum class Repeat {
    // It may run more than once.
    Idempotent,
    // It runs at most once.
    AtMostOnce,
    // A stream of events, which runs at most once unless its route is resumable.
    Stream
};

/** @brief The names of Repeat. */
inline constexpr auto REPEAT_NAMES = base::makeNames<Repeat>("idempotent", "at_most_once", "stream");

/** @brief A part of a relay route's requests. */
struct Share {
    // The name of a Service.
    std::string service;
    // Requests of this share for each one of a share of weight 1.
    std::int64_t weight = 1;

    friend bool operator==(const Share &, const Share &) = default;
};

/** @brief A host and path prefix whose requests are relayed to services as they are. */
struct Relay {
    std::string name;
    // The Host header in lower case, without port; with the prefix unique.
    std::string host;
    // Starts and ends with a slash; the longest one that begins a path wins.
    std::string prefix;
    Repeat repeat = Repeat::AtMostOnce;
    // True when a stream may go on at another upstream after its last event.
    bool resumable = false;
    // The longest time that a caller is kept waiting.
    base::Millis timeout{30'000};
    // The latency objective: to the answer, or to the first event of a stream.
    base::Millis objective{1'000};
    // The longest pause between two events; 0 for none.
    base::Millis pauseObjective;
    // The most upstreams that one request is sent to.
    std::int64_t attempts = 1;
    // Rank of its requests, 0 first.
    std::int64_t priority = 0;
    // True when callers need no key.
    bool open = false;
    // True when requests of one session are best served by one upstream.
    bool sticky = false;
    // At least one weight is above 0.
    std::vector<Share> shares;

    friend bool operator==(const Relay &, const Relay &) = default;
};

/** @brief The engine behind a service of model workers. */
struct Engine {
    // Requests that one worker runs at once.
    std::int64_t slots = 1;
    // Tokens that one worker keeps in memory.
    std::int64_t cacheTokens = 0;
    // Accelerator memory of one worker for models and adapters, in MiB.
    std::int64_t memoryMib = 0;
    // Adapters that one worker holds.
    std::int64_t adapterPlaces = 0;
    // Loads from the weight store that may begin, over all workers, in thousandths a second.
    std::int64_t loadsPerSecondMilli = 0;

    friend bool operator==(const Engine &, const Engine &) = default;
};

/** @brief A service that requests are relayed to. */
struct Service {
    // Unique among the services.
    std::string name;
    // Connections that one upstream accepts from all callers together.
    std::int64_t maxConnections = 0;
    // Held for a service of model workers.
    std::optional<Engine> engine = {};
    // Requests that a cold upstream tolerates from all callers together, in thousandths a second; 0 without a limit.
    std::int64_t coldRateMilli = 0;
    // For how long an upstream is cold after its start.
    base::Millis coldSpan = {};

    friend bool operator==(const Service &, const Service &) = default;
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
    // The service whose workers hold it; empty for engines that take requests by the product's own interface.
    std::string service = {};
    // Adapters named a1, a2 and so on that belong to it without an entry of their own.
    std::int64_t numberedAdapters = 0;
    // Accelerator memory of one of these, in MiB.
    std::int64_t adapterMemoryMib = 0;
    // Time of a load from the weight store.
    base::Millis loadTime = {};

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
    // The longest head and body of a relayed request.
    std::int64_t maxHeaderBytes = 16'384;
    std::int64_t maxBodyBytes = 4'194'304;
    // How long the head of a relayed request may take, and how long a caller's connection may be idle.
    base::Millis headerTimeout{10'000};
    base::Millis idleTimeout{60'000};

    friend bool operator==(const Limits &, const Limits &) = default;
};

/** @brief The whole configuration document; all lists keep the order in which they were written. */
struct Document {
    Limits limits;
    std::vector<Organisation> organisations;
    std::vector<Route> routes;
    std::vector<Relay> relays;
    std::vector<Service> services;
    std::vector<Model> models;
    std::vector<Adapter> adapters;
    std::vector<Version> versions;
    std::vector<AcceleratorPool> pools;

    friend bool operator==(const Document &, const Document &) = default;
};

} // namespace bamboomoor::config
