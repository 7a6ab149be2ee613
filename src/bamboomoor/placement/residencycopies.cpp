/**
 * Replication of models with high demand.
 *
 * Demand shifts between a few models within seconds, and a load from the store takes about as long as the demand lasts.
 * A replica is chosen by how much it reduces the sum of the squared loads of all workers. The sum includes the load
 * that evicted models add to their other replicas from the eviction on, and the load that the new replica takes over
 * once it is loaded. Workers with a local copy are therefore preferred to those that must use the store, and idle
 * replicas are evicted before those in use.
 *
 * If workers have no memory for replicas because each has one idle model beside a busy one, idle models are packed: an
 * idle model is loaded at a worker that it fills up, so that its first replica can be evicted for a busy model.
 */
#include "bamboomoor/placement/residency.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboomoor::placement
{

namespace
{

constexpr std::string_view HOT = "hot";
constexpr std::string_view PACK = "pack";

} // namespace

std::map<std::string, double> Residency::loads(const std::string &service) const
{
    std::map<std::string, double> loads;
    for (const auto &[id, state] : m_workers) {
        if (state.report.service == service && !isGone(state)) {
            loads.emplace(id, loadOf(state));
        }
    }
    return loads;
}

std::vector<std::string> Residency::busiestModels(const std::string &service, const EngineSpec &engine) const
{
    std::vector<std::pair<double, std::string>> shares;
    for (const auto &[model, demand] : m_summed.models) {
        const std::size_t copies = replicas(service, model);
        if (engine.models.contains(model) && copies > 0 && demand >= m_options.leastDemand) {
            shares.emplace_back(-demand / static_cast<double>(copies), model);
        }
    }
    std::sort(shares.begin(), shares.end());
    shares.resize(std::min(shares.size(), m_options.candidates));
    std::vector<std::string> models;
    models.reserve(shares.size());
    for (auto &[share, model] : shares) {
        models.push_back(std::move(model));
    }
    return models;
}

void Residency::spread(
    const std::string &service, const std::string &model, double change, std::map<std::string, double> &changes) const
{
    const auto holders = m_survey.holders.find({service, model});
    if (holders == m_survey.holders.end()) {
        return;
    }
    for (const std::string &it : holders->second) {
        changes[it] += change;
    }
}

double Residency::gainOf(const State &state, const std::string &model, const std::vector<std::string> &evicted,
    const std::map<std::string, double> &loads, Arrival arrival) const
{
    const std::string &service = state.report.service;
    std::map<std::string, double> changes;
    double own = 0;
    if (arrival == Arrival::There) {
        const auto copies = static_cast<double>(replicas(service, model));
        const double demand = modelDemand(model);
        spread(service, model, demand / (copies + 1) - demand / copies, changes);
        own = demand / (copies + 1);
    }
    for (const std::string &it : evicted) {
        const auto others = static_cast<double>(replicas(service, it)) - 1;
        const double moved = modelDemand(it);
        spread(service, it, moved / others - moved / (others + 1), changes);
        own -= moved / others;
    }
    changes[state.report.id] += own;
    double gain = 0;
    for (const auto &[id, change] : changes) {
        const auto load = loads.find(id);
        const double before = load == loads.end() ? 0 : load->second;
        gain += before * before - (before + change) * (before + change);
    }
    return gain;
}

double Residency::evictionCost(
    const State &state, const std::vector<std::string> &evicted, const std::map<std::string, double> &loads) const
{
    return evicted.empty() ? 0 : -gainOf(state, {}, evicted, loads, Arrival::Pending);
}

std::optional<std::vector<std::string>> Residency::evictionsFor(
    base::Millis now, const State &state, std::int64_t neededMib, double soleBelow) const
{
    const EngineSpec &engine = *engineOf(state);
    std::int64_t freeMib = engine.memoryMib - usedMib(state);
    std::vector<std::pair<double, std::string>> candidates;
    for (const auto &[model, adapters] : state.view.models) {
        // Another worker must have it loaded already, because a load in progress may fail.
        const auto ready = m_survey.ready.find({state.report.service, model});
        const auto since = state.heldSince.find(model);
        const bool young = since != state.heldSince.end() && now - since->second < m_options.minStay;
        const bool isSole = ready == m_survey.ready.end() || ready->second < 2;
        if (ready != m_survey.ready.end() && !young && (!isSole || modelDemand(model) < soleBelow)) {
            candidates.emplace_back(modelDemand(model) / static_cast<double>(ready->second), model);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<std::string> evicted;
    for (const auto &[value, model] : candidates) {
        if (freeMib >= neededMib) {
            break;
        }
        const ModelSpec *spec = modelOf(state, model);
        const auto adapters = static_cast<std::int64_t>(state.view.models.at(model).size());
        freeMib += spec == nullptr ? 0 : spec->memoryMib + adapters * spec->adapterMemoryMib;
        evicted.push_back(model);
    }
    return freeMib >= neededMib ? std::optional(std::move(evicted)) : std::nullopt;
}

double Residency::servedPart(base::Millis loadTime) const noexcept
{
    const base::Millis left = std::max(m_options.horizon - loadTime, base::Millis{1'000});
    return static_cast<double>(left.count) / static_cast<double>(m_options.horizon.count);
}

Residency::QuickCopies Residency::quickCopies(const std::string &service, const EngineSpec &engine) const
{
    const std::map<std::string, double> before = loads(service);
    const double part = servedPart(m_options.localLoad);
    QuickCopies copies;
    for (const std::string &model : busiestModels(service, engine)) {
        const std::int64_t size = engine.models.at(model).memoryMib;
        for (const auto &[id, state] : m_workers) {
            const bool usable = state.report.service == service && !isGone(state) && !state.task
                && state.loading.empty() && !holdsOrLoads(state, model) && hasLocalCopy(state, model)
                && usedMib(state) + size <= engine.memoryMib;
            const double gain = usable ? gainOf(state, model, {}, before, Arrival::There) * part : 0;
            if (gain > m_options.leastGain) {
                copies[id].push_back({size, gain});
            }
        }
    }
    return copies;
}

bool Residency::loadsCopyFirst(
    const QuickCopies &copies, const std::string &worker, std::int64_t freeMib, double urgency)
{
    const auto own = copies.find(worker);
    return own != copies.end()
        && std::any_of(own->second.begin(), own->second.end(), [freeMib, urgency](const QuickCopy &it) {
               return it.memoryMib <= freeMib && it.gain > urgency;
           });
}

bool Residency::addCopy(base::Millis now, const std::string &service, const EngineSpec &engine)
{
    const std::map<std::string, double> before = loads(service);
    const bool mayWait = mayWaitForStore(service);
    State *best = nullptr;
    Task task;
    double bestGain = m_options.leastGain;
    for (const std::string &model : busiestModels(service, engine)) {
        const ModelSpec &spec = engine.models.at(model);
        for (auto &[id, state] : m_workers) {
            const bool usable = state.report.service == service && !isGone(state) && !state.task
                && state.loading.empty() && !holdsOrLoads(state, model) && (mayWait || hasLocalCopy(state, model));
            auto evicted = usable ? evictionsFor(now, state, spec.memoryMib) : std::nullopt;
            if (!evicted) {
                continue;
            }
            const double part = servedPart(hasLocalCopy(state, model) ? m_options.localLoad : spec.loadTime);
            // The evicted replicas are missing while the new one is still loading.
            const double gain = gainOf(state, model, *evicted, before, Arrival::There) * part
                + gainOf(state, model, *evicted, before, Arrival::Pending) * (1 - part);
            if (gain > bestGain) {
                best = &state;
                bestGain = gain;
                task = Task{model, std::move(*evicted), HOT, {}, gain};
            }
        }
    }
    if (best == nullptr) {
        return false;
    }
    task.drainedAt = drainedAt(now, task.evicted);
    best->task = std::move(task);
    surveyWorkers();
    return true;
}

double Residency::roomOf(const std::set<std::int64_t> &sizes, std::int64_t freeMib)
{
    // Space left beside the largest models may fit a smaller one, which is worth less.
    constexpr double SMALLER = 0.5;
    if (sizes.empty() || *sizes.begin() <= 0 || freeMib < 0) {
        return 0;
    }
    const std::int64_t largest = *sizes.rbegin();
    const std::int64_t rest = freeMib % largest;
    const auto smaller = sizes.upper_bound(rest);
    const std::int64_t fits = smaller == sizes.begin() ? 0 : *std::prev(smaller);
    const std::int64_t whole = freeMib / largest;
    return static_cast<double>(whole) + SMALLER * static_cast<double>(fits) / static_cast<double>(largest);
}

bool Residency::pack(const std::string &service, const EngineSpec &engine)
{
    std::set<std::int64_t> sizes;
    for (const auto &[model, spec] : engine.models) {
        sizes.insert(spec.memoryMib);
    }
    std::map<std::string, std::string> soleHolders;
    // Free memory of the workers that can receive a model.
    std::map<std::string, std::int64_t> freeMib;
    std::size_t underWay = 0;
    for (const auto &[id, state] : m_workers) {
        if (isGone(state)) {
            continue;
        }
        underWay += state.task && state.task->reason == PACK ? 1 : 0;
        if (state.report.service == service && !state.task && state.loading.empty()) {
            freeMib.emplace(id, engine.memoryMib - usedMib(state));
        }
        for (const auto &[model, adapters] : state.view.models) {
            if (state.report.service == service && replicas(service, model) == 1 && engine.models.contains(model)
                && modelDemand(model) < m_options.leastDemand) {
                soleHolders.emplace(model, id);
            }
        }
    }
    std::string best;
    std::string bestModel;
    double bestRoom = m_options.leastRoom;
    for (const auto &[model, holder] : soleHolders) {
        const std::int64_t size = engine.models.at(model).memoryMib;
        const std::int64_t holderFree = engine.memoryMib - usedMib(m_workers.at(holder));
        const double made = roomOf(sizes, holderFree + size) - roomOf(sizes, holderFree);
        for (const auto &[id, free] : freeMib) {
            if (id == holder || free < size) {
                continue;
            }
            const double room = made - (roomOf(sizes, free) - roomOf(sizes, free - size));
            if (room > bestRoom) {
                best = id;
                bestModel = model;
                bestRoom = room;
            }
        }
    }
    if (best.empty() || underWay >= m_options.packing) {
        return false;
    }
    m_workers.at(best).task = Task{bestModel, {}, PACK, {}, 0};
    m_survey.holders[{service, bestModel}].push_back(best);
    return true;
}

} // namespace bamboomoor::placement
