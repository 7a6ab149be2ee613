/**
 * Random configuration documents that pass check().
 */
#pragma once

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/config/document.hpp"

#include <rapidcheck.h>

#include <string>

namespace bamboomoor::config
{

inline std::int64_t anyCount(std::int64_t most)
{
    return *rc::gen::inRange<std::int64_t>(1, most);
}

inline Document anyDocument()
{
    Document out;
    const auto some = [] {
        return *rc::gen::inRange<std::size_t>(0, 4);
    };
    out.limits.maxTokens = 2000 + anyCount(1000);
    for (std::size_t n = some(); n > 0; --n) {
        Organisation it{.name = "o" + std::to_string(n), .rate = anyCount(9), .burst = anyCount(9), .keys = {}};
        for (std::size_t k = some(); k > 0; --k) {
            const std::string id = "k" + std::to_string(k);
            it.keys.push_back({.id = id, .hash = base::sha256(it.name + id), .added = *rc::gen::arbitrary<bool>()});
        }
        out.organisations.push_back(it);
    }
    for (std::size_t n = some(); n > 0; --n) {
        out.routes.push_back({.prefix = "/r" + std::to_string(n),
            .upstream = "s",
            .open = *rc::gen::arbitrary<bool>(),
            .retention = {anyCount(9)}});
        out.models.push_back({.name = "m" + std::to_string(n), .memoryMib = anyCount(9), .minReplicas = anyCount(3)});
        out.adapters.push_back({.name = "a" + std::to_string(n), .model = out.models[0].name, .memoryMib = 1});
        out.versions.push_back({.model = out.models[0].name, .version = "v" + std::to_string(n), .resident = true});
    }
    if (*rc::gen::arbitrary<bool>()) {
        out.pools.push_back({.dataCentre = "dc1", .count = 9, .memoryMib = 100});
    }
    return out;
}

} // namespace bamboomoor::config
