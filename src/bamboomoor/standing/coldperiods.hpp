/**
 * Which upstreams are cold, and how many requests they take.
 *
 * An upstream that has just started, or that has become cold again, crashes if it gets many requests at once. It
 * announces for how long it stays cold. After an evacuation the upstreams of a data centre may have become cold before
 * they could announce it, so that all of them count as cold for the usual time.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/membership/registry.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace bamboomoor::standing
{

/** @brief What the configuration says of the cold upstreams of a service. */
struct ColdLimit {
    // Requests that one of them tolerates, from all entries together, in thousandths per second.
    std::int64_t rate = 0;
    // For how long an upstream is cold after its start.
    base::Millis span;

    friend bool operator==(const ColdLimit &, const ColdLimit &) = default;
};

/** @brief The limits by service; upstreams of other services take any number of requests while they are cold. */
using ColdLimits = std::map<std::string, ColdLimit>;

/** @brief The state of a cold upstream. */
struct ColdPeriod {
    // The rate at which permits may be granted, in thousandths per second.
    std::int64_t permitRate = 0;
    base::Millis until;

    friend bool operator==(const ColdPeriod &, const ColdPeriod &) = default;
};

/** @brief Tells which upstreams are cold. Not thread-safe. */
class ColdPeriods
{
public:
    /** @brief Creates an object without limits. @param lease How long an upstream is listed after an announcement. */
    explicit ColdPeriods(base::Millis lease = {}) noexcept
        : m_lease(lease)
    {
    }

    /** @brief Replaces the limits. @param limits The limits of all services. */
    void setLimits(ColdLimits limits)
    {
        m_limits = std::move(limits);
    }

    /** @brief Replaces the evacuated data centres. @param now The current time. @param dataCentres All of them. */
    void setEvacuated(base::Millis now, std::set<std::string> dataCentres);

    /** @brief Tells whether a data centre is evacuated. @param dataCentre Its name. */
    [[nodiscard]] bool isEvacuated(const std::string &dataCentre) const
    {
        return m_evacuated.contains(dataCentre);
    }

    /**
     * @brief Tells whether an upstream is cold.
     * @param now The current time, on the clock by which the lease of the upstream ends.
     * @param upstream The upstream as listed.
     * @return Its state, or nothing if it takes any number of requests.
     */
    [[nodiscard]] std::optional<ColdPeriod> find(base::Millis now, const membership::Entry &upstream) const;

private:
    base::Millis m_lease;
    ColdLimits m_limits;
    std::set<std::string> m_evacuated;
    // When the evacuation of a data centre was last seen to have ended.
    std::map<std::string, base::Millis> m_endedAt;
};

} // namespace bamboomoor::standing
