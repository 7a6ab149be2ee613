/**
 * Provides the Prometheus metrics of relayed requests.
 */
#pragma once

#include "bamboomoor/http/server.hpp"
#include "bamboomoor/relay/core.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboomoor::gateway
{

/** @brief Holds the metrics of an entry; thread-safe. */
class RelayMetrics
{
public:
    RelayMetrics();

    /** @brief Counts a decision and records its latency. @param decision The decision. */
    void count(const relay::Decision &decision);

    /** @brief Counts a signal that an upstream reported about itself. @param note The signal. */
    void count(const relay::SignalNote &note);
    /** @brief Counts a quarantined prompt part. @param byLeader Whether the leader has decided it. */
    void quarantined(bool byLeader);

    /** @brief Sets whether requests are rejected for an outdated configuration. @param isOutdated Whether they are. */
    void setOutdated(bool isOutdated);
    /** @brief Counts the begin or the end of a partition from all upstreams. @param cutOff Whether it began. */
    void reachChanged(bool cutOff);
    /** @brief Counts an attempt that was sent through another entry. */
    void forwardedTo();
    /** @brief Counts a request of another entry. @param result What became of it. */
    void forwardedFor(std::string_view result);

    /** @brief Sets the load gauges. @param ring Number of queued events. @param open Requests in progress. */
    void fill(std::size_t ring, std::size_t open);

    /** @brief Sets the gauges of restricted upstreams. @param evacuated Evacuated data centres. @param cold Cold
     * upstreams. */
    void setPlaces(std::size_t evacuated, std::size_t cold);

    /** @brief Sets the gauges of the memory of request bodies. @param memory Its state. @param server What the server
     * of callers has seen. */
    void setMemory(const http::RequestMemoryCounters &memory, const http::ServerCounters &server);

    /** @brief Counts an event dropped because the ring was full. */
    void dropped();

    /** @brief Serialises all metrics. @return The Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_steps;
    prometheus::Family<prometheus::Counter> &m_words;
    prometheus::Family<prometheus::Counter> &m_quarantines;
    prometheus::Family<prometheus::Counter> &m_forwards;
    prometheus::Counter &m_forwarded;
    prometheus::Counter &m_cuts;
    prometheus::Gauge &m_cutOff;
    prometheus::Gauge &m_outdated;
    prometheus::Counter &m_dropped;
    prometheus::Histogram &m_firstEvent;
    prometheus::Histogram &m_answer;
    prometheus::Histogram &m_refusal;
    prometheus::Gauge &m_ring;
    prometheus::Gauge &m_open;
    prometheus::Gauge &m_bodyBytes;
    prometheus::Gauge &m_maxBodyBytes;
    prometheus::Gauge &m_refusedBodies;
    prometheus::Gauge &m_evictedBodies;
    prometheus::Gauge &m_evictedConnections;
    prometheus::Gauge &m_evictedHeads;
    prometheus::Gauge &m_evacuated;
    prometheus::Gauge &m_cold;
};

} // namespace bamboomoor::gateway
