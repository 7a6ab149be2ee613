/**
 * One planning cycle: targets, drains, and loads in order of urgency.
 */
#include "bamboomoor/placement/planner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bamboomoor::placement
{

using internal::Need;
using internal::Replicas;
using internal::Survey;
using internal::Urgency;

namespace
{
const AcceleratorLedger *findAccelerator(const Ledger &ledger, const std::string &upstream, std::string_view id)
{
    const auto it = ledger.upstreams().find(upstream);
    if (it == ledger.upstreams().end()) {
        return nullptr;
    }
    for (const AcceleratorLedger &found : it->second.accelerators) {
        if (found.id == id) {
            return &found;
        }
    }
    return nullptr;
}

bool hasAdapters(const AcceleratorLedger &accelerator, const ModelRef &ref)
{
    return std::any_of(accelerator.slots.begin(), accelerator.slots.end(), [&ref](const auto &it) {
        return it.first.model == ref.model && !it.first.adapter.empty() && it.second.reported;
    });
}

std::string textOf(const ModelRef &ref)
{
    std::string text = ref.model;
    text += ref.adapter.empty() ? "" : "/" + ref.adapter;
    text += ref.version.empty() ? "" : "@" + ref.version;
    return text;
}
} // namespace

void Planner::refillLoads()
{
    constexpr double MILLIS_PER_SECOND = 1'000;
    const auto span = static_cast<double>((m_now - m_loadTokensAt).count);
    const double most = std::max(m_options.loadsPerSecond, 1.0);
    m_loadTokens = std::min(m_loadTokens + span * m_options.loadsPerSecond / MILLIS_PER_SECOND, most);
    m_loadTokensAt = m_now;
}

void Planner::expireClaims()
{
    std::erase_if(m_claims, [this](const auto &it) {
        return it.second.until <= m_now;
    });
}

void Planner::setTargets(Survey &survey)
{
    TargetInput input;
    input.totalMib = survey.totalMib;
    input.upstreams = survey.usableUpstreams;
    input.dataCentres = static_cast<std::uint32_t>(survey.dataCentres.size());
    for (const CatalogueEntry &it : m_catalogue) {
        const auto found = m_demand.find(it.ref);
        const DecayedDemand demand = found == m_demand.end() ? DecayedDemand{} : found->second;
        input.models.push_back(
            {it.ref, it.memoryMib, it.minReplicas, it.ratePerReplica, demand.arrivals, demand.decayed});
    }
    const std::vector<std::uint32_t> targets = m_policy->targets(m_now, input);
    for (std::size_t n = 0; n < m_catalogue.size(); ++n) {
        Replicas &replicas = survey.at(n);
        replicas.target = targets[n];
        const double served = input.models[n].ratePerReplica * std::max(replicas.count(), 1U);
        replicas.pressure = input.models[n].demand / served;
    }
}

void Planner::noteReachability(Survey &survey)
{
    for (const CatalogueEntry &it : m_catalogue) {
        const bool lost = survey.of(it.ref).live == 0;
        if (lost && m_unreachable.insert(it.ref).second) {
            m_outputs.emplace_back(StatusLine{"placement: no replica of " + textOf(it.ref)});
        } else if (!lost && m_unreachable.erase(it.ref) != 0) {
            m_outputs.emplace_back(StatusLine{"placement: " + textOf(it.ref) + " is reachable"});
        }
    }
}

bool Planner::isSafeToUnload(Survey &survey, const ModelRef &ref) const
{
    // The survey excludes the replica that is being drained.
    const Replicas &replicas = survey.of(ref);
    return replicas.entry == nullptr || replicas.live > 0;
}

void Planner::advanceDrains(Survey &survey)
{
    adoptUnloads();
    std::vector<internal::DrainKey> keys;
    for (const auto &[key, drain] : m_drains) {
        keys.push_back(key);
    }
    for (const internal::DrainKey &it : keys) {
        advanceDrain(survey, it, m_drains.at(it));
    }
}

// An unload ordered by an earlier leader may still be executed, so traffic must be drained from the replica.
void Planner::adoptUnloads()
{
    for (const auto &[id, upstream] : m_ledger.upstreams()) {
        for (const AcceleratorLedger &accelerator : upstream.accelerators) {
            for (const auto &[ref, slot] : accelerator.slots) {
                if (slot.reported && slot.isOpen(OrderKind::Unload)
                    && m_drains.try_emplace({id, ref}, internal::Drain{accelerator.id, false, m_now}).second) {
                    m_outputs.emplace_back(StartDrain{ref, id});
                }
            }
        }
    }
}

void Planner::advanceDrain(Survey &survey, const internal::DrainKey &key, internal::Drain &drain)
{
    const auto &[name, ref] = key;
    const AcceleratorLedger *accelerator = findAccelerator(m_ledger, name, drain.accelerator);
    const bool found = accelerator != nullptr && accelerator->slots.count(ref) != 0;
    if (!found || !accelerator->slots.at(ref).reported) {
        m_outputs.emplace_back(StopDrain{ref, name});
        m_drains.erase(key);
        return;
    }
    const Slot &slot = accelerator->slots.at(ref);
    const bool ordered = slot.isOpen(OrderKind::Unload);
    if (!ordered && !isSafeToUnload(survey, ref)) {
        m_outputs.emplace_back(StopDrain{ref, name});
        m_drains.erase(key);
        return;
    }
    if (!drain.confirmed) {
        if (drain.sentAt + m_options.repeat <= m_now) {
            drain.sentAt = m_now;
            m_outputs.emplace_back(StartDrain{ref, name});
        }
        return;
    }
    const bool waits = drain.orderedAt.count != INT64_MIN && drain.orderedAt + m_options.unloadTimeout > m_now;
    const bool adapters = ref.adapter.empty() && hasAdapters(*accelerator, ref);
    if (!waits && !adapters) {
        proposeUnload(key, drain, slot);
    }
}

void Planner::proposeUnload(const internal::DrainKey &key, internal::Drain &drain, const Slot &slot)
{
    const UpstreamLedger &upstream = m_ledger.upstreams().find(key.first)->second;
    const AcceleratorLedger *accelerator = findAccelerator(m_ledger, key.first, drain.accelerator);
    if (!upstream.live || internal::isBlocked(scene(), {&upstream, accelerator})) {
        return;
    }
    drain.orderedAt = m_now;
    propose(
        {{}, 0, key.first, upstream.incarnation, drain.accelerator, OrderKind::Unload, key.second, slot.memoryMib()});
}

void Planner::retireUnlisted(Survey &survey)
{
    // A version that is no longer in the catalogue is kept until its successor is live.
    std::map<std::pair<std::string, std::string>, bool> successors;
    for (const CatalogueEntry &it : m_catalogue) {
        bool &answers = successors.try_emplace({it.ref.model, it.ref.adapter}, true).first->second;
        answers = answers && survey.of(it.ref).live > 0;
    }
    std::vector<std::pair<internal::Site, ModelRef>> retired;
    for (const auto &[id, upstream] : m_ledger.upstreams()) {
        for (const AcceleratorLedger &accelerator : upstream.accelerators) {
            for (const auto &[ref, slot] : accelerator.slots) {
                const bool listed = survey.of(ref).entry != nullptr;
                if (listed || !upstream.isUsable() || !slot.reported || m_drains.count({id, ref}) != 0) {
                    continue;
                }
                const auto it = successors.find({ref.model, ref.adapter});
                if (it == successors.end() || it->second) {
                    retired.emplace_back(internal::Site{&upstream, &accelerator}, ref);
                }
            }
        }
    }
    for (const auto &[site, ref] : retired) {
        startDrain(survey, site, ref);
    }
}

// The engine may drop a model on its own. Only the confirmation of a later order proves that a held model is gone, so
// an unload is sent as a probe.
void Planner::probeMissingHolds()
{
    std::vector<Order> probes;
    for (const auto &[id, upstream] : m_ledger.upstreams()) {
        if (!upstream.isUsable()) {
            continue;
        }
        for (const AcceleratorLedger &accelerator : upstream.accelerators) {
            for (const auto &[ref, slot] : accelerator.slots) {
                const bool open = slot.isOpen(OrderKind::Load) || slot.isOpen(OrderKind::Unload);
                const bool pending = internal::isPending(m_now, slot, timeouts());
                if (slot.reported || !slot.isHeld() || open || pending
                    || internal::isBlocked(scene(), {&upstream, &accelerator})) {
                    continue;
                }
                probes.push_back({{}, 0, id, upstream.incarnation, accelerator.id, OrderKind::Unload, ref, 0});
                break;
            }
        }
    }
    for (Order &it : probes) {
        propose(std::move(it));
    }
}

std::vector<Need> Planner::needs(Survey &survey) const
{
    std::set<ModelRef> claimed;
    for (const auto &[key, claim] : m_claims) {
        claimed.insert(claim.ref);
    }
    std::vector<Need> needs;
    for (const CatalogueEntry &it : m_catalogue) {
        const Replicas &replicas = survey.of(it.ref);
        const auto occupied =
            std::count_if(replicas.dataCentres.begin(), replicas.dataCentres.end(), [](const auto &dc) {
                return dc.second > 0;
            });
        const bool spread = occupied > 1 || survey.dataCentres.size() < 2;
        Need need{&it, Urgency::Demand, replicas.pressure, false, 0};
        if (replicas.count() == 0) {
            need.urgency = Urgency::Lost;
        } else if (replicas.count() < std::max(it.minReplicas, 1U)) {
            need.urgency = Urgency::BelowMinimum;
        } else if (replicas.target > 1 && (replicas.count() < 2 || !spread)) {
            need.urgency = Urgency::SingleReplica;
            need.elsewhere = replicas.count() >= replicas.target;
        } else if (replicas.count() >= replicas.target) {
            continue;
        }
        needs.push_back(need);
    }
    std::stable_sort(needs.begin(), needs.end(), [](const Need &lhs, const Need &rhs) {
        return std::make_tuple(lhs.urgency, !lhs.entry->ref.adapter.empty(), -lhs.pressure)
            < std::make_tuple(rhs.urgency, !rhs.entry->ref.adapter.empty(), -rhs.pressure);
    });
    return needs;
}

void Planner::load(Survey &survey)
{
    std::uint32_t searches = m_options.roomSearches;
    for (const Need &need : needs(survey)) {
        if (m_loadTokens < 1) {
            break;
        }
        if (!mayLoad(survey, need.entry->ref)) {
            continue;
        }
        if (const auto site = internal::chooseSite(scene(), survey, need)) {
            proposeLoad(survey, need, *site);
            continue;
        }
        const internal::Claim *claim = claimOf(need.entry->ref);
        if (searches == 0 || (claim != nullptr && claim->draining)) {
            continue;
        }
        --searches;
        if (const auto room = internal::chooseRoom(scene(), survey, need)) {
            makeRoom(survey, need, *room);
        } else if (claim == nullptr && need.urgency <= Urgency::BelowMinimum) {
            loadCopies(survey, need);
        }
    }
}

const internal::Claim *Planner::claimOf(const ModelRef &ref) const
{
    const auto it = std::find_if(m_claims.begin(), m_claims.end(), [&ref](const auto &claim) {
        return claim.second.ref == ref;
    });
    return it == m_claims.end() ? nullptr : &it->second;
}

// Last resort for a model below its minimum: loads further copies of the models that block it on other accelerators, so
// that the originals can be evicted.
void Planner::loadCopies(Survey &survey, const Need &need)
{
    const ModelRef &ref = need.entry->ref;
    if (!ref.adapter.empty()) {
        for (const CatalogueEntry &it : m_catalogue) {
            const bool base = it.ref.model == ref.model && it.ref.adapter.empty();
            if (base && survey.of(it.ref).live > 0 && survey.of(it.ref).pending == 0) {
                loadCopy(survey, {&it, need.urgency, need.pressure, false, need.entry->memoryMib});
            }
        }
        return;
    }
    const auto room = internal::chooseCopies(scene(), survey, need);
    if (!room) {
        return;
    }
    // The claim prevents the copies from being loaded into the memory that they are meant to free.
    m_claims[{room->site.upstream->id, room->site.accelerator->id}] = {ref, m_now + m_options.claim, false};
    for (const ModelRef &it : room->victims) {
        loadCopy(survey, {survey.of(it).entry, need.urgency, 0, false, 0});
    }
}

void Planner::loadCopy(Survey &survey, const Need &need)
{
    if (m_loadTokens < 1 || !mayLoad(survey, need.entry->ref)) {
        return;
    }
    if (const auto site = internal::chooseSite(scene(), survey, need)) {
        proposeLoad(survey, need, *site);
    } else if (const auto room = internal::chooseRoom(scene(), survey, need)) {
        makeRoom(survey, need, *room);
    }
}

bool Planner::mayLoad(const Survey &survey, const ModelRef &ref) const
{
    return ref.adapter.empty() ? survey.modelLoads < m_options.maxModelLoads
                               : survey.adapterLoads < m_options.maxAdapterLoads;
}

void Planner::proposeLoad(Survey &survey, const Need &need, const internal::Site &site)
{
    const CatalogueEntry &entry = *need.entry;
    Replicas &replicas = survey.of(entry.ref);
    ++replicas.pending;
    ++replicas.dataCentres[site.upstream->dataCentre];
    ++(entry.ref.adapter.empty() ? survey.modelLoads : survey.adapterLoads);
    m_loadTokens -= 1;
    m_claims.erase({site.upstream->id, site.accelerator->id});
    propose({{}, 0, site.upstream->id, site.upstream->incarnation, site.accelerator->id, OrderKind::Load, entry.ref,
        entry.memoryMib});
}

void Planner::makeRoom(Survey &survey, const Need &need, const internal::Room &room)
{
    m_claims[{room.site.upstream->id, room.site.accelerator->id}] = {need.entry->ref, m_now + m_options.claim, true};
    for (const ModelRef &it : room.victims) {
        startDrain(survey, room.site, it);
    }
}

void Planner::startDrain(Survey &survey, const internal::Site &site, const ModelRef &ref)
{
    Replicas &replicas = survey.of(ref);
    replicas.live -= std::min(replicas.live, 1U);
    auto &there = replicas.dataCentres[site.upstream->dataCentre];
    there -= std::min(there, 1U);
    m_drains[{site.upstream->id, ref}] = internal::Drain{site.accelerator->id, false, m_now};
    m_outputs.emplace_back(StartDrain{ref, site.upstream->id});
}

} // namespace bamboomoor::placement
