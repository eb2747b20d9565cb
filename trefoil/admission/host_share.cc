#include "trefoil/admission/host_share.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr Milliseconds kStartPeriod{ 5000 };

} // namespace

HostShare
MakeHostShare(HostShareOptions aOptions, Instant aNow)
{
  HostShare share{ .mOptions = std::move(aOptions), .mStartedBy = aNow + kStartPeriod };
  share.mHosts.insert(share.mOptions.mSelf);
  return share;
}

void
ApplyView(HostShare& aShare, std::set<HostId> aAlive, const std::set<HostId>& aLeaving)
{
  aAlive.insert(aShare.mOptions.mSelf);
  for (const HostId& host : aLeaving) {
    aAlive.erase(host);
    aShare.mHosts.erase(host);
  }
  const auto heard = std::ranges::count_if(
    aShare.mHosts, [&aAlive](const HostId& aHost) { return aAlive.contains(aHost); });
  const bool hearsMost = 2 * static_cast<std::size_t>(heard) > aShare.mHosts.size();
  if (hearsMost) {
    aShare.mHosts = std::move(aAlive);
    return;
  }
  aShare.mHosts.insert(aAlive.begin(), aAlive.end());
}

double
ShareOf(const HostShare& aShare, Instant aNow)
{
  const std::size_t known = std::max<std::size_t>(1, aShare.mHosts.size());
  const std::size_t hosts =
    HasPassed(aShare.mStartedBy, aNow) ? known : std::max(known, aShare.mOptions.mHostsAtStart);
  return 1.0 / static_cast<double>(hosts);
}

} // namespace trefoil
