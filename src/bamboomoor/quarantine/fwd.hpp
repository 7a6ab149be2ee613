/**
 * Forward declarations of the quarantine module.
 */
#pragma once

namespace bamboomoor::quarantine
{
class CrashAnalysis;
class PromptGuard;
struct LostAttempt;
struct Quarantine;
struct Survival;
} // namespace bamboomoor::quarantine
