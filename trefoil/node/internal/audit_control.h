// The part of the control state that notes configuration changes in the audit trail.
//
//   NoteConfiguration(aState.mAudit, view, aNow);
//   ControlEffects effects = OnAuditTimer(aState.mAudit, aNow);
//
// In each availability zone one entry host, chosen by rendezvous hash, notes that a document is in
// force on all live hosts of the zone, or why it was refused. Two hosts that both take themselves
// for the chosen one note the same fact, which the trail holds once.
#pragma once

#include "trefoil/audit/recorder.h"
#include "trefoil/config/documents_in_force.h"
#include "trefoil/membership/members.h"
#include "trefoil/node/event.h"

#include <cstdint>
#include <map>

namespace trefoil {

struct AuditControl
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // One moment on both clocks.
  Instant mStartedAt;
  WallTime mStartedAtWall;
  AuditRecorder mRecorder;
  // The newest revision of each service that needs no further note.
  std::map<ServiceId, std::uint64_t> mNoted;
};

struct ConfigurationView
{
  const DocumentsInForce& mDocuments;
  const Members& mMembers;
};

// Returns the calendar time of `aNow`.
WallTime
WallTimeOf(const AuditControl& aState, Instant aNow);

// Notes the revisions that all live hosts of the zone have taken in.
void
NoteConfiguration(AuditControl& aState, const ConfigurationView& aView, Instant aNow);

// Takes in the end of a call of the topic kAudit.
ControlEffects
OnAudit(AuditControl& aState, const StoreReadDone& aEvent, Instant aNow);
ControlEffects
OnAudit(AuditControl& aState, const StoreWriteDone& aEvent, Instant aNow);

// Does what is due.
ControlEffects
OnAuditTimer(AuditControl& aState, Instant aNow);

} // namespace trefoil
