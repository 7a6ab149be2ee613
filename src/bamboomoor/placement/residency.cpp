/**
 * Residency plan: state of the workers, and results of orders and inspections. The decisions are in residencyplan.cpp.
 */
#include "bamboomoor/placement/residency.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboomoor::placement
{

void Residency::setEngines(std::map<std::string, EngineSpec> engines)
{
    m_engines = std::move(engines);
    m_store.setRate(storeRate());
}

void Residency::setWorkers(base::Millis now, const std::vector<WorkerReport> &workers)
{
    std::set<std::string> present;
    for (const WorkerReport &it : workers) {
        if (!m_engines.contains(it.service)) {
            continue;
        }
        present.insert(it.id);
        State &state = m_workers[it.id];
        const bool restarted = state.report.incarnation != it.incarnation || state.report.address != it.address;
        if (restarted) {
            state = {};
            m_store.restarted(now, it.id, it.incarnation);
        }
        if (state.unreachable && it.sequence > state.report.sequence) {
            state.unreachable = false;
            state.mustInspect = true;
        }
        if (restarted || it.sequence > state.report.sequence) {
            state.announcedAt = now;
        }
        state.report = it;
        if (it.holdings.models.contains(state.loading)) {
            noteArrival(now, state, state.loading);
            state.view.models.try_emplace(state.loading);
            state.heldSince[state.loading] = now;
            state.loading.clear();
        }
        // An announcement may predate an accepted order. From the first order or inspection on, the view is therefore
        // based on responses and inspections, which carry the order count.
        if (restarted || !state.counted) {
            state.view = it.holdings;
        }
        const ModelSpec *coming = state.loading.empty() ? nullptr : modelOf(state, state.loading);
        if (coming != nullptr && now - state.orderedAt > coming->loadTime + m_options.loadGrace) {
            state.mustInspect = true;
        }
    }
    std::erase_if(m_workers, [&present](const auto &it) {
        return !present.contains(it.first);
    });
}

double Residency::storeRate() const noexcept
{
    double rate = 0;
    for (const auto &[service, engine] : m_engines) {
        rate += engine.loadsPerSecond;
    }
    return rate;
}

void Residency::setDemand(base::Millis now, const std::string &entry, const std::vector<ResidencyDemand> &demand)
{
    // There is no earlier mean for a new entry, or for the first report that a new leader receives from an entry.
    const auto [reported, isFirst] = m_reportedAt.try_emplace(entry, now);
    const base::Millis span = now - std::exchange(reported->second, now);
    const double recentPart = isFirst ? 1 : 1 - kept(span, m_options.halfLife);
    const double lastingPart = isFirst ? 1 : 1 - kept(span, m_options.trendHalfLife);
    for (const ResidencyDemand &it : demand) {
        Rate &total = m_demand[{it.model, it.adapter}];
        total.recent = total.recent * kept(now - total.at, m_options.halfLife) + it.rate * recentPart;
        total.lasting = total.lasting * kept(now - total.at, m_options.trendHalfLife) + it.rate * lastingPart;
        total.at = now;
        if (it.missed > 0) {
            m_missed.emplace(it.model, it.adapter);
        }
    }
}

void Residency::sumDemand(base::Millis now)
{
    m_summed = {};
    std::map<std::string, double> lastingDemand;
    for (const auto &[key, rate] : m_demand) {
        const double recent = rate.recent * kept(now - rate.at, m_options.halfLife);
        m_summed.exact[key] = recent;
        m_summed.models[key.first] += recent;
        lastingDemand[key.first] += rate.lasting * kept(now - rate.at, m_options.trendHalfLife);
    }
    // A replica serves only seconds after it was ordered, and growing demand continues to grow in the meantime. Falling
    // demand is not extrapolated: it may be noise, and evicting a model in use costs more than a replica gains.
    for (auto &[model, demand] : m_summed.models) {
        demand += std::max(0.0, demand - lastingDemand[model]) * m_options.trend;
    }
}

void Residency::surveyWorkers()
{
    m_survey = {};
    for (const auto &[id, state] : m_workers) {
        if (!isGone(state)) {
            surveyWorker(state);
        }
    }
}

double Residency::kept(base::Millis age, base::Millis halfLife) noexcept
{
    return std::exp2(-static_cast<double>(age.count) / static_cast<double>(halfLife.count));
}

void Residency::surveyWorker(const State &state)
{
    const std::string &service = state.report.service;
    for (const auto &[model, adapters] : state.view.models) {
        if (isEvicting(state, model)) {
            continue;
        }
        m_survey.holders[{service, model}].push_back(state.report.id);
        if (!state.report.overdue) {
            ++m_survey.ready[{service, model}];
        }
        for (const std::string &adapter : adapters) {
            ++m_survey.adapters[{service, model, adapter}];
        }
    }
    const std::string coming = !state.loading.empty() ? state.loading : state.task ? state.task->model : std::string();
    if (!coming.empty() && !state.view.models.contains(coming)) {
        m_survey.holders[{service, coming}].push_back(state.report.id);
    }
}

double Residency::demandOf(const std::string &model, const std::string &adapter) const
{
    const auto it = m_summed.exact.find({model, adapter});
    return it == m_summed.exact.end() ? 0 : it->second;
}

double Residency::modelDemand(const std::string &model) const
{
    const auto it = m_summed.models.find(model);
    return it == m_summed.models.end() ? 0 : it->second;
}

const EngineSpec *Residency::engineOf(const State &state) const
{
    const auto it = m_engines.find(state.report.service);
    return it == m_engines.end() ? nullptr : &it->second;
}

const ModelSpec *Residency::modelOf(const State &state, const std::string &model) const
{
    const EngineSpec *engine = engineOf(state);
    if (engine == nullptr) {
        return nullptr;
    }
    const auto it = engine->models.find(model);
    return it == engine->models.end() ? nullptr : &it->second;
}

std::int64_t Residency::usedMib(const State &state) const
{
    const EngineSpec *engine = engineOf(state);
    std::int64_t used = 0;
    const auto add = [&](const std::string &model, std::size_t adapters) {
        const ModelSpec *spec = modelOf(state, model);
        // A model that is no longer in the catalogue may occupy any amount of memory.
        used += spec == nullptr ? engine->memoryMib
                                : spec->memoryMib + static_cast<std::int64_t>(adapters) * spec->adapterMemoryMib;
    };
    for (const auto &[model, adapters] : state.view.models) {
        add(model, adapters.size());
    }
    if (!state.loading.empty() && !state.view.models.contains(state.loading)) {
        add(state.loading, 0);
    }
    return used;
}

std::size_t Residency::usedPlaces(const State &state) const
{
    std::size_t places = 0;
    for (const auto &[model, adapters] : state.view.models) {
        places += adapters.size();
    }
    return places;
}

bool Residency::isEvicting(const State &state, const std::string &model) const
{
    return state.task
        && std::find(state.task->evicted.begin(), state.task->evicted.end(), model) != state.task->evicted.end();
}

bool Residency::holdsOrLoads(const State &state, const std::string &model) const
{
    return state.view.models.contains(model) || state.loading == model || (state.task && state.task->model == model);
}

std::size_t Residency::replicas(const std::string &service, const std::string &model) const
{
    const auto it = m_survey.holders.find({service, model});
    return it == m_survey.holders.end() ? 0 : it->second.size();
}

std::size_t Residency::adapterReplicas(
    const std::string &service, const std::string &model, const std::string &adapter) const
{
    const auto it = m_survey.adapters.find({service, model, adapter});
    return it == m_survey.adapters.end() ? 0 : it->second;
}

double Residency::loadOf(const State &state) const
{
    double load = 0;
    for (const auto &[model, adapters] : state.view.models) {
        if (!isEvicting(state, model)) {
            const std::size_t count = std::max<std::size_t>(1, replicas(state.report.service, model));
            load += modelDemand(model) / static_cast<double>(count);
        }
    }
    for (const std::string &coming : {state.loading, state.task ? state.task->model : std::string()}) {
        if (!coming.empty() && !state.view.models.contains(coming)) {
            const std::size_t count = std::max<std::size_t>(1, replicas(state.report.service, coming));
            load += modelDemand(coming) / static_cast<double>(count);
            break;
        }
    }
    return load;
}

bool Residency::isIdle(base::Millis now, const State &state) const
{
    return !state.underWay && !state.inspecting && now >= state.notBefore;
}

void Residency::send(base::Millis now, State &state, ResidencyOrder order, ResidencyActions &out)
{
    order.worker = state.report.id;
    order.address = state.report.address;
    order.expected = state.orders.value_or(0);
    state.underWay = order;
    state.orderedAt = now;
    state.counted = true;
    out.orders.push_back(std::move(order));
}

void Residency::ordered(base::Millis now, const std::string &worker, ResidencyOrderResult verdict)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || !it->second.underWay) {
        return;
    }
    State &state = it->second;
    const ResidencyOrder order = *std::exchange(state.underWay, std::nullopt);
    state.orderedAt = now;
    noteStoreLoad(now, state, order, verdict);
    // Adapters are unloaded synchronously, and the worker reports this as if the adapter had not been loaded.
    const bool done = verdict == ResidencyOrderResult::AlreadyApplied && order.kind == ResidencyOrderKind::Unload
        && !order.adapter.empty();
    switch (done ? ResidencyOrderResult::Accepted : verdict) {
    case ResidencyOrderResult::Accepted:
        state.orders = order.expected + 1;
        state.leastOrders = order.expected + 1;
        carryOut(now, state, order);
        return;
    case ResidencyOrderResult::AlreadyApplied:
        state.orders = order.expected;
        carryOut(now, state, order);
        state.mustInspect = true;
        return;
    case ResidencyOrderResult::NotSent:
        state.mustInspect = true;
        state.notBefore = now + m_options.retry;
        return;
    case ResidencyOrderResult::Conflict:
    case ResidencyOrderResult::Unknown:
        state.orders.reset();
        state.mustInspect = true;
        state.notBefore = now + m_options.retry;
        return;
    case ResidencyOrderResult::Fenced:
    case ResidencyOrderResult::Rejected:
        state.orders.reset();
        state.mustInspect = true;
        state.task.reset();
        state.notBefore = now + m_options.retry * 4;
        return;
    }
}

