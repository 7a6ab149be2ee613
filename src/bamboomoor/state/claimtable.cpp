/**
 * Transitions of claims, and their JSON form in snapshots.
 */
#include "bamboomoor/state/claimtable.hpp"

#include "bamboomoor/state/json.hpp"

#include <utility>

namespace bamboomoor::state
{
namespace
{

constexpr auto STATE_NAMES = base::makeNames<ClaimState>("open", "finished", "unknown");

std::size_t sizeOf(const StoredResponse &answer)
{
    std::size_t size = answer.body.size();
    for (const Header &header : answer.headers) {
        size += header.name.size() + header.value.size();
    }
    return size;
}

std::size_t sizeOf(const ClaimKey &key, const Claim &claim)
{
    return key.organisation.size() + key.key.size() + claim.requestDigest.size() + claim.vm.size()
        + claim.attempt.size();
}

bool isSameAttempt(const Claim &claim, const OpenClaim &command)
{
    return claim.vm == command.vm && claim.incarnation == command.incarnation && claim.attempt == command.attempt;
}

ClaimOutcome outcomeOfExisting(const Claim &claim, const OpenClaim &command)
{
    ClaimOutcome out{.code = ClaimCode::Unknown, .claimId = claim.id, .response = std::nullopt};
    if (claim.requestDigest != command.requestDigest) {
        out.code = ClaimCode::DifferentRequest;
    } else if (claim.state == ClaimState::Open) {
        out.code = isSameAttempt(claim, command) ? ClaimCode::Opened : ClaimCode::AlreadyOpen;
    } else if (claim.state == ClaimState::Finished) {
        out.code = ClaimCode::Stored;
        out.response = claim.response;
    }
    return out;
}

} // namespace

std::optional<ClaimOutcome> ClaimTable::decided(const OpenClaim &command) const
{
    const Claim *earlier = find({.organisation = command.organisation, .key = command.key});
    return earlier == nullptr ? std::nullopt : std::optional(outcomeOfExisting(*earlier, command));
}

std::optional<ClaimOutcome> ClaimTable::decided(const FinishClaim &command) const
{
    const Claim *claim = find({.organisation = command.organisation, .key = command.key});
    if (claim == nullptr || claim->id != command.claimId || claim->state != ClaimState::Finished) {
        return std::nullopt;
    }
    return ClaimOutcome{.code = ClaimCode::Finished, .claimId = claim->id, .response = std::nullopt};
}

ClaimOutcome ClaimTable::open(std::uint64_t index, const OpenClaim &command)
{
    if (auto earlier = decided(command); earlier.has_value()) {
        return *std::move(earlier);
    }
    ClaimKey key{.organisation = command.organisation, .key = command.key};
    Claim claim;
    claim.id = index;
    claim.requestDigest = command.requestDigest;
    claim.vm = command.vm;
    claim.incarnation = command.incarnation;
    claim.attempt = command.attempt;
    claim.openedMillis = command.wallMillis;
    claim.expiresMillis = command.expiresMillis;
    const std::size_t size = sizeOf(key, claim);
    if (m_claims.size() >= m_limits.claims || m_claimBytes + size > m_limits.claimBytes) {
        return {.code = ClaimCode::Full, .claimId = 0, .response = std::nullopt};
    }
    m_claimBytes += size;
    m_claims.emplace(std::move(key), std::move(claim));
    return {.code = ClaimCode::Opened, .claimId = index, .response = std::nullopt};
}

ClaimOutcome ClaimTable::finish(const FinishClaim &command)
{
    const auto it = m_claims.find({.organisation = command.organisation, .key = command.key});
    if (it == m_claims.end() || it->second.id != command.claimId) {
        return {.code = ClaimCode::NotOpen, .claimId = 0, .response = std::nullopt};
    }
    Claim &claim = it->second;
    if (claim.state != ClaimState::Finished) {
        StoredResponse answer{
            .status = command.status, .headers = command.headers, .body = command.body, .tooLarge = false};
        const std::size_t size = sizeOf(answer);
        if (size > m_limits.responseBytes || m_responseBytes + size > m_limits.totalResponseBytes) {
            answer = {.status = command.status, .headers = {}, .body = "", .tooLarge = true};
        }
        m_responseBytes += sizeOf(answer);
        claim.response = std::move(answer);
        claim.state = ClaimState::Finished;
    }
    return {.code = ClaimCode::Finished, .claimId = claim.id, .response = std::nullopt};
}

CountOutcome ClaimTable::abandon(const AbandonClaims &command)
{
    CountOutcome out;
    for (auto &[key, claim] : m_claims) {
        if (claim.state == ClaimState::Open && claim.vm == command.vm && claim.incarnation <= command.incarnation) {
            claim.state = ClaimState::Unknown;
            ++out.count;
        }
    }
    return out;
}

ClaimOutcome ClaimTable::release(const ReleaseClaim &command)
{
    const auto it = m_claims.find({.organisation = command.organisation, .key = command.key});
    const bool held = it != m_claims.end() && it->second.state == ClaimState::Open && it->second.vm == command.vm
        && it->second.attempt == command.attempt;
    if (!held) {
        return {.code = ClaimCode::NotOpen, .claimId = 0, .response = std::nullopt};
    }
    const std::uint64_t id = it->second.id;
    if (command.mayHaveRun) {
        it->second.state = ClaimState::Unknown;
    } else {
        m_claimBytes -= sizeOf(it->first, it->second);
        m_claims.erase(it);
    }
    return {.code = ClaimCode::Finished, .claimId = id, .response = std::nullopt};
}

CountOutcome ClaimTable::sweep(const SweepClaims &command)
{
    CountOutcome out;
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        const Claim &claim = it->second;
        if (claim.state == ClaimState::Open || claim.expiresMillis >= command.before) {
            ++it;
            continue;
        }
        m_claimBytes -= sizeOf(it->first, claim);
        m_responseBytes -= sizeOf(claim.response);
        it = m_claims.erase(it);
        ++out.count;
    }
    return out;
}

