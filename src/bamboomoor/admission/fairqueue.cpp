/**
 * The queue of requests that wait for an upstream.
 */
#include "bamboomoor/admission/fairqueue.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::admission
{

bool FairQueue::push(base::Millis now, QueueItem item)
{
    Lane &lane = m_lanes[item.organisation];
    if (lane.items.size() >= m_options.maxPerOrganisation || item.deadline <= now) {
        return false;
    }
    if (lane.items.empty()) {
        lane.served = std::max(lane.served, m_virtualTime);
    }
    const Rank rank{-item.priority, ++m_lastNumber};
    m_organisationOf[item.id] = {item.organisation, rank};
    lane.items.emplace(rank, std::move(item));
    return true;
}

std::optional<QueueItem> FairQueue::pop(base::Millis now)
{
    Lane *next = nullptr;
    std::map<Rank, QueueItem>::iterator chosen;
    for (auto &[organisation, lane] : m_lanes) {
        if (next != nullptr && lane.served >= next->served) {
            continue;
        }
        const auto it = std::find_if(lane.items.begin(), lane.items.end(), [now](const auto &entry) {
            return entry.second.deadline > now;
        });
        if (it != lane.items.end()) {
            next = &lane;
            chosen = it;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    m_virtualTime = std::max(m_virtualTime, next->served);
    next->served += chosen->second.cost;
    return take(*next, chosen);
}

std::optional<QueueItem> FairQueue::take(Lane &lane, std::map<Rank, QueueItem>::iterator item)
{
    std::optional<QueueItem> taken(std::move(item->second));
    lane.items.erase(item);
    m_organisationOf.erase(taken->id);
    return taken;
}

std::vector<std::uint64_t> FairQueue::expire(base::Millis now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[organisation, lane] : m_lanes) {
        for (auto it = lane.items.begin(); it != lane.items.end();) {
            const auto next = std::next(it);
            if (it->second.deadline <= now) {
                expired.push_back(it->second.id);
                take(lane, it);
            }
            it = next;
        }
    }
    return expired;
}

bool FairQueue::cancel(std::uint64_t id)
{
    const auto place = m_organisationOf.find(id);
    if (place == m_organisationOf.end()) {
        return false;
    }
    Lane &lane = m_lanes.at(place->second.organisation);
    take(lane, lane.items.find(place->second.rank));
    return true;
}

} // namespace bamboomoor::admission
