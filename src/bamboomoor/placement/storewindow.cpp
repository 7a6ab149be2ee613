/**
 * Sliding-window rate limiter for loads from the weight store.
 */
#include "bamboomoor/placement/storewindow.hpp"

#include <algorithm>
#include <cmath>

namespace bamboomoor::placement
{

namespace
{

constexpr double MILLIS_PER_SECOND = 1'000.0;

} // namespace

void StoreWindow::setRate(double loadsPerSecond) noexcept
{
    const double loads = loadsPerSecond * static_cast<double>(m_options.window.count) / MILLIS_PER_SECOND;
    // A store that serves less than one load per window is still used, by one load at a time.
    m_limit = static_cast<std::size_t>(std::max(1.0, std::floor(loads)));
}

void StoreWindow::assumeFull(base::Millis now)
{
    for (std::size_t n = 1; n <= m_limit; ++n) {
        const auto share = static_cast<std::int64_t>(n) * m_options.window.count / static_cast<std::int64_t>(m_limit);
        // Placeholder keys; the id of a worker is never empty.
        m_loads[{{}, 0, n}] = {now + base::Millis{share}, false, true};
    }
}

void StoreWindow::expire(base::Millis now)
{
    std::erase_if(m_loads, [now](const auto &it) {
        return it.second.until <= now;
    });
}

bool StoreWindow::mayStart(const LoadKey &key) const
{
    const auto it = m_loads.find(key);
    const bool counts = it != m_loads.end() && !it->second.hasBegun;
    return counts || m_loads.size() < m_limit;
}

void StoreWindow::sent(base::Millis now, const LoadKey &key)
{
    Load &load = m_loads[key];
    load.until = std::max(load.until, now + m_options.doubt + m_options.window);
    load.hasBegun = false;
}

void StoreWindow::doubted(const LoadKey &key)
{
    const auto it = m_loads.find(key);
    if (it != m_loads.end()) {
        it->second.inDoubt = true;
    }
}

void StoreWindow::settle(base::Millis now, Load &load) const noexcept
{
    if (!load.hasBegun) {
        load.hasBegun = true;
        load.until = now + m_options.window;
    }
}

void StoreWindow::begun(base::Millis now, const LoadKey &key)
{
    const auto it = m_loads.find(key);
    if (it != m_loads.end()) {
        settle(now, it->second);
    }
}

void StoreWindow::refused(const LoadKey &key)
{
    const auto it = m_loads.find(key);
    if (it != m_loads.end() && !it->second.inDoubt && !it->second.hasBegun) {
        m_loads.erase(it);
    }
}

void StoreWindow::replaced(const LoadKey &key)
{
    const auto it = m_loads.find(key);
    if (it != m_loads.end() && !it->second.hasBegun) {
        m_loads.erase(it);
    }
}

void StoreWindow::accepted(base::Millis now, const std::string &worker, std::uint64_t incarnation, std::uint64_t orders)
{
    for (auto it = m_loads.lower_bound({worker, incarnation, 0}); it != m_loads.end(); ++it) {
        if (it->first.worker != worker || it->first.incarnation != incarnation || it->first.expected >= orders) {
            return;
        }
        settle(now, it->second);
    }
}

void StoreWindow::restarted(base::Millis now, const std::string &worker, std::uint64_t incarnation)
{
    for (auto it = m_loads.lower_bound({worker, 0, 0}); it != m_loads.end(); ++it) {
        if (it->first.worker != worker || it->first.incarnation >= incarnation) {
            return;
        }
        settle(now, it->second);
    }
}

} // namespace bamboomoor::placement
