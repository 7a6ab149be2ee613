/**
 * Implements the Prometheus metrics of relayed requests.
 */
#include "bamboomoor/gateway/relaymetrics.hpp"

#include <prometheus/text_serializer.h>

namespace bamboomoor::gateway
{

namespace
{

constexpr double MILLIS_PER_SECOND = 1'000.0;

prometheus::Histogram &histogram(prometheus::Registry &registry, const char *name, const char *help)
{
    const prometheus::Histogram::BucketBoundaries bounds{
        0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0, 20.0};
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

RelayMetrics::RelayMetrics()
    : m_steps(prometheus::BuildCounter()
                  .Name("bamboomoor_relay_decisions_total")
                  .Help("Decisions about relayed requests, by step and reason")
                  .Register(m_registry))
    , m_words(prometheus::BuildCounter()
                  .Name("bamboomoor_relay_upstream_words_total")
                  .Help("What upstreams said of themselves in answers, by change")
                  .Register(m_registry))
    , m_quarantines(prometheus::BuildCounter()
                        .Name("bamboomoor_relay_quarantines_total")
                        .Help("Prompt parts that were quarantined, by who decided it")
                        .Register(m_registry))
    , m_forwards(prometheus::BuildCounter()
                     .Name("bamboomoor_relay_forwards_total")
                     .Help("Requests that other entries sent through this one, by result")
                     .Register(m_registry))
    , m_forwarded(prometheus::BuildCounter()
                      .Name("bamboomoor_relay_forwarded_attempts_total")
                      .Help("Attempts that this entry sent through another one")
                      .Register(m_registry)
                      .Add({}))
    , m_cuts(prometheus::BuildCounter()
                 .Name("bamboomoor_relay_upstream_partitions_total")
                 .Help("Partitions of this entry from all upstreams")
                 .Register(m_registry)
                 .Add({}))
    , m_cutOff(gauge(m_registry, "bamboomoor_relay_upstreams_cut_off", "1 while this entry reaches no upstream"))
    , m_outdated(gauge(m_registry, "bamboomoor_relay_configuration_outdated",
          "1 while requests are rejected as the configuration is outdated"))
    , m_dropped(prometheus::BuildCounter()
                    .Name("bamboomoor_relay_events_dropped_total")
                    .Help("Events that did not fit the ring of the relay's thread")
                    .Register(m_registry)
                    .Add({}))
    , m_firstEvent(histogram(m_registry, "bamboomoor_relay_first_event_seconds", "From arrival to the first event"))
    , m_answer(histogram(m_registry, "bamboomoor_relay_answer_seconds", "From arrival to the end of the answer"))
    , m_refusal(histogram(m_registry, "bamboomoor_relay_refusal_seconds", "From arrival to a refusal"))
    , m_ring(gauge(m_registry, "bamboomoor_relay_ring_events", "Events that wait for the relay's thread"))
    , m_open(gauge(m_registry, "bamboomoor_relay_open_requests", "Relayed requests in progress"))
    , m_bodyBytes(gauge(m_registry, "bamboomoor_relay_body_bytes", "Memory of request bodies"))
    , m_maxBodyBytes(gauge(m_registry, "bamboomoor_relay_body_bytes_max", "The most that request bodies may take"))
    , m_refusedBodies(
          gauge(m_registry, "bamboomoor_relay_bodies_refused", "Requests refused so far for want of memory"))
    , m_evictedBodies(gauge(m_registry, "bamboomoor_relay_bodies_evicted",
          "Connections closed so far before the end of a body, for want of memory"))
    , m_evictedConnections(gauge(m_registry, "bamboomoor_relay_connections_evicted",
          "Connections closed for want of places, as they waited for their callers"))
    , m_evictedHeads(gauge(m_registry, "bamboomoor_relay_heads_evicted",
          "Connections closed so far before the end of a head, as too many were open"))
    , m_evacuated(gauge(m_registry, "bamboomoor_relay_evacuated_data_centres", "Data centres that get no requests"))
    , m_cold(gauge(
          m_registry, "bamboomoor_relay_cold_upstreams", "Upstreams that take requests by permits as they are cold"))
{
}

void RelayMetrics::count(const relay::Decision &decision)
{
    const std::string step(relay::STEP_NAMES.name(decision.step));
    m_steps.Add({{"step", step}, {"reason", std::string(decision.reason)}}).Increment();
    const double age = static_cast<double>(decision.age.count) / MILLIS_PER_SECOND;
    if (decision.step == relay::Step::FirstEvent) {
        m_firstEvent.Observe(age);
    } else if (decision.step == relay::Step::Answered) {
        m_answer.Observe(age);
    } else if (decision.step == relay::Step::Refused) {
        m_refusal.Observe(age);
    }
}

void RelayMetrics::count(const relay::SignalNote &note)
{
    m_words.Add({{"change", std::string(standing::CHANGE_NAMES.name(note.change))}}).Increment();
}

void RelayMetrics::quarantined(bool byLeader)
{
    m_quarantines.Add({{"decided_by", byLeader ? "leader" : "entry"}}).Increment();
}

void RelayMetrics::setOutdated(bool isOutdated)
{
    m_outdated.Set(isOutdated ? 1 : 0);
}

void RelayMetrics::reachChanged(bool cutOff)
{
    m_cutOff.Set(cutOff ? 1 : 0);
    m_cuts.Increment(cutOff ? 1 : 0);
}

void RelayMetrics::forwardedTo()
{
    m_forwarded.Increment();
}

void RelayMetrics::forwardedFor(std::string_view result)
{
    m_forwards.Add({{"result", std::string(result)}}).Increment();
}

void RelayMetrics::fill(std::size_t ring, std::size_t open)
{
    m_ring.Set(static_cast<double>(ring));
    m_open.Set(static_cast<double>(open));
}

void RelayMetrics::setPlaces(std::size_t evacuated, std::size_t cold)
{
    m_evacuated.Set(static_cast<double>(evacuated));
    m_cold.Set(static_cast<double>(cold));
}

void RelayMetrics::setMemory(const http::RequestMemoryCounters &memory, const http::ServerCounters &server)
{
    m_bodyBytes.Set(static_cast<double>(memory.heldBytes));
    m_maxBodyBytes.Set(static_cast<double>(memory.maxBytes));
    m_refusedBodies.Set(static_cast<double>(memory.refused));
    m_evictedBodies.Set(static_cast<double>(memory.evicted));
    m_evictedHeads.Set(static_cast<double>(server.evictedHeads));
    m_evictedConnections.Set(static_cast<double>(server.evictedConnections));
}

void RelayMetrics::dropped()
{
    m_dropped.Increment();
}

std::string RelayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace bamboomoor::gateway
