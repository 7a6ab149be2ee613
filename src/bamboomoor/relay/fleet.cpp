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
constexpr double NEWEST_WEIGHT = 0.3;
// Costs that differ by at most this many prompt tokens count as equal; the choice among them is random.
constexpr double COST_TOLERANCE = 150;

std::uint64_t combine(std::uint64_t seed, const std::string &text)
{
    constexpr std::uint64_t MULTIPLIER = 0x9E3779B97F4A7C15ULL;
    return (seed ^ std::hash<std::string>()(text)) * MULTIPLIER;
}

standing::UpstreamTrackerOptions standingOf(const FleetOptions &options)
{
    standing::UpstreamTrackerOptions standing = options.standing;
    standing.rooms.seed = options.seed;
    return standing;
}

} // namespace

std::string holdingOf(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + '/' + adapter;
}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_standing(standingOf(m_options))
{
}

void Fleet::update(std::vector<Worker> workers)
{
    std::map<std::string, TrackedWorker> next;
    std::vector<standing::ListedRun> listed;
    for (Worker &it : workers) {
        listed.push_back({{it.id, it.incarnation}, it.service, it.slots, it.cold ? it.cold->until : base::Millis{}});
        TrackedWorker known;
        TrackedWorker *before = find(it.id);
        const bool same =
            before != nullptr && before->worker.address == it.address && before->worker.incarnation == it.incarnation;
        if (same) {
            known = std::move(*before);
            if (known.worker != it) {
                known.missing.clear();
            }
        } else {
            known.state.pacer = Pacer(m_options.pacer);
            known.state.window = m_options.initialWindow;
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

Fleet::TrackedWorker *Fleet::find(const std::string &id)
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

Fleet::TrackedWorker *Fleet::find(const Choice &choice)
{
    TrackedWorker *known = find(choice.id);
    return known == nullptr || known->worker.incarnation != choice.incarnation ? nullptr : known;
}

bool Fleet::hasLoaded(base::Millis now, const TrackedWorker &known, const std::string &holding) const
{
    if (known.missing.contains(holding)) {
        return false;
    }
    const auto placed = known.placed.find(holding);
    return known.worker.holdings.contains(holding) || (placed != known.placed.end() && now >= placed->second);
}

bool Fleet::isEligible(
    base::Millis now, const TrackedWorker &known, const Requirements &requirements, bool despiteBackoff) const
{
    const bool gone = known.missing.contains(std::string()) || (now < known.state.backoffUntil && !despiteBackoff)
        || m_standing.access(now, runOf(known)) == standing::Access::Leaving;
    return !gone && hasSoftware(now, known, requirements)
        && (requirements.holding.empty() || hasLoaded(now, known, requirements.holding));
}

bool Fleet::hasSoftware(base::Millis now, const TrackedWorker &known, const Requirements &requirements)
{
    const bool isSame =
        !requirements.software || (*requirements.software == known.worker.software && now <= known.worker.currentUntil);
    return isSame && !requirements.softwareUncertain
        && (!requirements.recordedSoftware || known.worker.softwareRecorded);
}

bool Fleet::isPaused(base::Millis now, const TrackedWorker &known) const noexcept
{
    return known.state.unansweredSince && now < known.state.backoffUntil
        && now - *known.state.unansweredSince < m_options.maxPause;
}

bool Fleet::canServe(base::Millis now, const TrackedWorker &known, const Requirements &requirements) const
{
    return isEligible(now, known, requirements) && !isClosed(now, known);
}

void Fleet::setPlacements(base::Millis now, const std::vector<PlacedHolding> &placed)
{
    for (auto &[id, known] : m_workers) {
        known.placed.clear();
    }
    for (const PlacedHolding &it : placed) {
        if (TrackedWorker *known = find(it.upstream)) {
            known->placed[it.holding] = now + it.readyIn;
        }
    }
}

base::Millis Fleet::loadedIn(base::Millis now, const Requirements &requirements) const
{
    base::Millis soonest = base::NEVER;
    const auto service = m_services.find(requirements.service);
    if (service == m_services.end() || requirements.holding.empty()) {
        return soonest;
    }
    const std::size_t slash = requirements.holding.find('/');
    for (const TrackedWorker *it : service->second) {
        const bool leaves = m_standing.access(now, runOf(*it)) == standing::Access::Leaving;
        if (requirements.excluded.contains(it->worker.id) || now < it->state.backoffUntil || leaves
            || !hasSoftware(now, *it, requirements)) {
            continue;
        }
        const auto placed = it->placed.find(requirements.holding);
        if (placed != it->placed.end()) {
            soonest = std::min(soonest, std::max(placed->second - now, base::Millis{0}));
        } else if (slash != std::string::npos && hasLoaded(now, *it, requirements.holding.substr(0, slash))) {
            soonest = std::min(soonest, m_options.adapterLoadTime);
        }
    }
    return soonest;
}

base::Millis Fleet::nextReplicaIn(base::Millis now, const Requirements &requirements) const
{
    base::Millis soonest = base::NEVER;
    const std::string model = requirements.holding.substr(0, requirements.holding.find('/'));
    for (const auto &[id, known] : m_workers) {
        const auto placed = known.placed.find(model);
        if (known.worker.service == requirements.service && hasSoftware(now, known, requirements)
            && placed != known.placed.end() && placed->second > now) {
            soonest = std::min(soonest, placed->second - now);
        }
    }
    return soonest == base::NEVER ? base::Millis{} : soonest;
}

std::vector<std::string> Fleet::unreachable(base::Millis now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, known] : m_workers) {
        if (now < known.state.backoffUntil) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<Choice> Fleet::choose(base::Millis now, const Requirements &requirements)
{
    struct Found {
        const TrackedWorker *known;
        double cost;
        std::int64_t newTokens;
    };
    std::vector<Found> found;
    double least = INFINITY;
    // The cheapest of the upstreams for which a permit is needed.
    const TrackedWorker *limited = nullptr;
    double leastLimited = INFINITY;
    const auto service = m_services.find(requirements.service);
    if (service == m_services.end()) {
        return std::nullopt;
    }
    for (const TrackedWorker *it : service->second) {
        if (!canServe(now, *it, requirements) || requirements.excluded.contains(it->worker.id)
            || isBusy(now, *it, requirements.holding)) {
            continue;
        }
        const std::int64_t newTokens = requirements.promptTokens - cachedTokens(*it, requirements);
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
        return it.cost > least + COST_TOLERANCE;
    });
    // Requests a permit for a limited upstream that would have been the cheapest, so that its limit is used fully.
    if (limited != nullptr && leastLimited < least) {
        m_standing.addPermitDemand(now, runOf(*limited), 1);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const Found &chosen = found[m_random() % found.size()];
    const double wait = chosen.cost - referenceTokens(requirements.service, chosen.newTokens);
    return Choice{chosen.known->worker.id, chosen.known->worker.incarnation, chosen.known->worker.address,
        {static_cast<std::int64_t>(std::max(0.0, wait) / static_cast<double>(m_options.tokensPerMilli))},
        chosen.newTokens, chosen.known->state.lostConnection, chosen.known->worker.software,
        now <= chosen.known->worker.currentUntil};
}

UnavailableReason Fleet::unavailableReason(base::Millis now, const Requirements &requirements) const
{
    const auto service = m_services.find(requirements.service);
    if (service == m_services.end()) {
        return UnavailableReason::NoUpstream;
    }
    UnavailableReason lack = UnavailableReason::NotHeld;
    for (const TrackedWorker *it : service->second) {
        if (!isEligible(now, *it, requirements, isPaused(now, *it))) {
            continue;
        }
        if (requirements.excluded.contains(it->worker.id)) {
            lack = lack == UnavailableReason::NotHeld ? UnavailableReason::AllTried : lack;
        } else if (isClosed(now, *it)) {
            lack = UnavailableReason::Closed;
        } else {
            return UnavailableReason::Busy;
        }
    }
    if (lack == UnavailableReason::NotHeld && loadedIn(now, requirements) != base::NEVER) {
        return UnavailableReason::Loading;
    }
    return lack;
}

bool Fleet::isBusy(base::Millis now, const TrackedWorker &known, const std::string &holding) const
{
    if (holding.empty()) {
        return static_cast<double>(known.state.running) >= known.state.window;
    }
    const State &state = known.state;
    const double waiting = referenceTokens(known.worker.service, state.queuedTokens);
    return waiting >= static_cast<double>(m_options.maxQueuedTokens)
        || (state.pacer.isOverloaded(now) && !state.pacer.canSend(now));
}

standing::Run Fleet::runOf(const TrackedWorker &known)
{
    return {known.worker.id, known.worker.incarnation};
}

bool Fleet::isLimited(base::Millis now, const TrackedWorker &known) const
{
    const standing::Access access = m_standing.access(now, runOf(known));
    return access == standing::Access::NoPermit || access == standing::Access::NoRoom;
}

bool Fleet::isClosed(base::Millis now, const TrackedWorker &known) const
{
    return m_standing.access(now, runOf(known)) == standing::Access::Closed;
}

base::Millis Fleet::opensIn(base::Millis now, const Requirements &requirements) const
{
    base::Millis soonest = base::NEVER;
    const auto service = m_services.find(requirements.service);
    if (service != m_services.end()) {
        for (const TrackedWorker *it : service->second) {
            if (isEligible(now, *it, requirements) && !requirements.excluded.contains(it->worker.id)) {
                const bool closed = isClosed(now, *it);
                soonest = std::min(soonest, closed ? m_standing.opensIn(now, runOf(*it), 0) : base::Millis{});
            }
        }
    }
    return soonest == base::NEVER ? base::Millis{} : soonest;
}

bool Fleet::hasRoom(base::Millis now, const Requirements &requirements) const
{
    const auto found = m_services.find(requirements.service);
    return found != m_services.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const TrackedWorker *it) {
               return canServe(now, *it, requirements) && !isBusy(now, *it, requirements.holding)
                   && !isLimited(now, *it);
           });
}

base::Millis Fleet::predictedWait(
    base::Millis now, const Requirements &requirements, std::int64_t ahead, std::int64_t requestsAhead) const
{
    const auto found = m_services.find(requirements.service);
    double waiting = referenceTokens(requirements.service, ahead);
    double rate = 0;
    base::Millis opens = base::NEVER;
    if (found != m_services.end()) {
        for (const TrackedWorker *it : found->second) {
            if (canServe(now, *it, requirements)) {
                opens = std::min(opens, m_standing.opensIn(now, runOf(*it), requestsAhead));
                const State &state = it->state;
                const bool strained = state.pacer.isOverloaded(now);
                rate += strained ? state.pacer.rate() : static_cast<double>(m_options.tokensPerMilli);
                waiting +=
                    strained ? state.pacer.deficit(now) : referenceTokens(requirements.service, state.queuedTokens);
            }
        }
    }
    const base::Millis drained{rate <= 0 ? 0 : static_cast<std::int64_t>(waiting / rate)};
    return opens == base::NEVER ? drained : std::max(drained, opens);
}

void Fleet::setRemoteLoad(base::Millis now, const std::map<std::string, std::int64_t> &waiting)
{
    for (auto &[id, known] : m_workers) {
        const auto it = waiting.find(id);
        known.state.remoteTokens = it == waiting.end() ? 0 : it->second;
        known.state.remoteAt = now;
    }
}

std::map<std::string, std::int64_t> Fleet::queuedTokens() const
{
    std::map<std::string, std::int64_t> tokens;
    for (const auto &[id, known] : m_workers) {
        if (known.state.queuedTokens > 0) {
            tokens.emplace(id, known.state.queuedTokens);
        }
    }
    return tokens;
}

double Fleet::decay(base::Millis now, base::Millis since) const
{
    const auto age = static_cast<double>((now - since).count);
    return std::exp2(-age / static_cast<double>(m_options.halfLife.count));
}

double Fleet::costOf(
    base::Millis now, const TrackedWorker &known, const Requirements &requirements, std::int64_t newTokens) const
{
    const State &state = known.state;
    const double fade = decay(now, state.measuredAt);
    // The engine has processed part of the other entries' queue since they reported it.
    const auto processed = static_cast<double>((now - state.remoteAt).count * m_options.tokensPerMilli);
    double cost = std::max(0.0, referenceTokens(requirements.service, state.remoteTokens) - processed);
    cost += referenceTokens(requirements.service, newTokens + state.queuedTokens);
    cost += static_cast<double>(state.running * m_options.tokensPerRequest);
    cost += state.excessWait * fade * static_cast<double>(m_options.tokensPerMilli);
    // Long engine steps indicate that the engine is processing prompts.
    cost += state.pause * decay(now, state.pausedAt) / static_cast<double>(m_options.stepsPerEvent)
        * static_cast<double>(m_options.tokensPerMilli);
    cost += state.failures * fade * static_cast<double>(m_options.tokensPerFailure);
    cost += known.worker.dataCentre == m_options.dataCentre ? 0 : static_cast<double>(m_options.tokensPerDistance);
    return cost + (requirements.holding.empty() ? 0 : 1);
}

std::int64_t Fleet::cachedTokens(const TrackedWorker &known, const Requirements &requirements) const
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

double Fleet::referenceTokens(const std::string &service, std::int64_t tokens) const
{
    const auto profile = m_profiles.find(service);
    const auto count = static_cast<double>(tokens);
    return profile == m_profiles.end()
        ? count
        : count * static_cast<double>(m_options.tokensPerMilli) / profile->second.tokensPerMilli();
}

void Fleet::remember(State &state, const Requirements &requirements) const
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

bool Fleet::onSent(base::Millis now, const Choice &choice, const Requirements &requirements)
{
    const bool usesPermit = m_standing.sent(now, {choice.id, choice.incarnation});
    TrackedWorker *known = find(choice);
    if (known == nullptr) {
        return usesPermit;
    }
    ++known->state.running;
    known->state.queuedTokens += choice.newTokens;
    known->state.pacer.sent(now, std::llround(referenceTokens(known->worker.service, choice.newTokens)));
    remember(known->state, requirements);
    return usesPermit;
}

void Fleet::onFirstEvent(base::Millis now, const Choice &choice, base::Millis sentAt)
{
    TrackedWorker *known = find(choice);
    if (known == nullptr) {
        return;
    }
    State &state = known->state;
    EngineProfile &profile = m_profiles.try_emplace(known->worker.service, m_options.profile).first->second;
    if (state.queuedTokens <= choice.newTokens) {
        profile.addObservation(choice.newTokens, now - sentAt);
    }
    state.queuedTokens = std::max<std::int64_t>(0, state.queuedTokens - choice.newTokens);
    if (choice.freshConnection && state.unansweredSince && sentAt >= *state.unansweredSince) {
        state.unansweredSince.reset();
        state.backoffUntil = {};
    }
    const double explained = static_cast<double>(choice.newTokens) / profile.tokensPerMilli();
    const double excess = std::max(0.0, static_cast<double>((now - sentAt).count) - explained);
    const double fade = decay(now, state.measuredAt);
    state.excessWait = state.excessWait * fade * (1 - NEWEST_WEIGHT) + excess * NEWEST_WEIGHT;
    state.failures *= fade;
    state.measuredAt = now;
}

std::vector<standing::Change> Fleet::onSignal(
    base::Millis now, const Choice &choice, const standing::UpstreamSignal &signal, base::Millis sentAt, bool ran)
{
    return m_standing.onSignal(now, {choice.id, choice.incarnation}, signal, sentAt, ran);
}

void Fleet::onLeaderReport(base::Millis now, const standing::LeaderReport &report)
{
    m_standing.onLeaderReport(now, report);
}

void Fleet::addPermitDemand(base::Millis now, const Requirements &requirements, std::int64_t count)
{
    const auto found = m_services.find(requirements.service);
    if (found == m_services.end()) {
        return;
    }
    std::vector<const TrackedWorker *> full;
    for (const TrackedWorker *it : found->second) {
        if (!canServe(now, *it, requirements)) {
            continue;
        }
        switch (m_standing.access(now, runOf(*it))) {
        case standing::Access::NoPermit:
            m_standing.addPermitDemand(now, runOf(*it), count);
            break;
        case standing::Access::NoRoom:
            full.push_back(it);
            break;
        default:
            break;
        }
    }
    // Each request needs room at one upstream only; entries begin at different ones, and at others when they got none.
    const auto size = static_cast<std::int64_t>(full.size());
    const auto first = m_options.seed + static_cast<std::uint64_t>(now.count / m_options.roomTurn.count);
    for (std::int64_t n = 0; n < std::min(size, count); ++n) {
        const std::size_t place = (first + static_cast<std::uint64_t>(n)) % full.size();
        m_standing.addPermitDemand(now, runOf(*full[place]), (count - n + size - 1) / size);
    }
}

bool Fleet::permitRequestDue(base::Millis now) const
{
    return m_standing.permitRequestDue(now);
}

std::vector<standing::Report> Fleet::takeReports(base::Millis now)
{
    return m_standing.takeReports(now);
}

void Fleet::onPause(base::Millis now, const Choice &choice, base::Millis pause, base::Millis objective)
{
    TrackedWorker *known = find(choice);
    if (known == nullptr) {
        return;
    }
    State &state = known->state;
    state.pause = state.pause * decay(now, state.pausedAt) * (1 - NEWEST_WEIGHT)
        + static_cast<double>(pause.count) * NEWEST_WEIGHT;
    state.pausedAt = now;
    state.pacer.onPause(now, pause, objective);
}

void Fleet::onStall(base::Millis now, const Choice &choice)
{
    if (TrackedWorker *known = find(choice)) {
        State &state = known->state;
        const double fade = decay(now, state.measuredAt);
        state.failures = state.failures * fade * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        state.excessWait *= fade;
        state.measuredAt = now;
    }
}

void Fleet::onEnded(base::Millis now, const Choice &choice, bool hadStarted, AttemptResult result)
{
    m_standing.ended({choice.id, choice.incarnation});
    TrackedWorker *known = find(choice);
    if (known == nullptr) {
        return;
    }
    State &state = known->state;
    state.running = std::max<std::int64_t>(0, state.running - 1);
    if (!hadStarted) {
        state.queuedTokens = std::max<std::int64_t>(0, state.queuedTokens - choice.newTokens);
    }
    if (result == AttemptResult::Refused || result == AttemptResult::NotReached || result == AttemptResult::Unanswered
        || result == AttemptResult::Lost) {
        state.pacer.refund(std::llround(referenceTokens(known->worker.service, choice.newTokens)));
    }
    if (result == AttemptResult::Cancelled) {
        return;
    }
    // The pooled connection may have been stale for long, which says little about the upstream.
    const bool stalePooled = result == AttemptResult::Lost && !choice.freshConnection;
    const double fade = decay(now, state.measuredAt);
    const double failed = result == AttemptResult::Answered ? 0 : 1;
    state.failures = state.failures * fade * (1 - NEWEST_WEIGHT) + failed * NEWEST_WEIGHT;
    state.excessWait *= fade;
    state.measuredAt = now;
    if (result == AttemptResult::Answered) {
        state.window = std::min(m_options.maxWindow, state.window + 1 / state.window);
    } else if (result != AttemptResult::ErrorResponse && result != AttemptResult::Unanswered
        && result != AttemptResult::Stray && !stalePooled) {
        state.window = std::max(1.0, state.window / 2);
    }
    if (result == AttemptResult::Answered || result == AttemptResult::ErrorResponse
        || result == AttemptResult::Refused) {
        state.lostConnection = false;
        state.unansweredSince.reset();
    } else if (result == AttemptResult::Lost) {
        state.lostConnection = true;
    }
    backOff(now, state, result, stalePooled);
}

void Fleet::backOff(base::Millis now, State &state, AttemptResult result, bool stalePooled) const
{
    switch (result) {
    case AttemptResult::Answered:
        state.backoff = {};
        state.backoffUntil = {};
        return;
    case AttemptResult::Unanswered:
        state.unansweredSince = state.unansweredSince.value_or(now);
        if (now - *state.unansweredSince < m_options.maxPause) {
            state.backoffUntil = now + m_options.initialBackoff;
            return;
        }
        break;
    case AttemptResult::NotReached:
        state.unansweredSince.reset();
        break;
    case AttemptResult::Lost:
        // Losing a new connection indicates that the upstream is gone.
        if (stalePooled) {
            return;
        }
        break;
    default:
        return;
    }
    state.backoff = std::clamp(state.backoff * 2, m_options.initialBackoff, m_options.maxBackoff);
    state.backoffUntil = now + state.backoff;
}

void Fleet::setFailuresAside()
{
    for (auto &[id, known] : m_workers) {
        State &state = known.state;
        state.directBackoff = std::exchange(state.backoff, {});
        state.directBackoffUntil = std::exchange(state.backoffUntil, {});
        state.unansweredSince.reset();
        state.failures = 0;
        state.lostConnection = false;
        state.window = std::max(state.window, m_options.initialWindow);
    }
}

void Fleet::restoreFailures()
{
    for (auto &[id, known] : m_workers) {
        State &state = known.state;
        state.backoff = std::max(state.backoff, std::exchange(state.directBackoff, {}));
        state.backoffUntil = std::max(state.backoffUntil, std::exchange(state.directBackoffUntil, {}));
    }
}

void Fleet::onMissingHolding(const std::string &id, const std::string &holding)
{
    if (TrackedWorker *known = find(id)) {
        known->missing.insert(holding);
    }
}

} // namespace bamboomoor::relay