const Claim *ClaimTable::find(const ClaimKey &key) const
{
    const auto it = m_claims.find(key);
    return it == m_claims.end() ? nullptr : &it->second;
}

void ClaimTable::save(std::string &out) const
{
    internal::appendArray(out, m_claims, [](const auto &it) {
        const auto &[key, claim] = it;
        nlohmann::json json = {{"organisation", key.organisation}, {"key", key.key}, {"id", claim.id},
            {"requestDigest", claim.requestDigest}, {"vm", claim.vm}, {"incarnation", claim.incarnation},
            {"attempt", claim.attempt}, {"openedMillis", claim.openedMillis}, {"expiresMillis", claim.expiresMillis},
            {"state", STATE_NAMES.name(claim.state)}};
        if (claim.state == ClaimState::Finished) {
            json["answer"] = claim.response;
        }
        return json;
    });
}

void ClaimTable::loadClaim(const nlohmann::json &json)
{
    ClaimKey key;
    json.at("organisation").get_to(key.organisation);
    json.at("key").get_to(key.key);
    Claim claim;
    json.at("id").get_to(claim.id);
    json.at("requestDigest").get_to(claim.requestDigest);
    json.at("vm").get_to(claim.vm);
    json.at("incarnation").get_to(claim.incarnation);
    json.at("attempt").get_to(claim.attempt);
    json.at("openedMillis").get_to(claim.openedMillis);
    json.at("expiresMillis").get_to(claim.expiresMillis);
    claim.state = internal::readName(json.at("state"), STATE_NAMES);
    if (claim.state == ClaimState::Finished) {
        json.at("answer").get_to(claim.response);
        m_responseBytes += sizeOf(claim.response);
    }
    const std::size_t size = sizeOf(key, claim);
    if (!m_claims.emplace(std::move(key), std::move(claim)).second) {
        throw internal::BadValue("a claim is listed twice");
    }
    m_claimBytes += size;
}

} // namespace bamboomoor::state
