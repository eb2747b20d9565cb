// Decides what the failures of this host's connections to servers are blamed on, so that other
// hosts learn nothing of servers that only this host has lost (trefoil/request/server_links.h).
//
//   BlameForCrash(state, server, suspects, isDirect);   // a connection ended under a request
//   BlameVersion(state, service, version);              // a failed attempt
//   OnServerAnswered(state, server);
//
// What cannot be blamed yet is held until an answer shows whether the links are sound. All
// functions must be called on the traffic thread.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/request/held_crashes.h"

#include <vector>

namespace trefoil {

struct TrafficState;

// A failed attempt that is counted for its version only if the links turn out to be sound.
struct HeldFailure
{
  ServiceId mService;
  VersionId mVersion;
  Instant mAt;
};

struct HeldBlame
{
  HeldCrashes mCrashes;
  std::vector<HeldFailure> mFailures;
};

// Records a crash of the server under the suspects, at once or when an answer shows that the links
// are sound. The loss must have been recorded. If the connection was a direct one, a suspect
// is blamed for other crashes too, and this host turns out to have lost its link to the server, the
// crash is taken back on all hosts.
void
BlameForCrash(TrafficState& aState,
              const RegisteredServer& aServer,
              const CrashSuspects& aSuspects,
              bool aIsDirect);

// Counts a failed attempt for its version, with the next answer or report.
void
BlameVersion(TrafficState& aState, const ServiceId& aService, const VersionId& aVersion);

// Must be called when a server begins to answer.
void
OnServerAnswered(TrafficState& aState, const BackendServerId& aServer);

// Counts the failures that are held and may be blamed, and drops what is held for too long. Must be
// called before each report.
void
SettleBlame(TrafficState& aState);

} // namespace trefoil
