/**
 * Forward declarations of the admission module.
 */
#pragma once

namespace bamboomoor::admission
{
enum class Refusal;
enum class Execution;
struct ErrorBody;
struct Item;
class FairQueue;
} // namespace bamboomoor::admission
