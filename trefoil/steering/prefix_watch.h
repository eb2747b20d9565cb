// Keeps up with the keys of one prefix in the store: a list, then watches, and a new list when the
// store has dropped the changes in between. While other hosts tell what they know of the keys, the
// store is asked only for what they lack.
//
//   PrefixWatch watch(loop, channel, { .mPrefix = "servers/" }, callbacks);
//   watch.Start();
//
// Runs on the thread of its event loop.
#pragma once

#include "trefoil/reactor/event_loop.h"
#include "trefoil/store/prefix_record.h"
#include "trefoil/store/store_channel.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace trefoil {

struct PrefixWatchOptions
{
  std::string mPrefix;
  // How long the store holds a watch without changes.
  Milliseconds mWait{ 0 };
  // Changes that come within this are read by one call.
  Milliseconds mGather{ 0 };
  // A call without an answer for so much longer is given up.
  Milliseconds mMargin{ 1'500 };
  // Keeps the changes for other hosts.
  bool mKeepsChanges = false;
};

struct PrefixWatchCallbacks
{
  // All items of the prefix; a key that is missing was removed at `aRevision` or before.
  std::function<void(const std::vector<StoreItem>&, std::int64_t aRevision)> mOnList;
  std::function<void(const std::vector<StoreItem>&)> mOnChanges;
  // What is known was complete at `aWhen`, the time at which the call was sent.
  std::function<void(Instant aWhen)> mOnCurrent;
  std::function<void(StoreOutcome)> mOnLost;
  std::function<void()> mOnRegained;
};

class PrefixWatch
{
public:
  PrefixWatch(EventLoop& aLoop,
              const Endpoint& aStore,
              const StoreCodec& aCodec,
              PrefixWatchOptions aOptions,
              PrefixWatchCallbacks aCallbacks);

  void Start() { List({}); }
  // Whether other hosts are asked instead of the store.
  void SetRelayed(bool aRelayed);
  // Changes how long the store holds a watch, from the next call on.
  void SetWait(Milliseconds aWait) { mOptions.mWait = aWait; }
  // Takes in what another host knows.
  void TakeNews(const PrefixUpdate& aUpdate);
  const PrefixRecord& Record() const { return mRecord; }

private:
  void List(const std::string& aAfterKey);
  void OnPage(const StoreAnswer& aAnswer, Instant aSentAt);
  void WatchNext();
  void CallLater(Instant aWhen, bool aList);
  void Watch();
  void OnWatched(const StoreAnswer& aAnswer, Instant aSentAt);
  void RetryLater(StoreOutcome aOutcome, bool aList);
  void Regained();

  EventLoop& mLoop;
  StoreChannel mChannel;
  PrefixWatchOptions mOptions;
  PrefixWatchCallbacks mCallbacks;
  std::vector<StoreItem> mPages;
  Instant mListSentAt;
  std::int64_t mListRevision = 0;
  PrefixRecord mRecord;
  bool mRelayed = false;
  // When another host, or the store, told of the keys last.
  Instant mHeardAt;
  // The next call, while none is under way.
  EventLoop::TimerId mNextCall = 0;
  int mFailures = 0;
  bool mLost = false;
  std::mt19937_64 mRandom;
};

} // namespace trefoil
