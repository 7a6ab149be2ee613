/**
 * A handler of peer calls that answers each with an empty reply, and free addresses for its server.
 */
#pragma once

#include "bamboomoor/peer/server.hpp"

#include <string>

namespace control_test
{

using namespace bamboomoor;

/** @brief Answers every call with an empty reply; tests override what they need. */
class EmptyHandler : public peer::Handler
{
public:
    void deliver(const peer::wire::Envelope & /*envelope*/) override
    {
    }
    void propose(const peer::wire::ProposeRequest & /*request*/, peer::Answer<peer::wire::ProposeReply> answer) override
    {
        answer({});
    }
    void freshen(const peer::wire::FreshenRequest & /*request*/, peer::Answer<peer::wire::FreshenReply> answer) override
    {
        answer({});
    }
    void fetchPiece(const peer::wire::PieceRequest & /*request*/, peer::Answer<peer::wire::PieceReply> answer) override
    {
        answer({});
    }
    void witness(const peer::wire::WitnessRequest & /*request*/, peer::Answer<peer::wire::WitnessReply> answer) override
    {
        answer({});
    }
    void ask(const peer::wire::BudgetAsk & /*request*/, peer::Answer<peer::wire::BudgetReply> answer) override
    {
        answer({});
    }
    void syncUpstreams(
        const peer::wire::UpstreamSync & /*request*/, peer::Answer<peer::wire::UpstreamSync> answer) override
    {
        answer({});
    }
    void history(const peer::wire::HistoryRequest & /*request*/, peer::Answer<peer::wire::HistoryReply> answer) override
    {
        answer({});
    }
    void reportDemand(
        const peer::wire::DemandReport & /*request*/, peer::Answer<peer::wire::DemandReply> answer) override
    {
        answer({});
    }
    void join(const peer::wire::JoinRequest & /*request*/, peer::Answer<peer::wire::JoinReply> answer) override
    {
        answer({});
    }
    void resolveOrigin(
        const peer::wire::OriginRequest & /*request*/, peer::Answer<peer::wire::OriginReply> answer) override
    {
        answer({});
    }
};

/** @brief Returns "127.0.0.1:PORT" with a port that is free now. */
[[nodiscard]] std::string freeAddress();

} // namespace control_test
