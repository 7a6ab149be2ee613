/**
 * Forward declarations of the membership module.
 */
#pragma once

namespace bamboomoor::membership
{
enum class UpstreamKind;
enum class OrderResult;
enum class AnnounceOutcome;
enum class ParseErrorKind;
struct Resident;
struct Accelerator;
struct Load;
struct OrderOutcome;
struct Announcement;
struct ParseError;
struct Entry;
struct Renewal;
struct Removal;
struct Position;
struct Delta;
struct RegistryOptions;
class Registry;
} // namespace bamboomoor::membership
