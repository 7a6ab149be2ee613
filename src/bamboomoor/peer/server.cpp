/**
 * The gRPC server by which a daemon answers other daemons, on gRPC's callback interface.
 */
#include "bamboomoor/peer/server.hpp"
#include "bamboomoor/peer/channel.hpp"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

namespace bamboomoor::peer
{

namespace
{

constexpr std::chrono::milliseconds STOP_DEADLINE{200};

} // namespace

/** @brief Turns gRPC's reactors into calls of the handler. */
class Server::Service final : public wire::Peer::CallbackService
{
public:
    explicit Service(Handler &handler)
        : m_handler(handler)
    {
    }

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context, const wire::Envelope *request,
        wire::Delivered * /*reply*/) override // NOLINT(readability-identifier-naming)
    {
        m_handler.deliver(*request);
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

#define BAMBOOMOOR_PEER_CALL(Name, method, Request, Reply)                                                             \
    grpc::ServerUnaryReactor *Name(grpc::CallbackServerContext *context, const wire::Request *request,                 \
        wire::Reply *reply) override /* NOLINT(readability-identifier-naming) */                                       \
    {                                                                                                                  \
        auto *reactor = context->DefaultReactor();                                                                     \
        m_handler.method(*request, [reactor, reply](wire::Reply given) {                                               \
            *reply = std::move(given);                                                                                 \
            reactor->Finish(grpc::Status::OK);                                                                         \
        });                                                                                                            \
        return reactor;                                                                                                \
    }

    BAMBOOMOOR_PEER_CALL(Propose, propose, ProposeRequest, ProposeReply)
    BAMBOOMOOR_PEER_CALL(Freshen, freshen, FreshenRequest, FreshenReply)
    BAMBOOMOOR_PEER_CALL(FetchPiece, fetchPiece, PieceRequest, PieceReply)
    BAMBOOMOOR_PEER_CALL(Witness, witness, WitnessRequest, WitnessReply)
    BAMBOOMOOR_PEER_CALL(Ask, ask, BudgetAsk, BudgetReply)
    BAMBOOMOOR_PEER_CALL(SyncUpstreams, syncUpstreams, UpstreamSync, UpstreamSync)
    BAMBOOMOOR_PEER_CALL(History, history, HistoryRequest, HistoryReply)
    BAMBOOMOOR_PEER_CALL(ReportDemand, reportDemand, DemandReport, DemandReply)
    BAMBOOMOOR_PEER_CALL(Join, join, JoinRequest, JoinReply)
    BAMBOOMOOR_PEER_CALL(ResolveOrigin, resolveOrigin, OriginRequest, OriginReply)

#undef BAMBOOMOOR_PEER_CALL

private:
    Handler &m_handler;
};

/** @brief Owns gRPC's server object. */
class RunningServer
{
public:
    std::unique_ptr<grpc::Server> server;
};

Server::Server(Handler &handler)
    : m_service(std::make_unique<Service>(handler))
    , m_server(std::make_unique<RunningServer>())
{
}

Server::~Server()
{
    stop();
}

base::Result<void, ServerError> Server::start(const std::string &address)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(SILENT_PEER_PING.count));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(SILENT_PEER_TIMEOUT.count));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.SetMaxReceiveMessageSize(MAX_MESSAGE_BYTES);
    builder.RegisterService(m_service.get());
    m_server->server = builder.BuildAndStart();
    if (!m_server->server || port == 0) {
        return base::failure(ServerError::AddressRefused);
    }
    return base::success();
}

void Server::stop()
{
    if (m_server->server) {
        m_server->server->Shutdown(std::chrono::system_clock::now() + STOP_DEADLINE);
        m_server->server.reset();
    }
}

} // namespace bamboomoor::peer
