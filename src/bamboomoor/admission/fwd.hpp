/**
 * Forward declarations of the admission module.
 */
#pragma once

namespace bamboomoor::admission
{
enum class Refusal;
enum class Ran;
struct ErrorBody;
struct Request;
struct Admitted;
struct Item;
class Directory;
class Gate;
class FairQueue;
class Drain;
} // namespace bamboomoor::admission
