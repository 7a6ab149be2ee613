/**
 * Forward declarations of the reader module.
 */
#pragma once

namespace bamboomoor::reader
{
struct Problem;
struct Range;
class TableReader;
} // namespace bamboomoor::reader
