// The stream of one request on this host, shared by the thread that generates it and those that
// read it; and the table of all of them.
//
//   std::shared_ptr<StreamRecord> record = table.Add({ .mRequest = id, ... }, {}, Now());
//   record->Append({ .mIndex = 0, .mText = "a" });
//   StreamUpdate news = record->Read(0, Now() + kReadWait);
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

// What does not change while a request is served.
struct StreamIdentity
{
  RequestId mRequest;
  ServiceId mService;
  ClientAccountId mAccount;
  CompletionForm mForm = CompletionForm::kText;
  // The caller's JSON.
  std::string mBody;
  std::string mPrompt;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxTokens = 0;
  Instant mDeadline;
};

// What a reader has not seen yet.
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

  // Keeps the next token; waits while a hand-over is open. Returns false once the stream has ended
  // on this host.
  bool Append(const BufferedToken& aToken);

  void Complete();
  void Fail(const Failure& aFailure);

  // Returns what follows place `aFrom`; waits for it, until `aDeadline` at most.
  StreamUpdate Read(std::int64_t aFrom, Instant aDeadline);

  // Starts a hand-over and returns the tokens to pass on, nothing if the stream is not running.
  std::optional<std::vector<std::string>> BeginHandOver();
  void EndHandOver(HandOverOutcome aOutcome, const HostId& aHost);

  bool Ended() const;
  HandOverCandidate Outlook(Instant aNow) const;

  // Says that a caller follows the stream now.
  void Want(Instant aNow);
  // Returns when the stream is given up unless a caller follows it again.
  Instant WantedUntil() const;

  // Returns when the stream may be forgotten, nothing while it runs.
  std::optional<Instant> ForgetAt() const;
  std::int64_t Bytes() const;

private:
  const StreamIdentity mIdentity;
  mutable absl::Mutex mMutex;
  StreamBuffer mBuffer ABSL_GUARDED_BY(mMutex);
  // The first token that this host generated, and when it came.
  std::int64_t mFirstOwnToken ABSL_GUARDED_BY(mMutex) = 0;
  Instant mFirstOwnAt ABSL_GUARDED_BY(mMutex);
  Instant mEndedAt ABSL_GUARDED_BY(mMutex);
  Instant mWantedUntil ABSL_GUARDED_BY(mMutex);
};

class StreamTable
{
public:
  // Adds a stream, and forgets those whose time or place is over.
  std::shared_ptr<StreamRecord> Add(StreamIdentity aIdentity,
                                    std::vector<std::string> aTokens,
                                    Instant aNow);

  // Returns null for a request that is not known.
  std::shared_ptr<StreamRecord> Find(const RequestId& aRequest) const;

  std::vector<std::shared_ptr<StreamRecord>> Running() const;

private:
  void Forget(Instant aNow) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  mutable absl::Mutex mMutex;
  std::map<RequestId, std::shared_ptr<StreamRecord>> mRecords ABSL_GUARDED_BY(mMutex);
  Instant mForgetAgainAt ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
