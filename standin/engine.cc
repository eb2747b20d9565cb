#include "standin/engine.h"

#include "absl/strings/numbers.h"
#include "absl/time/time.h"
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace trefoil::standin {

using Poco::JSON::Array;
using Poco::JSON::Object;

struct Engine::Generation
{
  EngineWork mWork;
  std::size_t mRun = 0;
  std::uint64_t mLife = 0;
  std::int64_t mSent = 0;
  bool mToldLeaving = false;
};

namespace {

constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::int64_t
NumberOf(const HttpExchange& aExchange, std::string_view aKey)
{
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(QueryValue(aExchange.Request().mTarget, aKey), &number)) {
    return 0;
  }
  return number;
}

void
AnswerJson(HttpExchange& aExchange, const Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  aExchange.Respond({ .mBody = text.str() + "\n" });
}

} // namespace

Engine::Engine(EngineOptions aOptions)
  : mOptions(std::move(aOptions))
  , mIncarnation(static_cast<std::uint64_t>(UnixMilliseconds(WallNow())))
{
}

void
Engine::SetState(EngineState aState)
{
  {
    const absl::MutexLock lock{ &mMutex };
    mLife += aState == EngineState::kDead ? 1 : 0;
    mState = aState;
    mLeaving = false;
    mDiesAt = Instant::max();
  }
  if (aState == EngineState::kDead && mOptions.mOnDeath) {
    mOptions.mOnDeath();
  }
}

void
Engine::Leave(Milliseconds aNotice)
{
  const absl::MutexLock lock{ &mMutex };
  mLeaving = true;
  mDiesAt = Now() + aNotice;
}

std::int64_t
Engine::RecomputedTokens() const
{
  const absl::MutexLock lock{ &mMutex };
  return mRecomputedTokens;
}

std::int64_t
Engine::Crashes() const
{
  const absl::MutexLock lock{ &mMutex };
  return mCrashes;
}

EngineState
Engine::CurrentState()
{
  if (mState != EngineState::kDead && HasPassed(mDiesAt, Now())) {
    mState = EngineState::kDead;
    ++mLife;
  }
  return mState;
}

std::uint64_t
Engine::CurrentLife() const
{
  const absl::MutexLock lock{ &mMutex };
  return mLife;
}

bool
Engine::Pause(std::uint64_t aLife, Instant aUntil)
{
  EngineState seen = EngineState::kServing;
  const auto changed = [this, &seen, aLife]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mState != seen || mLife != aLife;
  };
  const absl::MutexLock lock{ &mMutex };
  while (true) {
    seen = CurrentState();
    if (seen == EngineState::kDead || mLife != aLife) {
      return false;
    }
    if (seen == EngineState::kServing && HasPassed(aUntil, Now())) {
      return true;
    }
    const Instant wakeAt = seen == EngineState::kFrozen ? mDiesAt : std::min(aUntil, mDiesAt);
    const auto limit =
      wakeAt == Instant::max() ? absl::InfiniteDuration() : absl::FromChrono(wakeAt - Now());
    mMutex.AwaitWithTimeout(absl::Condition(&changed), limit);
  }
}

void
Engine::Serve(HttpExchange& aExchange)
{
  if (PathOf(aExchange.Request().mTarget) == "/admin/state") {
    ServeState(aExchange);
    return;
  }
  const std::uint64_t life = CurrentLife();
  if (!Pause(life, Now())) {
    // A dead process refuses connections: nothing runs.
    aExchange.Respond({ .mStatus = kHttpUnavailable, .mBody = "dead\n" });
    return;
  }
  Route(aExchange);
}

void
Engine::Route(HttpExchange& aExchange)
{
  const std::string_view path = PathOf(aExchange.Request().mTarget);
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    ServeCompletion(aExchange, path == "/v1/chat/completions");
  } else if (path == "/history") {
    ServeHistory(aExchange);
  } else if (path == "/load") {
    ServeLoad(aExchange);
  } else if (path == "/admin/leave") {
    ServeLeave(aExchange);
  } else if (path == "/v1/kv/export") {
    ServeExport(aExchange);
  } else {
    aExchange.Respond({ .mStatus = kHttpNotFound, .mBody = "not found\n" });
  }
}

void
Engine::ServeCompletion(HttpExchange& aExchange, bool aChat)
{
  Generation generation;
  try {
    generation.mWork = ParseWork(aExchange.Request().mBody, aChat);
  } catch (const Poco::Exception& error) {
    aExchange.Respond({ .mStatus = kHttpBadRequest, .mBody = error.displayText() + "\n" });
    return;
  }
  if (!Begin(generation)) {
    aExchange.Respond({ .mStatus = kHttpUnavailable, .mBody = "leaving\n" });
    return;
  }
  if (generation.mWork.mPrompt.find(kCrashMarker) != std::string::npos) {
    {
      const absl::MutexLock lock{ &mMutex };
      ++mCrashes;
    }
    SetState(EngineState::kDead);
  }
  Generate(aExchange, generation);
}

