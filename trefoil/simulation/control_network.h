// The control states of many entry hosts in one process, joined by a simulated network and clock.
// For properties and for measuring what control costs; it simulates no traffic.
//
//   ControlNetwork network{ { .mZones = 4, .mHostsOfZone = 3, .mServersOfZone = 2 } };
//   network.PutDocument();
//   network.Run(Milliseconds{ 5'000 });
//   network.Host(0).mState.mMembers ...
//
// Every datagram is encoded and decoded. Messages can be lost, late and repeated; hosts can freeze,
// die and restart; zones can be cut off from each other and from the store. One thread.
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
  std::size_t mHostsOfZone = 1;
  std::size_t mServersOfZone = 0;
  // Further servers of the last zone, to have many of them with few hosts.
  std::size_t mFurtherServers = 0;
  // Of 100 datagrams, how many are lost and how many arrive twice.
  unsigned mLostPercent = 0;
  unsigned mRepeatedPercent = 0;
  // A late datagram takes up to so many milliseconds.
  unsigned mMaxDelayMilliseconds = 2;
  std::uint64_t mSeed = 1;
};

enum class HostCondition
{
  kRunning,
  kFrozen,
  kDown,
};

// What a host sent and received, in bytes of datagrams and of other calls.
struct TrafficCount
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
  // Events that wait while the process is frozen.
  std::deque<ControlEvent> mWaiting;
  TrafficCount mCount;
  std::uint64_t mStarts = 0;
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

  // Lets time pass.
  void Run(Milliseconds aTime);

  // Lets time pass until `aDone`, `aMax` at most. Returns whether it was done.
  bool RunUntil(const std::function<bool()>& aDone, Milliseconds aMax);

  Instant Now() const { return mNow; }

  // Puts a new revision of the document into the store. Returns the revision.
  std::uint64_t PutDocument(bool aGood = true);

  std::size_t HostCount() const { return mHosts.size(); }
  SimulatedHost& Host(std::size_t aIndex) { return mHosts[aIndex]; }
  std::size_t ZoneOf(std::size_t aHost) const { return aHost / mOptions.mHostsOfZone; }
  SimulatedServer& Server(std::size_t aIndex) { return mServers[aIndex]; }
  const HostId& IdOf(std::size_t aHost) const { return mHosts[aHost].mState.mOptions.mHost; }

  void Freeze(std::size_t aHost);
  void Thaw(std::size_t aHost);
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  // Cuts a zone off from the other zones, or from the store, or heals it.
  void CutZone(std::size_t aZone, bool aCut) { mCutZones[aZone] = aCut; }
  void CutStore(std::size_t aZone, bool aCut) { mCutStores[aZone] = aCut; }

  // Returns the revision in force on a host; 0 for none.
  std::uint64_t RevisionOn(std::size_t aHost);

  // Called with each host whose snapshot changed.
  std::function<void(std::size_t aHost)> mOnPublished;
  // Called around each step of a host's control thread, for measuring.
  std::function<void(std::size_t aHost, bool aBegins)> mOnStep;

private:
  struct Underway
  {
    std::size_t mTo = 0;
    std::optional<std::string> mBytes;
    ControlEvent mEvent;
  };

  void Start(std::size_t aHost);
  void Feed(std::size_t aHost, const ControlEvent& aEvent);
  void CarryOut(std::size_t aHost, const ControlEffects& aEffects);
  void CarryOut(std::size_t aHost, const PublishSnapshot& aEffect);
  void CarryOut(std::size_t aHost, const SendMessage& aEffect);
  void CarryOut(std::size_t aHost, const FetchDocuments& aEffect);
  void CarryOut(std::size_t aHost, const PollServer& aEffect);
  void CarryOut(std::size_t aHost, const WatchDocuments& aEffect);
  template<typename Other>
  void CarryOut(std::size_t, const Other&)
  {
  }
  void DeliverDue();
  void WatchStores();
  void FireTimers();
  bool CanReach(std::size_t aFrom, std::size_t aTo) const;
  unsigned Percent();
  Instant ArrivalTime();
  std::string DocumentText() const;

  ControlNetworkOptions mOptions;
  std::mt19937_64 mRandom;
  Instant mNow;
  std::vector<SimulatedHost> mHosts;
  std::vector<SimulatedServer> mServers;
  std::map<BackendServerId, std::size_t> mServerIndex;
  std::map<Endpoint, std::size_t> mByEndpoint;
  std::multimap<Instant, Underway> mUnderway;
  std::vector<bool> mCutZones;
  std::vector<bool> mCutStores;
  // The store: the documents of one service.
  std::vector<StoreEntry> mStored;
};

} // namespace trefoil
