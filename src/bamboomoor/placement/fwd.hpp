/**
 * Forward declarations of the placement module.
 */
#pragma once

namespace bamboomoor::placement
{
enum class OrderKind;
enum class IntentOutcome;
enum class OrderState;
enum class TransportResult;
enum class PolicyKind;
struct ModelRef;
struct Order;
struct CatalogueEntry;
struct DemandSample;
struct Slot;
struct AcceleratorLedger;
struct UpstreamLedger;
struct PlannerOptions;
class Ledger;
class TargetPolicy;
class Planner;
} // namespace bamboomoor::placement
