// A stand-in for a model engine.
//
//   Engine engine{ { .mName = "engine-1", .mTokenEveryMilliseconds = 10 } };
//   HttpServer::Start({ .mListen = endpoint, .mHandler = [&](HttpExchange& aExchange) {
//   engine.Serve(aExchange); } });
//
// Generates the tokens of token_text.h, one after the other, from the place that the request says.
// Logs what ran; GET /history tells it, GET /load its load. It can leave on notice, freeze and die,
// also at the sight of a request whose prompt contains kCrashMarker. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standin/engine_work.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil::standin {

// A prompt with this text kills the engine that runs it.
inline constexpr std::string_view kCrashMarker = "[[crash]]";

struct EngineOptions
{
  std::string mName;
  std::string mVersion = "v1";
  std::int64_t mFirstTokenMilliseconds = 20;
  std::int64_t mTokenEveryMilliseconds = 10;
  // How fast a KV cache is exported; 0 if it is not.
  std::int64_t mExportTokensPerSecond = 100'000;
  // Called when it dies; may end the process.
  std::function<void()> mOnDeath;
};

// One attempt that the engine began.
struct EngineRun
{
  std::string mAttempt;
  std::int64_t mFirstIndex = 0;
  std::int64_t mSent = 0;
  bool mComplete = false;
};

enum class EngineState
{
  kServing,
  // It answers nothing and its connections stay open.
  kFrozen,
  // All its connections are broken.
  kDead,
};

class Engine
{
public:
  explicit Engine(EngineOptions aOptions);

  void Serve(HttpExchange& aExchange);

  // Changes what it does from now on, also for the requests that it runs.
  void SetState(EngineState aState);

  // Announces in its streams that it leaves, and dies after the notice.
  void Leave(Milliseconds aNotice);

  // Returns how many tokens resumed requests made it prefill again.
  std::int64_t RecomputedTokens() const;

  // Returns how often a request killed it.
  std::int64_t Crashes() const;

private:
  // A request while it runs.
  struct Generation;

  void Route(HttpExchange& aExchange);
  void ServeCompletion(HttpExchange& aExchange, bool aChat);
  void Generate(HttpExchange& aExchange, Generation& aGeneration);
  bool SendToken(HttpExchange& aExchange, Generation& aGeneration, std::int64_t aIndex);
  void ServeHistory(HttpExchange& aExchange);
  void ServeLoad(HttpExchange& aExchange);
  void ServeLeave(HttpExchange& aExchange);
  void ServeExport(HttpExchange& aExchange);
  void ServeState(HttpExchange& aExchange);
  // Waits while it is frozen, and until `aUntil` at least. Returns false once the life numbered
  // `aLife` has ended.
  bool Pause(std::uint64_t aLife, Instant aUntil);
  std::uint64_t CurrentLife() const;
  EngineState CurrentState() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  bool Begin(Generation& aGeneration);
  void Record(const Generation& aGeneration, bool aComplete);

  const EngineOptions mOptions;
  mutable absl::Mutex mMutex;
  EngineState mState ABSL_GUARDED_BY(mMutex) = EngineState::kServing;
  // Rises with each death.
  std::uint64_t mLife ABSL_GUARDED_BY(mMutex) = 0;
  bool mLeaving ABSL_GUARDED_BY(mMutex) = false;
  Instant mDiesAt ABSL_GUARDED_BY(mMutex) = Instant::max();
  std::vector<EngineRun> mRuns ABSL_GUARDED_BY(mMutex);
  std::int64_t mInFlight ABSL_GUARDED_BY(mMutex) = 0;
  std::int64_t mRecomputedTokens ABSL_GUARDED_BY(mMutex) = 0;
  std::int64_t mCrashes ABSL_GUARDED_BY(mMutex) = 0;
  std::uint64_t mIncarnation ABSL_GUARDED_BY(mMutex) = 0;
  std::uint64_t mLoadAnswers ABSL_GUARDED_BY(mMutex) = 0;
  // The tokens in the KV cache of each attempt that runs.
  std::map<std::string, std::int64_t> mCaches ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
