/**
 * Forward declarations of the admission module.
 */
#pragma once

namespace bamboomoor::admission
{
class FairQueue;
struct ErrorBody;
struct QueueItem;
struct QueueOptions;
} // namespace bamboomoor::admission
