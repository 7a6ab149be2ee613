/**
 * Groups candidates by recent failures, excludes those at their limit, and applies the policy.
 */
#include "bamboomoor/routing/router.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::routing
{

Router::Router(std::unique_ptr<Policy> policy, RouterOptions options)
    : m_policy(std::move(policy))
    , m_options(options)
    , m_prefixes(options.prefix)
{
    assert(m_policy != nullptr);
}

Choice Router::begin(base::Millis now, const Request &request, std::span<const Candidate> candidates,
    std::span<const std::string> excluded)
{
    std::vector<const Candidate *> sound;
    std::vector<const Candidate *> avoided;
    std::vector<const Candidate *> repeated;
    for (const Candidate &it : candidates) {
        if (std::find(excluded.begin(), excluded.end(), it.upstream) != excluded.end()) {
            repeated.push_back(&it);
        } else if (isAvoided(now, it)) {
            avoided.push_back(&it);
        } else {
            sound.push_back(&it);
        }
    }
    if (!sound.empty()) {
        return chooseAmong(now, request, sound);
    }
    if (!avoided.empty()) {
        return chooseAmong(now, request, avoided);
    }
    if (!repeated.empty()) {
        Choice choice = chooseAmong(now, request, repeated);
        choice.repeated = choice.kind == ChoiceKind::Chosen;
        return choice;
    }
    return {};
}

bool Router::firstByte(base::Millis now, std::uint64_t attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return false;
    }
    Attempt &found = it->second;
    if (!found.answered) {
        found.answered = true;
        OwnLoad &own = m_upstreams[found.upstream].own;
        --own.waiting;
        own.waitingTokens -= found.missingTokens;
        m_prefixes.learn(now, found.upstream, found.prefixChain);
    }
    return true;
}

bool Router::done(base::Millis now, std::uint64_t attempt, std::optional<std::uint64_t> cachedTokens)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return false;
    }
    const Attempt found = it->second;
    if (cachedTokens) {
        m_prefixes.correct(found.upstream, found.prefixChain, *cachedTokens);
    }
    // The prompt has just been processed, so its prefix is now cached regardless of the earlier state.
    m_prefixes.learn(now, found.upstream, found.prefixChain);
    Upstream *upstream = endAttempt(attempt);
    upstream->failures = 0;
    upstream->avoidUntil = {};
    if (upstream->own.inFlight == 0) {
        m_upstreams.erase(found.upstream);
    }
    return true;
}

bool Router::failed(base::Millis now, std::uint64_t attempt)
{
    Upstream *upstream = endAttempt(attempt);
    if (upstream == nullptr) {
        return false;
    }
    constexpr std::uint32_t DOUBLINGS = 16;
    const base::Millis span = m_options.cooldown * (std::int64_t{1} << std::min(upstream->failures, DOUBLINGS));
    upstream->avoidUntil = now + std::min(span, m_options.cooldownLimit);
    ++upstream->failures;
    std::erase_if(m_upstreams, [this, now](const auto &it) {
        return it.second.own.inFlight == 0 && it.second.avoidUntil + m_options.cooldownLimit < now;
    });
    return true;
}

bool Router::cancelled(std::uint64_t attempt)
{
    return endAttempt(attempt) != nullptr;
}

OwnLoad Router::load(std::string_view upstream) const
{
    const auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? OwnLoad{} : it->second.own;
}

std::size_t Router::inFlight() const noexcept
{
    return m_attempts.size();
}

Choice Router::chooseAmong(base::Millis now, const Request &request, const std::vector<const Candidate *> &candidates)
{
    std::vector<View> views;
    for (const Candidate *it : candidates) {
        const OwnLoad own = load(it->upstream);
        if (own.inFlight < m_options.engineDepth) {
            const std::uint64_t cached = m_prefixes.expected(now, it->upstream, request.prefixChain);
            views.push_back({it, own, std::min(cached, request.promptTokens)});
        }
    }
    if (views.empty()) {
        return {ChoiceKind::Wait, {}, 0, false};
    }
    const View &chosen = views[m_policy->choose(request, views)];
    const std::string &upstream = chosen.candidate->upstream;
    const std::uint64_t missing = request.promptTokens - chosen.cachedTokens;
    const std::uint64_t attempt = ++m_lastAttempt;
    m_attempts[attempt] = {upstream, missing, request.prefixChain, false};
    OwnLoad &own = m_upstreams[upstream].own;
    ++own.inFlight;
    ++own.waiting;
    own.waitingTokens += missing;
    return {ChoiceKind::Chosen, upstream, attempt, false};
}

bool Router::isAvoided(base::Millis now, const Candidate &candidate) const
{
    const auto it = m_upstreams.find(candidate.upstream);
    return it != m_upstreams.end() && it->second.avoidUntil > now;
}

Router::Upstream *Router::endAttempt(std::uint64_t attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return nullptr;
    }
    const Attempt &found = it->second;
    Upstream &upstream = m_upstreams[found.upstream];
    --upstream.own.inFlight;
    if (!found.answered) {
        --upstream.own.waiting;
        upstream.own.waitingTokens -= found.missingTokens;
    }
    m_attempts.erase(it);
    return &upstream;
}

} // namespace bamboomoor::routing
