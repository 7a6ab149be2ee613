/**
 * Placement decisions; each scans all accelerators once.
 */
#include "bamboomoor/placement/internal/chooser.hpp"

#include <algorithm>
#include <tuple>

namespace bamboomoor::placement::internal
{

namespace
{
bool isClaimed(const Scene &scene, const Site &site, const ModelRef &ref)
{
    const auto it = scene.claims.find({site.upstream->id, site.accelerator->id});
    return it != scene.claims.end() && it->second.ref != ref;
}

// A model is placed on at most one accelerator per upstream, because daemons route to upstreams.
bool isElsewhere(const Site &site, const ModelRef &ref)
{
    for (const AcceleratorLedger &it : site.upstream->accelerators) {
        if (it.id != site.accelerator->id && it.slots.count(ref) != 0) {
            return true;
        }
    }
    return false;
}

bool isDrained(const Scene &scene, const Site &site, const ModelRef &ref)
{
    return scene.drains.count({site.upstream->id, ref}) != 0;
}

bool hasBase(const Scene &scene, const Site &site, const ModelRef &ref)
{
    const ModelRef base{ref.model, {}, {}};
    for (auto it = site.accelerator->slots.lower_bound(base);
         it != site.accelerator->slots.end() && it->first.model == ref.model && it->first.adapter.empty(); ++it) {
        if (it->second.reported && !it->second.isOpen(OrderKind::Unload) && !isDrained(scene, site, it->first)) {
            return true;
        }
    }
    return false;
}

// Additional memory in MiB that the load needs, or std::nullopt if it must not be placed there.
std::optional<std::uint64_t> addedMib(const Scene &scene, const Site &site, const Need &need)
{
    const CatalogueEntry &entry = *need.entry;
    const ModelRef &ref = entry.ref;
    if (isBlocked(scene, site) || isClaimed(scene, site, ref) || isElsewhere(site, ref) || isDrained(scene, site, ref)
        || (!ref.adapter.empty() && !hasBase(scene, site, ref))) {
        return std::nullopt;
    }
    const auto it = site.accelerator->slots.find(ref);
    if (it == site.accelerator->slots.end()) {
        return entry.memoryMib + need.extraMib;
    }
    const Slot &slot = it->second;
    // An unsettled unload may still be executed and would remove the new replica.
    if (slot.reported || slot.isOpen(OrderKind::Unload) || isPending(scene.now, slot, scene.timeouts)) {
        return std::nullopt;
    }
    const std::uint64_t counted = slot.memoryMib();
    return need.extraMib + (entry.memoryMib > counted ? entry.memoryMib - counted : 0);
}

std::uint32_t replicasIn(const Replicas &replicas, std::string_view dataCentre)
{
    const auto it = replicas.dataCentres.find(dataCentre);
    return it == replicas.dataCentres.end() ? 0 : it->second;
}

template<class Visit>
void forEachSite(const Scene &scene, const Replicas &replicas, const Need &need, Visit visit)
{
    for (const auto &[id, upstream] : scene.ledger.upstreams()) {
        const std::uint32_t there = replicasIn(replicas, upstream.dataCentre);
        if (!upstream.isUsable() || (need.elsewhere && there > 0)) {
            continue;
        }
        for (const AcceleratorLedger &it : upstream.accelerators) {
            visit(Site{&upstream, &it});
        }
    }
}

// Replicas that a model must keep when its memory is needed for a load of this urgency.
std::uint32_t keepOf(const Replicas &replicas, Urgency urgency)
{
    if (replicas.entry == nullptr) {
        return 0;
    }
    const std::uint32_t least = std::max(replicas.entry->minReplicas, 1U);
    switch (urgency) {
    case Urgency::Lost:
        return 1;
    case Urgency::BelowMinimum:
        return least;
    case Urgency::SingleReplica:
        return std::max(least, 2U);
    case Urgency::Demand:
        return std::max(least, replicas.target);
    }
    return least;
}

// Demand may evict a third or further replica of a model that remains much less loaded without it.
bool isOutweighed(const Replicas &replicas, const Need &need)
{
    constexpr double MARGIN = 1.5;
    const std::uint32_t least = std::max(replicas.entry->minReplicas, std::min(replicas.target, 2U));
    if (need.urgency != Urgency::Demand || need.pressure <= 1 || replicas.live <= least) {
        return false;
    }
    const double left = replicas.pressure * replicas.live / (replicas.live - 1);
    return left * MARGIN < need.pressure;
}

bool isSpare(
    const Scene &scene, Survey &survey, const Site &site, const ModelRef &ref, const Slot &slot, const Need &need)
{
    if (!slot.reported || slot.isOpen(OrderKind::Unload) || slot.isOpen(OrderKind::Load)
        || isDrained(scene, site, ref)) {
        return false;
    }
    if (need.urgency >= Urgency::SingleReplica && scene.now - slot.reportedSince < scene.minStay) {
        return false;
    }
    const Replicas &replicas = survey.of(ref);
    return replicas.live > keepOf(replicas, need.urgency) || isOutweighed(replicas, need);
}

// A base model is evicted together with its adapters on the accelerator.
bool areAdaptersSpare(const Scene &scene, Survey &survey, const Site &site, const ModelRef &ref, const Need &need)
{
    for (const auto &[other, slot] : site.accelerator->slots) {
        const bool adapter = other.model == ref.model && !other.adapter.empty();
        if (adapter && slot.memoryMib() > 0 && !isSpare(scene, survey, site, other, slot, need)) {
            return false;
        }
    }
    return true;
}

// Returns whether this is the only replica of a model in the catalogue and none of its adapters here must be kept.
bool isLast(
    const Scene &scene, Survey &survey, const Site &site, const ModelRef &ref, const Slot &slot, const Need &need)
{
    const Replicas &replicas = survey.of(ref);
    const bool settled = slot.reported && !slot.isOpen(OrderKind::Unload) && !isDrained(scene, site, ref);
    return settled && ref.adapter.empty() && replicas.entry != nullptr && replicas.count() == 1
        && areAdaptersSpare(scene, survey, site, ref, need);
}

struct Victim {
    double cost = 0;
    std::uint64_t memoryMib = 0;
    ModelRef ref;
};

std::vector<Victim> victimsAt(const Scene &scene, Survey &survey, const Site &site, const Need &need)
{
    std::vector<Victim> victims;
    for (const auto &[ref, slot] : site.accelerator->slots) {
        const bool ownBase =
            !need.entry->ref.adapter.empty() && ref.adapter.empty() && ref.model == need.entry->ref.model;
        if (ownBase || ref == need.entry->ref || !isSpare(scene, survey, site, ref, slot, need)) {
            continue;
        }
        if (ref.adapter.empty() && !areAdaptersSpare(scene, survey, site, ref, need)) {
            continue;
        }
        const Replicas &replicas = survey.of(ref);
        // Evicting a replica above the target costs less than evicting one that demand requires.
        constexpr double WANTED = 1'000;
        const double cost = replicas.live > replicas.target ? 1 : WANTED;
        victims.push_back({cost + replicas.pressure, slot.memoryMib(), ref});
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &lhs, const Victim &rhs) {
        return std::tie(lhs.cost, lhs.ref) < std::tie(rhs.cost, rhs.ref);
    });
    return victims;
}

void addAdapters(const Site &site, std::vector<ModelRef> &victims)
{
    const std::vector<ModelRef> bases = victims;
    for (const auto &[ref, slot] : site.accelerator->slots) {
        for (const ModelRef &base : bases) {
            const bool listed = std::find(victims.begin(), victims.end(), ref) != victims.end();
            if (base.adapter.empty() && ref.model == base.model && slot.reported && !listed) {
                victims.push_back(ref);
            }
        }
    }
}
} // namespace

