// Reads a stream wherever it is: on this host, on the one that made the request id, or on the one
// that it was handed to.
//
//   StreamSource source{ .mContext = context, .mRequest = id };
//   absl::StatusOr<SourceUpdate> news = ReadNews(source, from, Now() + kReadWait);
//
// One source belongs to one thread.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/node/internal/stream_record.h"
#include "trefoil/node/traffic.h"

#include <memory>

namespace trefoil {

struct StreamSource
{
  const TrafficContext& mContext;
  RequestId mRequest;
  // Null unless the stream is on this host.
  std::shared_ptr<StreamRecord> mRecord;
  // The host that holds the stream otherwise.
  HostId mHost;
  // Whether that host is asked to look among the hosts of its zone.
  bool mRelay = false;
  // Whether hosts of other zones may be asked to look.
  bool mMayRelay = true;
  // Whether the next read should tell the caller's JSON body.
  bool mWithBody = true;
};

// What a stream is and what follows a place in it.
struct SourceUpdate
{
  ServiceId mService;
  ClientAccountId mAccount;
  CompletionForm mForm = CompletionForm::kText;
  std::string mBody;
  StreamUpdate mUpdate;
};

// The same of a stream on this host.
SourceUpdate
ReadRecord(StreamRecord& aRecord, std::int64_t aFrom, Instant aDeadline);

// Returns what follows place `aFrom`, after a wait until `aDeadline` at most. Returns NotFound if
// no host that answers knows the request.
absl::StatusOr<SourceUpdate>
ReadNews(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline);

} // namespace trefoil
