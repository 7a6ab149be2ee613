/**
 * Implements the server side of forwarding between entries.
 */
#include "bamboomoor/gateway/forwarder.hpp"

#include <optional>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr int NO_CONTENT = 204;
constexpr int NOT_MODIFIED = 304;
constexpr int BAD_GATEWAY = 502;

ForwardResult resultOf(const http::Ending &ending)
{
    if (!ending.bytesSent) {
        return ForwardResult::NotConnected;
    }
    return ending.kind == http::EndKind::ResetBeforeAnswer ? ForwardResult::Lost : ForwardResult::NoResponse;
}

std::string addressIn(const std::string &url)
{
    const std::size_t begin = url.find("//") + 2;
    return url.substr(begin, url.find('/', begin) - begin);
}

} // namespace

/** @brief Passes one response back; called on the HTTP client's thread. */
class Forwarder::ResponseListener final : public http::Listener
{
public:
    ResponseListener(RelayMetrics &metrics, std::shared_ptr<http::Responder> responder, bool isHead)
        : m_metrics(metrics)
        , m_responder(std::move(responder))
        , m_isHead(isHead)
    {
    }

    bool onHead(int status, http::Headers headers) override
    {
        const bool hasBody = !m_isHead && status != NO_CONTENT && status != NOT_MODIFIED;
        ForwardStatement statement{ForwardResult::Passed, true, {}};
        statement.delimited = !hasBody || http::findHeader(headers, "Content-Length") != nullptr
            || http::findHeader(headers, "Transfer-Encoding") != nullptr;
        addStatement(statement, headers);
        if (hasBody) {
            m_streams = true;
            m_responder->begin(status, std::move(headers));
        } else {
            m_whole = http::Response{status, std::move(headers), {}};
        }
        return true;
    }

    bool onData(std::string_view bytes) override
    {
        return m_responder->write(bytes);
    }

    void onEnd(http::Ending ending) override
    {
        const bool complete = ending.kind == http::EndKind::Complete;
        const bool answered = m_streams || m_whole;
        m_metrics.forwardedFor(
            answered ? (complete ? "passed" : "broken") : FORWARD_RESULT_NAMES.name(resultOf(ending)));
        if (m_streams && complete) {
            m_responder->end();
        } else if (m_streams || (m_whole && !complete)) {
            m_responder->abort();
        } else if (m_whole) {
            m_responder->respond(std::move(*m_whole));
        } else {
            http::Response response{BAD_GATEWAY, {}, {}};
            addStatement(
                {resultOf(ending), true, std::string(http::END_KIND_NAMES.name(ending.kind))}, response.headers);
            m_responder->respond(std::move(response));
        }
    }

private:
    RelayMetrics &m_metrics;
    const std::shared_ptr<http::Responder> m_responder;
    const bool m_isHead;
    // The response has been begun.
    bool m_streams = false;
    // A response without body.
    std::optional<http::Response> m_whole;
};

Forwarder::Forwarder(ForwarderContext context)
    : m_context(std::move(context))
{
}

void Forwarder::refuse(http::Responder &responder, const ForwardRequest *forward, std::string_view reason,
    const std::string &remoteAddress)
{
    m_context.metrics.forwardedFor(FORWARD_RESULT_NAMES.name(ForwardResult::Refused));
    m_context.log.write(base::LogLine("forward_refused")
                            .add("reason", reason)
                            .add("peer", remoteAddress)
                            .add("upstream", forward == nullptr ? std::string_view() : forward->upstream));
    http::Response response{BAD_GATEWAY, {}, {}};
    addStatement({ForwardResult::Refused, true, std::string(reason)}, response.headers);
    responder.respond(std::move(response));
}

void Forwarder::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    const std::string peer = request.remoteAddress;
    auto forward = readForward(std::move(request));
    if (!forward) {
        refuse(*responder, nullptr, "malformed", peer);
        return;
    }
    if (!m_context.tokens.accepts(forward->token)) {
        refuse(*responder, &*forward, "token", peer);
        return;
    }
    if (const std::string_view reason = m_context.unavailable(); !reason.empty()) {
        refuse(*responder, &*forward, reason, peer);
        return;
    }
    if (!m_context.knows(forward->upstream, addressIn(forward->call.url))) {
        refuse(*responder, &*forward, "unknown_upstream", peer);
        return;
    }
    const bool isHead = forward->call.method == "HEAD";
    http::Client &client = m_context.client;
    const http::CallId id = client.start(
        std::move(forward->call), std::make_shared<ResponseListener>(m_context.metrics, responder, isHead));
    responder->onGone([&client, id] {
        client.cancel(id);
    });
}

} // namespace bamboomoor::gateway
