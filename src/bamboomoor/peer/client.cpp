/**
 * Calls to one other daemon, on gRPC's callback interface.
 */
#include "bamboomoor/peer/client.hpp"
#include "bamboomoor/peer/channel.hpp"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <set>
#include <utility>

namespace bamboomoor::peer
{

namespace
{

constexpr base::Millis DELIVER_TIMEOUT{1'000};
// Bytes of consensus messages in flight to one peer from which on further ones are dropped; messages up to the second
// size, such as heartbeats, always pass.
constexpr std::size_t MAX_DELIVERY_BYTES = 4'194'304;
constexpr std::size_t MIN_DROPPED_BYTES = 4'096;
constexpr int RECONNECT_MIN_MS = 50;
constexpr int RECONNECT_MAX_MS = 500;

grpc::ChannelArguments arguments()
{
    grpc::ChannelArguments args;
    args.SetMaxReceiveMessageSize(MAX_MESSAGE_BYTES);
    args.SetMaxSendMessageSize(MAX_MESSAGE_BYTES);
    args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, RECONNECT_MIN_MS);
    args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, RECONNECT_MIN_MS);
    args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, RECONNECT_MAX_MS);
    args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // A channel with the same arguments would share its connection, the silent one included.
    args.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return args;
}

} // namespace

class Client::Link
{
public:
    explicit Link(const std::string &address)
        : stub(wire::Peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments())))
    {
    }

    /** @brief Notes that the peer answered a call. @param now The time. */
    void noteAnswer(base::Millis now)
    {
        m_answeredAt = now.count;
    }

    /** @brief Notes that a call timed out. @param sentAt When it was sent. */
    void noteTimeout(base::Millis sentAt)
    {
        if (m_answeredAt <= sentAt.count) {
            m_silent = true;
        }
    }

    [[nodiscard]] bool isSilent() const
    {
        return m_silent;
    }

    std::unique_ptr<wire::Peer::Stub> stub;

private:
    // When the latest answer to any call arrived.
    std::atomic<std::int64_t> m_answeredAt{INT64_MIN};
    // Set when a call timed out and no other was answered since it was sent; the next call takes a new link.
    std::atomic<bool> m_silent{false};
};

/** @brief Contexts of the calls in progress, so that they can be cancelled. */
class Client::Calls
{
public:
    [[nodiscard]] bool add(grpc::ClientContext *context)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopped) {
            return false;
        }
        m_contexts.insert(context);
        return true;
    }

    void remove(grpc::ClientContext *context)
    {
        const absl::MutexLock lock(&m_mutex);
        m_contexts.erase(context);
    }

    void stop()
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopped = true;
        for (grpc::ClientContext *it : m_contexts) {
            it->TryCancel();
        }
        m_mutex.Await(absl::Condition(&m_contexts, &Contexts::empty));
    }

private:
    using Contexts = std::set<grpc::ClientContext *>;

    absl::Mutex m_mutex;
    Contexts m_contexts ABSL_GUARDED_BY(m_mutex);
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

namespace
{

/** @brief What one call needs until its reply. */
template<class Request, class Reply>
struct Pending {
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

template<class Request, class Reply, class Start>
void start(Client::Calls &calls, const std::shared_ptr<Client::Link> &link, Request request, base::Millis timeout,
    OnReply<Reply> onReply, Start begin)
{
    auto pending = std::make_shared<Pending<Request, Reply>>();
    pending->request = std::move(request);
    const base::SteadyClock clock;
    const base::Millis sentAt = clock.now();
    pending->context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeout.count));
    auto *raw = pending.get();
    if (!calls.add(&raw->context)) {
        onReply(std::nullopt);
        return;
    }
    begin(link->stub->async(), &raw->context, &raw->request, &raw->reply,
        [&calls, link, clock, sentAt, pending = std::move(pending), onReply = std::move(onReply)](
            const grpc::Status &status) {
            if (status.ok()) {
                link->noteAnswer(clock.now());
            } else if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
                link->noteTimeout(sentAt);
            }
            onReply(status.ok() ? std::optional<Reply>(std::move(pending->reply)) : std::nullopt);
            calls.remove(&pending->context);
        });
}

} // namespace

Client::Client(std::string address)
    : m_address(std::move(address))
    , m_calls(std::make_unique<Calls>())
{
}

Client::~Client()
{
    stop();
}

void Client::stop()
{
    m_calls->stop();
}

std::shared_ptr<Client::Link> Client::link()
{
    const absl::MutexLock lock(&m_mutex);
    if (!m_link || m_link->isSilent()) {
        m_link = std::make_shared<Link>(m_address);
    }
    return m_link;
}

void Client::deliver(wire::Envelope envelope)
{
    const std::size_t size = envelope.ByteSizeLong();
    const std::size_t before = m_deliveryBytes.fetch_add(size);
    if (size > MIN_DROPPED_BYTES && before >= MAX_DELIVERY_BYTES) {
        m_deliveryBytes -= size;
        return;
    }
    start<wire::Envelope, wire::Delivered>(
        *m_calls, link(), std::move(envelope), DELIVER_TIMEOUT,
        [this, size](const std::optional<wire::Delivered> &) {
            m_deliveryBytes -= size;
        },
        [](auto *stub, auto... args) {
            stub->Deliver(args...);
        });
}

void Client::call(const wire::ProposeRequest &request, base::Millis timeout, OnReply<wire::ProposeReply> onReply)
{
    start<wire::ProposeRequest, wire::ProposeReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->Propose(args...);
        });
}

void Client::call(const wire::FreshenRequest &request, base::Millis timeout, OnReply<wire::FreshenReply> onReply)
{
    start<wire::FreshenRequest, wire::FreshenReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->Freshen(args...);
        });
}

void Client::call(const wire::PieceRequest &request, base::Millis timeout, OnReply<wire::PieceReply> onReply)
{
    start<wire::PieceRequest, wire::PieceReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->FetchPiece(args...);
        });
}

void Client::call(const wire::WitnessRequest &request, base::Millis timeout, OnReply<wire::WitnessReply> onReply)
{
    start<wire::WitnessRequest, wire::WitnessReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->Witness(args...);
        });
}

void Client::call(const wire::BudgetAsk &request, base::Millis timeout, OnReply<wire::BudgetReply> onReply)
{
    start<wire::BudgetAsk, wire::BudgetReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->Ask(args...);
        });
}

void Client::call(const wire::UpstreamSync &request, base::Millis timeout, OnReply<wire::UpstreamSync> onReply)
{
    start<wire::UpstreamSync, wire::UpstreamSync>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->SyncUpstreams(args...);
        });
}

void Client::call(const wire::HistoryRequest &request, base::Millis timeout, OnReply<wire::HistoryReply> onReply)
{
    start<wire::HistoryRequest, wire::HistoryReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->History(args...);
        });
}

void Client::call(const wire::DemandReport &request, base::Millis timeout, OnReply<wire::DemandReply> onReply)
{
    start<wire::DemandReport, wire::DemandReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->ReportDemand(args...);
        });
}

void Client::call(const wire::JoinRequest &request, base::Millis timeout, OnReply<wire::JoinReply> onReply)
{
    start<wire::JoinRequest, wire::JoinReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->Join(args...);
        });
}

void Client::call(const wire::OriginRequest &request, base::Millis timeout, OnReply<wire::OriginReply> onReply)
{
    start<wire::OriginRequest, wire::OriginReply>(
        *m_calls, link(), request, timeout, std::move(onReply), [](auto *stub, auto... args) {
            stub->ResolveOrigin(args...);
        });
}

} // namespace bamboomoor::peer
