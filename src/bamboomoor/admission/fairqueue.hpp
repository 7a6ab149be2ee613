/**
 * Weighted fair queueing by tokens: the organisation that has been served least, by its weight, is next. Within an
 * organisation the higher priority goes first, then the earlier arrival. A request whose deadline cannot be met leaves
 * at once.
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

/** @brief A request that waits for an upstream. */
struct Item {
    // Unique among the items of one queue.
    std::uint64_t id = 0;
    std::string organisation;
    // Estimated tokens, at least 1.
    std::int64_t cost = 1;
    // The latest time at which it may be taken; base::NEVER for none.
    base::Millis deadline = base::NEVER;
    // Greater goes first.
    int priority = 0;
};

/** @brief The settings of a queue. */
struct FairQueueOptions {
    // Waiting requests of one organisation.
    std::size_t maxPerOrganisation = 1'024;
    // Waiting requests of all organisations.
    std::size_t maxTotal = 16'384;
};

/** @brief Holds requests and chooses the next one. */
class FairQueue
{
public:
    /**
     * @brief Makes an empty queue.
     * @param options The settings.
     */
    explicit FairQueue(const FairQueueOptions &options)
        : m_options(options)
    {
    }

    /**
     * @brief Sets the share of an organisation; 1 for those never set.
     * @param organisation The organisation.
     * @param weight Tokens served to it for each one served to an organisation of weight 1, at least 1.
     */
    void setWeight(const std::string &organisation, std::int64_t weight);

    /**
     * @brief Adds a request.
     * @param now The present time.
     * @param item The request.
     * @param expectedWait The shell's estimate of the wait at this queue's length, in milliseconds.
     * @return Nothing, or QueueFull, or DeadlineUnmeetable.
     */
    [[nodiscard]] base::Result<void, Refusal> push(base::Millis now, const Item &item, base::Millis expectedWait = {});

    /**
     * @brief Takes the next request; its cost counts as served.
     * @param now The present time.
     * @return The request, or nothing when none can still be taken; those past their deadline stay for expire().
     */
    [[nodiscard]] std::optional<Item> pop(base::Millis now);

    /**
     * @brief Removes the requests past their deadline.
     * @param now The present time.
     * @return The requests, by deadline.
     */
    [[nodiscard]] std::vector<Item> expire(base::Millis now);

    /**
     * @brief Corrects what was counted as served when an item was taken.
     * @param organisation The item's organisation.
     * @param difference Actual tokens less the cost.
     */
    void settle(const std::string &organisation, std::int64_t difference);

    /**
     * @brief Removes a waiting request.
     * @param id Its id.
     * @return False if it is not waiting.
     */
    bool cancel(std::uint64_t id);

    /**
     * @brief Counts the waiting requests.
     * @return Their number.
     */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_items.size();
    }

    /**
     * @brief Counts the waiting requests of an organisation.
     * @param organisation The organisation.
     * @return Their number.
     */
    [[nodiscard]] std::size_t size(const std::string &organisation) const;

    /**
     * @brief Sums up the costs of the waiting requests, to estimate a wait.
     * @return Tokens.
     */
    [[nodiscard]] std::int64_t backlog() const noexcept
    {
        return m_backlog;
    }

    /**
     * @brief Tells when expire() has something to return.
     * @return The earliest deadline, base::NEVER for none.
     */
    [[nodiscard]] base::Millis nextExpiry() const noexcept;

private:
    // Orders the items of one organisation.
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
        // Tokens served divided by the weight, in thousandths; at least m_virtualTime while items wait,
        // but for corrections by settle().
        std::int64_t served = 0;
        std::set<Rank> waiting;
    };

    struct Waiting {
        Item item;
        std::uint64_t arrival = 0;
    };

    // The first item that is not past its deadline, or null.
    [[nodiscard]] const Item *next(base::Millis now, const Flow &flow) const;
    void remove(std::uint64_t id);

    FairQueueOptions m_options;
    std::map<std::string, Flow> m_flows;
    std::unordered_map<std::uint64_t, Waiting> m_items;
    // Deadline and id of every item that has a deadline.
    std::set<std::pair<std::int64_t, std::uint64_t>> m_deadlines;
    // The served value of the organisation that was next last; one that had nothing waiting begins from here.
    std::int64_t m_virtualTime = 0;
    std::int64_t m_backlog = 0;
    std::uint64_t m_arrivals = 0;
};

} // namespace bamboomoor::admission
