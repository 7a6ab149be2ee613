/**
 * Inputs and outputs of the placement planner.
 *
 * The planner performs no I/O: its owner feeds it inputs and executes the outputs in order.
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

/** @brief A model or adapter that must have at least one replica. */
struct CatalogueEntry {
    ModelRef ref;
    std::uint64_t memoryMib = 0;
    // At least 1.
    std::uint32_t minReplicas = 1;
    // Requests per second that one replica can serve; greater than 0.
    double ratePerReplica = 1;
};

/** @brief Current demand for a model or adapter, summed over all daemons. */
struct DemandSample {
    ModelRef ref;
    double arrivalsPerSecond = 0;
    std::uint64_t queued = 0;
};

/** @brief Result of sending an order. */
enum class TransportResult {
    // The upstream reported that it executed the order.
    Done,
    // The upstream reported that it did not execute the order, or the order was certainly not sent.
    Refused,
    // Any other case; the order may still be executed.
    Unknown
};

inline constexpr auto TRANSPORT_RESULT_NAMES = base::makeNames<TransportResult>("done", "refused", "unknown");

/** @brief Periodic timer; the only input that triggers planning. */
struct Tick {
};

/** @brief An announcement received from an upstream. */
struct Report {
    membership::Announcement announcement;
};

/** @brief The lease of an upstream has expired. */
struct UpstreamExpired {
    std::string upstream;
};

/** @brief Current demand; models that are not listed have none. */
struct Demand {
    std::vector<DemandSample> samples;
};

/** @brief Complete list of models and adapters to keep reachable; replaces the previous one. */
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

/** @brief The close of an intent is committed. */
struct CloseCommitted {
    std::string orderId;
};

/** @brief Result of sending an order, from the transport or from the response of the upstream. */
struct OrderReply {
    std::string orderId;
    TransportResult result = TransportResult::Unknown;
};

/** @brief All daemons have stopped routing a model to an upstream. */
struct DrainConfirmed {
    ModelRef ref;
    std::string upstream;
};

/** @brief This planner becomes the leader. */
struct BecomeLeader {
    std::uint64_t term = 0;
    std::vector<Order> openIntents;
    // Highest fencing number in the log.
    std::uint64_t lastFencing = 0;
};

/** @brief This planner is no longer the leader. */
struct StopLeading {
};

using Input = std::variant<Tick, Report, UpstreamExpired, Demand, Catalogue, IntentCommitted, IntentRefused,
    CloseCommitted, OrderReply, DrainConfirmed, BecomeLeader, StopLeading>;

/** @brief Append an intent to the log; IntentCommitted or IntentRefused must follow. */
struct ProposeIntent {
    Order order;
};

/** @brief Send an order to its upstream, exactly once. */
struct SendOrder {
    Order order;
};

/** @brief Append the close of an intent to the log; repeated until CloseCommitted. */
struct ProposeClose {
    std::string orderId;
    IntentOutcome outcome = IntentOutcome::Done;
};

/** @brief Stop routing a model to an upstream; repeated until DrainConfirmed. */
struct StartDrain {
    ModelRef ref;
    std::string upstream;
};

/** @brief Resume routing a model to an upstream. */
struct StopDrain {
    ModelRef ref;
    std::string upstream;
};

/** @brief A state change to be written to the log file. */
struct StatusLine {
    std::string text;
};

using Output = std::variant<ProposeIntent, SendOrder, ProposeClose, StartDrain, StopDrain, StatusLine>;

} // namespace bamboomoor::placement
