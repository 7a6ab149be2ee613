/**
 * Processes the inputs of the planner and keeps its intents consistent with the log.
 */
#include "bamboomoor/placement/planner.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace bamboomoor::placement
{

Planner::Planner(std::unique_ptr<TargetPolicy> policy, PlannerOptions options)
    : m_policy(std::move(policy))
    , m_options(options)
{
    assert(m_policy != nullptr);
}

std::vector<Output> Planner::step(base::Millis now, const Input &input)
{
    m_now = now;
    std::visit(
        [this](const auto &it) {
            take(it);
        },
        input);
    return std::exchange(m_outputs, {});
}

bool Planner::isLeading() const noexcept
{
    return m_leading;
}

const Ledger &Planner::ledger() const noexcept
{
    return m_ledger;
}

void Planner::take(const Tick & /*input*/)
{
    if (!m_leading) {
        return;
    }
    refillLoads();
    proposeHoldsAndCloses();
    if (m_now - m_leadingSince < m_options.settle) {
        return;
    }
    expireClaims();
    internal::Survey counts = survey();
    setTargets(counts);
    noteReachability(counts);
    advanceDrains(counts);
    retireUnlisted(counts);
    probeMissingHolds();
    load(counts);
}

void Planner::take(const Report &input)
{
    m_ledger.report(m_now, input.announcement);
}

void Planner::take(const UpstreamExpired &input)
{
    m_ledger.expire(input.upstream);
}

void Planner::take(const Demand &input)
{
    const auto span = static_cast<double>((m_now - m_demandAt).count);
    const double factor = std::exp2(-span / static_cast<double>(m_options.demandHalfLife.count));
    for (auto &[ref, demand] : m_demand) {
        demand.arrivals = 0;
        demand.decayed *= factor;
    }
    for (const DemandSample &it : input.samples) {
        constexpr double QUEUE_SECONDS = 10;
        DecayedDemand &demand = m_demand[it.ref];
        demand.arrivals = it.arrivalsPerSecond;
        // Queued requests should be served within this many seconds.
        const double wanted = it.arrivalsPerSecond + static_cast<double>(it.queued) / QUEUE_SECONDS;
        demand.decayed = std::max(demand.decayed, wanted);
    }
    std::erase_if(m_demand, [](const auto &it) {
        static constexpr double NEGLIGIBLE = 1e-6;
        return it.second.decayed < NEGLIGIBLE;
    });
    m_demandAt = m_now;
}

void Planner::take(const Catalogue &input)
{
    m_catalogue = input.entries;
    std::stable_sort(m_catalogue.begin(), m_catalogue.end(), [](const CatalogueEntry &lhs, const CatalogueEntry &rhs) {
        return lhs.ref < rhs.ref;
    });
    const auto last =
        std::unique(m_catalogue.begin(), m_catalogue.end(), [](const CatalogueEntry &lhs, const CatalogueEntry &rhs) {
            return lhs.ref == rhs.ref;
        });
    m_catalogue.erase(last, m_catalogue.end());
}

void Planner::take(const IntentCommitted &input)
{
    OrderRecord *record = m_ledger.commit(m_now, input.orderId);
    if (!m_leading || record == nullptr || isHold(input.orderId)) {
        return;
    }
    const Order order = record->order;
    const auto it = m_ledger.upstreams().find(order.upstream);
    const bool current = it->second.live && it->second.incarnation == order.incarnation;
    bool wanted = current && (order.kind == OrderKind::Unload || !it->second.leaving);
    if (wanted && order.kind == OrderKind::Unload) {
        internal::Survey counts = survey();
        wanted = isSafeToUnload(counts, order.ref);
    }
    if (wanted) {
        m_outputs.emplace_back(SendOrder{order});
    } else {
        // The order was not sent, and no other leader will send it.
        m_ledger.settle(m_now, order.id, IntentOutcome::Void);
    }
}

void Planner::take(const IntentRefused &input)
{
    const OrderRecord *record = m_ledger.find(input.orderId);
    if (record != nullptr && record->state == OrderState::Proposed) {
        m_ledger.drop(input.orderId);
    }
}

void Planner::take(const CloseCommitted &input)
{
    const OrderRecord *record = m_ledger.find(input.orderId);
    if (record != nullptr && record->state == OrderState::Closing) {
        m_ledger.drop(input.orderId);
    }
}

void Planner::take(const OrderReply &input)
{
    if (input.result == TransportResult::Done) {
        m_ledger.consume(m_now, input.orderId);
    } else if (input.result == TransportResult::Refused) {
        m_ledger.settle(m_now, input.orderId, IntentOutcome::Failed);
    }
}

void Planner::take(const DrainConfirmed &input)
{
    const auto it = m_drains.find({input.upstream, input.ref});
    if (it != m_drains.end()) {
        it->second.confirmed = true;
    }
}

void Planner::take(const BecomeLeader &input)
{
    m_leading = true;
    m_leadingSince = m_now;
    m_lastFencing = input.lastFencing;
    m_loadTokens = 0;
    m_loadTokensAt = m_now;
    m_drains.clear();
    m_claims.clear();
    m_unreachable.clear();
    for (const Order &it : input.openIntents) {
        m_lastFencing = std::max(m_lastFencing, it.fencing);
    }
    m_ledger.reset(m_now, input.openIntents);
    m_outputs.emplace_back(StatusLine{"placement: leading in term " + std::to_string(input.term) + " with "
        + std::to_string(input.openIntents.size()) + " open intents"});
}

void Planner::take(const StopLeading & /*input*/)
{
    m_leading = false;
}

internal::Timeouts Planner::timeouts() const noexcept
{
    return {m_options.loadTimeout, m_options.unloadTimeout};
}

internal::Scene Planner::scene() const noexcept
{
    return {m_now, m_ledger, m_drains, m_claims, timeouts(), m_options.minStay};
}

internal::Survey Planner::survey() const
{
    return {m_now, m_ledger, m_catalogue, m_drains, timeouts()};
}

void Planner::proposeHoldsAndCloses()
{
    std::vector<std::string> consumed;
    for (auto &[id, upstream] : m_ledger.upstreams()) {
        for (AcceleratorLedger &accelerator : upstream.accelerators) {
            for (auto &[ref, slot] : accelerator.slots) {
                for (OrderRecord &it : slot.orders) {
                    if (it.state == OrderState::Consumed && it.order.kind == OrderKind::Load) {
                        consumed.push_back(it.order.id);
                    }
                    if (it.state == OrderState::Closing
                        && (it.closeProposedAt.count == INT64_MIN || it.closeProposedAt + m_options.repeat <= m_now)) {
                        it.closeProposedAt = m_now;
                        m_outputs.emplace_back(ProposeClose{it.order.id, it.outcome});
                    }
                }
            }
        }
    }
    for (const std::string &it : consumed) {
        m_outputs.emplace_back(ProposeIntent{m_ledger.cover(m_now, it, ++m_lastFencing)});
    }
}

void Planner::propose(Order order)
{
    order.fencing = ++m_lastFencing;
    order.id = orderIdOf(order.fencing);
    m_ledger.propose(m_now, order);
    m_outputs.emplace_back(ProposeIntent{std::move(order)});
}

} // namespace bamboomoor::placement
