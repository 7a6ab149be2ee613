/**
 * The loads from the weight store in a sliding window.
 *
 * An order is sent at one time and its load begins at another: the order may wait on its way, and an order without an
 * answer may be carried out much later. A load therefore counts from the sending of its order until one window after
 * the last moment at which it can have begun. No window then holds more loads than the limit, however long orders take.
 *
 * Of the orders that expect the same number of earlier orders at one incarnation of a worker, at most one takes effect;
 * they count as one load.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bamboomoor::placement
{

/** @brief Settings of the window. */
struct StoreWindowOptions {
    // The span over which the store's rate is judged.
    base::Millis window{5'000};
    // An order in doubt takes effect within this time or never; infrastructures deliver orders some 12 s late.
    base::Millis doubt{15'000};
};

/** @brief Names what at most one load can come of. */
struct LoadKey {
    std::string worker;
    std::uint64_t incarnation = 0;
    // The orders that the worker has accepted before.
    std::uint64_t expected = 0;

    friend auto operator<=>(const LoadKey &, const LoadKey &) = default;
};

/** @brief Counts the loads that can have begun within the last window, or still can begin. */
class StoreWindow
{
public:
    /** @brief Makes an empty window. @param options The settings. */
    explicit StoreWindow(StoreWindowOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Takes the store's rate. @param loadsPerSecond Over all workers. */
    void setRate(double loadsPerSecond) noexcept;

    /**
     * @brief Counts what a predecessor may have begun: as many loads as the limit, evenly over the last window.
     * @param now The present time.
     */
    void assumeFull(base::Millis now);

    /** @brief Forgets the loads that began more than a window ago. @param now The present time. */
    void expire(base::Millis now);

    /** @brief Tells whether an order may be sent. @param key The order. @return False when it could exceed the limit.
     */
    [[nodiscard]] bool mayStart(const LoadKey &key) const;

    /** @brief Notes that an order leaves. @param now The present time. @param key The order. */
    void sent(base::Millis now, const LoadKey &key);

    /** @brief Notes that an order was not answered: it may take effect later. @param key The order. */
    void doubted(const LoadKey &key);

    /** @brief Notes that a load has begun, if it ever does. @param now The present time. @param key The order. */
    void begun(base::Millis now, const LoadKey &key);

    /** @brief Notes that an order was refused or never left; one in doubt under the same key still counts. @param key
     * The order. */
    void refused(const LoadKey &key);

    /** @brief Notes that another order took the place of a key, so that its load never begins. @param key The key. */
    void replaced(const LoadKey &key);

    /**
     * @brief Notes the orders that an incarnation of a worker has accepted: those before have begun, if they ever do.
     * @param now The present time.
     * @param worker Which.
     * @param incarnation Its incarnation.
     * @param orders The number of orders.
     */
    void accepted(base::Millis now, const std::string &worker, std::uint64_t incarnation, std::uint64_t orders);

    /** @brief Notes that an incarnation of a worker has ended. @param now The present time. @param worker Which.
     * @param incarnation The incarnation that follows. */
    void restarted(base::Millis now, const std::string &worker, std::uint64_t incarnation);

    /** @brief Counts the loads that count now. @return Their number. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_loads.size();
    }

private:
    struct Load {
        // It counts until then.
        base::Millis until;
        // One order of the key got no answer.
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
