/**
 * Forward declarations of the admission module.
 */
#pragma once

namespace bamboomoor::admission
{
enum class Refusal;
enum class Ran;
struct ErrorBody;
struct Item;
class FairQueue;
} // namespace bamboomoor::admission
