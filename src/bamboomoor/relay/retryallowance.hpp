/**
 * Bounds the attempts beyond the first that services get, by the requests that this entry has for them. Entries that
 * all keep their own bound keep the bound of the fleet together, whether or not they reach each other.
 *
 * Others count an attempt when it arrives, which may be some time after it was decided: it waits for room, for the
 * client's thread, or on its way. A retry is therefore charged from its decision until a window after it surely
 * arrived. Any window of arrivals then holds only retries that were all charged when the last of them was decided.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bamboomoor::relay
{

/** @brief The settings of an allowance. */
struct RetryOptions {
    // Retries in thousandths of the requests.
    std::int64_t permille = 200;
    // The time over which both are counted.
    base::Millis window{10'000};
};

/** @brief Counts requests and retries by service. */
class RetryAllowance
{
public:
    /** @brief Makes an allowance that has seen nothing. @param options The settings. */
    explicit RetryAllowance(RetryOptions options) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Counts a caller's request.
     * @param now The present time.
     * @param service The service that it goes to.
     */
    void countRequest(base::Millis now, const std::string &service);

    /**
     * @brief Takes a retry if the service may get another one; it must be settled later.
     * @param now The present time.
     * @param service The service.
     * @return True when the retry was charged.
     */
    [[nodiscard]] bool takeRetry(base::Millis now, const std::string &service);

    /**
     * @brief Ends a retry that was taken.
     * @param now The present time.
     * @param service The service.
     * @param arrived False only when it is certain that it neither arrived nor will.
     */
    void settle(base::Millis now, const std::string &service, bool arrived);

private:
    struct Counts {
        std::deque<base::Millis> requests;
        // Retries that may yet arrive.
        std::int64_t open = 0;
        // When each other retry had surely arrived.
        std::deque<base::Millis> arrived;
    };

    void forget(base::Millis now, std::deque<base::Millis> &times) const;

    RetryOptions m_options;
    std::map<std::string, Counts> m_services;
};

} // namespace bamboomoor::relay
