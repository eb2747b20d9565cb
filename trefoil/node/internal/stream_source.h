// Reads a stream from the host that has it: this host, the host that issued the request id, or a
// host that the stream was handed over to.
//
//   StreamSource source{ .mContext = context, .mRequest = id };
//   absl::StatusOr<SourceUpdate> update = ReadUpdate(source, from, Now() + kReadWait);
//
// Not thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/node/internal/stream_record.h"
#include "trefoil/node/request_routing.h"

#include <memory>

namespace trefoil {

// A reader of one stream. Keeps the location of the stream between reads.
struct StreamSource
{
  const TrafficContext& mContext;
  RequestId mRequest;
  // The stream if it is on this host, else null.
  std::shared_ptr<StreamRecord> mRecord;
  // The host that has the stream. Empty before the first read.
  HostId mHost;
  // Whether mHost, a host of another zone, looks the stream up on the hosts that may have it and
  // relays the reads.
  bool mRelay = false;
  // Whether a host of another zone may be requested to relay reads. False on a host that relays
  // already, so that reads are relayed once.
  bool mMayRelay = true;
  // Whether reads from other hosts return the caller's request body.
  bool mWithBody = true;
};

// The properties of a stream and its tokens from an index.
struct SourceUpdate
{
  ServiceId mService;
  ClientAccountId mAccount;
  CompletionApi mApi = CompletionApi::kText;
  std::string mBody;
  StreamUpdate mUpdate;
};

// Returns the properties of a stream on this host and its tokens from index `aFrom`, and records
// that a caller reads it. Blocks until there is a token, the stream has ended or `aDeadline`
// passes.
SourceUpdate
ReadRecord(StreamRecord& aRecord, std::int64_t aFrom, Instant aDeadline);

// Returns the tokens of the stream from index `aFrom`. Locates the stream first if necessary.
// Blocks as ReadRecord does; each host that is queried can add its response time. Returns NotFound
// if no host that answers has the stream.
absl::StatusOr<SourceUpdate>
ReadUpdate(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline);

} // namespace trefoil
