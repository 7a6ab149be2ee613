/**
 * Forward declarations of the budget module.
 */
#pragma once

namespace bamboomoor::budget
{
struct Limit;
struct TokenRequest;
struct TokenReply;
struct Admission;
struct Ceiling;
class Bucket;
class Authority;
class Holder;
} // namespace bamboomoor::budget
