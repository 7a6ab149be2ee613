/**
 * Generators of random commands that use few distinct names, so that commands often affect the same objects.
 */
#pragma once

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/state/machine.hpp"

#include <rapidcheck.h>

#include <string>

namespace bamboomoor::state
{

inline std::string anyName(const std::string &prefix, int count)
{
    return prefix + std::to_string(*rc::gen::inRange(0, count));
}

inline std::string anyDocumentText()
{
    std::string text;
    for (int n = *rc::gen::inRange(0, 3); n > 0; --n) {
        text += "[[organisation]]\nname = \"o" + std::to_string(n - 1)
            + "\"\nrate = " + std::to_string(*rc::gen::inRange(0, 5)) + "\nburst = 1\n";
        if (*rc::gen::arbitrary<bool>()) {
            const std::string key = anyName("k", 4);
            text += "[[organisation.key]]\nid = \"" + key + "\"\nhash = \"" + base::sha256(key) + "\"\n";
        }
    }
    return text;
}

inline Command anyChange(const Machine &machine)
{
    const std::string id = anyName("c", 30);
    const std::string key = anyName("k", 4);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return AddKey{id, "ann", 1, anyName("o", 3), key, base::sha256(key)};
    case 1:
        return WithdrawKey{id, "bob", 2, anyName("o", 3), key};
    default:
        const auto &now = machine.configuration().current();
        const bool stale = *rc::gen::inRange(0, 4) == 0;
        return ApplyConfig{id, "eve", 3, stale ? now.version / 2 : now.version, now.digest, anyDocumentText()};
    }
}

inline Command anyClaimCommand(const Machine &machine)
{
    const std::string key = anyName("q", 4);
    const Claim *claim = machine.claims().find({"o", key});
    switch (*rc::gen::inRange(0, 6)) {
    case 3:
        return ReleaseClaim{"o", key, anyName("vm", 2), anyName("t", 3), *rc::gen::arbitrary<bool>()};
    case 0:
        return AbandonClaims{anyName("vm", 2), *rc::gen::inRange<std::uint64_t>(0, 3)};
    case 1:
        return SweepClaims{*rc::gen::inRange(0, 10)};
    case 2:
        return FinishClaim{"o", key, claim == nullptr ? 1 : claim->id, 200, {{"A", "b"}}, anyName("\xff\n", 9)};
    default:
        return OpenClaim{"o", key, anyName("r", 2), anyName("vm", 2), 1, anyName("t", 3), 0, *rc::gen::inRange(0, 12)};
    }
}

inline RecordQuarantines anyQuarantines()
{
    RecordQuarantines command;
    for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
        command.quarantines.push_back({anyName("request:", 4), *rc::gen::inRange(-2, 5)});
    }
    return command;
}

inline Command anyLeaderCommand(const Machine &machine)
{
    switch (*rc::gen::inRange(0, 4)) {
    case 3:
        return anyQuarantines();
    case 0:
        return RaiseCeiling{
            *rc::gen::inRange<std::uint64_t>(0, 4), 5, {{anyName("o", 2), *rc::gen::inRange(0, 99), 1}}};
    case 1:
        return CloseIntent{anyName("i", 3), OrderEnd::Void};
    default:
        RecordIntent intent;
        intent.orderId = anyName("i", 3);
        intent.fencing = machine.leaderLog().lastFencing() + *rc::gen::inRange<std::uint64_t>(0, 2);
        intent.kind = *rc::gen::arbitrary<bool>() ? OrderKind::Load : OrderKind::Unload;
        return intent;
    }
}

inline Command anyCommand(const Machine &machine)
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return anyChange(machine);
    case 1:
        return anyClaimCommand(machine);
    default:
        return anyLeaderCommand(machine);
    }
}

} // namespace bamboomoor::state
