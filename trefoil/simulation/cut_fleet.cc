#include "trefoil/simulation/cut_fleet.h"

#include "trefoil/relay/relay_limits.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>

namespace trefoil {
namespace {

// As in trefoil/forward.
constexpr int kMaxFailedConnects = 8;
constexpr Milliseconds kRequestTimeout{ 3'000 };
constexpr Milliseconds kConnectTimeout{ 250 };
constexpr Milliseconds kProbeInterval{ 100 };
constexpr int kMaxSearches = 2;
// The time of a request on its connection.
constexpr Milliseconds kWork{ 100 };
constexpr Milliseconds kOwnZoneRoundTrip{ 1 };
constexpr Milliseconds kOtherZoneRoundTrip{ 3 };
constexpr Milliseconds kSecond{ 1'000 };
constexpr Milliseconds kTenth{ 100 };

// Counts events by the second, or by another time, in which they happened.
template<typename Key>
using Rates = std::map<std::pair<std::int64_t, Key>, std::size_t>;

struct Host
{
  std::size_t mIndex = 0;
  bool mIsCutOff = false;
  ServerPaths mPaths;
  Carriers mCarriers;
  std::size_t mCarried = 0;
  std::size_t mOwnConnections = 0;
  bool mProbesScheduled = false;
  std::set<BackendServerId> mProbedServers;
  int mSearches = 0;
};

struct Request
{
  std::size_t mHost = 0;
  Instant mSentAt;
  int mFailedConnects = 0;
};

class CutFleet
{
public:
  explicit CutFleet(const CutFleetOptions& aOptions);

  CutFleetReport Run();

private:
  using Action = std::function<void()>;
  struct Event
  {
    Instant mAt;
    std::uint64_t mNumber = 0;
    std::shared_ptr<Action> mAction;

    bool operator<(const Event& aOther) const
    {
      return std::pair{ mAt, mNumber } > std::pair{ aOther.mAt, aOther.mNumber };
    }
  };

  void After(Milliseconds aDelay, Action aAction);
  Milliseconds SinceStart() const
  {
    return std::chrono::duration_cast<Milliseconds>(mNow - kStart);
  }
  bool IsCut(const Host& aHost) const;
  Milliseconds RoundTrip(const AvailabilityZoneId& aFrom, const AvailabilityZoneId& aTo) const;
  AvailabilityZoneId ZoneOf(std::size_t aIndex) const;

  void ScheduleRequest(std::size_t aHost);
  // Returns a server of the best reach, of the host's zone first.
  const RegisteredServer* ChooseServer(const Host& aHost);
  void Attempt(const Request& aRequest);
  void OnFailed(Request aRequest, const RegisteredServer& aServer);
  void Count(const Request& aRequest, bool aIsServed);

  void ConnectDirectly(Host& aHost,
                       const RegisteredServer& aServer,
                       std::function<void(bool)> aOnEnd);
  // Connects without knowing anything of paths.
  void Dial(Host& aHost, const RegisteredServer& aServer, std::function<void(bool)> aOnEnd);
  void Ask(Host& aHost,
           const RegisteredServer& aServer,
           std::size_t aCarrier,
           std::function<void(bool)> aOnEnd);
  // What the carrier does; ends with its answer.
  void Answer(Host& aCarrier,
              const RegisteredServer& aServer,
              std::function<void(RelayStatus)> aOnEnd);
  std::optional<std::size_t> NextCarrier(Host& aHost, const RegisteredServer& aServer);
  void ProbeRelayedPath(Host& aHost, const RegisteredServer& aServer);
  void ProbeDirectPath(Host& aHost, const RegisteredServer& aServer);
  void ScheduleProbes(Host& aHost);
  void RecordFailure(Host& aHost, const RegisteredServer& aServer);

  static constexpr Instant kStart{ std::chrono::hours{ 1 } };

  CutFleetOptions mOptions;
  CutFleetReport mReport;
  std::vector<Host> mHosts;
  ServerRegistry mServers;
  std::vector<const RegisteredServer*> mServerList;
  std::mt19937_64 mRandom;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextNumber = 0;
  Instant mNow = kStart;
  Rates<int> mAsks;
  Rates<std::size_t> mCarriedRates;
  Rates<BackendServerId> mDirectRates;
};

CutFleet::CutFleet(const CutFleetOptions& aOptions)
  : mOptions(aOptions)
  , mHosts(aOptions.mHosts)
  , mRandom(aOptions.mSeed)
{
  for (std::size_t i = 0; i < mOptions.mServers; ++i) {
    const BackendServerId id{ fmt::format("e{}", i) };
    mServers.mServers[id] = { .mId = id, .mIncarnation = 1, .mZone = ZoneOf(i) };
  }
  for (const auto& [id, server] : mServers.mServers) {
    mServerList.push_back(&server);
  }
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    Host& host = mHosts[i];
    host.mIndex = i;
    for (std::size_t j = 0; j < mHosts.size(); ++j) {
      if (i != j) {
        host.mCarriers.push_back({ .mHost = HostId{ fmt::format("{}", j) }, .mZone = ZoneOf(j) });
      }
    }
  }
  for (const std::size_t i : mOptions.mCutOff) {
    mHosts[i].mIsCutOff = true;
  }
}

AvailabilityZoneId
CutFleet::ZoneOf(std::size_t aIndex) const
{
  return AvailabilityZoneId{ fmt::format("zone-{}", aIndex % mOptions.mZones) };
}

Milliseconds
CutFleet::RoundTrip(const AvailabilityZoneId& aFrom, const AvailabilityZoneId& aTo) const
{
  return aFrom == aTo ? kOwnZoneRoundTrip : kOtherZoneRoundTrip;
}

void
CutFleet::After(Milliseconds aDelay, Action aAction)
{
  mEvents.push({ .mAt = mNow + aDelay,
                 .mNumber = mNextNumber++,
                 .mAction = std::make_shared<Action>(std::move(aAction)) });
}

bool
CutFleet::IsCut(const Host& aHost) const
{
  return aHost.mIsCutOff && SinceStart() >= mOptions.mCutAt && SinceStart() < mOptions.mHealedAt;
}

void
CutFleet::ScheduleRequest(std::size_t aHost)
{
  std::exponential_distribution<double> gap{ mOptions.mRequestRate / 1'000.0 };
  After(Milliseconds{ static_cast<std::int64_t>(gap(mRandom)) }, [this, aHost] {
    Attempt({ .mHost = aHost, .mSentAt = mNow });
    ScheduleRequest(aHost);
  });
}

const RegisteredServer*
CutFleet::ChooseServer(const Host& aHost)
{
  const AvailabilityZoneId zone = ZoneOf(aHost.mIndex);
  const std::size_t start = mRandom() % mServerList.size();
  const RegisteredServer* sound = nullptr;
  const RegisteredServer* unproven = nullptr;
  for (std::size_t i = 0; i < mServerList.size(); ++i) {
    const RegisteredServer* server = mServerList[(start + i) % mServerList.size()];
    switch (ReachOf(aHost.mPaths, *server, aHost.mCarriers, mNow)) {
      case ServerReach::kDirect:
      case ServerReach::kRelayed:
        if (server->mZone == zone) {
          return server;
        }
        sound = sound == nullptr ? server : sound;
        break;
      case ServerReach::kUnproven:
        unproven = unproven == nullptr || server->mZone == zone ? server : unproven;
        break;
      case ServerReach::kUnreachable:
        break;
    }
  }
  return sound != nullptr ? sound : unproven;
}

void
CutFleet::Attempt(const Request& aRequest)
{
  Host& host = mHosts[aRequest.mHost];
  const RegisteredServer* server = ChooseServer(host);
  if (server == nullptr) {
    Count(aRequest, false);
    return;
  }
  const auto onEnd = [this, &host, aRequest, server](bool aIsOpen) {
    if (aIsOpen) {
      Count(aRequest, true);
      ++host.mOwnConnections;
      After(kWork, [&host] { --host.mOwnConnections; });
    } else {
      ProbeRelayedPath(host, *server);
      OnFailed(aRequest, *server);
    }
  };
  const bool isDirect = HasDirectPath(host.mPaths, *server);
  const auto carrier = isDirect ? std::nullopt : NextCarrier(host, *server);
  if (carrier.has_value()) {
    Ask(host, *server, *carrier, onEnd);
  } else {
    ConnectDirectly(host, *server, onEnd);
  }
}

void
CutFleet::OnFailed(Request aRequest, const RegisteredServer& /*aServer*/)
{
  ++aRequest.mFailedConnects;
  if (aRequest.mFailedConnects >= kMaxFailedConnects ||
      HasPassed(aRequest.mSentAt + kRequestTimeout, mNow)) {
    Count(aRequest, false);
    return;
  }
  Attempt(aRequest);
}

void
CutFleet::Count(const Request& aRequest, bool aIsServed)
{
  const auto sentAt = std::chrono::duration_cast<Milliseconds>(aRequest.mSentAt - kStart);
  if (sentAt < mOptions.mCutAt) {
    return;
  }
  RequestCounts* counts = &mReport.mOthers;
  if (mHosts[aRequest.mHost].mIsCutOff) {
    counts = sentAt >= mOptions.mHealedAt                  ? &mReport.mHealed
             : sentAt >= mOptions.mCutAt + mOptions.mBound ? &mReport.mLate
                                                           : &mReport.mEarly;
  }
  ++counts->mAll;
  counts->mServed += aIsServed ? 1 : 0;
  if (aIsServed && counts == &mReport.mLate) {
    const auto took = std::chrono::duration_cast<Milliseconds>(mNow - aRequest.mSentAt);
    mReport.mSlowestLate = std::max(mReport.mSlowestLate, took);
  }
}

void
CutFleet::Dial(Host& aHost, const RegisteredServer& aServer, std::function<void(bool)> aOnEnd)
{
  ++mDirectRates[{ SinceStart() / kTenth, aServer.mId }];
  const Milliseconds roundTrip = RoundTrip(ZoneOf(aHost.mIndex), aServer.mZone);
  if (!IsCut(aHost)) {
    After(roundTrip, [onEnd = std::move(aOnEnd)] { onEnd(true); });
    return;
  }
  After(mOptions.mFailure == ConnectFailure::kTimedOut ? kConnectTimeout : roundTrip,
        [onEnd = std::move(aOnEnd)] { onEnd(false); });
}

void
CutFleet::RecordFailure(Host& aHost, const RegisteredServer& aServer)
{
  RecordConnectFailure(
    aHost.mPaths, aServer, mOptions.mFailure, mServers.mServers.size(), mRandom(), mNow);
  ScheduleProbes(aHost);
}

void
CutFleet::ConnectDirectly(Host& aHost,
                          const RegisteredServer& aServer,
                          std::function<void(bool)> aOnEnd)
{
  Dial(aHost, aServer, [this, &aHost, &aServer, onEnd = std::move(aOnEnd)](bool aIsOpen) {
    if (!aIsOpen) {
      RecordFailure(aHost, aServer);
    } else {
      const bool wasCutOff = aHost.mPaths.mCutOffSince.has_value();
      RecordConnected(aHost.mPaths, aServer, mRandom(), mNow);
      if (wasCutOff && SinceStart() >= mOptions.mHealedAt) {
        mReport.mAllDirectAfter =
          std::max(mReport.mAllDirectAfter, SinceStart() - mOptions.mHealedAt);
      }
    }
    onEnd(aIsOpen);
  });
}

std::optional<std::size_t>
CutFleet::NextCarrier(Host& aHost, const RegisteredServer& aServer)
{
  return ChooseCarrier(aHost.mPaths,
                       aServer,
                       aHost.mCarriers,
                       { .mZone = ZoneOf(aHost.mIndex), .mRandomValue = mRandom() },
                       mNow);
}

void
CutFleet::Ask(Host& aHost,
              const RegisteredServer& aServer,
              std::size_t aCarrier,
              std::function<void(bool)> aOnEnd)
{
  const Carrier carrier = aHost.mCarriers[aCarrier];
  Host& other = mHosts[aCarrier < aHost.mIndex ? aCarrier : aCarrier + 1];
  ++mReport.mAsks;
  ++mAsks[{ SinceStart() / kSecond, 0 }];
  const auto onAnswered =
    [this, &aHost, &aServer, &other, carrier, onEnd = std::move(aOnEnd)](RelayStatus aStatus) {
      if (aStatus == RelayStatus::kConnected) {
        RecordRelayed(aHost.mPaths, aServer, carrier.mHost, mNow);
        After(kWork, [&other] { --other.mCarried; });
        onEnd(true);
        return;
      }
      ++mReport.mDeclined;
      const CarrierFailure failure = aStatus == RelayStatus::kUnreachable
                                       ? CarrierFailure::kServerUnreachable
                                       : CarrierFailure::kDeclined;
      mReport.mBlamed +=
        RecordRelayFailure(aHost.mPaths, aServer, carrier.mHost, failure, mRandom(), mNow) ? 1 : 0;
      onEnd(false);
    };
  // The connection to the carrier is established before it is asked.
  After(RoundTrip(ZoneOf(aHost.mIndex), carrier.mZone) * 2,
        [this, &other, &aServer, onAnswered] { Answer(other, aServer, onAnswered); });
}

void
CutFleet::Answer(Host& aCarrier,
                 const RegisteredServer& aServer,
                 std::function<void(RelayStatus)> aOnEnd)
{
  const auto reason =
    ReasonToDecline({ .mCarried = aCarrier.mCarried,
                      .mOpenConnections = aCarrier.mCarried * 2 + aCarrier.mOwnConnections * 2 },
                    { .mMaxConnections = mOptions.mMaxConnections });
  if (reason.has_value()) {
    aOnEnd(*reason);
  } else if (aCarrier.mPaths.mCutOffSince.has_value()) {
    aOnEnd(RelayStatus::kCutOff);
  } else if (!HasDirectPath(aCarrier.mPaths, aServer)) {
    aOnEnd(RelayStatus::kUnreachable);
  } else {
    ++aCarrier.mCarried;
    mReport.mMostCarried = std::max(mReport.mMostCarried, aCarrier.mCarried);
    ++mCarriedRates[{ SinceStart() / kSecond, aCarrier.mIndex }];
    Dial(aCarrier, aServer, [&aCarrier, onEnd = std::move(aOnEnd)](bool aIsOpen) {
      aCarrier.mCarried -= aIsOpen ? 0 : 1;
      onEnd(aIsOpen ? RelayStatus::kConnected : RelayStatus::kUnreachable);
    });
  }
}

void
CutFleet::ProbeRelayedPath(Host& aHost, const RegisteredServer& aServer)
{
  const bool isUnproven =
    ReachOf(aHost.mPaths, aServer, aHost.mCarriers, mNow) == ServerReach::kUnproven;
  const bool searches = !isUnproven && aHost.mSearches < kMaxSearches &&
                        NeedsCarrier(aHost.mPaths, aHost.mCarriers, mNow);
  const auto carrier = isUnproven || searches ? NextCarrier(aHost, aServer) : std::nullopt;
  if (!carrier.has_value()) {
    return;
  }
  aHost.mSearches += searches ? 1 : 0;
  Ask(aHost, aServer, *carrier, [this, &aHost, &aServer, searches](bool aIsOpen) {
    aHost.mSearches -= searches ? 1 : 0;
    if (!aIsOpen) {
      ProbeRelayedPath(aHost, aServer);
    }
  });
}

void
CutFleet::ProbeDirectPath(Host& aHost, const RegisteredServer& aServer)
{
  if (!aHost.mProbedServers.insert(aServer.mId).second) {
    return;
  }
  ConnectDirectly(aHost, aServer, [this, &aHost, &aServer](bool aIsOpen) {
    aHost.mProbedServers.erase(aServer.mId);
    if (!aIsOpen) {
      ProbeRelayedPath(aHost, aServer);
    }
  });
}

void
CutFleet::ScheduleProbes(Host& aHost)
{
  if (std::exchange(aHost.mProbesScheduled, true)) {
    return;
  }
  After(kProbeInterval, [this, &aHost] {
    aHost.mProbesScheduled = false;
    if (!HasFailedPaths(aHost.mPaths)) {
      return;
    }
    for (const BackendServerId& server : TakeProbesDue(aHost.mPaths, mServers, mRandom(), mNow)) {
      ProbeDirectPath(aHost, mServers.mServers.at(server));
    }
    ScheduleProbes(aHost);
  });
}

CutFleetReport
CutFleet::Run()
{
  for (std::size_t host = 0; host + mOptions.mQuietHosts < mHosts.size(); ++host) {
    ScheduleRequest(host);
  }
  while (!mEvents.empty() && mEvents.top().mAt < kStart + mOptions.mEnd) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    (*event.mAction)();
  }
  for (const auto& [key, count] : mAsks) {
    mReport.mMostAsksInSecond = std::max<std::uint64_t>(mReport.mMostAsksInSecond, count);
  }
  for (const auto& [key, count] : mCarriedRates) {
    mReport.mMostCarriedInSecond = std::max(mReport.mMostCarriedInSecond, count);
  }
  for (const auto& [key, count] : mDirectRates) {
    if (key.first < mOptions.mCutAt / kTenth) {
      mReport.mMostDirectBefore = std::max(mReport.mMostDirectBefore, count);
    } else if (key.first >= mOptions.mHealedAt / kTenth) {
      mReport.mMostDirectAfter = std::max(mReport.mMostDirectAfter, count);
    }
  }
  return mReport;
}

} // namespace

CutFleetReport
RunCutFleet(const CutFleetOptions& aOptions)
{
  return CutFleet{ aOptions }.Run();
}

} // namespace trefoil
