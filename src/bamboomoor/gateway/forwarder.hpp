/**
 * The server side of forwarding between entries: passes a request of another entry to the upstream that it names, and
 * the response back as it arrives. It neither retries nor forwards to a third entry.
 */
#pragma once

#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/gateway/forwarding.hpp"
#include "bamboomoor/gateway/peertokens.hpp"
#include "bamboomoor/gateway/relaymetrics.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/server.hpp"

#include <functional>
#include <memory>
#include <string>

namespace bamboomoor::gateway
{

/** @brief Dependencies of a forwarder; all must outlive it and its requests. */
struct ForwarderContext {
    http::Client &client;
    const PeerTokens &tokens;
    // Tells whether an upstream is known at an address.
    std::function<bool(const std::string &upstream, const std::string &address)> knows;
    // Returns why no request is forwarded at present, or an empty string.
    std::function<std::string_view()> unavailable;
    RelayMetrics &metrics;
    base::EventLog &log;
};

/** @brief Handles the requests of other entries. */
class Forwarder final : public http::Handler
{
public:
    /** @brief Creates the handler. @param context Dependencies. */
    explicit Forwarder(ForwarderContext context);

    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override;

private:
    class ResponseListener;

    void refuse(http::Responder &responder, const ForwardRequest *forward, std::string_view reason,
        const std::string &remoteAddress);

    ForwarderContext m_context;
};

} // namespace bamboomoor::gateway
