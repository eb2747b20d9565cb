#include "bench/policy_engine.h"

#include <algorithm>
#include <iterator>

namespace trefoil::bench {
namespace {

// Returns the tokens of the document that are cached, and marks it as used.
std::int64_t
UseCache(ModelEngine& aEngine, const ModelRequest& aRequest)
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
Store(ModelEngine& aEngine, const ModelRequest& aRequest, EngineTurn& aTurn)
{
  if (UseCache(aEngine, aRequest) == aRequest.mDocumentTokens) {
    return;
  }
  const CachedDocument stored{ .mDocument = aRequest.mDocument,
                               .mTokens = aRequest.mDocumentTokens };
  aEngine.mCache.push_front(stored);
  aEngine.mCachedTokens += stored.mTokens;
  aTurn.mStored.push_back(stored);
  while (aEngine.mCachedTokens > kCacheTokens) {
    aTurn.mDropped.push_back(aEngine.mCache.back());
    aEngine.mCachedTokens -= aEngine.mCache.back().mTokens;
    aEngine.mCache.pop_back();
  }
}

// Processes a piece of the first waiting prompt. Returns its tokens.
std::int64_t
ProcessPiece(ModelEngine& aEngine, EngineTurn& aTurn)
{
  if (aEngine.mWaiting.empty() || aEngine.mRunning.size() >= kMaxStreams) {
    return 0;
  }
  ModelWork& work = aEngine.mWaiting.front();
  if (!work.mStarted) {
    work.mStarted = true;
    work.mPromptLeft -= UseCache(aEngine, *work.mRequest);
  }
  const std::int64_t piece = std::min(kPieceTokens, work.mPromptLeft);
  work.mPromptLeft -= piece;
  aEngine.mProcessedTokens += piece;
  if (work.mPromptLeft == 0) {
    Store(aEngine, *work.mRequest, aTurn);
    aTurn.mFirstTokens.push_back(work);
    aEngine.mRunning.push_back(work);
    aEngine.mWaiting.pop_front();
  }
  return piece;
}

} // namespace

void
Enqueue(ModelEngine& aEngine, const ModelWork& aWork)
{
  // Urgent requests go before long ones: engines honour priorities.
  auto place = aEngine.mWaiting.end();
  if (!aWork.mRequest->mLong) {
    place = std::ranges::find_if(aEngine.mWaiting, [](const ModelWork& aOther) {
      return aOther.mRequest->mLong && !aOther.mStarted;
    });
  }
  aEngine.mWaiting.insert(place, aWork);
}

std::int64_t
QueuedTokens(const ModelEngine& aEngine)
{
  std::int64_t tokens = 0;
  for (const ModelWork& work : aEngine.mWaiting) {
    tokens += work.mPromptLeft;
  }
  return tokens;
}

EngineTurn
RunTurn(ModelEngine& aEngine)
{
  EngineTurn turn;
  if (aEngine.mWaiting.empty() && aEngine.mRunning.empty()) {
    return turn;
  }
  turn.mStreams = aEngine.mRunning.size();
  const std::int64_t piece = ProcessPiece(aEngine, turn);
  turn.mMs = kIterationMs + kMsPerStream * static_cast<double>(turn.mStreams) +
             kMsPerPromptToken * static_cast<double>(piece);
  for (ModelWork& work : aEngine.mRunning) {
    --work.mTokensLeft;
  }
  const auto ended =
    std::stable_partition(aEngine.mRunning.begin(),
                          aEngine.mRunning.end(),
                          [](const ModelWork& aOf) { return aOf.mTokensLeft > 0; });
  turn.mEnded.assign(ended, aEngine.mRunning.end());
  aEngine.mRunning.erase(ended, aEngine.mRunning.end());
  return turn;
}

std::vector<ModelWork>
Reclaim(ModelEngine& aEngine)
{
  std::vector<ModelWork> work{ aEngine.mWaiting.begin(), aEngine.mWaiting.end() };
  work.insert(work.end(), aEngine.mRunning.begin(), aEngine.mRunning.end());
  aEngine.mWaiting.clear();
  aEngine.mRunning.clear();
  aEngine.mCache.clear();
  aEngine.mCachedTokens = 0;
  ++aEngine.mIncarnation;
  return work;
}

} // namespace trefoil::bench
