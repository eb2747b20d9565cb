#include "trefoil/node/internal/stream_record.h"

#include "absl/time/time.h"

#include <algorithm>

namespace trefoil {
namespace {

// How long an ended stream stays readable.
constexpr std::chrono::seconds kEndedStreamRetention{ 120 };
// How long a stream is generated while no caller reads it.
constexpr std::chrono::seconds kUnreadStreamTimeout{ 60 };
constexpr Milliseconds kEvictionInterval{ 1000 };
// Ended streams beyond this total size are evicted before they expire, the oldest first.
constexpr std::int64_t kMaxEndedBytes = std::int64_t{ 32 } << 20;

} // namespace

StreamRecord::StreamRecord(StreamIdentity aIdentity, std::vector<std::string> aTokens, Instant aNow)
  : mIdentity(std::move(aIdentity))
  , mFirstOwnToken(static_cast<std::int64_t>(aTokens.size()))
  , mAbandonAt(aNow + kUnreadStreamTimeout)
{
  mBuffer.mTokens = std::move(aTokens);
}

void
StreamRecord::AwaitHandOver()
{
  const auto notHandingOver = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mBuffer.mState != StreamState::kHandingOver;
  };
  mMutex.Await(absl::Condition(&notHandingOver));
}

bool
StreamRecord::Append(const BufferedToken& aToken)
{
  const absl::MutexLock lock{ &mMutex };
  AwaitHandOver();
  if (aToken.mIndex == mFirstOwnToken) {
    mFirstOwnTokenAt = Now();
  }
  return trefoil::Append(mBuffer, aToken) == AppendResult::kAppended;
}

void
StreamRecord::Complete()
{
  const absl::MutexLock lock{ &mMutex };
  trefoil::Complete(mBuffer);
  mEndedAt = Now();
}

void
StreamRecord::Fail(const Failure& aFailure)
{
  const absl::MutexLock lock{ &mMutex };
  AwaitHandOver();
  trefoil::Fail(mBuffer, aFailure);
  mEndedAt = Now();
}

StreamUpdate
StreamRecord::Read(std::int64_t aFrom, Instant aDeadline)
{
  const auto from = static_cast<std::size_t>(std::max<std::int64_t>(aFrom, 0));
  const auto hasUpdate = [this, from]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mBuffer.mTokens.size() > from || HasEnded(mBuffer);
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.AwaitWithTimeout(absl::Condition(&hasUpdate), absl::FromChrono(aDeadline - Now()));
  StreamUpdate update{ .mFrom = static_cast<std::int64_t>(from),
                       .mState = mBuffer.mState,
                       .mFinishReason = mBuffer.mFinishReason,
                       .mFailure = mBuffer.mFailure,
                       .mHandedTo = mBuffer.mHandedTo };
  if (from < mBuffer.mTokens.size()) {
    update.mTokens.assign(mBuffer.mTokens.begin() + static_cast<std::ptrdiff_t>(from),
                          mBuffer.mTokens.end());
  }
  return update;
}

std::optional<std::vector<std::string>>
StreamRecord::BeginHandOver()
{
  const absl::MutexLock lock{ &mMutex };
  if (!trefoil::BeginHandOver(mBuffer)) {
    return std::nullopt;
  }
  return mBuffer.mTokens;
}

void
StreamRecord::EndHandOver(HandOverOutcome aOutcome, const HostId& aHost)
{
  const absl::MutexLock lock{ &mMutex };
  trefoil::EndHandOver(mBuffer, aOutcome, aHost);
  mEndedAt = Now();
}

bool
StreamRecord::Ended() const
{
  const absl::MutexLock lock{ &mMutex };
  return HasEnded(mBuffer);
}

HandOverCandidate
StreamRecord::AsHandOverCandidate(Instant aNow) const
{
  const absl::MutexLock lock{ &mMutex };
  const auto tokens = static_cast<std::int64_t>(mBuffer.mTokens.size());
  const auto ownTokens = static_cast<double>(tokens - mFirstOwnToken - 1);
  const double seconds = std::chrono::duration<double>(aNow - mFirstOwnTokenAt).count();
  return { .mRequest = mIdentity.mRequest,
           .mContextTokens = mIdentity.mPromptTokens + tokens,
           .mTokensLeft = std::max<std::int64_t>(mIdentity.mMaxTokens - tokens, 0),
           .mTokensPerSecond = ownTokens > 0 && seconds > 0 ? ownTokens / seconds : 0 };
}

void
StreamRecord::RecordReader(Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  mAbandonAt = aNow + kUnreadStreamTimeout;
}

Instant
StreamRecord::AbandonAt() const
{
  const absl::MutexLock lock{ &mMutex };
  return mAbandonAt;
}

std::optional<Instant>
StreamRecord::EvictableAt() const
{
  const absl::MutexLock lock{ &mMutex };
  return HasEnded(mBuffer) ? std::optional{ mEndedAt + kEndedStreamRetention } : std::nullopt;
}

std::int64_t
StreamRecord::Bytes() const
{
  const absl::MutexLock lock{ &mMutex };
  return mBuffer.mBytes + static_cast<std::int64_t>(mIdentity.mBody.size());
}

std::shared_ptr<StreamRecord>
StreamTable::Add(StreamIdentity aIdentity, std::vector<std::string> aTokens, Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  EvictEnded(aNow);
  auto& entry = mRecords[aIdentity.mRequest];
  entry = std::make_shared<StreamRecord>(std::move(aIdentity), std::move(aTokens), aNow);
  return entry;
}

void
StreamTable::Remove(const RequestId& aRequest)
{
  const absl::MutexLock lock{ &mMutex };
  mRecords.erase(aRequest);
}

std::shared_ptr<StreamRecord>
StreamTable::Find(const RequestId& aRequest) const
{
  const absl::MutexLock lock{ &mMutex };
  const auto found = mRecords.find(aRequest);
  return found == mRecords.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<StreamRecord>>
StreamTable::Running() const
{
  std::vector<std::shared_ptr<StreamRecord>> running;
  const absl::MutexLock lock{ &mMutex };
  for (const auto& [request, record] : mRecords) {
    if (!record->Ended()) {
      running.push_back(record);
    }
  }
  return running;
}

void
StreamTable::EvictEnded(Instant aNow)
{
  if (!HasPassed(mNextEvictionAt, aNow)) {
    return;
  }
  mNextEvictionAt = aNow + kEvictionInterval;
  std::vector<std::pair<Instant, RequestId>> ended;
  std::int64_t bytes = 0;
  for (const auto& [request, record] : mRecords) {
    if (const auto evictableAt = record->EvictableAt()) {
      ended.emplace_back(*evictableAt, request);
      bytes += record->Bytes();
    }
  }
  std::ranges::sort(ended);
  for (const auto& [evictableAt, request] : ended) {
    if (!HasPassed(evictableAt, aNow) && bytes <= kMaxEndedBytes) {
      return;
    }
    const auto found = mRecords.find(request);
    bytes -= found->second->Bytes();
    mRecords.erase(found);
  }
}

} // namespace trefoil
