/**
 * Forward declarations of the state module.
 */
#pragma once

namespace bamboomoor::state
{
struct ApplyConfig;
struct AddKey;
struct WithdrawKey;
struct OpenClaim;
struct FinishClaim;
struct AbandonClaims;
struct SweepClaims;
struct RaiseCeiling;
struct RecordIntent;
struct CloseIntent;
struct ReleaseClaim;
struct QuarantineEnd;
struct RecordQuarantines;
struct ServiceSoftware;
struct RecordSoftware;
struct SetEvacuation;
struct RecordWithdrawal;
struct ChangeOutcome;
struct ClaimOutcome;
struct CountOutcome;
struct CeilingOutcome;
struct IntentOutcome;
struct Malformed;
struct EvacuationOutcome;
struct Limits;
class Machine;
} // namespace bamboomoor::state
