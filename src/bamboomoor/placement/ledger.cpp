/**
 * Settles orders according to what reports prove.
 */
#include "bamboomoor/placement/ledger.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace bamboomoor::placement
{

namespace
{
void setState(OrderRecord &record, base::Millis now, OrderState state)
{
    record.state = state;
    record.since = now;
}

void close(OrderRecord &record, base::Millis now, IntentOutcome end)
{
    setState(record, now, OrderState::Closing);
    record.outcome = end;
}

void dropEmptySlots(AcceleratorLedger &accelerator)
{
    std::erase_if(accelerator.slots, [](const auto &it) {
        return !it.second.reported && it.second.orders.empty();
    });
}
} // namespace

std::uint64_t Slot::memoryMib() const noexcept
{
    std::uint64_t memory = reported ? reportedMib : 0;
    for (const OrderRecord &it : orders) {
        if (it.order.kind == OrderKind::Load && it.state != OrderState::Closing) {
            memory = std::max(memory, it.order.memoryMib);
        }
    }
    return memory;
}

bool Slot::isOpen(OrderKind kind) const noexcept
{
    return std::any_of(orders.begin(), orders.end(), [kind](const OrderRecord &it) {
        const bool open = it.state == OrderState::Proposed || it.state == OrderState::InFlight;
        return open && it.order.kind == kind && !isHold(it.order.id);
    });
}

bool Slot::isHeld() const noexcept
{
    return std::any_of(orders.begin(), orders.end(), [](const OrderRecord &it) {
        return isHold(it.order.id) && it.state != OrderState::Closing;
    });
}

std::uint64_t AcceleratorLedger::usedMib() const noexcept
{
    std::uint64_t used = 0;
    for (const auto &[ref, slot] : slots) {
        used += slot.memoryMib();
    }
    return used;
}

std::uint64_t AcceleratorLedger::freeMib() const noexcept
{
    const std::uint64_t used = usedMib();
    return used < capacityMib ? capacityMib - used : 0;
}

AcceleratorLedger &UpstreamLedger::accelerator(std::string_view name)
{
    const auto it = std::find_if(accelerators.begin(), accelerators.end(), [name](const AcceleratorLedger &found) {
        return found.id == name;
    });
    if (it != accelerators.end()) {
        return *it;
    }
    accelerators.push_back({std::string(name), 0, {}});
    return accelerators.back();
}

bool UpstreamLedger::isUsable() const noexcept
{
    return live && !leaving && incarnation >= orderedIncarnation;
}

void Ledger::reset(base::Millis now, std::span<const Order> intents)
{
    m_places.clear();
    for (auto &[id, upstream] : m_upstreams) {
        upstream.orderedIncarnation = 0;
        for (AcceleratorLedger &accelerator : upstream.accelerators) {
            for (auto &[ref, slot] : accelerator.slots) {
                slot.orders.clear();
            }
            dropEmptySlots(accelerator);
        }
    }
    for (const Order &it : intents) {
        insert({it, isHold(it.id) ? OrderState::Held : OrderState::InFlight, now});
    }
    for (const Order &it : intents) {
        if (isHold(it.id)) {
            replaceLoad(now, it.id);
        }
    }
    for (auto &[id, upstream] : m_upstreams) {
        voidOlder(now, upstream);
    }
}

void Ledger::report(base::Millis now, const membership::Announcement &report)
{
    UpstreamLedger &upstream = m_upstreams[report.id];
    upstream.id = report.id;
    const bool known = upstream.incarnation != 0 || upstream.sequence != 0;
    if (known
        && (report.incarnation < upstream.incarnation
            || (report.incarnation == upstream.incarnation && report.sequence < upstream.sequence))) {
        return;
    }
    upstream.live = true;
    upstream.leaving = report.leaving || (report.incarnation == upstream.incarnation && upstream.leaving);
    if (known && report.incarnation == upstream.incarnation && report.sequence == upstream.sequence) {
        return;
    }
    upstream.incarnation = report.incarnation;
    upstream.sequence = report.sequence;
    upstream.dataCentre = report.dataCentre;
    upstream.checksFencing = report.checksFencing;
    voidOlder(now, upstream);
    listResidents(now, upstream, report);
    confirm(now, report);
    std::uint64_t freshness = 0;
    for (const membership::OrderOutcome &it : report.lastOrders) {
        freshness = std::max(freshness, fencingOf(it.orderId));
    }
    settleByFreshness(now, upstream, freshness);
}

void Ledger::expire(std::string_view upstream)
{
    const auto it = m_upstreams.find(upstream);
    if (it != m_upstreams.end()) {
        it->second.live = false;
    }
}

void Ledger::propose(base::Millis now, const Order &order)
{
    insert({order, OrderState::Proposed, now});
}

OrderRecord *Ledger::commit(base::Millis now, std::string_view id)
{
    OrderRecord *record = find(id);
    if (record != nullptr && record->state == OrderState::Proposed) {
        setState(*record, now, isHold(id) ? OrderState::Held : OrderState::InFlight);
        if (isHold(id)) {
            replaceLoad(now, id);
        }
        return record;
    }
    return nullptr;
}

Order Ledger::cover(base::Millis now, std::string_view load, std::uint64_t fencing)
{
    OrderRecord *record = find(load);
    assert(record != nullptr && record->state == OrderState::Consumed);
    setState(*record, now, OrderState::Covered);
    Order hold = record->order;
    hold.id = holdIdOf(fencing, hold.fencing);
    hold.fencing = fencing;
    propose(now, hold);
    return hold;
}

void Ledger::drop(std::string_view id)
{
    const auto it = m_places.find(id);
    if (it == m_places.end()) {
        return;
    }
    OrderRecord *load = isHold(id) ? find(loadOfHold(id)) : nullptr;
    if (load != nullptr && load->state == OrderState::Covered) {
        load->state = OrderState::Consumed;
    }
    AcceleratorLedger &accelerator = m_upstreams[it->second.upstream].accelerator(it->second.accelerator);
    const auto found = accelerator.slots.find(it->second.ref);
    if (found != accelerator.slots.end()) {
        Slot &slot = found->second;
        std::erase_if(slot.orders, [id](const OrderRecord &record) {
            return record.order.id == id;
        });
        if (slot.orders.empty() && !slot.reported) {
            accelerator.slots.erase(found);
        }
    }
    m_places.erase(it);
}

void Ledger::consume(base::Millis now, std::string_view id)
{
    OrderRecord *record = find(id);
    if (record != nullptr && record->state == OrderState::InFlight) {
        setState(*record, now, OrderState::Consumed);
    }
}

void Ledger::settle(base::Millis now, std::string_view id, IntentOutcome end)
{
    OrderRecord *record = find(id);
    if (record != nullptr && record->state == OrderState::InFlight) {
        close(*record, now, end);
    }
}

std::map<std::string, UpstreamLedger, std::less<>> &Ledger::upstreams() noexcept
{
    return m_upstreams;
}

const std::map<std::string, UpstreamLedger, std::less<>> &Ledger::upstreams() const noexcept
{
    return m_upstreams;
}

OrderRecord *Ledger::find(std::string_view id)
{
    const auto it = m_places.find(id);
    if (it == m_places.end()) {
        return nullptr;
    }
    Slot &slot = m_upstreams[it->second.upstream].accelerator(it->second.accelerator).slots[it->second.ref];
    const auto found = std::find_if(slot.orders.begin(), slot.orders.end(), [id](const OrderRecord &record) {
        return record.order.id == id;
    });
    return found == slot.orders.end() ? nullptr : &*found;
}

void Ledger::insert(const OrderRecord &record)
{
    const Order &order = record.order;
    UpstreamLedger &upstream = m_upstreams[order.upstream];
    upstream.id = order.upstream;
    upstream.orderedIncarnation = std::max(upstream.orderedIncarnation, order.incarnation);
    upstream.accelerator(order.accelerator).slots[order.ref].orders.push_back(record);
    m_places[order.id] = {order.upstream, order.accelerator, order.ref};
}

void Ledger::replaceLoad(base::Millis now, std::string_view hold)
{
    OrderRecord *load = find(loadOfHold(hold));
    if (load != nullptr && load->state != OrderState::Closing) {
        close(*load, now, IntentOutcome::Done);
    }
}

void Ledger::voidOlder(base::Millis now, UpstreamLedger &upstream)
{
    for (AcceleratorLedger &accelerator : upstream.accelerators) {
        for (auto &[ref, slot] : accelerator.slots) {
            for (OrderRecord &it : slot.orders) {
                const bool committed = it.state != OrderState::Proposed && it.state != OrderState::Closing;
                if (committed && it.order.incarnation < upstream.incarnation) {
                    close(it, now, IntentOutcome::Void);
                }
            }
        }
    }
}

void Ledger::listResidents(base::Millis now, UpstreamLedger &upstream, const membership::Announcement &report)
{
    std::set<std::pair<std::string, ModelRef>> listedBefore;
    for (AcceleratorLedger &accelerator : upstream.accelerators) {
        accelerator.capacityMib = 0;
        for (auto &[ref, slot] : accelerator.slots) {
            if (slot.reported) {
                listedBefore.insert({accelerator.id, ref});
            }
            slot.reported = false;
        }
    }
    for (const membership::Accelerator &listed : report.accelerators) {
        AcceleratorLedger &accelerator = upstream.accelerator(listed.id);
        accelerator.capacityMib = listed.memoryMib;
        for (const membership::Resident &it : listed.resident) {
            Slot &slot = accelerator.slots[{it.model, it.adapter, it.version}];
            slot.reportedSince =
                listedBefore.count({listed.id, {it.model, it.adapter, it.version}}) != 0 ? slot.reportedSince : now;
            slot.reported = true;
            slot.reportedMib = it.memoryMib;
        }
    }
    for (AcceleratorLedger &accelerator : upstream.accelerators) {
        dropEmptySlots(accelerator);
    }
}

void Ledger::confirm(base::Millis now, const membership::Announcement &report)
{
    for (const membership::OrderOutcome &it : report.lastOrders) {
        if (it.outcome == membership::OrderResult::Done) {
            consume(now, it.orderId);
        } else {
            settle(now, it.orderId, IntentOutcome::Failed);
        }
    }
}

void Ledger::settleByFreshness(base::Millis now, UpstreamLedger &upstream, std::uint64_t freshness)
{
    for (AcceleratorLedger &accelerator : upstream.accelerators) {
        for (auto &[ref, slot] : accelerator.slots) {
            settleSlot(now, upstream, slot, freshness);
        }
    }
}

void Ledger::settleSlot(base::Millis now, const UpstreamLedger &upstream, Slot &slot, std::uint64_t freshness)
{
    for (OrderRecord &it : slot.orders) {
        const bool older = it.order.fencing < freshness;
        const bool load = it.order.kind == OrderKind::Load;
        if (it.state == OrderState::Held && older && !slot.reported) {
            close(it, now, IntentOutcome::Done);
        } else if (it.state == OrderState::InFlight && older && upstream.checksFencing) {
            // Fencing rules out a later execution; the report shows whether the order was executed.
            if (load == slot.reported) {
                setState(it, now, OrderState::Consumed);
            } else {
                close(it, now, IntentOutcome::Void);
            }
        }
        // A consumed unload is complete once a report that is at least as new has arrived.
        if (it.state == OrderState::Consumed && !load && it.order.fencing <= freshness) {
            close(it, now, IntentOutcome::Done);
        }
    }
}

} // namespace bamboomoor::placement