void
Engine::Generate(HttpExchange& aExchange, Generation& aGeneration)
{
  const EngineWork& work = aGeneration.mWork;
  bool alive = Pause(aGeneration.mLife, Now() + Milliseconds{ mOptions.mFirstTokenMilliseconds });
  if (alive) {
    aExchange.BeginStream(
      { .mHeaders = { { .mName = "Content-Type", .mValue = "text/event-stream" } } });
  }
  for (std::int64_t index = work.mFirstIndex; alive && index < work.mMaxTokens; ++index) {
    if (!SendToken(aExchange, aGeneration, index)) {
      Record(aGeneration, false);
      return;
    }
    alive = Pause(aGeneration.mLife, Now() + Milliseconds{ mOptions.mTokenEveryMilliseconds });
  }
  const bool complete = alive && aExchange.Write("data: [DONE]\n\n");
  Record(aGeneration, complete);
  if (!alive) {
    aExchange.Abort();
  }
}

bool
Engine::SendToken(HttpExchange& aExchange, Generation& aGeneration, std::int64_t aIndex)
{
  std::int64_t noticeLeft = -1;
  {
    const absl::MutexLock lock{ &mMutex };
    const auto cache = mCaches.find(aGeneration.mWork.mAttempt);
    if (cache == mCaches.end()) {
      // The cache was exported: another engine goes on.
      return false;
    }
    ++cache->second;
    if (mLeaving && !aGeneration.mToldLeaving) {
      aGeneration.mToldLeaving = true;
      noticeLeft = Remaining(mDiesAt, Now()).count();
    }
  }
  if (noticeLeft >= 0) {
    aExchange.Write(RenderLeaving(aGeneration.mWork, noticeLeft));
  }
  if (!aExchange.Write(RenderToken(aGeneration.mWork, aIndex))) {
    return false;
  }
  ++aGeneration.mSent;
  return true;
}

bool
Engine::Begin(Generation& aGeneration)
{
  const EngineWork& work = aGeneration.mWork;
  const std::int64_t context = PromptTokens(work) + work.mFirstIndex;
  const absl::MutexLock lock{ &mMutex };
  if (mLeaving) {
    return false;
  }
  if (work.mFirstIndex > 0) {
    mRecomputedTokens += std::max<std::int64_t>(context - work.mCachedTokens, 0);
  }
  mCaches[work.mAttempt] = context;
  ++mInFlight;
  mRuns.push_back({ .mAttempt = work.mAttempt, .mFirstIndex = work.mFirstIndex });
  aGeneration.mRun = mRuns.size() - 1;
  aGeneration.mLife = mLife;
  return true;
}

void
Engine::Record(const Generation& aGeneration, bool aComplete)
{
  const absl::MutexLock lock{ &mMutex };
  mRuns[aGeneration.mRun].mSent = aGeneration.mSent;
  mRuns[aGeneration.mRun].mComplete = aComplete;
  mCaches.erase(aGeneration.mWork.mAttempt);
  --mInFlight;
}

void
Engine::ServeHistory(HttpExchange& aExchange)
{
  Array runs;
  {
    const absl::MutexLock lock{ &mMutex };
    for (const EngineRun& run : mRuns) {
      Object::Ptr object = new Object;
      object->set("attempt", run.mAttempt);
      object->set("first_index", run.mFirstIndex);
      object->set("sent", run.mSent);
      object->set("complete", run.mComplete);
      runs.add(object);
    }
  }
  std::ostringstream text;
  runs.stringify(text);
  aExchange.Respond({ .mBody = text.str() + "\n" });
}

void
Engine::ServeLoad(HttpExchange& aExchange)
{
  Object load;
  {
    const absl::MutexLock lock{ &mMutex };
    load.set("incarnation", mIncarnation + mLife);
    load.set("sequence", ++mLoadAnswers);
    load.set("running", mInFlight);
    load.set("in_flight", mInFlight);
    load.set("leaving", mLeaving);
    load.set("notice_ms", mLeaving ? Remaining(mDiesAt, Now()).count() : 0);
    load.set("version", mOptions.mVersion);
    load.set("recomputed_tokens", mRecomputedTokens);
  }
  AnswerJson(aExchange, load);
}

void
Engine::ServeLeave(HttpExchange& aExchange)
{
  Leave(Milliseconds{ NumberOf(aExchange, "notice_ms") });
  aExchange.Respond({ .mBody = "leaving\n" });
}

void
Engine::ServeState(HttpExchange& aExchange)
{
  const std::string name = QueryValue(aExchange.Request().mTarget, "state");
  const bool frozen = name == "frozen";
  aExchange.Respond({ .mBody = name + "\n" });
  SetState(frozen           ? EngineState::kFrozen
           : name == "dead" ? EngineState::kDead
                            : EngineState::kServing);
}

void
Engine::ServeExport(HttpExchange& aExchange)
{
  const std::string attempt = QueryValue(aExchange.Request().mTarget, "attempt");
  const std::uint64_t life = CurrentLife();
  std::int64_t tokens = 0;
  {
    const absl::MutexLock lock{ &mMutex };
    const auto cache = mCaches.find(attempt);
    if (cache != mCaches.end()) {
      tokens = cache->second;
      mCaches.erase(cache);
    }
  }
  if (tokens == 0 || mOptions.mExportTokensPerSecond == 0) {
    aExchange.Respond({ .mStatus = kHttpNotFound, .mBody = "no cache of this attempt\n" });
    return;
  }
  const auto wait = tokens * kMillisecondsPerSecond / mOptions.mExportTokensPerSecond;
  if (!Pause(life, Now() + Milliseconds{ wait })) {
    aExchange.Abort();
    return;
  }
  Object answer;
  answer.set("cache", RenderCache(tokens));
  answer.set("tokens", tokens);
  AnswerJson(aExchange, answer);
}

} // namespace trefoil::standin
