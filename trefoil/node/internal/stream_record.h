// The stream of one request on this host, shared by the thread that generates it and the threads
// that read it; and the table of these streams.
//
//   std::shared_ptr<StreamRecord> record = table.Add({ .mRequest = id, ... }, {}, Now());
//   record->Append({ .mIndex = 0, .mText = "a" });
//   StreamUpdate update = record->Read(0, Now() + kReadWait);
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/backend/engine_client.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/request/hand_over.h"
#include "trefoil/request/stream_buffer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

// The properties of a stream that do not change while the request is served.
struct StreamIdentity
{
  RequestId mRequest;
  ServiceId mService;
  ClientAccountId mAccount;
  CompletionApi mApi = CompletionApi::kText;
  // The caller's request body, in JSON.
  std::string mBody;
  std::string mPrompt;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxTokens = 0;
  Instant mDeadline;
};

// The tokens of a stream from index mFrom, with the state of the stream. mFinishReason, mFailure
// and mHandedTo are set once the stream is complete, failed or handed over.
struct StreamUpdate
{
  std::int64_t mFrom = 0;
  std::vector<std::string> mTokens;
  StreamState mState = StreamState::kRunning;
  std::string mFinishReason;
  Failure mFailure;
  HostId mHandedTo;
};

class StreamRecord
{
public:
  StreamRecord(StreamIdentity aIdentity, std::vector<std::string> aTokens, Instant aNow);

  const StreamIdentity& Identity() const { return mIdentity; }

  // Appends the next token. Blocks while a hand-over is pending. Returns false once the stream has
  // ended on this host.
  bool Append(const BufferedToken& aToken);

  void Complete();
  // Ends the stream unless it has ended. Blocks while a hand-over is pending, since the stream goes
  // on elsewhere if that succeeds.
  void Fail(const Failure& aFailure);

  // Returns the tokens from index `aFrom`. Blocks until there is one, the stream has ended or
  // `aDeadline` passes.
  StreamUpdate Read(std::int64_t aFrom, Instant aDeadline);

  // Starts a hand-over and returns the tokens so far, or std::nullopt if the stream is not running.
  // EndHandOver must follow, since Append and Fail block until then.
  std::optional<std::vector<std::string>> BeginHandOver();
  void EndHandOver(HandOverOutcome aOutcome, const HostId& aHost);

  bool Ended() const;
  // Returns the length and the speed of the stream, for planning a hand-over.
  HandOverCandidate AsHandOverCandidate(Instant aNow) const;

  // Records that a caller is reading the stream at `aNow`.
  void RecordReader(Instant aNow);
  // Returns when the generation may be abandoned unless a caller reads the stream again.
  Instant AbandonAt() const;

  // Returns when an ended stream may be evicted, or std::nullopt while the stream runs.
  std::optional<Instant> EvictableAt() const;
  // Returns the size of the tokens and of the request body.
  std::int64_t Bytes() const;

private:
  void AwaitHandOver() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  const StreamIdentity mIdentity;
  mutable absl::Mutex mMutex;
  StreamBuffer mBuffer ABSL_GUARDED_BY(mMutex);
  // The index of the first token that this host generates, and when that token was appended.
  std::int64_t mFirstOwnToken ABSL_GUARDED_BY(mMutex) = 0;
  Instant mFirstOwnTokenAt ABSL_GUARDED_BY(mMutex);
  Instant mEndedAt ABSL_GUARDED_BY(mMutex);
  Instant mAbandonAt ABSL_GUARDED_BY(mMutex);
};

// The streams of this host by request: the running ones, and the ended ones until they are
// evicted.
class StreamTable
{
public:
  // Adds a stream. Evicts ended streams that have expired or exceed the size limit, at most once
  // per second.
  std::shared_ptr<StreamRecord> Add(StreamIdentity aIdentity,
                                    std::vector<std::string> aTokens,
                                    Instant aNow);

  // Removes a stream that is not generated here.
  void Remove(const RequestId& aRequest);

  // Returns the stream of a request, or null if this host has none.
  std::shared_ptr<StreamRecord> Find(const RequestId& aRequest) const;

  // Returns the streams that have not ended.
  std::vector<std::shared_ptr<StreamRecord>> Running() const;

private:
  void EvictEnded(Instant aNow) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  mutable absl::Mutex mMutex;
  std::map<RequestId, std::shared_ptr<StreamRecord>> mRecords ABSL_GUARDED_BY(mMutex);
  Instant mNextEvictionAt ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