bool isBlocked(const Scene &scene, const Site &site)
{
    if (site.upstream->checksFencing) {
        return false;
    }
    for (const auto &[ref, slot] : site.accelerator->slots) {
        for (const OrderRecord &it : slot.orders) {
            if (!isHold(it.order.id) && isFresh(scene.now, it, scene.timeouts)) {
                return true;
            }
        }
    }
    return false;
}

std::optional<Site> chooseSite(const Scene &scene, Survey &survey, const Need &need)
{
    using Score = std::tuple<std::uint32_t, bool, std::uint64_t>;
    std::optional<Site> best;
    Score least;
    const Replicas replicas = survey.of(need.entry->ref);
    forEachSite(scene, replicas, need, [&](const Site &site) {
        const std::uint64_t freeMib = site.accelerator->freeMib();
        const std::optional<std::uint64_t> added = addedMib(scene, site, need);
        if (!added || *added > freeMib) {
            return;
        }
        const std::uint32_t there = replicasIn(replicas, site.upstream->dataCentre);
        // Prefer accelerators without an earlier attempt, then the tightest fit to keep large gaps free.
        const bool repeated = site.accelerator->slots.count(need.entry->ref) != 0;
        const Score score{there, repeated, freeMib - *added};
        if (!best || score < least) {
            best = site;
            least = score;
        }
    });
    return best;
}

std::optional<Room> chooseRoom(const Scene &scene, Survey &survey, const Need &need)
{
    std::optional<Room> best;
    double least = 0;
    const Replicas replicas = survey.of(need.entry->ref);
    forEachSite(scene, replicas, need, [&](const Site &site) {
        const std::optional<std::uint64_t> added = addedMib(scene, site, need);
        std::uint64_t room = site.accelerator->freeMib();
        if (!added || site.accelerator->capacityMib < *added) {
            return;
        }
        Room found{site, {}};
        double cost = 0;
        for (const Victim &it : victimsAt(scene, survey, site, need)) {
            if (room >= *added) {
                break;
            }
            room += it.memoryMib;
            cost += it.cost;
            found.victims.push_back(it.ref);
        }
        if (room >= *added && !found.victims.empty() && (!best || cost < least)) {
            addAdapters(site, found.victims);
            best = std::move(found);
            least = cost;
        }
    });
    return best;
}

std::optional<Room> chooseCopies(const Scene &scene, Survey &survey, const Need &need)
{
    std::optional<Room> best;
    std::uint64_t least = 0;
    const Replicas replicas = survey.of(need.entry->ref);
    forEachSite(scene, replicas, need, [&](const Site &site) {
        const std::optional<std::uint64_t> added = addedMib(scene, site, need);
        if (!added || site.accelerator->capacityMib < *added) {
            return;
        }
        std::vector<std::pair<std::uint64_t, ModelRef>> copied;
        std::uint64_t room = site.accelerator->freeMib();
        for (const auto &[ref, slot] : site.accelerator->slots) {
            if (isSpare(scene, survey, site, ref, slot, need)) {
                room += slot.memoryMib();
            } else if (isLast(scene, survey, site, ref, slot, need)) {
                copied.emplace_back(slot.memoryMib(), ref);
            }
        }
        std::sort(copied.begin(), copied.end());
        Room found{site, {}};
        std::uint64_t cost = 0;
        for (const auto &[memory, ref] : copied) {
            if (room >= *added) {
                break;
            }
            room += memory;
            cost += memory;
            found.victims.push_back(ref);
        }
        if (room >= *added && !found.victims.empty() && (!best || cost < least)) {
            best = std::move(found);
            least = cost;
        }
    });
    return best;
}

} // namespace bamboomoor::placement::internal
