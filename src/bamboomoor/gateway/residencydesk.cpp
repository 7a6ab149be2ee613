/**
 * The thread that decides what workers hold.
 */
#include "bamboomoor/gateway/residencydesk.hpp"

#include <utility>

namespace bamboomoor::gateway
{

void ResidencyDesk::report(const peer::wire::DemandReport & /*request*/, peer::Answer<peer::wire::DemandReply> answer)
{
    peer::wire::DemandReply reply;
    reply.set_served(m_leading);
    answer(std::move(reply));
}

void ResidencyDesk::onLeading(std::uint64_t /*term*/, const state::Machine & /*machine*/)
{
    m_leading = true;
}

void ResidencyDesk::onNotLeading()
{
    m_leading = false;
}

void ResidencyDesk::onConfiguration(const state::Machine & /*machine*/)
{
}

} // namespace bamboomoor::gateway
