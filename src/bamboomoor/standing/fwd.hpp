/**
 * Forward declarations of the standing module.
 */
#pragma once

namespace bamboomoor::standing
{
class PermitBook;
class Standing;
struct Run;
struct Word;
} // namespace bamboomoor::standing
