/**
 * The counters, gauges and histograms of an entry, as prometheus-cpp keeps them.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace bamboomoor::entry
{

/** @brief All metrics of an entry; usable from any thread. */
class Metrics
{
public:
    Metrics();

    /** @brief Counts a refusal. @param code The public code. */
    void refused(std::string_view code);
    /** @brief Counts an answered request. @param kind "generation" or "service". */
    void answered(std::string_view kind);
    /** @brief Counts a retry. @param reason The failure before it. */
    void retried(std::string_view reason);
    /** @brief Counts a request that was not tried again. @param reason Why. */
    void gaveUp(std::string_view reason);
    /** @brief Counts an event that was dropped. @param reason Why. */
    void dropped(std::string_view reason);
    /** @brief Counts a quarantine. @param byLeader Whether the leader decided on it. */
    void quarantined(bool byLeader);
    /** @brief Counts what an answer changed about its upstream. @param change What. */
    void upstreamSaid(std::string_view change);
    /** @brief Counts an announcement. @param verdict What became of it. */
    void announced(std::string_view verdict);
    /** @brief Notes the time to a first token. @param span Milliseconds since the request arrived. */
    void firstToken(base::Millis span);
    /** @brief Notes the time between two tokens. @param span Milliseconds. */
    void betweenTokens(base::Millis span);
    /** @brief Notes the fill of the entry's ring and queues. @param ring Events. @param queued Requests. */
    void fill(std::size_t ring, std::size_t queued);

    /**
     * @brief Writes all metrics.
     * @return The Prometheus text exposition format 0.0.4.
     */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_giveUps;
    prometheus::Family<prometheus::Counter> &m_drops;
    prometheus::Family<prometheus::Counter> &m_announcements;
    prometheus::Family<prometheus::Counter> &m_quarantines;
    prometheus::Family<prometheus::Counter> &m_words;
    prometheus::Histogram &m_firstToken;
    prometheus::Histogram &m_betweenTokens;
    prometheus::Gauge &m_ring;
    prometheus::Gauge &m_queued;
};

} // namespace bamboomoor::entry
