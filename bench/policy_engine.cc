#include "bench/policy_engine.h"

#include <algorithm>
#include <iterator>

namespace trefoil::bench {
namespace {

// Returns how many tokens of the request's document are cached, and marks the document as the most
// recently used.
std::int64_t
TouchCachedDocument(SimulatedEngine& aEngine, const SimulatedRequest& aRequest)
{
  const auto found =
    std::ranges::find(aEngine.mCache, aRequest.mDocument, &CachedDocument::mDocument);
  if (found == aEngine.mCache.end()) {
    return 0;
  }
  aEngine.mCache.splice(aEngine.mCache.begin(), aEngine.mCache, found);
  return std::min(found->mTokens, aRequest.mDocumentTokens);
}

void
InsertIntoCache(SimulatedEngine& aEngine,
                const SimulatedRequest& aRequest,
                EngineIteration& aIteration)
{
  if (TouchCachedDocument(aEngine, aRequest) == aRequest.mDocumentTokens) {
    return;
  }
  const CachedDocument inserted{ .mDocument = aRequest.mDocument,
                                 .mTokens = aRequest.mDocumentTokens };
  aEngine.mCache.push_front(inserted);
  aEngine.mCachedTokens += inserted.mTokens;
  aIteration.mCacheInserted.push_back(inserted);
  while (aEngine.mCachedTokens > kCacheTokens) {
    aIteration.mCacheEvicted.push_back(aEngine.mCache.back());
    aEngine.mCachedTokens -= aEngine.mCache.back().mTokens;
    aEngine.mCache.pop_back();
  }
}

// Prefills a chunk of the first waiting prompt, unless `kMaxStreams` streams run. Returns the
// number of tokens in the chunk. A completed prompt's job moves to the running streams.
std::int64_t
PrefillChunk(SimulatedEngine& aEngine, EngineIteration& aIteration)
{
  if (aEngine.mWaiting.empty() || aEngine.mRunning.size() >= kMaxStreams) {
    return 0;
  }
  EngineJob& job = aEngine.mWaiting.front();
  if (!job.mPrefillStarted) {
    job.mPrefillStarted = true;
    job.mRemainingPromptTokens -= TouchCachedDocument(aEngine, *job.mRequest);
  }
  const std::int64_t chunk = std::min(kPrefillChunkTokens, job.mRemainingPromptTokens);
  job.mRemainingPromptTokens -= chunk;
  aEngine.mPrefilledTokens += chunk;
  if (job.mRemainingPromptTokens == 0) {
    InsertIntoCache(aEngine, *job.mRequest, aIteration);
    aIteration.mFirstTokenJobs.push_back(job);
    aEngine.mRunning.push_back(job);
    aEngine.mWaiting.pop_front();
  }
  return chunk;
}

} // namespace

void
Enqueue(SimulatedEngine& aEngine, const EngineJob& aJob)
{
  // Model engines honour priorities, so urgent requests are placed before deferrable ones.
  auto position = aEngine.mWaiting.end();
  if (!aJob.mRequest->mIsLong) {
    position = std::ranges::find_if(aEngine.mWaiting, [](const EngineJob& aOther) {
      return aOther.mRequest->mIsLong && !aOther.mPrefillStarted;
    });
  }
  aEngine.mWaiting.insert(position, aJob);
}

std::int64_t
QueuedTokens(const SimulatedEngine& aEngine)
{
  std::int64_t tokens = 0;
  for (const EngineJob& job : aEngine.mWaiting) {
    tokens += job.mRemainingPromptTokens;
  }
  return tokens;
}

EngineIteration
RunIteration(SimulatedEngine& aEngine)
{
  EngineIteration iteration;
  if (aEngine.mWaiting.empty() && aEngine.mRunning.empty()) {
    return iteration;
  }
  iteration.mStreams = aEngine.mRunning.size();
  const std::int64_t chunk = PrefillChunk(aEngine, iteration);
  iteration.mDurationMs = kIterationBaseMs +
                          kIterationMsPerStream * static_cast<double>(iteration.mStreams) +
                          kIterationMsPerPromptToken * static_cast<double>(chunk);
  for (EngineJob& job : aEngine.mRunning) {
    --job.mRemainingOutputTokens;
  }
  const auto firstCompleted =
    std::stable_partition(aEngine.mRunning.begin(),
                          aEngine.mRunning.end(),
                          [](const EngineJob& aJob) { return aJob.mRemainingOutputTokens > 0; });
  iteration.mCompleted.assign(firstCompleted, aEngine.mRunning.end());
  aEngine.mRunning.erase(firstCompleted, aEngine.mRunning.end());
  return iteration;
}

std::vector<EngineJob>
Reclaim(SimulatedEngine& aEngine)
{
  std::vector<EngineJob> jobs{ aEngine.mWaiting.begin(), aEngine.mWaiting.end() };
  jobs.insert(jobs.end(), aEngine.mRunning.begin(), aEngine.mRunning.end());
  aEngine.mWaiting.clear();
  aEngine.mRunning.clear();
  aEngine.mCache.clear();
  aEngine.mCachedTokens = 0;
  ++aEngine.mIncarnation;
  return jobs;
}

} // namespace trefoil::bench
