/**
 * Forward declarations of the consensus module.
 */
#pragma once

namespace bamboomoor::consensus
{
enum class EntryKind;
enum class Role;
enum class ChangeKind;
enum class ProposalStatus;
enum class RejectReason;
struct Entry;
struct HardState;
struct Snapshot;
struct Membership;
struct Options;
struct RecoveredState;
struct Message;
struct Outputs;
class Node;
} // namespace bamboomoor::consensus
