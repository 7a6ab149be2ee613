/**
 * Whom a request goes to, by its path and body.
 */
#include "bamboomoor/entry/target.hpp"
#include "bamboomoor/config/lookup.hpp"

#include <algorithm>

namespace bamboomoor::entry
{

namespace
{

Unresolved unknownModel(const std::string &name)
{
    return {admission::Refusal::UnknownModel, "no model or adapter is named \"" + name + '"'};
}

bool hasVersion(const config::Document &document, const std::string &model, const std::string &version)
{
    return version.empty() || std::any_of(document.versions.begin(), document.versions.end(), [&](const auto &it) {
        return it.model == model && it.version == version;
    });
}

base::Result<Resolved, Unresolved> resolveGeneration(const config::Document &document, const http::Request &request)
{
    auto parsed = parseGeneration(request.body);
    if (!parsed) {
        return base::failure(Unresolved{admission::Refusal::MalformedRequest, parsed.error().message});
    }
    Resolved resolved;
    resolved.target.kind = TargetKind::Generation;
    resolved.idempotent = true;
    resolved.generation = std::move(parsed.value());
    const Generation &generation = *resolved.generation;
    resolved.target.version = generation.version;
    resolved.target.model = generation.model;
    if (const config::Adapter *adapter = config::findAdapter(document, generation.model)) {
        resolved.target.model = adapter->model;
        resolved.target.adapter = adapter->name;
    } else if (config::findModel(document, generation.model) == nullptr) {
        return base::failure(unknownModel(generation.model));
    }
    if (!hasVersion(document, resolved.target.model, generation.version)) {
        return base::failure(
            Unresolved{admission::Refusal::UnknownModel, "the model has no version \"" + generation.version + '"'});
    }
    resolved.maxTokens =
        std::min(generation.maxTokens.value_or(document.limits.defaultTokens), document.limits.maxTokens);
    resolved.cost = generation.promptTokens + resolved.maxTokens;
    return resolved;
}

bool isRepeatable(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

base::Result<Resolved, Unresolved> resolve(const config::Document &document, const http::Request &request)
{
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions") {
        if (request.method != "POST") {
            return base::failure(Unresolved{admission::Refusal::UnknownRoute, "only POST is allowed here"});
        }
        return resolveGeneration(document, request);
    }
    const config::Route *route = config::findRoute(document, request.path);
    if (route == nullptr) {
        return base::failure(Unresolved{admission::Refusal::UnknownRoute, "no route leads there"});
    }
    Resolved resolved;
    resolved.target.service = route->upstream;
    resolved.open = route->open;
    resolved.idempotent = route->idempotent || isRepeatable(request.method);
    resolved.retention = route->retention;
    resolved.cost = route->tokens;
    return resolved;
}

} // namespace bamboomoor::entry
