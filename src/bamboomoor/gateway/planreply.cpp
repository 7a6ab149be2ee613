/**
 * Compilation of the common part of replies.
 */
#include "bamboomoor/gateway/planreply.hpp"

namespace bamboomoor::gateway
{

void PlanReply::addTo(base::Millis now, const placement::Residency &plan, peer::wire::DemandReply &reply)
{
    if (!m_compiledAt || now - *m_compiledAt >= m_maxAge) {
        compile(now, plan);
    }
    reply.MergeFrom(m_part);
}

void PlanReply::compile(base::Millis now, const placement::Residency &plan)
{
    m_part.Clear();
    for (const placement::RecentHolding &it : plan.recentHoldings(now)) {
        auto *placed = m_part.add_placements();
        placed->set_upstream(it.worker);
        placed->set_model(it.model);
        placed->set_adapter(it.adapter);
        placed->set_ready_in_ms(it.readyIn.count);
    }
    for (const auto &[worker, model] : plan.draining()) {
        auto *drain = m_part.add_draining();
        drain->set_upstream(worker);
        drain->set_model(model);
    }
    m_compiledAt = now;
}

} // namespace bamboomoor::gateway
