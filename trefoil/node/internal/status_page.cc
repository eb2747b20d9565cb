#include "trefoil/node/internal/status_page.h"

#include <Poco/JSON/Object.h>
#include <sstream>

namespace trefoil {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Array::Ptr
ServicesOf(const Snapshot& aSnapshot)
{
  Array::Ptr services = new Array;
  for (const auto& [id, view] : aSnapshot.mServices) {
    Object::Ptr service = new Object;
    service->set("service", id.Value());
    service->set("revision_in_force", view.mRevision);
    service->set("refused", view.mRefusal);
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
