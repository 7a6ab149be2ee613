/**
 * Forward declarations of the routing module.
 */
#pragma once

namespace bamboomoor::routing
{
enum class PolicyKind;
enum class ChoiceKind;
enum class FailureKind;
enum class Decision;
enum class GiveUpReason;
struct Candidate;
struct Request;
struct OwnLoad;
struct View;
struct Choice;
struct RouterOptions;
struct Situation;
struct DeliveryOptions;
struct RetryBudgetOptions;
struct BackoffOptions;
class Policy;
class PrefixIndex;
class Router;
class RetryBudget;
class Backoff;
class Delivery;
} // namespace bamboomoor::routing
