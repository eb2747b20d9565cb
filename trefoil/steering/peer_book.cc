#include "trefoil/steering/peer_book.h"

#include "trefoil/base/median.h"
#include "trefoil/wire/crash_exchange.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Calendars that differ by less agree.
constexpr Milliseconds kClockNoise{ 100 };
// A host is out of touch once so many of its messages are missing.
constexpr int kMissingNews = 4;
// Hosts that must agree that a server is broken: one alone may have lost its own way to it.
constexpr int kAgreeing = 2;
// News are sent so often among a few hosts: a quota is overrun by at most what comes in that time
// and a way.
constexpr Milliseconds kShortestInterval{ 250 };
// The messages that a host takes in a second, which bounds their cost, and the longest interval.
constexpr int kNewsPerSecond = 64;
constexpr Milliseconds kLongestInterval{ 1'000 };
// A host that the store does not list is forgotten after this; a store's outage is shorter.
constexpr Milliseconds kForgetAfter{ 15'000 };

std::map<ClientAccountId, std::uint64_t>
QuotasOf(const TrafficUpdate& aUpdate)
{
  std::map<ClientAccountId, std::uint64_t> quotas;
  for (const AccountTotal& total : aUpdate.mQuotas) {
    quotas[total.mAccount] = total.mUsed;
  }
  return quotas;
}

} // namespace

PeerUpdate
TakeNews(PeerBook& aBook, const TrafficUpdate& aUpdate, Instant aNow)
{
  if (aUpdate.mHost == aBook.mSelf) {
    return {};
  }
  Peer& peer = aBook.mPeers[aUpdate.mHost];
  const bool sameLife = peer.mUpdate.mIncarnation == aUpdate.mIncarnation;
  // Incarnations are not ordered, since the calendar of a host may have jumped back at its start.
  const auto lives = aBook.mUsage.find(aUpdate.mHost);
  const bool formerLife =
    !sameLife && lives != aBook.mUsage.end() && lives->second.contains(aUpdate.mIncarnation);
  if (formerLife || (sameLife && aUpdate.mSequence <= peer.mUpdate.mSequence)) {
    return {};
  }
  PeerUpdate news;
  // A host that was out of touch, or is new, used its own share meanwhile.
  if (sameLife && aNow - peer.mHeardAt < kMissingNews * NewsInterval(aBook, aNow)) {
    const auto before = QuotasOf(peer.mUpdate);
    for (const AccountTotal& total : aUpdate.mQuotas) {
      const auto known = before.find(total.mAccount);
      const std::uint64_t used = known == before.end() ? 0 : known->second;
      if (total.mUsed > used) {
        news.mQuotaUsed[total.mAccount] = static_cast<double>(total.mUsed - used);
      }
    }
  }
  for (const CrashReport& crash : aUpdate.mCrashes) {
    news.mCrashes.push_back(ToCrashCount(crash));
  }
  UsageWindows& usage = aBook.mUsage[aUpdate.mHost][aUpdate.mIncarnation];
  for (const WindowCount& count : aUpdate.mUsage) {
    std::int64_t& known = usage[count.mWindow][count.mAccount];
    known = std::max(known, count.mRequests);
  }
  peer.mUpdate = aUpdate;
  peer.mHeardAt = aNow;
  return news;
}

bool
IsUnknown(const PeerBook& aBook, const TrafficUpdate& aUpdate)
{
  const auto peer = aBook.mPeers.find(aUpdate.mHost);
  return aUpdate.mHost != aBook.mSelf &&
         (peer == aBook.mPeers.end() || peer->second.mUpdate.mIncarnation != aUpdate.mIncarnation);
}

void
NoteClock(PeerBook& aBook, const TrafficUpdate& aUpdate, WallTime aWallNow)
{
  const auto peer = aBook.mPeers.find(aUpdate.mHost);
  if (peer != aBook.mPeers.end()) {
    peer->second.mClockAhead = Milliseconds{ aUpdate.mWallMs - UnixMilliseconds(aWallNow) };
  }
}

Milliseconds
ClockCorrection(const PeerBook& aBook, Instant aNow)
{
  std::vector<Milliseconds> ahead{ Milliseconds{ 0 } };
  for (const HostId& host : LivePeers(aBook, aNow)) {
    ahead.push_back(aBook.mPeers.at(host).mClockAhead);
  }
  const Milliseconds middle = Median(std::move(ahead));
  // The ways of the messages differ by as much.
  return std::chrono::abs(middle) < kClockNoise ? Milliseconds{ 0 } : middle;
}

Milliseconds
NewsInterval(const PeerBook& aBook, Instant aNow)
{
  std::size_t hosts = aBook.mListed.size();
  for (const auto& [host, peer] : aBook.mPeers) {
    const bool recent = aNow - peer.mHeardAt < kForgetAfter;
    hosts += recent && !aBook.mListed.contains(host) ? 1 : 0;
  }
  constexpr std::int64_t kMsPerSecond = 1'000;
  const Milliseconds wanted{ static_cast<std::int64_t>(hosts) * kMsPerSecond / kNewsPerSecond };
  return std::clamp(wanted, kShortestInterval, kLongestInterval);
}

std::vector<HostId>
LivePeers(const PeerBook& aBook, Instant aNow)
{
  const Milliseconds silent = kMissingNews * NewsInterval(aBook, aNow);
  std::vector<HostId> live;
  for (const auto& [host, peer] : aBook.mPeers) {
    if (aNow - peer.mHeardAt < silent && !peer.mUpdate.mLeaving) {
      live.push_back(host);
    }
  }
  return live;
}

int
HostCount(const PeerBook& aBook, Instant aNow)
{
  std::set<HostId> hosts{ aBook.mSelf };
  for (const auto& [host, endpoint] : aBook.mListed) {
    const auto peer = aBook.mPeers.find(host);
    if (peer == aBook.mPeers.end() || !peer->second.mUpdate.mLeaving) {
      hosts.insert(host);
    }
  }
  for (const HostId& host : LivePeers(aBook, aNow)) {
    hosts.insert(host);
  }
  return static_cast<int>(hosts.size());
}

double
QuotaShare(const PeerBook& aBook, Instant aNow)
{
  const auto inTouch = static_cast<double>(LivePeers(aBook, aNow).size() + 1);
  return std::min(1.0, inTouch / HostCount(aBook, aNow));
}

std::map<Endpoint, bool>
Recipients(const PeerBook& aBook, const AvailabilityZoneId& aZone, Instant aNow)
{
  std::map<Endpoint, bool> recipients;
  for (const auto& [host, endpoint] : aBook.mListed) {
    if (host != aBook.mSelf) {
      recipients[endpoint] = true;
    }
  }
  for (const auto& [host, peer] : aBook.mPeers) {
    if (aNow - peer.mHeardAt < kForgetAfter) {
      recipients[peer.mUpdate.mEndpoint] = peer.mUpdate.mHoldsDuties || peer.mUpdate.mZone == aZone;
    }
  }
  return recipients;
}

std::map<ClientAccountId, std::int64_t>
UsageElsewhere(const PeerBook& aBook, std::int64_t aWindow)
{
  std::map<ClientAccountId, std::int64_t> counts;
  for (const auto& [host, incarnations] : aBook.mUsage) {
    for (const auto& [incarnation, windows] : incarnations) {
      const auto window = windows.find(aWindow);
      if (window == windows.end()) {
        continue;
      }
      for (const auto& [account, requests] : window->second) {
        counts[account] += requests;
      }
    }
  }
  return counts;
}

void
DropUsageBefore(PeerBook& aBook, std::int64_t aWindow)
{
  for (auto& [host, incarnations] : aBook.mUsage) {
    for (auto& [incarnation, windows] : incarnations) {
      windows.erase(windows.begin(), windows.lower_bound(aWindow));
    }
    std::erase_if(incarnations, [](const auto& aItem) { return aItem.second.empty(); });
  }
  std::erase_if(aBook.mUsage, [](const auto& aItem) { return aItem.second.empty(); });
}

std::set<BackendServerId>
BrokenElsewhere(const PeerBook& aBook, Instant aNow)
{
  std::map<BackendServerId, int> told;
  for (const HostId& host : LivePeers(aBook, aNow)) {
    for (const BackendServerId& server : aBook.mPeers.at(host).mUpdate.mBroken) {
      ++told[server];
    }
  }
  std::set<BackendServerId> broken;
  for (const auto& [server, hosts] : told) {
    if (hosts >= kAgreeing) {
      broken.insert(server);
    }
  }
  return broken;
}

} // namespace trefoil
