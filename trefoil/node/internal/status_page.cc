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
  move->set("stopped_here", aMove.mStopped);
  move->set("held_here", aMove.mHeldHere);
  move->set("shares", shares);
  return move;
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
    host->set("availability_zone", member.mLast.mZone.Value());
    host->set("state", std::string{ NameOf(kMemberStateNames, member.mState) });
    host->set("config_revision", member.mLast.mConfigRevision);
    hosts->add(host);
  }
  return hosts;
}

} // namespace

HttpAnswer
RenderStatusPage(const TrafficContext& aContext)
{
  const auto snapshot = aContext.mSnapshots->Read();
  Object page;
  page.set("host", aContext.mHost.Value());
  page.set("availability_zone", aContext.mZone.Value());
  page.set("ready", snapshot->mReady);
  page.set("store_reachable", snapshot->mStoreReachable);
  page.set("active_requests", aContext.mActive->load());
  page.set("services", ServicesOf(*snapshot));
  page.set("entry_hosts", HostsOf(*snapshot));
  std::ostringstream text;
  page.stringify(text, 2);
  HttpAnswer answer{ .mBody = text.str() + "\n" };
  SetHeader(answer.mHeaders, "Content-Type", "application/json");
  return answer;
}

} // namespace trefoil
