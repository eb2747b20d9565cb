// The part of the control state that records configuration changes in the audit trail.
//
//   RecordConfiguration(aState.mAudit, view, aNow);
//   ControlEffects effects = OnAuditTimer(aState.mAudit, aNow);
//
// In each availability zone one entry host, chosen by rendezvous hashing, records that a document
// is in force on all live hosts of the zone, or why it was refused. If the members differ between
// two hosts, both may record the same change; the trail stores it once.
#pragma once

#include "trefoil/audit/recorder.h"
#include "trefoil/config/documents_in_force.h"
#include "trefoil/membership/members.h"
#include "trefoil/node/event.h"

#include <cstdint>
#include <map>

namespace trefoil {

struct AuditControlState
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // The start time by the monotonic clock and by the wall clock, to convert between them.
  Instant mStartedAt;
  WallTime mStartedAtWall;
  AuditRecorder mRecorder;
  // The newest revision of each service that needs no further record by this host.
  std::map<ServiceId, std::uint64_t> mRecordedRevisions;
};

// The documents and the members that RecordConfiguration compares. Holds references.
struct ConfigurationView
{
  const DocumentsInForce& mDocuments;
  const Members& mMembers;
};

// Returns the wall-clock time at `aNow`.
WallTime
WallTimeOf(const AuditControlState& aState, Instant aNow);

// Records the revisions that all live hosts of the zone have seen, if this host is the chosen one.
void
RecordConfiguration(AuditControlState& aState, const ConfigurationView& aView, Instant aNow);

// Applies the result of a store call of topic kAudit.
ControlEffects
OnAudit(AuditControlState& aState, const StoreReadCompleted& aEvent, Instant aNow);
ControlEffects
OnAudit(AuditControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow);

// Performs the actions that are due at `aNow`.
ControlEffects
OnAuditTimer(AuditControlState& aState, Instant aNow);

} // namespace trefoil
