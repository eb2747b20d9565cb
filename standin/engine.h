// A stand-in for a model engine.
//
//   Engine engine{ { .mName = "engine-1", .mTokenEveryMilliseconds = 10 } };
//   HttpServer::Start({ .mListen = endpoint, .mHandler = [&](HttpExchange& aExchange) {
//   engine.Serve(aExchange); } });
//
// Generates the tokens of token_text.h, one after the other, from the place that the request says.
// Logs what ran; GET /history tells it. GET /load tells its load, and POST /admin/leave is a
// reclaim notice: from then on it refuses new work. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/http/server.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoil::standin {

struct EngineOptions
{
  std::string mName;
  std::int64_t mFirstTokenMilliseconds = 20;
  std::int64_t mTokenEveryMilliseconds = 10;
  std::string mVersion;
};

// One attempt that the engine began.
struct EngineRun
{
  std::string mAttempt;
  std::int64_t mFirstIndex = 0;
  std::int64_t mSent = 0;
  bool mComplete = false;
};

class Engine
{
public:
  explicit Engine(EngineOptions aOptions);

  void Serve(HttpExchange& aExchange);

private:
  void ServeCompletion(HttpExchange& aExchange, bool aChat);
  void Generate(HttpExchange& aExchange, const struct EngineWork& aWork);
  void ServeHistory(HttpExchange& aExchange);
  void ServeLoad(HttpExchange& aExchange);
  std::size_t Begin(EngineRun aRun);
  void Record(std::size_t aRun, std::int64_t aSent, bool aComplete);

  const EngineOptions mOptions;
  absl::Mutex mMutex;
  std::vector<EngineRun> mRuns ABSL_GUARDED_BY(mMutex);
  std::uint64_t mIncarnation = 0;
  std::atomic<std::uint64_t> mLoadAnswers = 0;
  std::atomic<std::int64_t> mRunning = 0;
  std::atomic<bool> mLeaving = false;
};

} // namespace trefoil::standin
