/**
 * Orders to upstreams, and the intents in the replicated log that stand for them.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboomoor::placement
{

/** @brief A version of a model, or of an adapter of it. */
struct ModelRef {
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    std::string version;

    friend auto operator<=>(const ModelRef &, const ModelRef &) = default;
};

/** @brief What an order asks for. */
enum class OrderKind { Load, Unload };

/** @brief Names of the kinds of order. */
inline constexpr auto ORDER_KIND_NAMES = base::makeNames<OrderKind>("load", "unload");

/** @brief How an intent ended. */
enum class OrderEnd { Done, Failed, Void };

/** @brief Names of the ends of intents. */
inline constexpr auto ORDER_END_NAMES = base::makeNames<OrderEnd>("done", "failed", "void");

/**
 * @brief An order, or a hold.
 *
 * A hold is an intent that is never sent: it stands for the memory of a load that the upstream has confirmed, so that
 * a new leader with an old report still counts it. Each order is sent at most once; a repetition is a new order.
 */
struct Order {
    // "order-FENCING", or "hold-FENCING-FENCING" with the number of the load that it holds.
    std::string id;
    // Strictly greater than that of every earlier intent.
    std::uint64_t fencing = 0;
    std::string upstream;
    // The upstream's incarnation that the order is meant for; another one must not run it.
    std::uint64_t incarnation = 0;
    std::string accelerator;
    OrderKind kind = OrderKind::Load;
    ModelRef ref;
    // In mebibytes.
    std::uint64_t memoryMib = 0;

    friend bool operator==(const Order &, const Order &) = default;
};

/** @brief Names an order. @param fencing Its fencing number. @return Its id. */
[[nodiscard]] std::string orderIdOf(std::uint64_t fencing);

/** @brief Names a hold. @param fencing Its fencing number. @param load That of the load. @return Its id. */
[[nodiscard]] std::string holdIdOf(std::uint64_t fencing, std::uint64_t load);

/** @brief Finds the load that a hold stands for. @param id The hold's id. @return The id of the load. */
[[nodiscard]] std::string loadOfHold(std::string_view id);

/** @brief Tells whether an intent is a hold. @param id Its id. @return True for a hold. */
[[nodiscard]] bool isHold(std::string_view id) noexcept;

/** @brief Reads the fencing number in an order's id. @param id Any id. @return The number, or 0 for another form. */
[[nodiscard]] std::uint64_t fencingOf(std::string_view id) noexcept;

} // namespace bamboomoor::placement
