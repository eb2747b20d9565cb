// A stand-in for a plain service that records what it is sent.
//
//   PlainService service{ "app-1" };
//   HttpServer::Start({ .mListen = endpoint, .mHandler = [&](HttpExchange& aExchange) {
//   service.Serve(aExchange); } });
//
// POST records the body and answers how often it was recorded; GET /history tells all records.
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/http/server.h"

#include <string>
#include <vector>

namespace trefoil::standin {

class PlainService
{
public:
  explicit PlainService(std::string aName);

  void Serve(HttpExchange& aExchange);

private:
  void ServeRecord(HttpExchange& aExchange);
  void ServeHistory(HttpExchange& aExchange);

  const std::string mName;
  absl::Mutex mMutex;
  std::vector<std::string> mRecords ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
