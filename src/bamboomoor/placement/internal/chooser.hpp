/**
 * Chooses the accelerator of a load, and the replicas that make room for one.
 */
#pragma once

#include "bamboomoor/placement/internal/survey.hpp"

#include <optional>

namespace bamboomoor::placement::internal
{

/** @brief How urgent a load is; lower values come first. */
enum class Urgency {
    // No replica answers.
    Lost,
    // Fewer replicas than the minimum.
    BelowMinimum,
    // No second replica, or none in a second data centre.
    SingleReplica,
    // Fewer replicas than the demand asks for.
    Demand
};

/** @brief An accelerator of the ledger. */
struct Site {
    const UpstreamLedger *upstream = nullptr;
    const AcceleratorLedger *accelerator = nullptr;
};

/** @brief An accelerator kept free for a load while others make room. */
struct Claim {
    ModelRef ref;
    base::Millis until;
    // False while copies are loaded elsewhere before anything leaves.
    bool draining = true;
};

/** @brief Claims by upstream and accelerator. */
using Claims = std::map<std::pair<std::string, std::string>, Claim>;

/** @brief A load to be placed. */
struct Need {
    const CatalogueEntry *entry = nullptr;
    Urgency urgency = Urgency::Demand;
    double pressure = 0;
    // True when only a data centre without a replica will do.
    bool elsewhere = false;
    // Memory in mebibytes that must be left for an adapter.
    std::uint64_t extraMib = 0;
};

/** @brief A site and what must leave it. */
struct Room {
    Site site;
    std::vector<ModelRef> victims;
};

/** @brief What the choices depend on. */
struct Scene {
    base::Millis now;
    const Ledger &ledger;
    const Drains &drains;
    const Claims &claims;
    Timeouts timeouts;
    // Milliseconds for which a replica is not moved for demand.
    base::Millis minStay;
};

/**
 * @brief Tells whether an accelerator must wait for an order before it gets another.
 * @param scene What it depends on.
 * @param site The accelerator.
 * @return True at an upstream that ignores fencing numbers while an order is fresh.
 */
[[nodiscard]] bool isBlocked(const Scene &scene, const Site &site);

/**
 * @brief Chooses an accelerator with room.
 * @param scene What it depends on.
 * @param survey The replicas.
 * @param need The load.
 * @return The accelerator, or nothing.
 */
[[nodiscard]] std::optional<Site> chooseSite(const Scene &scene, Survey &survey, const Need &need);

/**
 * @brief Chooses an accelerator where replicas that can be spared make room.
 * @param scene What it depends on.
 * @param survey The replicas.
 * @param need The load.
 * @return The accelerator and the replicas, or nothing.
 */
[[nodiscard]] std::optional<Room> chooseRoom(const Scene &scene, Survey &survey, const Need &need);

/**
 * @brief Chooses replicas, each the last of its model, whose copies elsewhere would let them make room.
 * @param scene What it depends on.
 * @param survey The replicas.
 * @param need The load.
 * @return The accelerator and the replicas to copy first, or nothing.
 */
[[nodiscard]] std::optional<Room> chooseCopies(const Scene &scene, Survey &survey, const Need &need);

} // namespace bamboomoor::placement::internal
