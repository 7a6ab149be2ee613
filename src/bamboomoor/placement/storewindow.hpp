/**
 * Sliding-window rate limiter for loads from the weight store.
 *
 * A load may begin long after its order was sent: the order may be delayed in the network, and an order without a
 * response may be executed much later. A load therefore counts from the sending of its order until one window after the
 * latest time at which it can have begun. No window contains more loads than the limit, however long orders take.
 *
 * Orders to one incarnation of a worker that carry the same expected order count are counted as one load, because at
 * most one of them takes effect.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bamboomoor::placement
{

/** @brief Settings of the rate limiter. */
struct StoreWindowOptions {
    // Length of the window over which the rate of the store is limited.
    base::Millis window{5'000};
    // Time after which an order without a response can no longer take effect; orders are delivered up to about 12 s
    // late.
    base::Millis doubt{15'000};
};

/** @brief Identifies a group of orders of which at most one takes effect. */
struct LoadKey {
    std::string worker;
    std::uint64_t incarnation = 0;
    // Number of orders that the worker is expected to have accepted before.
    std::uint64_t expected = 0;

    friend auto operator<=>(const LoadKey &, const LoadKey &) = default;
};

/** @brief Counts the loads that may have begun within the last window or may still begin. */
class StoreWindow
{
public:
    /** @brief Constructs an empty window. @param options The settings. */
    explicit StoreWindow(StoreWindowOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Sets the rate of the store. @param loadsPerSecond Loads per second over all workers. */
    void setRate(double loadsPerSecond) noexcept;

    /**
     * @brief Assumes that a previous leader used the whole limit, evenly over the last window.
     * @param now The current time.
     */
    void assumeFull(base::Millis now);

    /** @brief Removes the loads that began more than one window ago. @param now The current time. */
    void expire(base::Millis now);

    /** @brief Returns whether an order may be sent. @param key The order. @return False if it could exceed the limit.
     */
    [[nodiscard]] bool mayStart(const LoadKey &key) const;

    /** @brief Returns how many further loads may begin now. */
    [[nodiscard]] std::size_t room() const noexcept
    {
        return m_limit - std::min(m_limit, m_loads.size());
    }

    /** @brief Records that an order is sent. @param now The current time. @param key The order. */
    void sent(base::Millis now, const LoadKey &key);

    /** @brief Records that an order got no response and may take effect later. @param key The order. */
    void doubted(const LoadKey &key);

    /** @brief Records that a load has begun or never will. @param now The current time. @param key The order. */
    void begun(base::Millis now, const LoadKey &key);

    /** @brief Records that an order was refused or not sent. An earlier order under the same key that got no response
     * still counts. @param key The order. */
    void refused(const LoadKey &key);

    /** @brief Records that another order was accepted under the key, so that its load never begins. @param key The key.
     */
    void replaced(const LoadKey &key);

    /**
     * @brief Records the order count of an incarnation of a worker: loads with a lower count have begun or never will.
     * @param now The current time.
     * @param worker The worker.
     * @param incarnation Its incarnation.
     * @param orders Number of orders that it has accepted.
     */
    void accepted(base::Millis now, const std::string &worker, std::uint64_t incarnation, std::uint64_t orders);

    /** @brief Records that a worker was restarted, which ends its earlier incarnations. @param now The current time.
     * @param worker The worker.
     * @param incarnation The new incarnation. */
    void restarted(base::Millis now, const std::string &worker, std::uint64_t incarnation);

    /** @brief Returns the number of loads that count against the limit. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_loads.size();
    }

private:
    struct Load {
        // Time until which the load counts.
        base::Millis until;
        // An order with this key got no response.
        bool inDoubt = false;
        bool hasBegun = false;
    };
    using Loads = std::map<LoadKey, Load>;

    void settle(base::Millis now, Load &load) const noexcept;

    StoreWindowOptions m_options;
    std::size_t m_limit = 0;
    Loads m_loads;
};

} // namespace bamboomoor::placement
