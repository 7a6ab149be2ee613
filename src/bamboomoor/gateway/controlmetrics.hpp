/**
 * The counters and histograms of a control VM.
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

/** @brief All metrics of a control VM; usable from any thread. */
class ControlMetrics
{
public:
    ControlMetrics();

    /** @brief Counts an announcement of an upstream. @param verdict What became of it. */
    void announced(std::string_view verdict);

    /** @brief Counts an operator's change. @param outcome What became of it. */
    void changed(std::string_view outcome);

    /** @brief Counts an order that was sent. @param kind What it does. @param reason Why. */
    void ordered(std::string_view kind, std::string_view reason);

    /** @brief Notes the end of an order. @param verdict What became of it. @param span Since it was sent. */
    void orderEnded(std::string_view verdict, base::Millis span);

    /** @brief Counts a model that came to a worker. @param source Where its weights came from. */
    void modelArrived(std::string_view source);

    /** @brief Notes a round of the thread that orders models. @param span Its events and its decision. */
    void roundEnded(base::Millis span);

    /** @brief Counts an upstream that was found to accept no connection. */
    void unreachable();

    /** @brief Counts permits for limited upstreams. @param permits How many an entry got. */
    void permitsGranted(std::int64_t permits);

    /** @brief Notes whether this VM orders. @param leads True while it leads. */
    void setLeading(bool leads);

    /** @brief Writes all metrics. @return The Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_announcements;
    prometheus::Family<prometheus::Counter> &m_changes;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Family<prometheus::Counter> &m_verdicts;
    prometheus::Family<prometheus::Counter> &m_arrivals;
    prometheus::Counter &m_unreachable;
    prometheus::Counter &m_permits;
    prometheus::Histogram &m_orderTime;
    prometheus::Histogram &m_roundTime;
    prometheus::Gauge &m_leading;
};

} // namespace bamboomoor::gateway
