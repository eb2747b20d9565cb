// Runs the control states of many entry hosts in one process on a simulated network and clock.
// Property tests use it, and so does the benchmark of the control plane's cost. It does not
// simulate requests of callers.
//
//   ControlNetwork network{ { .mZones = 4, .mHostsPerZone = 3, .mServersPerZone = 2 } };
//   network.PutDocument();
//   network.Run(Milliseconds{ 5'000 });
//   network.Host(0).mState.mMembers ...
//
// Every datagram is encoded and decoded. Datagrams can be lost, delayed and duplicated, hosts can
// freeze, crash and restart, and zones can be partitioned from each other and from the store. Each
// host has its own timers but shares one clock. Not thread-safe.
#pragma once

#include "trefoil/node/node_control_state.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace trefoil {

struct ControlNetworkOptions
{
  std::size_t mZones = 1;
  std::size_t mHostsPerZone = 1;
  std::size_t mServersPerZone = 0;
  // Servers that the last zone has in addition, for networks with many servers and few hosts.
  // Requires `mServersPerZone` > 0.
  std::size_t mLastZoneExtraServers = 0;
  // Percentage of datagrams that are lost, and of the others that arrive twice.
  unsigned mLostPercent = 0;
  unsigned mDuplicatedPercent = 0;
  // Every delivery is delayed by 1 ms up to this many milliseconds. Must be at least 1.
  unsigned mMaxDelayMilliseconds = 2;
  std::uint64_t mSeed = 1;
};

enum class HostCondition
{
  kRunning,
  kFrozen,
  kDown,
};

// Traffic of the control plane that a host sent and received. The bytes cover datagrams, polls of
// servers and fetches of documents from peers.
struct TrafficCounts
{
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mSentDatagrams = 0;
  std::uint64_t mPolls = 0;
  std::uint64_t mFetches = 0;
};

struct SimulatedHost
{
  NodeControlState mState;
  HostCondition mCondition = HostCondition::kRunning;
  std::shared_ptr<const Snapshot> mSnapshot = std::make_shared<const Snapshot>();
  // Events that arrived while the process was frozen. `Thaw` delivers them. At most 200 are kept.
  std::deque<ControlEvent> mQueuedEvents;
  TrafficCounts mTraffic;
  std::uint64_t mStartCount = 0;
  bool mWatchesStore = true;
  std::uint64_t mWatchedRevision = 0;
};

struct SimulatedServer
{
  BackendServerId mServer;
  std::size_t mZone = 0;
  bool mUp = true;
  bool mLeaving = false;
  std::uint64_t mIncarnation = 1;
  std::uint64_t mSequence = 0;
};

class ControlNetwork
{
public:
  explicit ControlNetwork(const ControlNetworkOptions& aOptions);

  // Advances the simulated clock by `aDuration`.
  void Run(Milliseconds aDuration);

  // Advances the simulated clock until `aDone` returns true, by `aMax` at most. Returns false if
  // `aMax` passed first.
  bool RunUntil(const std::function<bool()>& aDone, Milliseconds aMax);

  Instant Now() const { return mNow; }

  // Writes a new revision of the service document to the store: one that entry hosts accept, or
  // one that they refuse if `aValid` is false. Returns the revision.
  std::uint64_t PutDocument(bool aValid = true);

  std::size_t HostCount() const { return mHosts.size(); }
  SimulatedHost& Host(std::size_t aIndex) { return mHosts[aIndex]; }
  std::size_t ZoneOf(std::size_t aHost) const { return aHost / mOptions.mHostsPerZone; }
  SimulatedServer& Server(std::size_t aIndex) { return mServers[aIndex]; }
  const HostId& IdOf(std::size_t aHost) const { return mHosts[aHost].mState.mOptions.mHost; }

  void Freeze(std::size_t aHost);
  void Thaw(std::size_t aHost);
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  // Partitions a zone from the other zones, or from the store, or ends the partition.
  void SetZonePartitioned(std::size_t aZone, bool aPartitioned)
  {
    mZonePartitioned[aZone] = aPartitioned;
  }
  void SetStorePartitioned(std::size_t aZone, bool aPartitioned)
  {
    mStorePartitioned[aZone] = aPartitioned;
  }

  // Returns the document revision in force on a host, 0 if the host has no document.
  std::uint64_t RevisionOn(std::size_t aHost);

  // Called each time that a host publishes a snapshot.
  std::function<void(std::size_t aHost)> mOnPublished;
  // Called before and after each decoding of a datagram and each step of a host's control state,
  // for measurements. `aIsStart` is true before and false after.
  std::function<void(std::size_t aHost, bool aIsStart)> mOnStep;

private:
  struct InFlightEvent
  {
    std::size_t mTo = 0;
    std::optional<std::string> mDatagram;
    ControlEvent mEvent;
  };

  void StartHost(std::size_t aHost);
  void DeliverEvent(std::size_t aHost, const ControlEvent& aEvent);
  void Execute(std::size_t aHost, const ControlEffects& aEffects);
  void Execute(std::size_t aHost, const PublishSnapshot& aEffect);
  void Execute(std::size_t aHost, const SendMessage& aEffect);
  void Execute(std::size_t aHost, const FetchDocuments& aEffect);
  void Execute(std::size_t aHost, const PollServer& aEffect);
  void Execute(std::size_t aHost, const WatchDocuments& aEffect);
  template<typename Other>
  void Execute(std::size_t, const Other&)
  {
  }
  void DeliverDueEvents();
  void DeliverStoreUpdates();
  void FireDueTimers();
  bool CanReach(std::size_t aFrom, std::size_t aTo) const;
  unsigned RandomPercent();
  Instant ArrivalTime();
  std::string DocumentText() const;

  ControlNetworkOptions mOptions;
  std::mt19937_64 mRandom;
  Instant mNow;
  std::vector<SimulatedHost> mHosts;
  std::vector<SimulatedServer> mServers;
  std::map<BackendServerId, std::size_t> mServerIndex;
  std::map<Endpoint, std::size_t> mHostByEndpoint;
  std::multimap<Instant, InFlightEvent> mInFlight;
  std::vector<bool> mZonePartitioned;
  std::vector<bool> mStorePartitioned;
  // The store's contents: all revisions of one service document, oldest first.
  std::vector<StoreEntry> mStoreEntries;
};

} // namespace trefoil
