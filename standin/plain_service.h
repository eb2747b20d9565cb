// A stand-in for a plain service that records the requests that it receives.
//
//   PlainService service{ { .mName = "app-1", .mDelayMilliseconds = 20 } };
//   const auto serve = [&](HttpExchange& aExchange) { service.Serve(aExchange); };
//   auto server = HttpServer::Start({ .mListen = endpoint, .mHandler = serve });
//
// A POST records its body and returns how often that body has been recorded. GET /history returns
// all recorded bodies. Any other request is answered with the service's name and the request
// target. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/http_server/http_server.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil::standin {

struct PlainServiceOptions
{
  std::string mName;
  // The delay between the effect of a POST and its answer.
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

  // Returns all records in the order in which they were made.
  std::vector<PlainRecord> Records();

private:
  void ServeRecord(HttpExchange& aExchange);
  void ServeHistory(HttpExchange& aExchange);

  const PlainServiceOptions mOptions;
  absl::Mutex mMutex;
  std::vector<PlainRecord> mRecords ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
