#include "trefoil/admission/host_share.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr Milliseconds kStartupPeriod{ 5000 };

// Returns how many of the tracked hosts are in the view.
std::size_t
CountTrackedInView(const HostShare& aShare, const HostView& aView)
{
  std::size_t inView = 0;
  for (const HostId& host : aShare.mHosts) {
    inView += aView.mAlive.contains(host) ? 1 : 0;
  }
  for (const auto& [zone, tracked] : aShare.mOtherZones) {
    const auto found = aView.mOtherZones.find(zone);
    inView += found == aView.mOtherZones.end() ? 0 : std::min(tracked, found->second);
  }
  return inView;
}

} // namespace

HostShare
MakeHostShare(HostShareOptions aOptions, Instant aNow)
{
  HostShare share{ .mOptions = std::move(aOptions), .mStartupEndsAt = aNow + kStartupPeriod };
  share.mHosts.insert(share.mOptions.mSelf);
  return share;
}

bool
ApplyHostView(HostShare& aShare, HostView aView)
{
  aView.mAlive.insert(aShare.mOptions.mSelf);
  for (const HostId& host : aView.mLeaving) {
    aView.mAlive.erase(host);
    aShare.mHosts.erase(host);
  }
  if (2 * CountTrackedInView(aShare, aView) > HostCount(aShare)) {
    aShare.mHosts = std::move(aView.mAlive);
    aShare.mOtherZones = std::move(aView.mOtherZones);
    return true;
  }
  aShare.mHosts.insert(aView.mAlive.begin(), aView.mAlive.end());
  for (const auto& [zone, hosts] : aView.mOtherZones) {
    std::size_t& tracked = aShare.mOtherZones[zone];
    tracked = std::max(tracked, hosts);
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
  const std::size_t tracked = std::max<std::size_t>(1, HostCount(aShare));
  const std::size_t hosts = HasPassed(aShare.mStartupEndsAt, aNow)
                              ? tracked
                              : std::max(tracked, aShare.mOptions.mHostsAtStart);
  return 1.0 / static_cast<double>(hosts);
}

} // namespace trefoil
