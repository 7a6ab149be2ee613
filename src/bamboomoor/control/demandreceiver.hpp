/**
 * Declares the interface that receives the demand reports of the entries.
 */
#pragma once

#include "bamboomoor/peer/server.hpp"

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
};

} // namespace bamboomoor::control
