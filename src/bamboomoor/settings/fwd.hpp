/**
 * Forward declarations of the settings module.
 */
#pragma once

namespace bamboomoor::settings
{
struct Voter;
struct ControlSettings;
struct UpstreamSettings;
struct EntrySettings;
struct MemorySettings;
struct BudgetSettings;
struct PlacementSettings;
struct Settings;
struct SettingsError;
} // namespace bamboomoor::settings
