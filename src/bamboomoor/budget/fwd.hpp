/**
 * Forward declarations of the budget module.
 */
#pragma once

namespace bamboomoor::budget
{
struct Limit;
struct Ask;
struct Reply;
struct Admission;
struct Ceiling;
class Bucket;
class Authority;
class Holder;
} // namespace bamboomoor::budget
