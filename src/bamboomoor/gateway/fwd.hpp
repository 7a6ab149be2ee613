/**
 * Forward declarations of the gateway module.
 */
#pragma once

namespace bamboomoor::gateway
{
class CallerDialect;
class ControlApi;
class ControlDaemon;
class ControlDialect;
class ControlMetrics;
class EntryDaemon;
class PlanReply;
class RelayMetrics;
class RelayThread;
class UpstreamDialect;
struct Dialects;
} // namespace bamboomoor::gateway
