/**
 * Forward declarations of the lineage module.
 */
#pragma once

namespace bamboomoor::lineage
{
class OriginAuthority;
class SoftwareRecorder;
class StreamJournal;
struct Origin;
struct StreamRecord;
} // namespace bamboomoor::lineage
