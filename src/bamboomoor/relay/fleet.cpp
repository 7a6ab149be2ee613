/**
 * Tracking of upstream state and cost-based selection.
 */
#include "bamboomoor/relay/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace bamboomoor::relay
{

namespace
{

// Weight of the newest observation in the exponential moving averages.
constexpr double NEWEST = 0.3;
// Costs that differ by at most this many prompt tokens count as equal; the choice among them is random.
constexpr double ALIKE = 150;

std::uint64_t combine(std::uint64_t seed, const std::string &text)
{
    constexpr std::uint64_t MULTIPLIER = 0x9E3779B97F4A7C15ULL;
    return (seed ^ std::hash<std::string>()(text)) * MULTIPLIER;
}

} // namespace

std::string holdingOf(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + '/' + adapter;
}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_standing(m_options.standing)
{
}

void Fleet::update(std::vector<Worker> workers)
{
    std::map<std::string, Known> next;
    std::vector<standing::Run> listed;
    for (Worker &it : workers) {
        listed.push_back({it.id, it.incarnation});
        Known known;
        Known *before = find(it.id);
        const bool same =
            before != nullptr && before->worker.address == it.address && before->worker.incarnation == it.incarnation;
        if (same) {
            known = std::move(*before);
            if (known.worker != it) {
                known.missing.clear();
            }
        } else {
            known.state.pacer = Pacer(m_options.pacer);
            known.state.window = m_options.firstWindow;
        }
        known.worker = std::move(it);
        std::string id = known.worker.id;
        next.insert_or_assign(std::move(id), std::move(known));
    }
    m_workers = std::move(next);
    m_standing.setListed(listed);
    m_services.clear();
    for (auto &[id, known] : m_workers) {
        m_services[known.worker.service].push_back(&known);
    }
}

Fleet::Known *Fleet::find(const std::string &id)
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

bool Fleet::holds(base::Millis now, const Known &known, const std::string &holding) const
{
    if (known.missing.contains(holding)) {
        return false;
    }
    const auto placed = known.placed.find(holding);
    return known.worker.holds.contains(holding) || (placed != known.placed.end() && now >= placed->second);
}

bool Fleet::offers(base::Millis now, const Known &known, const Wanted &requirements) const
{
    const bool gone = known.missing.contains(std::string()) || now < known.state.avoidedUntil
        || m_standing.access(now, runOf(known)) == standing::Access::Leaving;
    return !gone && (requirements.holding.empty() || holds(now, known, requirements.holding));
}

bool Fleet::canServe(base::Millis now, const Known &known, const Wanted &requirements) const
{
    return offers(now, known, requirements) && !isClosed(now, known);
}

void Fleet::setPlaced(base::Millis now, const std::vector<Placed> &placed)
{
    for (auto &[id, known] : m_workers) {
        known.placed.clear();
    }
    for (const Placed &it : placed) {
        if (Known *known = find(it.upstream)) {
            known->placed[it.holding] = now + it.readyIn;
        }
    }
}

base::Millis Fleet::comingIn(base::Millis now, const Wanted &requirements) const
{
    base::Millis soonest = base::NEVER;
    const auto service = m_services.find(requirements.service);
    if (service == m_services.end() || requirements.holding.empty()) {
        return soonest;
    }
    const std::size_t slash = requirements.holding.find('/');
    for (const Known *it : service->second) {
        const bool leaves = m_standing.access(now, runOf(*it)) == standing::Access::Leaving;
        if (requirements.except.contains(it->worker.id) || now < it->state.avoidedUntil || leaves) {
            continue;
        }
        const auto placed = it->placed.find(requirements.holding);
        if (placed != it->placed.end()) {
            soonest = std::min(soonest, std::max(placed->second - now, base::Millis{0}));
        } else if (slash != std::string::npos && holds(now, *it, requirements.holding.substr(0, slash))) {
            soonest = std::min(soonest, m_options.adapterTime);
        }
    }
    return soonest;
}

base::Millis Fleet::nextCopyIn(base::Millis now, const Wanted &requirements) const
{
    base::Millis soonest = base::NEVER;
    const std::string model = requirements.holding.substr(0, requirements.holding.find('/'));
    for (const auto &[id, known] : m_workers) {
        const auto placed = known.placed.find(model);
        if (known.worker.service == requirements.service && placed != known.placed.end() && placed->second > now) {
            soonest = std::min(soonest, placed->second - now);
        }
    }
    return soonest == base::NEVER ? base::Millis{} : soonest;
}

std::vector<std::string> Fleet::unreachable(base::Millis now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, known] : m_workers) {
        if (now < known.state.avoidedUntil) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<Choice> Fleet::choose(base::Millis now, const Wanted &requirements)
{
    struct Found {
        const Known *known;
        double cost;
        std::int64_t newTokens;
    };
    std::vector<Found> found;
    double least = INFINITY;
    // The cheapest of the upstreams for which a permit is needed.
    const Known *limited = nullptr;
    double leastLimited = INFINITY;
    const auto service = m_services.find(requirements.service);
    if (service == m_services.end()) {
        return std::nullopt;
    }
    for (const Known *it : service->second) {
        if (!canServe(now, *it, requirements) || requirements.except.contains(it->worker.id)
            || isBusy(now, *it, requirements.holding)) {
            continue;
        }
        const std::int64_t newTokens = requirements.promptTokens - keptTokens(*it, requirements);
        const double cost = costOf(now, *it, requirements, newTokens);
        if (isLimited(now, *it)) {
            limited = cost < leastLimited ? it : limited;
            leastLimited = std::min(leastLimited, cost);
            continue;
        }
        found.push_back({it, cost, newTokens});
        least = std::min(least, cost);
    }
    std::erase_if(found, [least](const Found &it) {
        return it.cost > least + ALIKE;
    });
    // Requests a permit for a limited upstream that would have been the cheapest, so that its limit is used fully.
    if (limited != nullptr && leastLimited < least) {
        m_standing.wish(now, runOf(*limited), 1);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const Found &chosen = found[m_random() % found.size()];
    const double wait = chosen.cost - standardTokens(requirements.service, chosen.newTokens);
    return Choice{chosen.known->worker.id, chosen.known->worker.incarnation, chosen.known->worker.address,
        {static_cast<std::int64_t>(std::max(0.0, wait) / static_cast<double>(m_options.tokensPerMilli))},
        chosen.newTokens, chosen.known->state.lostConnection};
}

Lack Fleet::lackOf(base::Millis now, const Wanted &requirements) const
{
    const auto service = m_services.find(requirements.service);
    if (service == m_services.end()) {
        return Lack::NoUpstream;
    }
    Lack lack = Lack::NotHeld;
    for (const Known *it : service->second) {
        if (!offers(now, *it, requirements)) {
            continue;
        }
        if (requirements.except.contains(it->worker.id)) {
            lack = lack == Lack::NotHeld ? Lack::AllTried : lack;
        } else if (isClosed(now, *it)) {
            lack = Lack::Closed;
        } else {
            return Lack::Busy;
        }
    }
    if (lack == Lack::NotHeld && comingIn(now, requirements) != base::NEVER) {
        return Lack::Coming;
    }
    return lack;
}

bool Fleet::isBusy(base::Millis now, const Known &known, const std::string &holding) const
{
    if (holding.empty()) {
        return static_cast<double>(known.state.running) >= known.state.window;
    }
    const State &state = known.state;
    const double waiting = standardTokens(known.worker.service, state.waitingTokens);
    return waiting >= static_cast<double>(m_options.waitingTokens)
        || (state.pacer.strained(now) && !state.pacer.open(now));
}

standing::Run Fleet::runOf(const Known &known)
{
    return {known.worker.id, known.worker.incarnation};
}

bool Fleet::isLimited(base::Millis now, const Known &known) const
{
    return m_standing.access(now, runOf(known)) == standing::Access::NoPermit;
}

bool Fleet::isClosed(base::Millis now, const Known &known) const
{
    return m_standing.access(now, runOf(known)) == standing::Access::Closed;
}

base::Millis Fleet::opensIn(base::Millis now, const Wanted &requirements) const
{
    base::Millis soonest = base::NEVER;
    const auto service = m_services.find(requirements.service);
    if (service != m_services.end()) {
        for (const Known *it : service->second) {
            if (offers(now, *it, requirements) && !requirements.except.contains(it->worker.id)) {
                const bool closed = isClosed(now, *it);
                soonest = std::min(soonest, closed ? m_standing.opensIn(now, runOf(*it), 0) : base::Millis{});
            }
        }
    }
    return soonest == base::NEVER ? base::Millis{} : soonest;
}

bool Fleet::hasRoom(base::Millis now, const std::string &service, const std::string &holding) const
{
    const auto found = m_services.find(service);
    Wanted requirements;
    requirements.holding = holding;
    return found != m_services.end() && std::any_of(found->second.begin(), found->second.end(), [&](const Known *it) {
        return canServe(now, *it, requirements) && !isBusy(now, *it, holding) && !isLimited(now, *it);
    });
}

base::Millis Fleet::waitFor(
    base::Millis now, const Wanted &requirements, std::int64_t ahead, std::int64_t requestsAhead) const
{
    const auto found = m_services.find(requirements.service);
    double waiting = standardTokens(requirements.service, ahead);
    double rate = 0;
    base::Millis opens = base::NEVER;
    if (found != m_services.end()) {
        for (const Known *it : found->second) {
            if (canServe(now, *it, requirements)) {
                opens = std::min(opens, m_standing.opensIn(now, runOf(*it), requestsAhead));
                const State &state = it->state;
                const bool strained = state.pacer.strained(now);
                rate += strained ? state.pacer.rate() : static_cast<double>(m_options.tokensPerMilli);
                waiting +=
                    strained ? state.pacer.missing(now) : standardTokens(requirements.service, state.waitingTokens);
            }
        }
    }
    const base::Millis drained{rate <= 0 ? 0 : static_cast<std::int64_t>(waiting / rate)};
    return opens == base::NEVER ? drained : std::max(drained, opens);
}

void Fleet::setForeignLoad(base::Millis now, const std::map<std::string, std::int64_t> &waiting)
{
    for (auto &[id, known] : m_workers) {
        const auto it = waiting.find(id);
        known.state.foreignTokens = it == waiting.end() ? 0 : it->second;
        known.state.foreignAt = now;
    }
}

std::map<std::string, std::int64_t> Fleet::waiting() const
{
    std::map<std::string, std::int64_t> tokens;
    for (const auto &[id, known] : m_workers) {
        if (known.state.waitingTokens > 0) {
            tokens.emplace(id, known.state.waitingTokens);
        }
    }
    return tokens;
}

double Fleet::fading(base::Millis now, base::Millis since) const
{
    const auto age = static_cast<double>((now - since).count);
    return std::exp2(-age / static_cast<double>(m_options.halfLife.count));
}

double Fleet::costOf(base::Millis now, const Known &known, const Wanted &requirements, std::int64_t newTokens) const
{
    const State &state = known.state;
    const double fade = fading(now, state.measuredAt);
    // The engine has processed part of the other entries' queue since they reported it.
    const auto processed = static_cast<double>((now - state.foreignAt).count * m_options.tokensPerMilli);
    double cost = std::max(0.0, standardTokens(requirements.service, state.foreignTokens) - processed);
    cost += standardTokens(requirements.service, newTokens + state.waitingTokens);
    cost += static_cast<double>(state.running * m_options.tokensPerRun);
    cost += state.excessWait * fade * static_cast<double>(m_options.tokensPerMilli);
    // Long engine steps indicate that the engine is processing prompts.
    cost += state.pause * fading(now, state.pausedAt) / static_cast<double>(m_options.stepsPerEvent)
        * static_cast<double>(m_options.tokensPerMilli);
    cost += state.failures * fade * static_cast<double>(m_options.tokensPerFailure);
    cost += known.worker.dataCentre == m_options.dataCentre ? 0 : static_cast<double>(m_options.tokensPerDistance);
    return cost + (requirements.holding.empty() ? 0 : 1);
}

std::int64_t Fleet::keptTokens(const Known &known, const Wanted &requirements) const
{
    std::uint64_t prefix = std::hash<std::string>()(requirements.holding);
    std::int64_t kept = 0;
    for (const PromptPart &it : requirements.parts) {
        prefix = combine(prefix, it.id);
        if (!known.state.prompts.contains(prefix)) {
            break;
        }
        kept += it.tokens;
    }
    return std::min(kept, requirements.promptTokens);
}

double Fleet::standardTokens(const std::string &service, std::int64_t tokens) const
{
    const auto profile = m_profiles.find(service);
    const auto count = static_cast<double>(tokens);
    return profile == m_profiles.end()
        ? count
        : count * static_cast<double>(m_options.tokensPerMilli) / profile->second.tokensPerMilli();
}

void Fleet::remember(State &state, const Wanted &requirements) const
{
    std::uint64_t prefix = std::hash<std::string>()(requirements.holding);
    for (const PromptPart &it : requirements.parts) {
        prefix = combine(prefix, it.id);
        const auto [place, isNew] = state.prompts.try_emplace(prefix, 0);
        if (!isNew) {
            state.promptsByUse.erase(place->second);
        }
        place->second = ++state.uses;
        state.promptsByUse.emplace(place->second, prefix);
    }
    while (state.prompts.size() > m_options.rememberedPrompts) {
        state.prompts.erase(state.promptsByUse.begin()->second);
        state.promptsByUse.erase(state.promptsByUse.begin());
    }
}

bool Fleet::began(base::Millis now, const Choice &choice, const Wanted &requirements)
{
    Known *known = find(choice.id);
    if (known == nullptr) {
        return false;
    }
    ++known->state.running;
    known->state.waitingTokens += choice.newTokens;
    known->state.pacer.sent(now, std::llround(standardTokens(known->worker.service, choice.newTokens)));
    remember(known->state, requirements);
    return m_standing.sent(now, runOf(*known));
}

void Fleet::started(base::Millis now, const Choice &choice, base::Millis sentAt)
{
    Known *known = find(choice.id);
    if (known == nullptr) {
        return;
    }
    State &state = known->state;
    EngineProfile &profile = m_profiles.try_emplace(known->worker.service, m_options.profile).first->second;
    if (state.waitingTokens <= choice.newTokens) {
        profile.answered(choice.newTokens, now - sentAt);
    }
    state.waitingTokens = std::max<std::int64_t>(0, state.waitingTokens - choice.newTokens);
    const double explained = static_cast<double>(choice.newTokens) / profile.tokensPerMilli();
    const double excess = std::max(0.0, static_cast<double>((now - sentAt).count) - explained);
    const double fade = fading(now, state.measuredAt);
    state.excessWait = state.excessWait * fade * (1 - NEWEST) + excess * NEWEST;
    state.failures *= fade;
    state.measuredAt = now;
}

std::vector<standing::Change> Fleet::heard(
    base::Millis now, const Choice &choice, const standing::Word &signal, base::Millis sentAt, bool ran)
{
    return m_standing.heard(now, {choice.id, choice.incarnation}, signal, sentAt, ran);
}

void Fleet::told(base::Millis now, const standing::Told &report)
{
    m_standing.told(now, report);
}

void Fleet::wish(base::Millis now, const std::string &service, const std::string &holding, std::int64_t count)
{
    const auto found = m_services.find(service);
    Wanted requirements;
    requirements.holding = holding;
    if (found != m_services.end()) {
        for (const Known *it : found->second) {
            if (canServe(now, *it, requirements) && isLimited(now, *it)) {
                m_standing.wish(now, runOf(*it), count);
            }
        }
    }
}

bool Fleet::wantsToAsk(base::Millis now) const
{
    return m_standing.wantsToAsk(now);
}

std::vector<standing::Report> Fleet::takeReports(base::Millis now)
{
    return m_standing.takeReports(now);
}

void Fleet::paused(base::Millis now, const Choice &choice, base::Millis pause, base::Millis objective)
{
    Known *known = find(choice.id);
    if (known == nullptr) {
        return;
    }
    State &state = known->state;
    state.pause = state.pause * fading(now, state.pausedAt) * (1 - NEWEST) + static_cast<double>(pause.count) * NEWEST;
    state.pausedAt = now;
    state.pacer.paused(now, pause, objective);
}

void Fleet::silent(base::Millis now, const Choice &choice)
{
    if (Known *known = find(choice.id)) {
        State &state = known->state;
        const double fade = fading(now, state.measuredAt);
        state.failures = state.failures * fade * (1 - NEWEST) + NEWEST;
        state.excessWait *= fade;
        state.measuredAt = now;
    }
}

void Fleet::ended(base::Millis now, const Choice &choice, bool hadStarted, Result result)
{
    Known *known = find(choice.id);
    if (known == nullptr) {
        return;
    }
    State &state = known->state;
    state.running = std::max<std::int64_t>(0, state.running - 1);
    if (!hadStarted) {
        state.waitingTokens = std::max<std::int64_t>(0, state.waitingTokens - choice.newTokens);
    }
    if (result == Result::Refused || result == Result::NotReached || result == Result::Lost) {
        state.pacer.unsent(std::llround(standardTokens(known->worker.service, choice.newTokens)));
    }
    if (result == Result::Cancelled) {
        return;
    }
    // The pooled connection may have been stale for long, which says little about the upstream.
    const bool stalePooled = result == Result::Lost && !choice.freshConnection;
    const double fade = fading(now, state.measuredAt);
    const double failed = result == Result::Answered ? 0 : 1;
    state.failures = state.failures * fade * (1 - NEWEST) + failed * NEWEST;
    state.excessWait *= fade;
    state.measuredAt = now;
    if (result == Result::Answered) {
        state.window = std::min(m_options.mostWindow, state.window + 1 / state.window);
    } else if (result != Result::ErrorAnswer && !stalePooled) {
        state.window = std::max(1.0, state.window / 2);
    }
    if (result == Result::Answered || result == Result::ErrorAnswer || result == Result::Refused) {
        state.lostConnection = false;
    } else if (result == Result::Lost) {
        state.lostConnection = true;
    }
    // Losing a new connection indicates that the upstream is gone.
    if (result == Result::NotReached || (result == Result::Lost && !stalePooled)) {
        state.avoidance = std::clamp(state.avoidance * 2, m_options.firstAvoidance, m_options.longestAvoidance);
        state.avoidedUntil = now + state.avoidance;
    } else if (result == Result::Answered) {
        state.avoidance = {};
        state.avoidedUntil = {};
    }
}

void Fleet::lacks(const std::string &id, const std::string &holding)
{
    if (Known *known = find(id)) {
        known->missing.insert(holding);
    }
}

} // namespace bamboomoor::relay
