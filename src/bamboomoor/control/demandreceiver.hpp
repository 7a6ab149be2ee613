/**
 * Declares the interface that receives the demand reports of the entries.
 */
#pragma once

#include "bamboomoor/peer/server.hpp"

#include <set>
#include <string>

namespace bamboomoor::control
{

/** @brief Receives demand reports; thread-safe. */
class DemandReceiver
{
public:
    virtual ~DemandReceiver() = default;

    /**
     * @brief Handles an entry's report of its demand and of the drains that it has completed.
     * @param request The report.
     * @param answer Called with the replicas to drain; `served` is unset in the reply if this voter is not the leader.
     */
    virtual void report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer) = 0;

    /**
     * @brief Handles a question about the origin of a stream.
     * @param request The question.
     * @param versions The software versions of the service, read by this leader after the question had arrived.
     * @param answer Called with the origin; `served` is unset in the reply if this voter is not the leader.
     */
    virtual void resolveOrigin(const peer::wire::OriginRequest &request, const std::set<std::string> &versions,
        peer::Answer<peer::wire::OriginReply> answer)
    {
        static_cast<void>(request);
        static_cast<void>(versions);
        answer({});
    }
};

} // namespace bamboomoor::control
