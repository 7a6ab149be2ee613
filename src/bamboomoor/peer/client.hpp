/**
 * Calls to one other daemon; a peer that stays silent is called again over a new connection.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include "peer.pb.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bamboomoor::peer
{

/**
 * @brief Takes a reply, or nothing when the peer gave none before the timeout; called once, on a gRPC thread.
 * @tparam Reply The reply's message type.
 */
template<class Reply>
using OnReply = std::function<void(std::optional<Reply>)>;

/** @brief A peer, called without blocking. */
class Client
{
public:
    /**
     * @brief Makes a client; it connects at its first call.
     * @param address "IP:PORT" of the peer.
     */
    explicit Client(std::string address);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /**
     * @brief Sends a consensus message; nothing tells whether it arrived. A large message is dropped while the peer is
     * slow to take earlier ones.
     * @param envelope The message.
     */
    void deliver(wire::Envelope envelope);

    /**
     * @brief Calls the peer.
     * @param request The request; its type chooses the call.
     * @param timeout The longest wait for the reply, in milliseconds.
     * @param onReply Takes the reply or nothing.
     */
    void call(const wire::ProposeRequest &request, base::Millis timeout, OnReply<wire::ProposeReply> onReply);
    /** @copydoc call */
    void call(const wire::FreshenRequest &request, base::Millis timeout, OnReply<wire::FreshenReply> onReply);
    /** @copydoc call */
    void call(const wire::PieceRequest &request, base::Millis timeout, OnReply<wire::PieceReply> onReply);
    /** @copydoc call */
    void call(const wire::WitnessRequest &request, base::Millis timeout, OnReply<wire::WitnessReply> onReply);
    /** @copydoc call */
    void call(const wire::BudgetAsk &request, base::Millis timeout, OnReply<wire::BudgetReply> onReply);
    /** @copydoc call */
    void call(const wire::UpstreamSync &request, base::Millis timeout, OnReply<wire::UpstreamSync> onReply);
    /** @copydoc call */
    void call(const wire::HistoryRequest &request, base::Millis timeout, OnReply<wire::HistoryReply> onReply);
    /** @copydoc call */
    void call(const wire::DemandReport &request, base::Millis timeout, OnReply<wire::DemandReply> onReply);
    /** @copydoc call */
    void call(const wire::JoinRequest &request, base::Millis timeout, OnReply<wire::JoinReply> onReply);
    /** @copydoc call */
    void call(const wire::OriginRequest &request, base::Millis timeout, OnReply<wire::OriginReply> onReply);

    /** @brief Cancels all calls and waits until their replies are taken; later calls get no reply at once. */
    void stop();

    /**
     * @brief Names the peer.
     * @return "IP:PORT".
     */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return m_address;
    }

    /** @brief The state of one connection. */
    class Link;
    /** @brief The calls in progress. */
    class Calls;

private:
    [[nodiscard]] std::shared_ptr<Link> link();

    const std::string m_address;
    const std::unique_ptr<Calls> m_calls;
    // Bytes of consensus messages that the peer has not taken yet.
    std::atomic<std::size_t> m_deliveryBytes{0};
    absl::Mutex m_mutex;
    // Null until the first call, and after a call that timed out.
    std::shared_ptr<Link> m_link ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::peer
