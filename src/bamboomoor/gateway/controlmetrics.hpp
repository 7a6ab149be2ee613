/**
 * Provides the Prometheus metrics of a control VM.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboomoor::gateway
{

/** @brief Holds the metrics of a control VM; thread-safe. */
class ControlMetrics
{
public:
    ControlMetrics();

    /** @brief Counts an announcement of an upstream. @param verdict The result. */
    void announced(std::string_view verdict);

    /** @brief Counts a call of an upstream that withdraws itself. @param outcome The result. */
    void withdrawn(std::string_view outcome);

    /** @brief Counts an operator's change. @param outcome The result. */
    void changed(std::string_view outcome);

    /** @brief Counts a call that begins or ends an evacuation. @param outcome The result. */
    void evacuated(std::string_view outcome);

    /** @brief Counts an order that was sent. @param kind The kind of order. @param reason The reason. */
    void ordered(std::string_view kind, std::string_view reason);

    /** @brief Records the end of an order. @param verdict The result. @param span Time since it was sent. */
    void orderEnded(std::string_view verdict, base::Millis span);

    /** @brief Counts a model loaded by a worker. @param source The source of its weights. */
    void modelArrived(std::string_view source);

    /** @brief Records a round of the residency thread. @param span Duration of its events and its decision. */
    void roundEnded(base::Millis span);

    /** @brief Counts an upstream that accepted no connection. */
    void unreachable();
    /** @brief Counts a quarantined prompt part. */
    void partQuarantined();

    /** @brief Counts upstreams that became or ceased to be brittle. @param begun Whether it became so. */
    void brittleChanged(bool begun);
    /** @brief Counts permits for limited upstreams. @param permits Number granted to an entry. */
    void permitsGranted(std::int64_t permits);

    /** @brief Sets the leadership gauge. @param leads Whether this VM is the leader. */
    void setLeading(bool leads);

    /** @brief Serialises all metrics. @return The Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_announcements;
    prometheus::Family<prometheus::Counter> &m_withdrawals;
    prometheus::Family<prometheus::Counter> &m_changes;
    prometheus::Family<prometheus::Counter> &m_evacuations;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Family<prometheus::Counter> &m_verdicts;
    prometheus::Family<prometheus::Counter> &m_arrivals;
    prometheus::Family<prometheus::Counter> &m_brittle;
    prometheus::Counter &m_quarantines;
    prometheus::Counter &m_unreachable;
    prometheus::Counter &m_permits;
    prometheus::Histogram &m_orderTime;
    prometheus::Histogram &m_roundTime;
    prometheus::Gauge &m_leading;
};

} // namespace bamboomoor::gateway
