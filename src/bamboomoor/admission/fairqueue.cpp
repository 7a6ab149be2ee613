/**
 * Weighted fair queueing with tokens as the cost unit.
 */
#include "bamboomoor/admission/fairqueue.hpp"

#include <algorithm>
#include <cassert>

namespace bamboomoor::admission
{

namespace
{
// Fixed-point scale of served tokens: units per token.
constexpr std::int64_t SCALE = 1'000;
} // namespace

void FairQueue::setWeight(const std::string &organisation, std::int64_t weight)
{
    assert(weight >= 1);
    m_flows[organisation].weight = weight;
}

base::Result<void, Refusal> FairQueue::push(base::Millis now, const Item &item, base::Millis expectedWait)
{
    assert(item.cost >= 1 && !m_items.contains(item.id));
    if (item.deadline < base::NEVER - expectedWait && now + expectedWait >= item.deadline) {
        return base::failure(Refusal::DeadlineUnmeetable);
    }
    Flow &flow = m_flows[item.organisation];
    if (flow.waiting.size() >= m_options.maxPerOrganisation || m_items.size() >= m_options.maxTotal) {
        return base::failure(Refusal::QueueFull);
    }
    // An organisation whose items have all passed their deadline counts as idle, too.
    if (next(now, flow) == nullptr) {
        flow.served = std::max(flow.served, m_virtualTime);
    }
    flow.waiting.insert({item.priority, ++m_arrivals, item.id});
    m_items.emplace(item.id, QueuedItem{item, m_arrivals});
    m_backlog += item.cost;
    if (item.deadline != base::NEVER) {
        m_deadlines.emplace(item.deadline.count, item.id);
    }
    return base::success();
}

std::optional<Item> FairQueue::pop(base::Millis now)
{
    Flow *least = nullptr;
    const Item *chosen = nullptr;
    for (auto &[name, flow] : m_flows) {
        if (least != nullptr && least->served <= flow.served) {
            continue;
        }
        const Item *first = next(now, flow);
        if (first != nullptr) {
            least = &flow;
            chosen = first;
        }
    }
    if (least == nullptr) {
        return std::nullopt;
    }
    Item item = *chosen;
    m_virtualTime = std::max(m_virtualTime, least->served);
    least->served += item.cost * SCALE / least->weight;
    remove(item.id);
    return item;
}

const Item *FairQueue::next(base::Millis now, const Flow &flow) const
{
    for (const Rank &it : flow.waiting) {
        const Item &item = m_items.at(it.id).item;
        if (item.deadline > now) {
            return &item;
        }
    }
    return nullptr;
}

std::vector<Item> FairQueue::expire(base::Millis now)
{
    std::vector<Item> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now.count) {
        const std::uint64_t id = m_deadlines.begin()->second;
        expired.push_back(m_items.at(id).item);
        remove(id);
    }
    return expired;
}

void FairQueue::settle(const std::string &organisation, std::int64_t difference)
{
    const auto found = m_flows.find(organisation);
    if (found != m_flows.end()) {
        found->second.served += difference * SCALE / found->second.weight;
    }
}

bool FairQueue::cancel(std::uint64_t id)
{
    if (!m_items.contains(id)) {
        return false;
    }
    remove(id);
    return true;
}

void FairQueue::remove(std::uint64_t id)
{
    const auto found = m_items.find(id);
    const Item &item = found->second.item;
    m_flows.at(item.organisation).waiting.erase({item.priority, found->second.arrival, id});
    m_deadlines.erase({item.deadline.count, id});
    m_backlog -= item.cost;
    m_items.erase(found);
}

std::size_t FairQueue::size(const std::string &organisation) const
{
    const auto found = m_flows.find(organisation);
    return found == m_flows.end() ? 0 : found->second.waiting.size();
}

base::Millis FairQueue::nextExpiry() const noexcept
{
    return m_deadlines.empty() ? base::NEVER : base::Millis{m_deadlines.begin()->first};
}

} // namespace bamboomoor::admission
