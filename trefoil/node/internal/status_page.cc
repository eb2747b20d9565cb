#include "trefoil/node/internal/status_page.h"

#include <Poco/JSON/Object.h>
#include <sstream>

namespace trefoil {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr
MoveOf(const MoveView& aMove)
{
  Object::Ptr shares = new Object;
  for (const VersionShare& share : aMove.mShares) {
    shares->set(share.mVersion.Value(), share.mPermille);
  }
  Object::Ptr move = new Object;
  move->set("phase", std::string{ NameOf(kMovePhaseNames, aMove.mPhase) });
  move->set("version", aMove.mVersion.Value());
  move->set("record", aMove.mRecord);
  move->set("stopped_here", aMove.mStoppedLocally);
  move->set("held_here", aMove.mDutyHeldHere);
  move->set("shares", shares);
  return move;
}

// Sets whether the revision in force is in force on all hosts, and the time from when it came into
// force on this host until then.
void
SetPropagation(Object& aService, const ServiceView& aView)
{
  const RevisionPropagation& propagation = aView.mPropagation;
  const bool inForceEverywhere =
    propagation.mRevision == aView.mRevision && propagation.mReachedAllHostsAt.has_value();
  aService.set("in_force_everywhere", inForceEverywhere);
  if (inForceEverywhere) {
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(*propagation.mReachedAllHostsAt -
                                                                  propagation.mInForceAt);
    aService.set("accepted_to_everywhere_ms", elapsed.count());
  }
}

Array::Ptr
ServicesOf(const Snapshot& aSnapshot)
{
  Array::Ptr services = new Array;
  for (const auto& [id, view] : aSnapshot.mServices) {
    Object::Ptr service = new Object;
    service->set("service", id.Value());
    service->set("revision_in_force", view.mRevision);
    service->set("refused", view.mRefusal);
    service->set("move", MoveOf(view.mMove));
    SetPropagation(*service, view);
    services->add(service);
  }
  return services;
}

Array::Ptr
HostsOf(const Snapshot& aSnapshot)
{
  Array::Ptr hosts = new Array;
  for (const auto& [id, member] : aSnapshot.mMembers.mByHost) {
    Object::Ptr host = new Object;
    host->set("host", id.Value());
    host->set("availability_zone", member.mHeartbeat.mZone.Value());
    host->set("state", std::string{ NameOf(kMemberStateNames, member.mState) });
    host->set("config_revision", member.mHeartbeat.mConfigRevision);
    hosts->add(host);
  }
  return hosts;
}

Array::Ptr
ZonesOf(const Snapshot& aSnapshot)
{
  Array::Ptr zones = new Array;
  for (const auto& [id, view] : aSnapshot.mZones) {
    Object::Ptr zone = new Object;
    zone->set("availability_zone", id.Value());
    zone->set("heard_of_in_time", !HasPassed(view.mStaleAt, Now()));
    zone->set("live_hosts", view.mDigest.mLiveHosts);
    zone->set("lowest_revision", view.mDigest.mLowestRevision);
    zone->set("lowest_host", view.mDigest.mLowestHost.Value());
    zones->add(zone);
  }
  return zones;
}

// Returns the backend servers that are not up and receive no new work.
Array::Ptr
ServersNotUp(const Snapshot& aSnapshot)
{
  Array::Ptr servers = new Array;
  for (const auto& [id, report] : *aSnapshot.mServers) {
    if (report.mState == ServerState::kUp) {
      continue;
    }
    Object::Ptr server = new Object;
    server->set("server", id.Value());
    server->set("state", std::string{ NameOf(kServerStateNames, report.mState) });
    servers->add(server);
  }
  return servers;
}

} // namespace

HttpResponse
RenderStatusPage(const TrafficContext& aContext)
{
  const auto snapshot = aContext.mSnapshots->Read();
  Object page;
  page.set("host", aContext.mHost.Value());
  page.set("availability_zone", aContext.mZone.Value());
  page.set("ready", snapshot->mReady);
  page.set("store_reachable", snapshot->mStoreReachable);
  page.set("active_requests", aContext.mActiveRequests->load());
  page.set("services", ServicesOf(*snapshot));
  page.set("entry_hosts", HostsOf(*snapshot));
  page.set("other_zones", ZonesOf(*snapshot));
  page.set("servers_not_up", ServersNotUp(*snapshot));
  page.set("watches_store", snapshot->mWatchesStore);
  page.set("view_fresh", IsFresh(*snapshot, Now()));
  std::ostringstream text;
  page.stringify(text, 2);
  HttpResponse answer{ .mBody = text.str() + "\n" };
  SetHeader(answer.mHeaders, "Content-Type", "application/json");
  return answer;
}

} // namespace trefoil
