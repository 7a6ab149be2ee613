/**
 * Whoever takes the entries' reports of demand.
 */
#pragma once

#include "bamboomoor/peer/server.hpp"

namespace bamboomoor::control
{

/** @brief Takes reports of demand; its method may be called from any thread. */
class DemandTaker
{
public:
    virtual ~DemandTaker() = default;

    /**
     * @brief Takes an entry's report of demand and drains.
     * @param request The report.
     * @param answer Takes what is to drain; not served where this voter does not lead.
     */
    virtual void report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer) = 0;
};

} // namespace bamboomoor::control
