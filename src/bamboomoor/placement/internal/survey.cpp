/**
 * Counts replicas in the ledger.
 */
#include "bamboomoor/placement/internal/survey.hpp"

#include <algorithm>
#include <functional>

namespace bamboomoor::placement::internal
{

std::size_t ModelRefHash::operator()(const ModelRef &ref) const noexcept
{
    constexpr std::size_t MULTIPLIER = 31;
    const std::hash<std::string> hash;
    return (hash(ref.model) * MULTIPLIER + hash(ref.adapter)) * MULTIPLIER + hash(ref.version);
}

bool isFresh(base::Millis now, const OrderRecord &record, const Timeouts &timeouts) noexcept
{
    if (record.state == OrderState::Proposed) {
        return true;
    }
    const base::Millis timeout = record.order.kind == OrderKind::Load ? timeouts.load : timeouts.unload;
    return record.state == OrderState::InFlight && now - record.since < timeout;
}

bool isPending(base::Millis now, const Slot &slot, const Timeouts &timeouts) noexcept
{
    if (slot.reported) {
        return false;
    }
    return std::any_of(slot.orders.begin(), slot.orders.end(), [&](const OrderRecord &it) {
        if (it.order.kind != OrderKind::Load || it.state == OrderState::Closing) {
            return false;
        }
        // A confirmed load is expected in a report shortly.
        const bool confirmed = it.state != OrderState::Proposed && it.state != OrderState::InFlight;
        return confirmed ? now - it.since < timeouts.unload : isFresh(now, it, timeouts);
    });
}

Survey::Survey(base::Millis now, const Ledger &ledger, const std::vector<CatalogueEntry> &catalogue,
    const Drains &drains, const Timeouts &timeouts)
{
    m_replicas.reserve(catalogue.size());
    for (const CatalogueEntry &it : catalogue) {
        of(it.ref).entry = &it;
    }
    for (const auto &[id, upstream] : ledger.upstreams()) {
        if (upstream.isUsable()) {
            ++usableUpstreams;
            dataCentres.insert(upstream.dataCentre);
        }
        for (const AcceleratorLedger &accelerator : upstream.accelerators) {
            totalMib += upstream.isUsable() ? accelerator.capacityMib : 0;
            for (const auto &[ref, slot] : accelerator.slots) {
                countSlot(now, upstream, ref, slot, drains, timeouts);
            }
        }
    }
}

Replicas &Survey::of(const ModelRef &ref)
{
    const auto [it, added] = m_index.try_emplace(ref, m_replicas.size());
    if (added) {
        m_replicas.emplace_back();
    }
    return m_replicas[it->second];
}

void Survey::countSlot(base::Millis now, const UpstreamLedger &upstream, const ModelRef &ref, const Slot &slot,
    const Drains &drains, const Timeouts &timeouts)
{
    Replicas &replicas = of(ref);
    for (const OrderRecord &it : slot.orders) {
        if (it.order.kind == OrderKind::Load && !isHold(it.order.id) && isFresh(now, it, timeouts)) {
            ++(ref.adapter.empty() ? modelLoads : adapterLoads);
        }
    }
    if (!upstream.isUsable() || slot.isOpen(OrderKind::Unload) || drains.count({upstream.id, ref}) != 0) {
        return;
    }
    if (slot.reported) {
        ++replicas.live;
        ++replicas.dataCentres[upstream.dataCentre];
    } else if (isPending(now, slot, timeouts)) {
        ++replicas.pending;
        ++replicas.dataCentres[upstream.dataCentre];
    }
}

} // namespace bamboomoor::placement::internal
