#include "standin/leases.h"

#include "absl/strings/numbers.h"

#include <fmt/format.h>
#include <string_view>

namespace trefoil::standin {
namespace {

constexpr std::string_view kLeasePath = "/v1/lease";
constexpr std::string_view kRenewSuffix = "/renew";
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

std::uint64_t
ParseLeaseNumber(std::string_view aPath)
{
  aPath.remove_prefix(std::min(aPath.size(), kLeasePath.size() + 1));
  if (aPath.ends_with(kRenewSuffix)) {
    aPath.remove_suffix(kRenewSuffix.size());
  }
  std::uint64_t lease = 0;
  return absl::SimpleAtoi(std::string{ aPath }, &lease) ? lease : 0;
}

HttpResponse
ServeGrant(Leases& aLeases, const HttpRequest& aRequest, Instant aNow)
{
  std::int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(QueryValue(aRequest.mTarget, "ttl_ms"), &milliseconds) ||
      milliseconds <= 0) {
    return { .mStatus = kHttpBadRequest, .mBody = "ttl_ms must be a positive number\n" };
  }
  const std::uint64_t lease = Grant(aLeases, Milliseconds{ milliseconds }, aNow);
  return { .mBody = fmt::format("{{\"lease\":{}}}", lease) };
}

} // namespace

std::uint64_t
Grant(Leases& aLeases, Milliseconds aTimeToLive, Instant aNow)
{
  const std::uint64_t lease = ++aLeases.mLastLease;
  aLeases.mLiveLeases[lease] = { .mTimeToLiveMilliseconds = aTimeToLive.count(),
                                 .mExpiresAt = aNow + aTimeToLive };
  return lease;
}

bool
Renew(Leases& aLeases, std::uint64_t aLease, Instant aNow)
{
  const auto found = aLeases.mLiveLeases.find(aLease);
  if (found == aLeases.mLiveLeases.end() || HasPassed(found->second.mExpiresAt, aNow)) {
    return false;
  }
  found->second.mExpiresAt = aNow + Milliseconds{ found->second.mTimeToLiveMilliseconds };
  return true;
}

void
Revoke(Leases& aLeases, std::uint64_t aLease, Instant aNow)
{
  const auto found = aLeases.mLiveLeases.find(aLease);
  if (found != aLeases.mLiveLeases.end()) {
    found->second.mExpiresAt = aNow;
  }
}

std::vector<std::uint64_t>
RemoveExpiredLeases(Leases& aLeases, Instant aNow)
{
  std::vector<std::uint64_t> expired;
  std::erase_if(aLeases.mLiveLeases, [&expired, aNow](const auto& aEntry) {
    const bool isExpired = HasPassed(aEntry.second.mExpiresAt, aNow);
    if (isExpired) {
      expired.push_back(aEntry.first);
    }
    return isExpired;
  });
  return expired;
}

HttpResponse
ServeLease(Leases& aLeases, const HttpRequest& aRequest, Instant aNow)
{
  const std::string_view path = PathOf(aRequest.mTarget);
  if (path == kLeasePath && aRequest.mMethod == "POST") {
    return ServeGrant(aLeases, aRequest, aNow);
  }
  const std::uint64_t lease = ParseLeaseNumber(path);
  if (aRequest.mMethod == "DELETE") {
    Revoke(aLeases, lease, aNow);
    return { .mBody = "{}" };
  }
  if (!path.ends_with(kRenewSuffix) || !Renew(aLeases, lease, aNow)) {
    return { .mStatus = kHttpNotFound, .mBody = "no such lease\n" };
  }
  return { .mBody = fmt::format("{{\"lease\":{}}}", lease) };
}

} // namespace trefoil::standin
