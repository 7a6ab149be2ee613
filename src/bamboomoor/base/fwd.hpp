/**
 * Forward declarations of the base module.
 */
#pragma once

namespace bamboomoor::base
{
struct Millis;
class Clock;
class SteadyClock;
class ManualClock;
class SharedBytes;
template<class Item>
class Ring;
template<class Enum, unsigned long Size>
class NameTable;
} // namespace bamboomoor::base
