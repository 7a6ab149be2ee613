/**
 * The queue of requests that wait for an upstream, fair between organisations by the tokens that they are served.
 *
 * Each organisation has a virtual time that advances with its tokens; the one that is furthest behind is served next.
 * An organisation that was idle starts at the present virtual time, so that it saves nothing up.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboomoor::admission
{

/** @brief One request that waits. */
struct QueueItem {
    // Unique in the queue.
    std::uint64_t id = 0;
    std::string organisation;
    // Tokens that it is expected to cost, at least 0.
    std::int64_t cost = 0;
    // When it is given up, by the clock of `now`.
    base::Millis deadline;
    // Greater is served first within its organisation.
    int priority = 0;
};

/** @brief The bounds of a queue. */
struct QueueOptions {
    // Requests of one organisation that may wait.
    std::size_t maxPerOrganisation = 4'096;
};

/** @brief A fair queue. */
class FairQueue
{
public:
    /** @brief Makes an empty queue. @param options The bounds. */
    explicit FairQueue(QueueOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Appends a request.
     * @param now The present time.
     * @param item The request.
     * @return False when its organisation has too many waiting, or its deadline has passed.
     */
    [[nodiscard]] bool push(base::Millis now, QueueItem item);

    /**
     * @brief Takes the next request: of the organisation that was served least, the most urgent, then the oldest.
     * @param now The present time; requests past their deadline stay for expire().
     * @return The request, or nothing when none is left before its deadline.
     */
    [[nodiscard]] std::optional<QueueItem> pop(base::Millis now);

    /**
     * @brief Takes the requests past their deadline.
     * @param now The present time.
     * @return Their ids.
     */
    [[nodiscard]] std::vector<std::uint64_t> expire(base::Millis now);

    /**
     * @brief Removes a request.
     * @param id The request.
     * @return False when it is not in the queue.
     */
    bool cancel(std::uint64_t id);

    /** @brief Counts the requests. @return Those that wait. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_organisationOf.size();
    }

private:
    // The most urgent first, then the oldest.
    struct Rank {
        int urgency = 0;
        std::uint64_t number = 0;

        friend auto operator<=>(const Rank &, const Rank &) noexcept = default;
    };
    struct Place {
        std::string organisation;
        Rank rank;
    };
    struct Lane {
        std::map<Rank, QueueItem> items;
        // Tokens served; never behind m_virtualTime when the lane becomes busy.
        std::int64_t served = 0;
    };

    std::optional<QueueItem> take(Lane &lane, std::map<Rank, QueueItem>::iterator item);

    QueueOptions m_options;
    std::map<std::string, Lane> m_lanes;
    // Where each request is; the same ids as in m_lanes.
    std::unordered_map<std::uint64_t, Place> m_organisationOf;
    std::uint64_t m_lastNumber = 0;
    // The served tokens of the lane that was served last.
    std::int64_t m_virtualTime = 0;
};

} // namespace bamboomoor::admission
