/**
 * The counters and histograms of relayed requests.
 */
#pragma once

#include "bamboomoor/relay/core.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <string>

namespace bamboomoor::gateway
{

/** @brief All metrics of an entry that relays; usable from any thread. */
class RelayMetrics
{
public:
    RelayMetrics();

    /** @brief Counts a decision and notes its latency. @param decision The decision. */
    void count(const relay::Decision &decision);

    /** @brief Counts what upstreams say of themselves. @param note The word. */
    void count(const relay::WordNote &note);

    /** @brief Notes how full the entry is. @param ring Events that wait. @param open Requests in progress. */
    void fill(std::size_t ring, std::size_t open);

    /** @brief Counts an event that did not fit the ring. */
    void dropped();

    /** @brief Writes all metrics. @return The Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_steps;
    prometheus::Family<prometheus::Counter> &m_words;
    prometheus::Counter &m_dropped;
    prometheus::Histogram &m_firstEvent;
    prometheus::Histogram &m_answer;
    prometheus::Histogram &m_refusal;
    prometheus::Gauge &m_ring;
    prometheus::Gauge &m_open;
};

} // namespace bamboomoor::gateway
