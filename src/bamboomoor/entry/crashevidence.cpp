/**
 * Digests of requests, and the failures that a crash causes.
 */
#include "bamboomoor/entry/crashevidence.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/quarantine/partlimits.hpp"

#include <nlohmann/json.hpp>

namespace bamboomoor::entry
{

namespace
{

std::string digestOf(const nlohmann::json &part)
{
    const std::string text = part.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return base::sha256(text).substr(0, quarantine::FINGERPRINT_LENGTH);
}

} // namespace

quarantine::RequestTraits traitsOf(
    const http::Request &request, const Resolved &resolved, std::string_view organisation)
{
    quarantine::RequestTraits traits;
    if (resolved.generation) {
        const nlohmann::json &body = resolved.generation->body;
        const auto messages = body.find("messages");
        if (messages != body.end()) {
            for (const nlohmann::json &it : *messages) {
                traits.parts.push_back(digestOf(it));
            }
        } else {
            traits.parts.push_back(digestOf(body.at("prompt")));
        }
    }
    traits.fingerprint = base::sha256({request.method, request.path, request.query, organisation, request.body})
                             .substr(0, quarantine::FINGERPRINT_LENGTH);
    return traits;
}

bool mayBeCrash(routing::FailureKind failure, std::size_t events) noexcept
{
    using routing::FailureKind;
    const bool lost = failure == FailureKind::ResetBeforeResponse || failure == FailureKind::ResetDuringResponse
        || failure == FailureKind::Truncated;
    return lost && events < quarantine::SURVIVED_EVENTS;
}

} // namespace bamboomoor::entry
