/**
 * Forward declarations of the relay module.
 */
#pragma once

namespace bamboomoor::relay
{
class Core;
class Effects;
class EventSplitter;
class Fleet;
class Pacer;
class RetryBudget;
class RouteTable;
class UpstreamReach;
struct ResponseHead;
struct Attempt;
struct Request;
struct Worker;
} // namespace bamboomoor::relay
