/**
 * The counters, gauges and histograms of an entry.
 */
#include "bamboomoor/entry/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace bamboomoor::entry
{

namespace
{

using Counters = prometheus::Family<prometheus::Counter>;

Counters &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

void count(Counters &family, const char *label, std::string_view value)
{
    family.Add({{label, std::string(value)}}).Increment();
}

prometheus::Histogram &histogram(prometheus::Registry &registry, const char *name, const char *help)
{
    // In seconds; the bounds of the target, 1.9 s and 45 ms, are among them.
    const prometheus::Histogram::BucketBoundaries bounds{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.045, 0.1, 0.2, 0.5, 1.0, 1.9, 5.0, 10.0, 30.0};
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

constexpr double MILLIS_PER_SECOND = 1'000.0;

} // namespace

Metrics::Metrics()
    : m_refusals(counters(m_registry, "bamboomoor_refusals_total", "Requests refused, by code"))
    , m_answers(counters(m_registry, "bamboomoor_answers_total", "Requests answered by an upstream, by kind"))
    , m_retries(counters(m_registry, "bamboomoor_retries_total", "Further attempts, by the failure before"))
    , m_giveUps(counters(m_registry, "bamboomoor_give_ups_total", "Failed requests not tried again, by reason"))
    , m_drops(counters(m_registry, "bamboomoor_dropped_total", "Events dropped, by reason"))
    , m_announcements(counters(m_registry, "bamboomoor_announcements_total", "Announcements, by verdict"))
    , m_quarantines(counters(
          m_registry, "bamboomoor_quarantines_total", "Prompt parts and requests quarantined, by who decided it"))
    , m_words(counters(m_registry, "bamboomoor_upstream_words_total", "What upstreams said of themselves, by change"))
    , m_firstToken(histogram(m_registry, "bamboomoor_first_token_seconds", "From arrival to the first token"))
    , m_betweenTokens(histogram(m_registry, "bamboomoor_between_tokens_seconds", "Between two tokens of a stream"))
    , m_ring(gauge(m_registry, "bamboomoor_ring_events", "Events that wait for the entry's thread"))
    , m_queued(gauge(m_registry, "bamboomoor_queued_requests", "Requests that wait for an upstream"))
{
}

void Metrics::refused(std::string_view code)
{
    count(m_refusals, "code", code);
}

void Metrics::answered(std::string_view kind)
{
    count(m_answers, "kind", kind);
}

void Metrics::retried(std::string_view reason)
{
    count(m_retries, "reason", reason);
}

void Metrics::gaveUp(std::string_view reason)
{
    count(m_giveUps, "reason", reason);
}

void Metrics::dropped(std::string_view reason)
{
    count(m_drops, "reason", reason);
}

void Metrics::quarantined(bool byLeader)
{
    count(m_quarantines, "decided_by", byLeader ? "leader" : "entry");
}

void Metrics::upstreamSaid(std::string_view change)
{
    count(m_words, "change", change);
}

void Metrics::announced(std::string_view verdict)
{
    count(m_announcements, "verdict", verdict);
}

void Metrics::firstToken(base::Millis span)
{
    m_firstToken.Observe(static_cast<double>(span.count) / MILLIS_PER_SECOND);
}

void Metrics::betweenTokens(base::Millis span)
{
    m_betweenTokens.Observe(static_cast<double>(span.count) / MILLIS_PER_SECOND);
}

void Metrics::fill(std::size_t ring, std::size_t queued)
{
    m_ring.Set(static_cast<double>(ring));
    m_queued.Set(static_cast<double>(queued));
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace bamboomoor::entry
