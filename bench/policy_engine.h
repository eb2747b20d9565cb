// A model of a model engine, for comparing policies on a simulated clock.
//
//   ModelEngine engine{ .mPrice = 1 };
//   Enqueue(engine, work);
//   EngineTurn turn = RunTurn(engine);        // one iteration of the batch
//
// Continuous batching: each iteration gives every running stream a token and processes a piece of
// one waiting prompt. More streams and longer pieces slow the iteration down. Processed prefixes
// stay in a cache of limited memory, the least recently used one is evicted first.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace trefoil::bench {

inline constexpr double kIterationMs = 8;
inline constexpr double kMsPerStream = 0.25;
inline constexpr double kMsPerPromptToken = 0.1;
inline constexpr std::int64_t kPieceTokens = 128;
inline constexpr std::size_t kMaxStreams = 48;
inline constexpr std::int64_t kCacheTokens = 60'000;

// One request of the load.
struct ModelRequest
{
  std::size_t mId = 0;
  double mArrivalMs = 0;
  bool mLong = false;
  // The shared document at the start of the prompt.
  std::uint64_t mDocument = 0;
  std::int64_t mDocumentTokens = 0;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  double mDeadlineMs = 0;
  std::size_t mAccount = 0;
};

// A request on an engine.
struct ModelWork
{
  const ModelRequest* mRequest = nullptr;
  std::size_t mHost = 0;
  std::int64_t mPromptLeft = 0;
  std::int64_t mTokensLeft = 0;
  bool mStarted = false;
};

struct CachedDocument
{
  std::uint64_t mDocument = 0;
  std::int64_t mTokens = 0;
};

struct ModelEngine
{
  double mPrice = 1;
  std::size_t mZone = 0;
  bool mUp = true;
  // Whether an iteration is under way.
  bool mBusy = false;
  // Rises when the engine is reclaimed, so that the end of an old iteration is known.
  std::uint64_t mIncarnation = 0;
  std::deque<ModelWork> mWaiting;
  std::vector<ModelWork> mRunning;
  // The most recently used first.
  std::list<CachedDocument> mCache;
  std::int64_t mCachedTokens = 0;
  std::int64_t mProcessedTokens = 0;
};

// What one iteration did.
struct EngineTurn
{
  double mMs = 0;
  std::size_t mStreams = 0;
  // Requests whose first token came, and that ended, at the end of it.
  std::vector<ModelWork> mFirstTokens;
  std::vector<ModelWork> mEnded;
  // Documents that the cache took in and dropped.
  std::vector<CachedDocument> mStored;
  std::vector<CachedDocument> mDropped;
};

void
Enqueue(ModelEngine& aEngine, const ModelWork& aWork);

// Returns the prompt tokens that wait to be processed.
std::int64_t
QueuedTokens(const ModelEngine& aEngine);

// Runs one iteration. Its time is 0 if there is nothing to do.
EngineTurn
RunTurn(ModelEngine& aEngine);

// Takes all work off an engine that is reclaimed, and empties its cache.
std::vector<ModelWork>
Reclaim(ModelEngine& aEngine);

} // namespace trefoil::bench
