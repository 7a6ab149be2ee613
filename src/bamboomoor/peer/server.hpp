/**
 * The gRPC server by which a daemon answers other daemons.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"

#include "peer.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace bamboomoor::peer
{

/** @brief Takes one reply, from any thread, exactly once. */
template<class Reply>
using Answer = std::function<void(Reply)>;

/** @brief What a daemon does with the calls of its peers; each is called on a gRPC thread and returns at once. */
class Handler
{
public:
    virtual ~Handler() = default;

    /** @brief Takes a consensus message. @param envelope The message. */
    virtual void deliver(const wire::Envelope &envelope) = 0;
    /** @brief Proposes a command. @param request The command. @param answer Takes the verdict. */
    virtual void propose(const wire::ProposeRequest &request, Answer<wire::ProposeReply> answer) = 0;
    /** @brief Confirms a configuration. @param request The question. @param answer Takes the reply. */
    virtual void freshen(const wire::FreshenRequest &request, Answer<wire::FreshenReply> answer) = 0;
    /** @brief Sends a piece of a document. @param request The piece. @param answer Takes the reply. */
    virtual void fetchPiece(const wire::PieceRequest &request, Answer<wire::PieceReply> answer) = 0;
    /** @brief Tells what the log may hold. @param request The question. @param answer Takes the reply. */
    virtual void witness(const wire::WitnessRequest &request, Answer<wire::WitnessReply> answer) = 0;
    /** @brief Serves a holder of grants. @param request The ask. @param answer Takes the reply. */
    virtual void ask(const wire::BudgetAsk &request, Answer<wire::BudgetReply> answer) = 0;
    /** @brief Exchanges upstreams. @param request What the peer knows. @param answer Takes the reply. */
    virtual void syncUpstreams(const wire::UpstreamSync &request, Answer<wire::UpstreamSync> answer) = 0;
    /** @brief Reads the history. @param request The versions wanted. @param answer Takes the reply. */
    virtual void history(const wire::HistoryRequest &request, Answer<wire::HistoryReply> answer) = 0;
    /** @brief Takes a report of demand. @param request The report. @param answer Takes the reply. */
    virtual void reportDemand(const wire::DemandReport &request, Answer<wire::DemandReply> answer) = 0;
    /** @brief Takes a disk that wants into the control group. @param request The disk. @param answer Takes the reply.
     */
    virtual void join(const wire::JoinRequest &request, Answer<wire::JoinReply> answer) = 0;
    /** @brief Tells which software version began a stream. @param request The stream. @param answer Takes the reply. */
    virtual void resolveOrigin(const wire::OriginRequest &request, Answer<wire::OriginReply> answer) = 0;
};

/** @brief Why a server could not start. */
enum class ServerError { AddressRefused };

/** @brief A listening gRPC server. */
class Server
{
public:
    /**
     * @brief Makes a server that is not listening.
     * @param handler Takes the calls; outlives the server.
     */
    explicit Server(Handler &handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /**
     * @brief Listens.
     * @param address "IP:PORT" of this daemon.
     * @return Nothing, or AddressRefused when the address cannot be bound.
     */
    [[nodiscard]] base::Result<void, ServerError> start(const std::string &address);

    /** @brief Stops listening and ends the calls in progress. */
    void stop();

private:
    class Service;
    std::unique_ptr<Service> m_service;
    std::unique_ptr<class RunningServer> m_server;
};

} // namespace bamboomoor::peer
