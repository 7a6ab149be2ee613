/**
 * Residency plan: decisions about models without a replica, adapters, and additional replicas.
 */
#include "bamboomoor/placement/residency.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboomoor::placement
{

namespace
{

constexpr double MILLIS_PER_SECOND = 1'000.0;
constexpr std::string_view LOST = "lost";
// Urgency of a model without replica and without demand, in the unit of the gain of a replica.
constexpr double LOST_URGENCY = 5;
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
    out.arrivals = std::exchange(m_arrivals, {});
    refillLoads(now);
    pruneTasks();
    sumDemand(now);
    surveyWorkers();
    if (now >= m_reviewAt && now >= m_settledAt) {
        m_reviewAt = now + m_options.review;
        for (const auto &[service, engine] : m_engines) {
            reviewModels(now, service, engine);
        }
    }
    for (State *it : byUrgency()) {
        State &state = *it;
        if (!isIdle(now, state) || isGone(state)) {
            continue;
        }
        if (state.mustInspect) {
            state.inspecting = true;
            out.inspections.push_back({state.report.id, state.report.address});
        } else if (state.loading.empty() && state.task) {
            continueTask(now, state, out);
        } else if (state.loading.empty()) {
            orderAdapter(now, state, out);
        }
    }
    return out;
}

std::vector<Residency::State *> Residency::byUrgency()
{
    std::vector<State *> states;
    for (auto &[id, state] : m_workers) {
        states.push_back(&state);
    }
    const auto urgency = [](const State *it) {
        return it->task ? it->task->urgency : 0;
    };
    std::stable_sort(states.begin(), states.end(), [&urgency](const State *left, const State *right) {
        return urgency(left) > urgency(right);
    });
    return states;
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
    const double passed = static_cast<double>((now - m_loadsAt).count) / MILLIS_PER_SECOND;
    m_loads = std::min(m_options.burst, m_loads + passed * storeRate());
    m_loadsAt = now;
    m_store.expire(now);
}

void Residency::pruneTasks()
{
    for (auto &[id, state] : m_workers) {
        if (!state.task) {
            continue;
        }
        const bool unknown = modelOf(state, state.task->model) == nullptr;
        if (isGone(state) || unknown || state.view.models.contains(state.task->model)) {
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
        if (!task.replaces && !m_survey.ready.contains({state.report.service, *left})) {
            // The other workers that had it loaded are gone in the meantime.
            state.task.reset();
        } else if (now >= task.drainedAt) {
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
    const bool local = hasLocalCopy(state, task.model);
    if (!local) {
        const LoadKey key{state.report.id, state.report.incarnation, state.orders.value_or(0)};
        if (m_loads < 1 || !m_store.mayStart(key)) {
            return;
        }
        m_loads -= 1;
        m_store.sent(now, key);
    }
    ResidencyOrder order;
    order.kind = ResidencyOrderKind::Load;
    order.model = task.model;
    order.reason = task.reason;
    order.source = local ? LoadSource::Local : LoadSource::Store;
    order.announcementAge = now - state.announcedAt;
    send(now, state, std::move(order), out);
}

const std::vector<Residency::AdapterNeed> &Residency::adapterNeeds(
    const std::string &service, const std::string &model, const ModelSpec &spec)
{
    const auto [it, added] = m_survey.adapterNeeds.try_emplace({service, model});
    std::vector<AdapterNeed> &needs = it->second;
    if (!added) {
        return needs;
    }
    for (std::int64_t n = 1; n <= spec.adapters; ++n) {
        std::string adapter = adapterName(n);
        const std::size_t copies = adapterReplicas(service, model, adapter);
        const double demand = demandOf(model, adapter);
        // Adapters without a replica precede all others.
        constexpr double NO_COPY = 1'000;
        constexpr double WAS_MISSED = 10'000;
        double need = copies == 0 ? NO_COPY + demand : demand / static_cast<double>(copies);
        need += copies == 0 && m_missed.contains({model, adapter}) ? WAS_MISSED : 0;
        if (copies == 0 || need > m_options.leastDemand) {
            needs.push_back({need, std::move(adapter)});
        }
    }
    std::stable_sort(needs.begin(), needs.end(), [](const AdapterNeed &left, const AdapterNeed &right) {
        return left.need > right.need;
    });
    return needs;
}

std::optional<std::pair<std::string, std::string>> Residency::wantedAdapter(const State &state)
{
    std::optional<std::pair<std::string, std::string>> best;
    double bestNeed = 0;
    for (const auto &[model, held] : state.view.models) {
        const ModelSpec *spec = modelOf(state, model);
        if (spec == nullptr || isEvicting(state, model)) {
            continue;
        }
        const std::vector<AdapterNeed> &needs = adapterNeeds(state.report.service, model, *spec);
        const auto first = std::find_if(needs.begin(), needs.end(), [&held = held](const AdapterNeed &it) {
            return !held.contains(it.adapter);
        });
        if (first != needs.end() && first->need > bestNeed) {
            bestNeed = first->need;
            best = {model, first->adapter};
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
    // An adapter that was loaded at another worker in the meantime is no longer missing.
    const bool missed = m_missed.contains(*wanted) && adapterReplicas(state.report.service, model, adapter) == 0;
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
    // Adapters are unloaded only for one that requests are waiting for, and the one with the least demand goes first.
    if (const auto spare = spareAdapter(state, m_options.leastDemand)) {
        order.kind = ResidencyOrderKind::Unload;
        order.model = spare->first;
        order.adapter = spare->second;
        order.reason = ROOM;
        send(now, state, std::move(order), out);
    }
}

void Residency::releaseWaiting(base::Millis now, const std::string &service)
{
    bool released = false;
    for (auto &[id, state] : m_workers) {
        if (state.report.service != service || !state.task || !isIdle(now, state) || !state.loading.empty()
            || now < state.task->drainedAt || hasLocalCopy(state, state.task->model)) {
            continue;
        }
        const std::vector<std::string> &evicted = state.task->evicted;
        const bool evicts = std::any_of(evicted.begin(), evicted.end(), [&held = state.view.models](const auto &it) {
            return held.contains(it);
        });
        if (!evicts) {
            state.task.reset();
            released = true;
        }
    }
    if (released) {
        surveyWorkers();
    }
}

bool Residency::mayWaitForStore(const std::string &service) const
{
    const auto waiting = std::count_if(m_workers.begin(), m_workers.end(), [&](const auto &it) {
        const State &state = it.second;
        return state.report.service == service && state.task && !hasLocalCopy(state, state.task->model);
    });
    // One more, so that its worker has room by then.
    const double starting = std::min(std::floor(std::max(m_loads, 0.0)), static_cast<double>(m_store.room()));
    return static_cast<double>(waiting) < starting + 1;
}

void Residency::reviewModels(base::Millis now, const std::string &service, const EngineSpec &engine)
{
    releaseWaiting(now, service);
    placeLost(now, service, engine);
    for (int n = 0; n < m_options.copies && addCopy(now, service, engine); ++n) { }
    while (m_loads >= m_options.burst - 1 && pack(service, engine)) { }
}

bool Residency::fitsAll(const std::string &service, const EngineSpec &engine) const
{
    std::int64_t needed = 0;
    for (const auto &[model, spec] : engine.models) {
        needed += spec.memoryMib;
    }
    std::int64_t there = 0;
    for (const auto &[id, state] : m_workers) {
        there += state.report.service == service && !isGone(state) ? engine.memoryMib : 0;
    }
    return static_cast<double>(needed) <= static_cast<double>(there) * m_options.fillable;
}

void Residency::placeLost(base::Millis now, const std::string &service, const EngineSpec &engine)
{
    std::vector<std::pair<double, std::string>> lost;
    for (const auto &[model, spec] : engine.models) {
        if (replicas(service, model) == 0) {
            lost.emplace_back(-modelDemand(model), model);
        }
    }
    noteLost(now, service, lost);
    if (lost.empty()) {
        return;
    }
    std::sort(lost.begin(), lost.end());
    const bool fits = fitsAll(service, engine);
    QuickCopies copies = quickCopies(service, engine);
    std::map<std::string, double> before = loads(service);
    for (const auto &[demand, model] : lost) {
        const double urgency = LOST_URGENCY * (1 - demand);
        const bool mayWait = mayWaitForStore(service);
        // Workers that crashed are back after a few seconds, with room.
        const bool isPatient = now - m_lostSince.at({service, model}) < m_options.lostPatience;
        State *best = nullptr;
        std::vector<std::string> bestEvicted;
        // Preference: no last replica evicted, a local copy of the model, cheap and few evictions, low load.
        std::tuple<bool, bool, double, std::size_t, double> bestRank;
        for (auto &[id, state] : m_workers) {
            if (state.report.service != service || isGone(state) || state.task || !state.loading.empty()) {
                continue;
            }
            if (!hasLocalCopy(state, model) && !mayWait) {
                continue;
            }
            const std::int64_t needed = engine.models.at(model).memoryMib;
            // A worker executes one load at a time: a short load of a busier model goes first if both models fit.
            if (loadsCopyFirst(copies, id, engine.memoryMib - usedMib(state) - needed, urgency)) {
                continue;
            }
            auto evicted = evictionsFor(now, state, needed);
            const bool replaces = !evicted && !fits;
            if (replaces) {
                evicted = evictionsFor(now, state, needed, -demand * m_options.replaceBelow);
            }
            if (!evicted) {
                continue;
            }
            const double cost = replaces ? 0 : evictionCost(state, *evicted, before);
            if (isPatient && cost > urgency) {
                continue;
            }
            const std::tuple rank{replaces, !hasLocalCopy(state, model), cost, evicted->size(), loadOf(state)};
            if (best == nullptr || rank < bestRank) {
                best = &state;
                bestEvicted = std::move(*evicted);
                bestRank = rank;
            }
        }
        if (best != nullptr) {
            const base::Millis drained = drainedAt(now, bestEvicted);
            best->task = Task{model, std::move(bestEvicted), LOST, drained, urgency, std::get<0>(bestRank)};
            surveyWorkers();
            copies = quickCopies(service, engine);
            before = loads(service);
        }
    }
}

void Residency::noteLost(
    base::Millis now, const std::string &service, const std::vector<std::pair<double, std::string>> &lost)
{
    std::map<std::pair<std::string, std::string>, base::Millis> since;
    for (const auto &[demand, model] : lost) {
        const auto known = m_lostSince.find({service, model});
        since.emplace(std::pair{service, model}, known == m_lostSince.end() ? now : known->second);
    }
    std::erase_if(m_lostSince, [&service](const auto &it) {
        return it.first.first == service;
    });
    m_lostSince.merge(since);
}

} // namespace bamboomoor::placement
