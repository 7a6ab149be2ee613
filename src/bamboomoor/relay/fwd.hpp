/**
 * Forward declarations of the relay module.
 */
#pragma once

namespace bamboomoor::relay
{
class Core;
class Effects;
class EventCutter;
class Fleet;
class Pacer;
class RetryAllowance;
class RouteTable;
struct AnswerHead;
struct Attempt;
struct Request;
struct Worker;
} // namespace bamboomoor::relay
