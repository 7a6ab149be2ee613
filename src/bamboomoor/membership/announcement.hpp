/**
 * Announcement that an upstream sends about itself: address, resident models, load and the outcomes of its orders.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::membership
{

/** @brief Kind of an upstream. */
enum class UpstreamKind { ModelWorker, Service };

/** @brief Names of the kinds in the announcement format. */
inline constexpr auto UPSTREAM_KIND_NAMES = base::makeNames<UpstreamKind>("model_worker", "service");

/** @brief Result of an order at an upstream. */
enum class OrderResult { Done, Refused };

/** @brief Names of the order results in the announcement format. */
inline constexpr auto ORDER_RESULT_NAMES = base::makeNames<OrderResult>("done", "refused");

/** @brief A model version, or an adapter of it, resident in the memory of an accelerator. */
struct Resident {
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    std::string version;
    // In mebibytes.
    std::uint64_t memoryMib = 0;

    friend bool operator==(const Resident &, const Resident &) = default;
};

/** @brief One accelerator of an upstream. */
struct Accelerator {
    // Unique within its upstream.
    std::string id;
    // Usable memory in mebibytes.
    std::uint64_t memoryMib = 0;
    std::vector<Resident> resident;

    friend bool operator==(const Accelerator &, const Accelerator &) = default;
};

/** @brief Load as last reported by the upstream; may be stale. */
struct Load {
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    // Prompt tokens of the queued requests.
    std::uint64_t waitingTokens = 0;

    friend bool operator==(const Load &, const Load &) = default;
};

/** @brief An upstream's confirmation of an order. */
struct OrderOutcome {
    std::string orderId;
    OrderResult outcome = OrderResult::Done;

    friend bool operator==(const OrderOutcome &, const OrderOutcome &) = default;
};

/** @brief One announcement of an upstream. */
struct Announcement {
    std::string id;
    // Increases with each start of the upstream's process.
    std::uint64_t incarnation = 0;
    // Increases with each announcement within an incarnation.
    std::uint64_t sequence = 0;
    // "IP:PORT", or "[IP]:PORT" for IPv6.
    std::string address;
    std::string dataCentre;
    UpstreamKind kind = UpstreamKind::ModelWorker;
    // Name of the plain service; empty for a model worker.
    std::string service;
    // Empty for a plain service.
    std::vector<Accelerator> accelerators;
    // Models with weights in the upstream's local storage, which load fast; empty if not reported.
    std::vector<std::string> localCopies = {};
    // The most requests that it runs at once; 0 if not reported.
    std::uint64_t slots = 0;
    // True if the upstream rejects orders with a stale fencing token.
    bool checksFencing = false;
    Load load;
    // True once the upstream accepts no new work; never reset within an incarnation.
    bool leaving = false;
    // Most recently confirmed orders, oldest first.
    std::vector<OrderOutcome> lastOrders;
    // Version of the upstream's software, not of its models; empty if not reported.
    std::string softwareVersion = {};
    // For how long the upstream tolerates few requests only, as it has just started or become cold again.
    base::Millis coldRemaining = {};

    friend bool operator==(const Announcement &, const Announcement &) = default;
};

} // namespace bamboomoor::membership
