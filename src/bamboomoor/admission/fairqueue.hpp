/**
 * Weighted fair queueing with tokens as the cost unit. The organisation with the least service relative to its weight
 * is served next; within an organisation, requests are ordered by priority, then by arrival. A request whose deadline
 * cannot be met is refused immediately.
 */
#pragma once

#include "bamboomoor/admission/refusal.hpp"
#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboomoor::admission
{

/** @brief A request waiting for an upstream. */
struct Item {
    // Unique within a queue.
    std::uint64_t id = 0;
    std::string organisation;
    // The estimated number of tokens, at least 1.
    std::int64_t cost = 1;
    // The request must be dequeued before this time; base::NEVER for no deadline.
    base::Millis deadline = base::NEVER;
    // Higher values are served first.
    int priority = 0;
};

/** @brief Settings of a queue. */
struct FairQueueOptions {
    // The maximum number of waiting requests of one organisation.
    std::size_t maxPerOrganisation = 1'024;
    // The maximum number of waiting requests of all organisations.
    std::size_t maxTotal = 16'384;
};

/** @brief A weighted fair queue of requests. Not thread-safe. */
class FairQueue
{
public:
    /**
     * @brief Constructs an empty queue.
     * @param options The settings.
     */
    explicit FairQueue(const FairQueueOptions &options)
        : m_options(options)
    {
    }

    /**
     * @brief Sets the weight of an organisation; the default is 1.
     * @param organisation The organisation.
     * @param weight The share relative to an organisation of weight 1; at least 1.
     */
    void setWeight(const std::string &organisation, std::int64_t weight);

    /**
     * @brief Enqueues a request.
     * @param now The current time.
     * @param item The request.
     * @param expectedWait The caller's estimate of the queueing time at the current length, in milliseconds.
     * @return Success, or QueueFull or DeadlineUnmeetable.
     */
    [[nodiscard]] base::Result<void, Refusal> push(base::Millis now, const Item &item, base::Millis expectedWait = {});

    /**
     * @brief Dequeues the next request; its cost is added to the organisation's service.
     * @param now The current time.
     * @return The request, or nothing if none is within its deadline; expired requests are left for expire().
     */
    [[nodiscard]] std::optional<Item> pop(base::Millis now);

    /**
     * @brief Removes the requests that have passed their deadline.
     * @param now The current time.
     * @return The removed requests, ordered by deadline.
     */
    [[nodiscard]] std::vector<Item> expire(base::Millis now);

    /**
     * @brief Corrects the service accounted when an item was dequeued.
     * @param organisation The item's organisation.
     * @param difference The actual number of tokens minus the item's cost.
     */
    void settle(const std::string &organisation, std::int64_t difference);

    /**
     * @brief Removes a waiting request.
     * @param id The id of the request.
     * @return False if no such request is waiting.
     */
    bool cancel(std::uint64_t id);

    /**
     * @brief Returns the number of waiting requests.
     * @return The number, including requests past their deadline that expire() has not removed yet.
     */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_items.size();
    }

    /**
     * @brief Returns the number of waiting requests of an organisation.
     * @param organisation The organisation.
     * @return The number, including requests past their deadline that expire() has not removed yet.
     */
    [[nodiscard]] std::size_t size(const std::string &organisation) const;

    /**
     * @brief Returns the total cost of the waiting requests, to estimate queueing times.
     * @return Tokens.
     */
    [[nodiscard]] std::int64_t backlog() const noexcept
    {
        return m_backlog;
    }

    /**
     * @brief Returns the time from which expire() has a request to remove.
     * @return The earliest deadline, or base::NEVER if there is none.
     */
    [[nodiscard]] base::Millis nextExpiry() const noexcept;

private:
    // The sort key of an item within its organisation.
    struct Rank {
        int priority = 0;
        std::uint64_t arrival = 0;
        std::uint64_t id = 0;

        friend bool operator<(const Rank &lhs, const Rank &rhs) noexcept
        {
            return lhs.priority != rhs.priority ? lhs.priority > rhs.priority : lhs.arrival < rhs.arrival;
        }
    };

    struct Flow {
        std::int64_t weight = 1;
        // Served tokens divided by the weight, in thousandths. At least m_virtualTime while items are waiting, except
        // for corrections by settle().
        std::int64_t served = 0;
        std::set<Rank> waiting;
    };

    struct QueuedItem {
        Item item;
        std::uint64_t arrival = 0;
    };

    // The first item that has not passed its deadline, or null.
    [[nodiscard]] const Item *next(base::Millis now, const Flow &flow) const;
    void remove(std::uint64_t id);

    FairQueueOptions m_options;
    std::map<std::string, Flow> m_flows;
    std::unordered_map<std::uint64_t, QueuedItem> m_items;
    // The deadline and id of every item with a deadline.
    std::set<std::pair<std::int64_t, std::uint64_t>> m_deadlines;
    // The `served` value at the last pop(); an organisation that becomes active starts at no less than this value.
    std::int64_t m_virtualTime = 0;
    std::int64_t m_backlog = 0;
    std::uint64_t m_arrivals = 0;
};

} // namespace bamboomoor::admission
