/**
 * A retry budget: limits the retries that each service receives to a share of the requests that this entry has for it.
 * As every entry keeps its own limit, the limit also holds for all entries together, even if they cannot reach each
 * other.
 *
 * An upstream sees a retry when it arrives, which may be some time after it was decided, as it may be queued, wait for
 * the client's thread, or be in transit. A retry is therefore charged from its decision until one window after it has
 * certainly arrived. All retries that arrive within any window were thus charged when the last of them was decided.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bamboomoor::relay
{

/** @brief The settings of a retry budget. */
struct RetryOptions {
    // The share of retries in thousandths of the requests.
    std::int64_t permille = 200;
    // The sliding window over which both are counted.
    base::Millis window{10'000};
};

/** @brief Counts requests and retries by service. */
class RetryBudget
{
public:
    /** @brief Creates a budget without requests. @param options The settings. */
    explicit RetryBudget(RetryOptions options) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Counts a caller's request.
     * @param now The current time.
     * @param service The target service.
     */
    void countRequest(base::Millis now, const std::string &service);

    /**
     * @brief Charges a retry if the budget of the service allows it; the caller must settle it later.
     * @param now The current time.
     * @param service The service.
     * @return True if the retry was charged.
     */
    [[nodiscard]] bool takeRetry(base::Millis now, const std::string &service);

    /**
     * @brief Settles a charged retry.
     * @param now The current time.
     * @param service The service.
     * @param arrived False only if it is certain that it has not arrived and will not arrive; it is then refunded.
     */
    void settle(base::Millis now, const std::string &service, bool arrived);

private:
    struct Counts {
        std::deque<base::Millis> requests;
        // Charged retries that are not settled.
        std::int64_t open = 0;
        // When each settled retry had certainly arrived.
        std::deque<base::Millis> arrived;
    };

    void forget(base::Millis now, std::deque<base::Millis> &times) const;

    RetryOptions m_options;
    std::map<std::string, Counts> m_services;
};

} // namespace bamboomoor::relay