void Residency::noteStoreLoad(
    base::Millis now, const State &state, const ResidencyOrder &order, ResidencyOrderResult verdict)
{
    const LoadKey key{state.report.id, state.report.incarnation, order.expected};
    switch (verdict) {
    case ResidencyOrderResult::Accepted:
        if (isStoreLoad(order)) {
            m_store.begun(now, key);
        } else {
            m_store.replaced(key);
        }
        return;
    case ResidencyOrderResult::AlreadyApplied:
    case ResidencyOrderResult::Rejected:
        // An earlier load with the same order number has already begun or never will.
        m_store.begun(now, key);
        return;
    case ResidencyOrderResult::Conflict:
    case ResidencyOrderResult::Fenced:
    case ResidencyOrderResult::NotSent:
        m_store.refused(key);
        return;
    case ResidencyOrderResult::Unknown:
        m_store.doubted(key);
        return;
    }
}

void Residency::noteArrival(base::Millis now, const State &state, const std::string &model)
{
    const auto source = model == state.loading ? std::optional(state.source) : std::nullopt;
    m_arrivals.push_back({state.report.id, model, source, now - state.orderedAt});
}

void Residency::carryOut(base::Millis now, State &state, const ResidencyOrder &order)
{
    if (order.kind == ResidencyOrderKind::Load && order.adapter.empty()) {
        state.loading = order.model;
        state.source = order.source.value_or(LoadSource::Store);
        state.task.reset();
    } else if (order.kind == ResidencyOrderKind::Load) {
        state.view.models[order.model].insert(order.adapter);
        std::erase_if(state.placedAt, [&](const auto &it) {
            return now - it.second >= m_options.placedTime;
        });
        state.placedAt[{order.model, order.adapter}] = now;
        m_missed.erase({order.model, order.adapter});
    } else if (order.adapter.empty()) {
        state.view.models.erase(order.model);
        state.heldSince.erase(order.model);
        // The memory is released once running requests have ended, which an inspection confirms.
        state.mustInspect = true;
        state.notBefore = now + m_options.retry;
    } else {
        state.view.models[order.model].erase(order.adapter);
        state.placedAt.erase({order.model, order.adapter});
    }
}

