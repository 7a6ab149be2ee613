/**
 * The decisions of a residency: lost models, adapters, and copies of models.
 */
#include "bamboomoor/placement/residency.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::placement
{

namespace
{

constexpr double MILLIS_PER_SECOND = 1'000.0;
constexpr std::string_view LOST = "lost";
constexpr std::string_view HOT = "hot";
constexpr std::string_view MISSED = "missed";
constexpr std::string_view AHEAD = "ahead";
constexpr std::string_view ROOM = "room";

std::string adapterName(std::int64_t number)
{
    return "a" + std::to_string(number);
}

} // namespace

ResidencyActions Residency::plan(base::Millis now)
{
    ResidencyActions out;
    refillLoads(now);
    pruneTasks();
    survey(now);
    if (now >= m_reviewAt && now >= m_settledAt) {
        m_reviewAt = now + m_options.review;
        for (const auto &[service, engine] : m_engines) {
            reviewModels(now, service, engine);
        }
    }
    for (auto &[id, state] : m_workers) {
        if (!isIdle(now, state) || state.report.leaving) {
            continue;
        }
        if (state.mustInspect) {
            state.inspecting = true;
            out.inspections.push_back({id, state.report.address});
        } else if (state.loading.empty() && state.task) {
            continueTask(now, state, out);
        } else if (state.loading.empty()) {
            orderAdapter(now, state, out);
        }
    }
    return out;
}

bool Residency::hasLocalCopy(const State &state, const std::string &model) const
{
    return state.report.localCopies.contains(model);
}

base::Millis Residency::drainedAt(base::Millis now, const std::vector<std::string> &evicted) const
{
    const bool used = std::any_of(evicted.begin(), evicted.end(), [this](const std::string &it) {
        return modelDemand(it) > m_options.idleDemand;
    });
    return used ? now + m_options.drain : now;
}

void Residency::refillLoads(base::Millis now)
{
    double rate = 0;
    for (const auto &[service, engine] : m_engines) {
        rate += engine.loadsPerSecond;
    }
    const double passed = static_cast<double>((now - m_loadsAt).count) / MILLIS_PER_SECOND;
    m_loads = std::min(m_options.burst, m_loads + passed * rate);
    m_loadsAt = now;
}

void Residency::pruneTasks()
{
    for (auto &[id, state] : m_workers) {
        if (!state.task) {
            continue;
        }
        const bool unknown = modelOf(state, state.task->model) == nullptr;
        if (state.report.leaving || unknown || state.view.models.contains(state.task->model)) {
            state.task.reset();
        }
    }
}

void Residency::continueTask(base::Millis now, State &state, ResidencyActions &out)
{
    Task &task = *state.task;
    const auto left = std::find_if(task.evicted.begin(), task.evicted.end(), [&state](const std::string &it) {
        return state.view.models.contains(it);
    });
    if (left != task.evicted.end()) {
        if (now >= task.drainedAt) {
            ResidencyOrder order;
            order.kind = ResidencyOrderKind::Unload;
            order.model = *left;
            order.reason = ROOM;
            send(now, state, std::move(order), out);
        }
        return;
    }
    const EngineSpec &engine = *engineOf(state);
    const ModelSpec &spec = *modelOf(state, task.model);
    if (usedMib(state) + spec.memoryMib > engine.memoryMib) {
        state.task.reset();
        return;
    }
    if (!hasLocalCopy(state, task.model)) {
        if (m_loads < 1) {
            return;
        }
        m_loads -= 1;
    }
    ResidencyOrder order;
    order.kind = ResidencyOrderKind::Load;
    order.model = task.model;
    order.reason = task.reason;
    send(now, state, std::move(order), out);
}

std::optional<std::pair<std::string, std::string>> Residency::wantedAdapter(const State &state) const
{
    std::optional<std::pair<std::string, std::string>> best;
    double bestNeed = 0;
    for (const auto &[model, held] : state.view.models) {
        const ModelSpec *spec = modelOf(state, model);
        if (spec == nullptr || isEvicting(state, model)) {
            continue;
        }
        for (std::int64_t n = 1; n <= spec->adapters; ++n) {
            std::string adapter = adapterName(n);
            if (held.contains(adapter)) {
                continue;
            }
            const std::size_t copies = adapterReplicas(state.report.service, model, adapter);
            const double demand = demandOf(model, adapter);
            // Without a copy, any adapter goes before all that have one.
            constexpr double NO_COPY = 1'000;
            constexpr double WAS_MISSED = 10'000;
            double need = copies == 0 ? NO_COPY + demand : demand / static_cast<double>(copies);
            need += copies == 0 && m_missed.contains({model, adapter}) ? WAS_MISSED : 0;
            if (need > bestNeed && (copies == 0 || need > m_options.leastDemand)) {
                bestNeed = need;
                best = {model, std::move(adapter)};
            }
        }
    }
    return best;
}

std::optional<std::pair<std::string, std::string>> Residency::spareAdapter(const State &state, double above) const
{
    std::optional<std::pair<std::string, std::string>> spare;
    double leastValue = above;
    for (const auto &[model, held] : state.view.models) {
        for (const std::string &adapter : held) {
            const std::size_t copies = adapterReplicas(state.report.service, model, adapter);
            const double value = demandOf(model, adapter) / static_cast<double>(std::max<std::size_t>(1, copies));
            if (value < leastValue) {
                leastValue = value;
                spare = {model, adapter};
            }
        }
    }
    return spare;
}

void Residency::orderAdapter(base::Millis now, State &state, ResidencyActions &out)
{
    const EngineSpec &engine = *engineOf(state);
    const auto wanted = wantedAdapter(state);
    if (!wanted) {
        return;
    }
    const auto &[model, adapter] = *wanted;
    const ModelSpec &spec = *modelOf(state, model);
    ResidencyOrder order;
    const bool hasPlace = usedPlaces(state) < static_cast<std::size_t>(engine.adapterPlaces);
    const bool hasMemory = usedMib(state) + spec.adapterMemoryMib <= engine.memoryMib;
    const bool missed = m_missed.contains(*wanted);
    if (hasPlace && hasMemory) {
        order.kind = ResidencyOrderKind::Load;
        order.model = model;
        order.adapter = adapter;
        order.reason = missed ? MISSED : AHEAD;
        send(now, state, std::move(order), out);
        return;
    }
    if (!missed || !hasMemory) {
        return;
    }
    // Room is made only for what callers wait for, and where it costs them least.
    if (const auto spare = spareAdapter(state, m_options.leastDemand)) {
        order.kind = ResidencyOrderKind::Unload;
        order.model = spare->first;
        order.adapter = spare->second;
        order.reason = ROOM;
        send(now, state, std::move(order), out);
    }
}

void Residency::reviewModels(base::Millis now, const std::string &service, const EngineSpec &engine)
{
    placeLost(now, service, engine);
    for (int n = 0; n < m_options.copies && copyHottest(now, service, engine); ++n) { }
}

std::optional<std::vector<std::string>> Residency::evictionsFor(
    base::Millis now, const State &state, std::int64_t neededMib, double budget) const
{
    const EngineSpec &engine = *engineOf(state);
    std::int64_t freeMib = engine.memoryMib - usedMib(state);
    std::vector<std::pair<double, std::string>> candidates;
    for (const auto &[model, adapters] : state.view.models) {
        const std::size_t copies = replicas(state.report.service, model);
        const auto since = state.heldSince.find(model);
        const bool young = since != state.heldSince.end() && now - since->second < m_options.minStay;
        if (copies >= 2 && !young) {
            candidates.emplace_back(modelDemand(model) / static_cast<double>(copies), model);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<std::string> evicted;
    for (const auto &[value, model] : candidates) {
        if (freeMib >= neededMib) {
            break;
        }
        budget -= value;
        if (budget < 0) {
            return std::nullopt;
        }
        const ModelSpec *spec = modelOf(state, model);
        const auto adapters = static_cast<std::int64_t>(state.view.models.at(model).size());
        freeMib += spec == nullptr ? 0 : spec->memoryMib + adapters * spec->adapterMemoryMib;
        evicted.push_back(model);
    }
    return freeMib >= neededMib ? std::optional(std::move(evicted)) : std::nullopt;
}

void Residency::placeLost(base::Millis now, const std::string &service, const EngineSpec &engine)
{
    constexpr double ANY_COST = 1e9;
    std::vector<std::pair<double, std::string>> lost;
    for (const auto &[model, spec] : engine.models) {
        if (replicas(service, model) == 0) {
            lost.emplace_back(-modelDemand(model), model);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const auto &[demand, model] : lost) {
        State *best = nullptr;
        std::vector<std::string> bestEvicted;
        // A copy of its own first, then few evictions, then little load.
        std::tuple<bool, std::size_t, double> bestRank;
        for (auto &[id, state] : m_workers) {
            if (state.report.service != service || state.report.leaving || state.task || !state.loading.empty()) {
                continue;
            }
            auto evicted = evictionsFor(now, state, engine.models.at(model).memoryMib, ANY_COST);
            if (!evicted) {
                continue;
            }
            const std::tuple rank{!hasLocalCopy(state, model), evicted->size(), loadOf(state)};
            if (best == nullptr || rank < bestRank) {
                best = &state;
                bestEvicted = std::move(*evicted);
                bestRank = rank;
            }
        }
        if (best != nullptr) {
            const base::Millis drained = drainedAt(now, bestEvicted);
            best->task = Task{model, std::move(bestEvicted), LOST, drained};
            survey(now);
        }
    }
}

bool Residency::copyHottest(base::Millis now, const std::string &service, const EngineSpec &engine)
{
    double sum = 0;
    double most = 0;
    const State *hottest = nullptr;
    std::size_t workers = 0;
    for (const auto &[id, state] : m_workers) {
        if (state.report.service != service || state.report.leaving) {
            continue;
        }
        const double load = loadOf(state);
        sum += load;
        ++workers;
        if (load > most) {
            most = load;
            hottest = &state;
        }
    }
    if (hottest == nullptr || most < m_options.imbalance * sum / static_cast<double>(workers)) {
        return false;
    }
    std::string model;
    double modelShare = 0;
    for (const auto &[it, adapters] : hottest->view.models) {
        const std::size_t copies = std::max<std::size_t>(1, replicas(service, it));
        const double share = modelDemand(it) / static_cast<double>(copies);
        if (share > modelShare && engine.models.contains(it)) {
            modelShare = share;
            model = it;
        }
    }
    const double demand = modelDemand(model);
    if (model.empty() || demand < m_options.leastDemand) {
        return false;
    }
    const double newShare = demand / static_cast<double>(replicas(service, model) + 1);
    const ModelSpec &spec = engine.models.at(model);
    State *best = nullptr;
    std::vector<std::string> bestEvicted;
    double bestLoad = most * m_options.gain;
    for (auto &[id, state] : m_workers) {
        const bool usable = state.report.service == service && !state.report.leaving && !state.task
            && state.loading.empty() && !holdsOrLoads(state, model);
        if (!usable) {
            continue;
        }
        const double store = hasLocalCopy(state, model) ? 1 : m_options.storeFactor;
        const double load = (loadOf(state) + newShare) * store;
        // What is evicted burdens the other copies.
        auto evicted = evictionsFor(now, state, spec.memoryMib, modelShare - newShare);
        if (evicted && load < bestLoad) {
            best = &state;
            bestEvicted = std::move(*evicted);
            bestLoad = load;
        }
    }
    if (best == nullptr) {
        return false;
    }
    const base::Millis drained = drainedAt(now, bestEvicted);
    best->task = Task{model, std::move(bestEvicted), HOT, drained};
    survey(now);
    return true;
}

} // namespace bamboomoor::placement
