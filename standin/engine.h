// A stand-in for a model engine.
//
//   Engine engine{ { .mName = "engine-1", .mTokenIntervalMilliseconds = 10 } };
//   const auto serve = [&](HttpExchange& aExchange) { engine.Serve(aExchange); };
//   auto server = HttpServer::Start({ .mListen = endpoint, .mHandler = serve });
//
// Generates the tokens of token_text.h one after the other, starting at the index that the request
// names. GET /history returns the attempts that ran and GET /load returns the current load.
//
// The engine can fail in three ways: it shuts down after a notice, freezes, or dies as if its
// process were killed. A request whose prompt contains kCrashMarker also kills it.
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standin/engine_request.h"
#include "trefoil/base/instant.h"
#include "trefoil/http_server/http_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil::standin {

// A request whose prompt contains this text kills the engine that runs it.
inline constexpr std::string_view kCrashMarker = "[[crash]]";

struct EngineOptions
{
  std::string mName;
  std::string mVersion = "v1";
  // The time from a request to its first token, and between tokens.
  std::int64_t mFirstTokenMilliseconds = 20;
  std::int64_t mTokenIntervalMilliseconds = 10;
  // The rate at which a KV cache is exported; 0 if the engine does not support export.
  std::int64_t mExportTokensPerSecond = 100'000;
  // Called by SetState(kDead) and when a request kills the engine, but not at the end of a shutdown
  // notice. May end the process.
  std::function<void()> mOnDeath;
};

// An attempt that the engine has started.
struct EngineRun
{
  std::string mAttempt;
  // The index of the first token that this attempt generates; above 0 for a resumed request.
  std::int64_t mFirstIndex = 0;
  // The number of tokens sent.
  std::int64_t mSentTokens = 0;
  // Whether the stream was sent up to its end mark.
  bool mComplete = false;
};

enum class EngineState
{
  kServing,
  // The engine sends no data, but its connections stay open.
  kFrozen,
  // The engine breaks off its streams and refuses requests.
  kDead,
};

class Engine
{
public:
  explicit Engine(EngineOptions aOptions);

  void Serve(HttpExchange& aExchange);

  // Sets the state, which also applies to the requests in progress. Cancels a shutdown notice.
  void SetState(EngineState aState);

  // Announces the shutdown in the streams in progress, refuses new requests and dies once
  // `aNotice` has elapsed.
  void Leave(Milliseconds aNotice);

  // Returns the number of tokens that had to be prefilled again for resumed requests.
  std::int64_t RecomputedTokens() const;

  // Returns how often a request has killed the engine.
  std::int64_t Crashes() const;

private:
  // A request in progress.
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
  // Blocks until `aUntil`, and for as long as the engine is frozen. Returns false as soon as the
  // engine has died since the epoch `aEpoch`.
  bool WaitUntil(std::uint64_t aEpoch, Instant aUntil);
  std::uint64_t CurrentEpoch() const;
  EngineState CurrentState() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Adds a request to the running ones. Returns false if the engine is shutting down.
  bool RegisterGeneration(Generation& aGeneration);
  // Removes a request from the running ones and stores its result in mRuns.
  void FinishGeneration(const Generation& aGeneration, bool aComplete);

  const EngineOptions mOptions;
  mutable absl::Mutex mMutex;
  EngineState mState ABSL_GUARDED_BY(mMutex) = EngineState::kServing;
  // Incremented each time the engine dies.
  std::uint64_t mEpoch ABSL_GUARDED_BY(mMutex) = 0;
  bool mLeaving ABSL_GUARDED_BY(mMutex) = false;
  // When the shutdown notice ends; Instant::max() without a notice.
  Instant mDeadAt ABSL_GUARDED_BY(mMutex) = Instant::max();
  std::vector<EngineRun> mRuns ABSL_GUARDED_BY(mMutex);
  std::int64_t mInFlight ABSL_GUARDED_BY(mMutex) = 0;
  std::int64_t mRecomputedTokens ABSL_GUARDED_BY(mMutex) = 0;
  std::int64_t mCrashes ABSL_GUARDED_BY(mMutex) = 0;
  // The start time in Unix milliseconds. GET /load reports it plus mEpoch as the incarnation, so
  // the reported number differs after each death.
  std::uint64_t mIncarnation ABSL_GUARDED_BY(mMutex) = 0;
  // The number of answers to GET /load, reported as their sequence number.
  std::uint64_t mLoadReports ABSL_GUARDED_BY(mMutex) = 0;
  // The number of tokens in the KV cache of each attempt in progress, by attempt.
  std::map<std::string, std::int64_t> mCaches ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
