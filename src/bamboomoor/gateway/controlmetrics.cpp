/**
 * Implements the Prometheus metrics of a control VM.
 */
#include "bamboomoor/gateway/controlmetrics.hpp"

#include <prometheus/text_serializer.h>

namespace bamboomoor::gateway
{

namespace
{

constexpr double MILLIS_PER_SECOND = 1'000.0;

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

ControlMetrics::ControlMetrics()
    : m_announcements(counters(m_registry, "bamboomoor_control_announcements_total", "Announcements, by verdict"))
    , m_withdrawals(counters(m_registry, "bamboomoor_control_withdrawals_total",
          "Calls of upstreams that withdraw themselves, by outcome"))
    , m_changes(counters(m_registry, "bamboomoor_control_changes_total", "Operators' changes, by outcome"))
    , m_evacuations(counters(
          m_registry, "bamboomoor_control_evacuation_calls_total", "Calls that begin or end evacuations, by outcome"))
    , m_orders(counters(m_registry, "bamboomoor_control_orders_total", "Orders sent, by kind and reason"))
    , m_verdicts(counters(m_registry, "bamboomoor_control_order_verdicts_total", "Orders ended, by verdict"))
    , m_arrivals(counters(
          m_registry, "bamboomoor_control_model_arrivals_total", "Models that came to workers, by source of weights"))
    , m_brittle(counters(m_registry, "bamboomoor_control_brittle_upstreams_total",
          "Upstreams that became or ceased to be brittle, by state"))
    , m_quarantines(counters(m_registry, "bamboomoor_control_quarantines_total",
          "Prompt parts that were quarantined as they crash upstreams")
                        .Add({}))
    , m_unreachable(
          counters(m_registry, "bamboomoor_control_unreachable_total", "Upstreams found to accept no connection")
              .Add({}))
    , m_permits(
          counters(m_registry, "bamboomoor_control_permits_total", "Permits granted for limited upstreams").Add({}))
    , m_orderTime(prometheus::BuildHistogram()
                      .Name("bamboomoor_control_order_seconds")
                      .Help("From an order to its answer")
                      .Register(m_registry)
                      .Add({}, prometheus::Histogram::BucketBoundaries{0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0}))
    , m_roundTime(prometheus::BuildHistogram()
                      .Name("bamboomoor_control_residency_round_seconds")
                      .Help("Rounds of events and a decision of the thread that orders models")
                      .Register(m_registry)
                      .Add({}, prometheus::Histogram::BucketBoundaries{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0}))
    , m_leading(prometheus::BuildGauge()
                    .Name("bamboomoor_control_leading")
                    .Help("1 while this VM orders models and adapters")
                    .Register(m_registry)
                    .Add({}))
{
}

void ControlMetrics::announced(std::string_view verdict)
{
    m_announcements.Add({{"verdict", std::string(verdict)}}).Increment();
}

void ControlMetrics::withdrawn(std::string_view outcome)
{
    m_withdrawals.Add({{"outcome", std::string(outcome)}}).Increment();
}

void ControlMetrics::changed(std::string_view outcome)
{
    m_changes.Add({{"outcome", std::string(outcome)}}).Increment();
}

void ControlMetrics::evacuated(std::string_view outcome)
{
    m_evacuations.Add({{"outcome", std::string(outcome)}}).Increment();
}

void ControlMetrics::ordered(std::string_view kind, std::string_view reason)
{
    m_orders.Add({{"kind", std::string(kind)}, {"reason", std::string(reason)}}).Increment();
}

void ControlMetrics::orderEnded(std::string_view verdict, base::Millis span)
{
    m_verdicts.Add({{"verdict", std::string(verdict)}}).Increment();
    m_orderTime.Observe(static_cast<double>(span.count) / MILLIS_PER_SECOND);
}

void ControlMetrics::modelArrived(std::string_view source)
{
    m_arrivals.Add({{"source", std::string(source)}}).Increment();
}

void ControlMetrics::roundEnded(base::Millis span)
{
    m_roundTime.Observe(static_cast<double>(span.count) / MILLIS_PER_SECOND);
}

void ControlMetrics::partQuarantined()
{
    m_quarantines.Increment();
}

void ControlMetrics::unreachable()
{
    m_unreachable.Increment();
}

void ControlMetrics::brittleChanged(bool begun)
{
    m_brittle.Add({{"state", begun ? "begun" : "ended"}}).Increment();
}

void ControlMetrics::permitsGranted(std::int64_t permits)
{
    m_permits.Increment(static_cast<double>(permits));
}

void ControlMetrics::setLeading(bool leads)
{
    m_leading.Set(leads ? 1 : 0);
}

std::string ControlMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace bamboomoor::gateway
