// Simulates a model engine on a simulated clock, to compare routing and admission policies.
//
//   SimulatedEngine engine{ .mPrice = 1 };
//   Enqueue(engine, job);
//   EngineIteration iteration = RunIteration(engine);
//
// The engine uses continuous batching: each iteration generates one token for every running stream
// and prefills one chunk of the first waiting prompt. An iteration takes longer with more streams
// and longer chunks. Documents of prefilled prompts are kept in a cache of `kCacheTokens`, which
// evicts the least recently used document first. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace trefoil::bench {

inline constexpr double kIterationBaseMs = 8;
inline constexpr double kIterationMsPerStream = 0.25;
inline constexpr double kIterationMsPerPromptToken = 0.1;
inline constexpr std::int64_t kPrefillChunkTokens = 128;
inline constexpr std::size_t kMaxStreams = 48;
inline constexpr std::int64_t kCacheTokens = 60'000;

// One request of a load. Times are in milliseconds since the start of the load.
struct SimulatedRequest
{
  std::size_t mId = 0;
  double mArrivalMs = 0;
  // Long requests are deferrable, short ones urgent.
  bool mIsLong = false;
  // The document at the start of the prompt, which other requests share.
  std::uint64_t mDocument = 0;
  std::int64_t mDocumentTokens = 0;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  double mDeadlineMs = 0;
  std::size_t mAccount = 0;
};

// A request that is queued or runs on an engine.
struct EngineJob
{
  const SimulatedRequest* mRequest = nullptr;
  std::size_t mHost = 0;
  std::int64_t mRemainingPromptTokens = 0;
  std::int64_t mRemainingOutputTokens = 0;
  bool mPrefillStarted = false;
};

struct CachedDocument
{
  std::uint64_t mDocument = 0;
  std::int64_t mTokens = 0;
};

struct SimulatedEngine
{
  double mPrice = 1;
  std::size_t mZone = 0;
  bool mUp = true;
  // Whether an iteration is in progress.
  bool mBusy = false;
  // Incremented when the engine is reclaimed, so that the completion of an iteration from before
  // the reclaim can be ignored.
  std::uint64_t mIncarnation = 0;
  std::deque<EngineJob> mWaiting;
  std::vector<EngineJob> mRunning;
  // Ordered from the most to the least recently used.
  std::list<CachedDocument> mCache;
  std::int64_t mCachedTokens = 0;
  std::int64_t mPrefilledTokens = 0;
};

// Result of one iteration. `mStreams` counts the streams that ran when it started.
struct EngineIteration
{
  double mDurationMs = 0;
  std::size_t mStreams = 0;
  // Jobs that got their first token, and jobs that completed, at the end of the iteration.
  std::vector<EngineJob> mFirstTokenJobs;
  std::vector<EngineJob> mCompleted;
  // Documents that were inserted into the cache and evicted from it.
  std::vector<CachedDocument> mCacheInserted;
  std::vector<CachedDocument> mCacheEvicted;
};

// Queues a job. Short requests are placed before long ones whose prefill has not started.
void
Enqueue(SimulatedEngine& aEngine, const EngineJob& aJob);

// Returns the number of queued prompt tokens that are not prefilled yet.
std::int64_t
QueuedTokens(const SimulatedEngine& aEngine);

// Runs one iteration. Its duration is 0 if the engine has no jobs.
EngineIteration
RunIteration(SimulatedEngine& aEngine);

// Removes all jobs from a reclaimed engine, clears its cache and increments its incarnation.
// Returns the removed jobs.
std::vector<EngineJob>
Reclaim(SimulatedEngine& aEngine);

} // namespace trefoil::bench
