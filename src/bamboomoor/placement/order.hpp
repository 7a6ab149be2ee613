/**
 * Orders to upstreams and their identifiers.
 *
 * Every order is recorded as an intent in the replicated log before it is sent; fencing numbers increase strictly from
 * one intent to the next.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboomoor::placement
{

/** @brief Identifies a version of a model or of one of its adapters. */
struct ModelRef {
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    std::string version;

    friend auto operator<=>(const ModelRef &, const ModelRef &) = default;
};

enum class OrderKind { Load, Unload };

inline constexpr auto ORDER_KIND_NAMES = base::makeNames<OrderKind>("load", "unload");

/** @brief Final outcome of an intent. */
enum class IntentOutcome { Done, Failed, Void };

inline constexpr auto INTENT_OUTCOME_NAMES = base::makeNames<IntentOutcome>("done", "failed", "void");

/**
 * @brief An order to an upstream, or a hold.
 *
 * A hold is an intent that is never sent. It reserves the memory of a load that the upstream has confirmed, so that a
 * new leader with an outdated report still accounts for it. Each order is sent at most once; a retry is a new order.
 */
struct Order {
    // "order-FENCING", or "hold-FENCING-FENCING" where the second number is that of the confirmed load.
    std::string id;
    // Strictly greater than that of every earlier intent.
    std::uint64_t fencing = 0;
    std::string upstream;
    // Target incarnation of the upstream; other incarnations must not execute the order.
    std::uint64_t incarnation = 0;
    std::string accelerator;
    OrderKind kind = OrderKind::Load;
    ModelRef ref;
    // In mebibytes.
    std::uint64_t memoryMib = 0;

    friend bool operator==(const Order &, const Order &) = default;
};

/** @brief Builds the id of an order. @param fencing Its fencing number. @return Its id. */
[[nodiscard]] std::string orderIdOf(std::uint64_t fencing);

/** @brief Builds the id of a hold. @param fencing Its fencing number. @param load Fencing number of the load.
 * @return Its id. */
[[nodiscard]] std::string holdIdOf(std::uint64_t fencing, std::uint64_t load);

/** @brief Extracts the load from the id of a hold. @param id The hold's id. @return The id of the load. */
[[nodiscard]] std::string loadOfHold(std::string_view id);

/** @brief Tells whether an intent is a hold. @param id Its id. @return True for a hold. */
[[nodiscard]] bool isHold(std::string_view id) noexcept;

/** @brief Parses the fencing number in the id of an order. @param id Any id. @return The number, or 0 if the id is not
 * that of an order. */
[[nodiscard]] std::uint64_t fencingOf(std::string_view id) noexcept;

} // namespace bamboomoor::placement
