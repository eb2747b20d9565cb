#include "trefoil/admission/host_share.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr Milliseconds kStartPeriod{ 5000 };

// Returns how many of the hosts that were known the view names.
std::size_t
HeardOf(const HostShare& aShare, const HostView& aView)
{
  std::size_t heard = 0;
  for (const HostId& host : aShare.mHosts) {
    heard += aView.mAlive.contains(host) ? 1 : 0;
  }
  for (const auto& [zone, known] : aShare.mOtherZones) {
    const auto found = aView.mOtherZones.find(zone);
    heard += found == aView.mOtherZones.end() ? 0 : std::min(known, found->second);
  }
  return heard;
}

} // namespace

HostShare
MakeHostShare(HostShareOptions aOptions, Instant aNow)
{
  HostShare share{ .mOptions = std::move(aOptions), .mStartedBy = aNow + kStartPeriod };
  share.mHosts.insert(share.mOptions.mSelf);
  return share;
}

bool
ApplyView(HostShare& aShare, HostView aView)
{
  aView.mAlive.insert(aShare.mOptions.mSelf);
  for (const HostId& host : aView.mLeaving) {
    aView.mAlive.erase(host);
    aShare.mHosts.erase(host);
  }
  if (2 * HeardOf(aShare, aView) > HostCount(aShare)) {
    aShare.mHosts = std::move(aView.mAlive);
    aShare.mOtherZones = std::move(aView.mOtherZones);
    return true;
  }
  aShare.mHosts.insert(aView.mAlive.begin(), aView.mAlive.end());
  for (const auto& [zone, hosts] : aView.mOtherZones) {
    std::size_t& known = aShare.mOtherZones[zone];
    known = std::max(known, hosts);
  }
  return false;
}

std::size_t
HostCount(const HostShare& aShare)
{
  std::size_t hosts = aShare.mHosts.size();
  for (const auto& [zone, count] : aShare.mOtherZones) {
    hosts += count;
  }
  return hosts;
}

double
ShareOf(const HostShare& aShare, Instant aNow)
{
  const std::size_t known = std::max<std::size_t>(1, HostCount(aShare));
  const std::size_t hosts =
    HasPassed(aShare.mStartedBy, aNow) ? known : std::max(known, aShare.mOptions.mHostsAtStart);
  return 1.0 / static_cast<double>(hosts);
}

} // namespace trefoil
