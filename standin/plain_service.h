// A stand-in for a plain service that records what it is sent.
//
//   PlainService service{ { .mName = "app-1", .mDelayMilliseconds = 20 } };
//   HttpServer::Start({ .mListen = endpoint, .mHandler = [&](HttpExchange& aExchange) {
//   service.Serve(aExchange); } });
//
// POST records the body and answers how often it was recorded; GET /history tells all records.
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/server.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil::standin {

struct PlainServiceOptions
{
  std::string mName;
  // The pause between the effect of a POST and its answer.
  std::int64_t mDelayMilliseconds = 0;
};

// A POST that took effect.
struct PlainRecord
{
  std::string mBody;
  std::string mAnswer;
  Instant mAt;
};

class PlainService
{
public:
  explicit PlainService(PlainServiceOptions aOptions);

  void Serve(HttpExchange& aExchange);

  std::vector<PlainRecord> Records();

private:
  void ServeRecord(HttpExchange& aExchange);
  void ServeHistory(HttpExchange& aExchange);

  const PlainServiceOptions mOptions;
  absl::Mutex mMutex;
  std::vector<PlainRecord> mRecords ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
