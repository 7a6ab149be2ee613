/**
 * Selects the accelerator for a load and the replicas to evict for it.
 */
#pragma once

#include "bamboomoor/placement/internal/survey.hpp"

#include <optional>

namespace bamboomoor::placement::internal
{

/** @brief Urgency of a load; lower values are served first. */
enum class Urgency {
    // No replica.
    Lost,
    // Fewer replicas than the minimum.
    BelowMinimum,
    // No second replica, or none in a second data centre.
    SingleReplica,
    // Fewer replicas than the target.
    Demand
};

/** @brief An accelerator in the ledger; both pointers refer into the ledger. */
struct Site {
    const UpstreamLedger *upstream = nullptr;
    const AcceleratorLedger *accelerator = nullptr;
};

/** @brief Reservation of an accelerator for a load while replicas are evicted. */
struct Claim {
    ModelRef ref;
    base::Millis until;
    // False while copies are loaded elsewhere, before any eviction starts.
    bool draining = true;
};

/** @brief Reservations by upstream and accelerator. */
using Claims = std::map<std::pair<std::string, std::string>, Claim>;

/** @brief A replica to be placed. */
struct Need {
    const CatalogueEntry *entry = nullptr;
    Urgency urgency = Urgency::Demand;
    double pressure = 0;
    // True if the replica must go to a data centre without one.
    bool elsewhere = false;
    // Memory in MiB to leave free for an adapter.
    std::uint64_t extraMib = 0;
};

/** @brief An accelerator and the replicas to evict from it. */
struct Room {
    Site site;
    std::vector<ModelRef> victims;
};

/** @brief State that placement decisions depend on. */
struct Scene {
    base::Millis now;
    const Ledger &ledger;
    const Drains &drains;
    const Claims &claims;
    Timeouts timeouts;
    // Milliseconds after loading during which a replica is not evicted for the sake of demand.
    base::Millis minStay;
};

/**
 * @brief Returns whether an accelerator must not receive another order yet.
 * @param scene The planning state.
 * @param site The accelerator.
 * @return True if the upstream ignores fencing numbers and an order has not timed out.
 */
[[nodiscard]] bool isBlocked(const Scene &scene, const Site &site);

/**
 * @brief Selects an accelerator with enough free memory.
 * @param scene The planning state.
 * @param survey The replica counts.
 * @param need The replica to place.
 * @return The accelerator, or std::nullopt if none qualifies.
 */
[[nodiscard]] std::optional<Site> chooseSite(const Scene &scene, Survey &survey, const Need &need);

/**
 * @brief Selects an accelerator where evicting expendable replicas frees enough memory.
 * @param scene The planning state.
 * @param survey The replica counts.
 * @param need The replica to place.
 * @return The accelerator and the replicas to evict, or std::nullopt if none qualifies.
 */
[[nodiscard]] std::optional<Room> chooseRoom(const Scene &scene, Survey &survey, const Need &need);

/**
 * @brief Selects last replicas of models that could be evicted after copies have been loaded elsewhere.
 * @param scene The planning state.
 * @param survey The replica counts.
 * @param need The replica to place.
 * @return The accelerator and the replicas to copy first, or std::nullopt if none qualifies.
 */
[[nodiscard]] std::optional<Room> chooseCopies(const Scene &scene, Survey &survey, const Need &need);

} // namespace bamboomoor::placement::internal