void Residency::unreachable(const std::string &worker)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end()) {
        it->second.unreachable = true;
        it->second.task.reset();
    }
}

std::vector<RecentHolding> Residency::recentHoldings(base::Millis now) const
{
    std::vector<RecentHolding> out;
    for (const auto &[id, state] : m_workers) {
        for (const auto &[holding, at] : state.placedAt) {
            if (now - at < m_options.placedTime) {
                out.push_back({id, holding.first, holding.second, {}});
            }
        }
        const ModelSpec *spec = state.loading.empty() || isGone(state) ? nullptr : modelOf(state, state.loading);
        if (spec != nullptr) {
            const base::Millis time = hasLocalCopy(state, state.loading) ? m_options.localLoad : spec->loadTime;
            const base::Millis left = state.orderedAt + time - now;
            out.push_back({id, state.loading, {}, std::max(left, base::Millis{1})});
        }
    }
    return out;
}

void Residency::inspected(base::Millis now, const std::string &worker, const std::optional<InspectionResult> &found)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        return;
    }
    State &state = it->second;
    state.inspecting = false;
    if (!found) {
        state.notBefore = now + m_options.retry * 2;
        return;
    }
    state.unreachable = false;
    if (found->orders < state.leastOrders && now - state.orderedAt < m_options.reportLag) {
        // The report predates the last order.
        state.mustInspect = true;
        state.notBefore = now + m_options.retry;
        return;
    }
    m_store.accepted(now, worker, state.report.incarnation, found->orders);
    state.counted = true;
    state.orders = found->orders;
    state.leastOrders = found->orders;
    if (found->busy) {
        state.mustInspect = true;
        state.notBefore = now + m_options.retry;
        return;
    }
    state.mustInspect = false;
    for (const auto &[model, adapters] : found->holdings.models) {
        if (!state.view.models.contains(model)) {
            noteArrival(now, state, model);
        }
    }
    state.view = found->holdings;
    state.loading.clear();
}

std::set<std::pair<std::string, std::string>> Residency::draining() const
{
    std::set<std::pair<std::string, std::string>> out;
    for (const auto &[id, state] : m_workers) {
        if (state.task) {
            for (const std::string &model : state.task->evicted) {
                out.emplace(id, model);
            }
        }
    }
    return out;
}

} // namespace bamboomoor::placement
