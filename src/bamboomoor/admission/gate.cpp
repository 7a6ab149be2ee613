/**
 * The gate's decisions.
 */
#include "bamboomoor/admission/gate.hpp"

#include "bamboomoor/base/digest.hpp"

#include <algorithm>

namespace bamboomoor::admission
{

namespace
{
bool allows(const TargetEntry &target, const std::string &organisation)
{
    const auto &names = target.organisations;
    return names.empty() || std::find(names.begin(), names.end(), organisation) != names.end();
}

std::optional<TargetEntry> findTarget(const Request &request, const Directory &directory)
{
    return request.kind == TargetKind::Model ? directory.findModel(request.target)
                                             : directory.findRoute(request.target);
}
} // namespace

base::Result<Admitted, Refusal> Gate::decide(const Request &request, const GateState &state, const Directory &directory)
{
    if (state.draining) {
        return base::failure(Refusal::Draining);
    }
    if (request.bodyBytes > state.maxBodyBytes) {
        return base::failure(Refusal::BodyTooLarge);
    }
    const std::optional<TargetEntry> target = findTarget(request, directory);
    if (target && target->open) {
        return Admitted{{}, {}, directory.version()};
    }
    // Whether a key is valid and what a target is called may have changed since the lease ran out.
    if (!state.fresh) {
        return base::failure(Refusal::NotFresh);
    }
    const std::string keyHash = base::sha256(request.key);
    const std::optional<KeyEntry> key = request.key.empty() ? std::nullopt : directory.findKey(keyHash);
    if (!key) {
        return base::failure(Refusal::InvalidKey);
    }
    if (key->withdrawn) {
        return base::failure(Refusal::KeyWithdrawn);
    }
    if (!target) {
        return base::failure(request.kind == TargetKind::Model ? Refusal::UnknownModel : Refusal::UnknownRoute);
    }
    if (!allows(*target, key->organisation)) {
        return base::failure(Refusal::WrongOrganisation);
    }
    return Admitted{key->organisation, keyHash, directory.version()};
}

std::optional<Refusal> Gate::recheck(const Admitted &admitted, bool fresh, const Directory &directory)
{
    if (admitted.keyHash.empty()) {
        return std::nullopt;
    }
    if (!fresh) {
        return Refusal::NotFresh;
    }
    const std::optional<KeyEntry> key = directory.findKey(admitted.keyHash);
    const bool valid = key && !key->withdrawn && key->organisation == admitted.organisation;
    return valid ? std::nullopt : std::optional<Refusal>(Refusal::KeyWithdrawn);
}

} // namespace bamboomoor::admission
