/**
 * Simulation of the upstreams, log and network.
 */
#include "world.hpp"

#include "bamboomoor/base/overloaded.hpp"

namespace bamboomoor::placement::test
{

namespace
{
// Kept small so that confirmations are often lost.
constexpr std::size_t CONFIRMATIONS = 3;
constexpr std::uint64_t ADAPTER_MIB = 5;

PlannerOptions plannerOptions()
{
    PlannerOptions options;
    options.loadTimeout = {20'000};
    options.unloadTimeout = {5'000};
    options.minStay = {1'000};
    options.claim = {10'000};
    return options;
}

Planner makePlanner()
{
    return Planner(makeTargetPolicy(PolicyKind::DemandAware), plannerOptions());
}
} // namespace

Catalogue World::defaultCatalogue()
{
    Catalogue catalogue;
    const std::array<std::uint64_t, 9> sizes = {60, 55, 50, 50, 45, 40, 35, 30, 30};
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        const std::string name = "m" + std::to_string(n);
        catalogue.entries.push_back({{name, "", "1"}, sizes[n], 1, 2});
        if (n % 2 == 0) {
            catalogue.entries.push_back({{name, "a", "1"}, ADAPTER_MIB, 1, 2});
        }
    }
    return catalogue;
}

World::World()
    : m_planners{makePlanner(), makePlanner()}
{
    for (std::size_t n = 0; n < UPSTREAMS; ++n) {
        upstreams[n].id = "w" + std::to_string(n);
        upstreams[n].checksFencing = n % 2 == 0;
    }
    setCatalogue(defaultCatalogue());
    elect(0);
}

void World::setCatalogue(const Catalogue &catalogue)
{
    m_catalogue = catalogue;
    for (std::size_t n = 0; n < PLANNERS; ++n) {
        feed(n, catalogue);
    }
}

void World::apply(std::uint32_t code)
{
    const std::uint32_t choice = code / 64;
    const std::size_t planner = choice % PLANNERS;
    TrueUpstream &upstream = upstreams[choice / PLANNERS % UPSTREAMS];
    const std::uint32_t rest = choice / PLANNERS / UPSTREAMS;
    switch (code % 32) {
    case 0:
        elect(planner);
        break;
    case 1:
        restart(upstream, rest % 2 == 0);
        break;
    case 2:
        upstream.up = rest % 3 == 0;
        feed(planner, UpstreamExpired{upstream.id});
        break;
    case 3:
        // The engine drops a model on its own.
        if (!upstream.accelerators[rest % 2].resident.empty()) {
            upstream.accelerators[rest % 2].resident.erase(upstream.accelerators[rest % 2].resident.begin());
        }
        break;
    case 4:
    case 24:
        demand(choice);
        break;
    case 5:
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(rest % m_network.size()));
        }
        break;
    case 6:
    case 7:
    case 8:
    case 9:
    case 10:
        deliverOrder(rest, code % 32 == 6);
        break;
    case 11:
    case 12:
    case 13:
        deliverReport(planner, upstream, rest);
        break;
    case 14:
    case 15:
    case 16:
    case 17:
        for (TrueUpstream &it : upstreams) {
            announce(it);
            deliverReport(planner, it, 0);
        }
        break;
    case 18:
    case 19:
    case 20:
    case 21:
    case 22:
    case 23:
        pump(planner);
        break;
    default:
        m_now += base::Millis{rest % 4 == 0 ? 8'000 : 1'000};
        feed(m_leader, Tick{});
        feed(1 - m_leader, Tick{});
        break;
    }
}

void World::settle(std::uint32_t codes, int ticks)
{
    while (!m_network.empty()) {
        codes = codes * 1'103'515'245U + 12'345U;
        if (codes % 3 == 0) {
            m_network.pop_back();
        } else {
            deliverOrder(codes / 16, false);
        }
    }
    for (TrueUpstream &it : upstreams) {
        it.up = true;
    }
    elect(m_leader);
    for (int n = 0; n < ticks; ++n) {
        m_now += base::Millis{500};
        for (TrueUpstream &it : upstreams) {
            announce(it);
            deliverReport(m_leader, it, 0);
        }
        feed(m_leader, Tick{});
        while (!m_network.empty()) {
            deliverOrder(0, false);
        }
        while (!m_events[m_leader].empty()) {
            pump(m_leader);
        }
    }
    for (TrueUpstream &it : upstreams) {
        announce(it);
    }
}

std::vector<std::string> World::unreachable() const
{
    std::vector<std::string> names;
    for (const CatalogueEntry &entry : m_catalogue.entries) {
        bool found = false;
        for (const TrueUpstream &upstream : upstreams) {
            for (const TrueAccelerator &it : upstream.accelerators) {
                found = found || it.resident.count(entry.ref) != 0;
            }
        }
        if (!found) {
            names.push_back(entry.ref.model + "/" + entry.ref.adapter);
        }
    }
    return names;
}

void World::feed(std::size_t planner, const Input &input)
{
    for (const Output &it : m_planners[planner].step(m_now, input)) {
        handle(planner, it);
    }
}

void World::handle(std::size_t planner, const Output &output)
{
    std::visit(base::Overloaded{
                   [&](const ProposeIntent &it) {
                       commit(planner, it.order);
                   },
                   [&](const SendOrder &it) {
                       // A deposed leader may still send an order that its successor has closed as void.
                       if (m_committed.count(it.order.id) == 0) {
                           violation = "sent before its intent was committed: " + it.order.id;
                       }
                       if (!m_sent.insert(it.order.id).second) {
                           violation = "sent twice: " + it.order.id;
                       }
                       m_network.push_back({it.order, planner});
                   },
                   [&](const ProposeClose &it) {
                       if (planner == m_leader) {
                           m_open.erase(it.orderId);
                           m_events[planner].push_back(CloseCommitted{it.orderId});
                       }
                   },
                   [&](const StartDrain &it) {
                       m_events[planner].push_back(DrainConfirmed{it.ref, it.upstream});
                   },
                   [](const StopDrain &) {},
                   [](const StatusLine &) {},
               },
        output);
}

void World::commit(std::size_t planner, const Order &order)
{
    if (planner != m_leader || order.fencing <= m_lastFencing) {
        m_events[planner].push_back(IntentRefused{order.id});
        return;
    }
    m_lastFencing = order.fencing;
    m_open[order.id] = order;
    m_committed.insert(order.id);
    m_events[planner].push_back(IntentCommitted{order.id});
}

void World::announce(TrueUpstream &upstream)
{
    if (!upstream.up) {
        return;
    }
    membership::Announcement report;
    report.id = upstream.id;
    report.incarnation = upstream.incarnation;
    report.sequence = ++upstream.sequence;
    report.dataCentre = (upstream.id.back() - '0') % 2 == 0 ? "a" : "b";
    report.checksFencing = upstream.checksFencing;
    for (std::size_t n = 0; n < upstream.accelerators.size(); ++n) {
        membership::Accelerator accelerator{std::to_string(n), CAPACITY_MIB, {}};
        for (const auto &[ref, memory] : upstream.accelerators[n].resident) {
            accelerator.resident.push_back({ref.model, ref.adapter, ref.version, memory});
        }
        report.accelerators.push_back(accelerator);
    }
    report.lastOrders.assign(upstream.lastOrders.begin(), upstream.lastOrders.end());
    upstream.history.push_back(report);
}

void World::deliverReport(std::size_t planner, TrueUpstream &upstream, std::uint32_t choice)
{
    if (!upstream.history.empty()) {
        // Mostly recent announcements.
        const std::size_t back = choice % std::min<std::size_t>(upstream.history.size(), 6);
        feed(planner, Report{upstream.history[upstream.history.size() - 1 - back]});
    }
}

void World::deliverOrder(std::uint32_t choice, bool doubled)
{
    if (m_network.empty()) {
        return;
    }
    const std::size_t n = choice % m_network.size();
    const Message message = m_network[n];
    if (!doubled) {
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(n));
    }
    const Order &order = message.order;
    TrueUpstream &upstream = upstreams[static_cast<std::size_t>(order.upstream.back() - '0')];
    if (!upstream.up || order.incarnation != upstream.incarnation) {
        return;
    }
    // Upstreams that ignore fencing execute each order id once; the others check only the fencing number.
    if (!upstream.checksFencing && !upstream.ran.insert(order.id).second) {
        return;
    }
    const membership::OrderResult result = run(upstream, order);
    upstream.lastOrders.push_back({order.id, result});
    if (upstream.lastOrders.size() > CONFIRMATIONS) {
        upstream.lastOrders.pop_front();
    }
    const auto reply = result == membership::OrderResult::Done ? TransportResult::Done : TransportResult::Refused;
    if (!doubled) {
        m_events[message.sender].push_back(OrderReply{order.id, choice % 5 == 0 ? TransportResult::Unknown : reply});
    }
}

membership::OrderResult World::run(TrueUpstream &upstream, const Order &order)
{
    if (upstream.checksFencing && order.fencing < upstream.highestFencing) {
        return membership::OrderResult::Refused;
    }
    upstream.highestFencing = std::max(upstream.highestFencing, order.fencing);
    auto &resident = upstream.accelerators[static_cast<std::size_t>(order.accelerator.back() - '0')].resident;
    if (order.kind == OrderKind::Unload) {
        resident.erase(order.ref);
    } else {
        resident[order.ref] = order.memoryMib;
        checkMemory(upstream);
    }
    return membership::OrderResult::Done;
}

void World::checkMemory(const TrueUpstream &upstream)
{
    for (const TrueAccelerator &it : upstream.accelerators) {
        std::uint64_t used = 0;
        for (const auto &[ref, memory] : it.resident) {
            used += memory;
        }
        if (used > CAPACITY_MIB) {
            violation = "memory overcommitted at " + upstream.id;
        }
    }
}

void World::restart(TrueUpstream &upstream, bool keepsResidents)
{
    ++upstream.incarnation;
    upstream.sequence = 0;
    upstream.highestFencing = 0;
    upstream.lastOrders.clear();
    upstream.ran.clear();
    if (!keepsResidents) {
        upstream.accelerators = {};
    }
}

void World::elect(std::size_t planner)
{
    if (planner != m_leader) {
        // The deposed leader is notified late.
        m_events[m_leader].push_back(StopLeading{});
    }
    m_leader = planner;
    BecomeLeader leading{++m_term, {}, m_lastFencing};
    for (const auto &[id, order] : m_open) {
        leading.openIntents.push_back(order);
    }
    // A new leader has applied the whole log.
    while (!m_events[planner].empty()) {
        pump(planner);
    }
    feed(planner, leading);
}

void World::demand(std::uint32_t code)
{
    Demand demand;
    for (const CatalogueEntry &it : m_catalogue.entries) {
        code = code * 1'103'515'245U + 12'345U;
        demand.samples.push_back({it.ref, static_cast<double>(code / 65'536 % 12), 0});
    }
    feed(m_leader, demand);
}

void World::pump(std::size_t planner)
{
    if (!m_events[planner].empty()) {
        const Input input = m_events[planner].front();
        m_events[planner].pop_front();
        feed(planner, input);
    }
}

} // namespace bamboomoor::placement::test
