/**
 * Inputs and outputs of the planner.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/membership/announcement.hpp"
#include "bamboomoor/placement/order.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bamboomoor::placement
{

/** @brief A model or adapter that is to be reachable. */
struct CatalogueEntry {
    ModelRef ref;
    std::uint64_t memoryMib = 0;
    // At least 1.
    std::uint32_t minReplicas = 1;
    // Arrivals per second that one replica can serve; greater than 0.
    double ratePerReplica = 1;
};

/** @brief Present demand for a model or adapter, over all daemons. */
struct DemandSample {
    ModelRef ref;
    double arrivalsPerSecond = 0;
    std::uint64_t queued = 0;
};

/** @brief What became of sending an order. */
enum class TransportResult {
    // The upstream answered that it ran the order.
    Done,
    // The upstream answered that it did not, or the order was provably not sent.
    Refused,
    // Anything else.
    Unknown
};

/** @brief Names of the transport results. */
inline constexpr auto TRANSPORT_RESULT_NAMES = base::makeNames<TransportResult>("done", "refused", "unknown");

/** @brief Time has passed; planning happens only here. */
struct Tick {
};

/** @brief An announcement of an upstream. */
struct Report {
    membership::Announcement announcement;
};

/** @brief An upstream's lease has ended. */
struct UpstreamExpired {
    std::string upstream;
};

/** @brief The present demand; models left out have none. */
struct Demand {
    std::vector<DemandSample> samples;
};

/** @brief All models and adapters that are to be reachable. */
struct Catalogue {
    std::vector<CatalogueEntry> entries;
};

/** @brief A proposed intent is committed. */
struct IntentCommitted {
    std::string orderId;
};

/** @brief A proposed intent will never be committed. */
struct IntentRefused {
    std::string orderId;
};

/** @brief A proposed close is committed. */
struct CloseCommitted {
    std::string orderId;
};

/** @brief The transport or the upstream's answer tells of an order. */
struct OrderReply {
    std::string orderId;
    TransportResult result = TransportResult::Unknown;
};

/** @brief No daemon routes a model to an upstream any more. */
struct DrainConfirmed {
    ModelRef ref;
    std::string upstream;
};

/** @brief This planner decides from now on. */
struct BecomeLeader {
    std::uint64_t term = 0;
    std::vector<Order> openIntents;
    // The greatest fencing number in the log.
    std::uint64_t lastFencing = 0;
};

/** @brief This planner decides no longer. */
struct StopLeading {
};

/** @brief Any input. */
using Input = std::variant<Tick, Report, UpstreamExpired, Demand, Catalogue, IntentCommitted, IntentRefused,
    CloseCommitted, OrderReply, DrainConfirmed, BecomeLeader, StopLeading>;

/** @brief Commit an intent; IntentCommitted or IntentRefused must follow. */
struct ProposeIntent {
    Order order;
};

/** @brief Send an order to its upstream, once. */
struct SendOrder {
    Order order;
};

/** @brief Commit the close of an intent; proposed again until CloseCommitted. */
struct ProposeClose {
    std::string orderId;
    OrderEnd end = OrderEnd::Done;
};

/** @brief Stop routing a model to an upstream; repeated until DrainConfirmed. */
struct StartDrain {
    ModelRef ref;
    std::string upstream;
};

/** @brief Route a model to an upstream again. */
struct StopDrain {
    ModelRef ref;
    std::string upstream;
};

/** @brief A change of state, for the log. */
struct StatusLine {
    std::string text;
};

/** @brief Any output. */
using Output = std::variant<ProposeIntent, SendOrder, ProposeClose, StartDrain, StopDrain, StatusLine>;

} // namespace bamboomoor::placement
