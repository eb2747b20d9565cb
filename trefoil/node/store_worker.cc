#include "trefoil/node/store_worker.h"

#include "trefoil/node/internal/guarded_step.h"

#include <utility>

namespace trefoil {
namespace {

constexpr const char* kNotSent = "the call was not sent in time";

ControlEvent
NotSent(const ReadStoreEntry& aCall)
{
  return StoreReadCompleted{ .mTopic = aCall.mTopic,
                             .mTag = aCall.mTag,
                             .mEntry = absl::UnavailableError(kNotSent) };
}

ControlEvent
NotSent(const WriteStoreEntry& aCall)
{
  return StoreWriteCompleted{ .mTopic = aCall.mTopic,
                              .mTag = aCall.mTag,
                              .mWrite = { .mState = StoreWriteState::kNotWritten,
                                          .mReason = kNotSent } };
}

ControlEvent
NotSent(const SendLeaseCall& aCall)
{
  return LeaseCallCompleted{ .mCallNumber = aCall.mCallNumber, .mLease = aCall.mLease };
}

ControlEvent
Send(const StoreClient& aStore, const ReadStoreEntry& aCall)
{
  return StoreReadCompleted{ .mTopic = aCall.mTopic,
                             .mTag = aCall.mTag,
                             .mEntry = Read(aStore, aCall.mKey, aCall.mDeadline) };
}

ControlEvent
Send(const StoreClient& aStore, const WriteStoreEntry& aCall)
{
  return StoreWriteCompleted{ .mTopic = aCall.mTopic,
                              .mTag = aCall.mTag,
                              .mWrite = CompareAndSwap(aStore, aCall.mWrite, aCall.mDeadline) };
}

// The completions of calls that an exception ended, so that their effect is not known.

ControlEvent
Unknown(const ReadStoreEntry& aCall)
{
  return NotSent(aCall);
}

ControlEvent
Unknown(const WriteStoreEntry& aCall)
{
  return StoreWriteCompleted{ .mTopic = aCall.mTopic,
                              .mTag = aCall.mTag,
                              .mWrite = { .mState = StoreWriteState::kUnknown } };
}

ControlEvent
Unknown(const SendLeaseCall& aCall)
{
  return NotSent(aCall);
}

} // namespace

StoreWorker::StoreWorker(const StoreWorkerOptions& aOptions)
  : mOptions(aOptions)
{
  try {
    for (std::size_t i = 0; i < mOptions.mThreads; ++i) {
      mThreads.emplace_back([this] { Run(); });
    }
  } catch (const std::exception&) {
    // The destructor is not called.
    Close();
    throw;
  }
}

StoreWorker::~StoreWorker()
{
  Close();
}

void
StoreWorker::Close()
{
  {
    const absl::MutexLock lock{ &mMutex };
    mClosed = true;
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
StoreWorker::Submit(StoreCall aCall)
{
  {
    const absl::MutexLock lock{ &mMutex };
    if (mQueuedCalls.size() < mOptions.mMaxQueuedCalls) {
      mQueuedCalls.push_back(std::move(aCall));
      return;
    }
  }
  std::visit([this](const auto& aAlternative) { mOptions.mQueue->Push(NotSent(aAlternative)); },
             aCall);
}

std::optional<StoreWorker::StoreCall>
StoreWorker::NextCall()
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mClosed || !mQueuedCalls.empty();
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.Await(absl::Condition(&ready));
  if (mClosed) {
    return std::nullopt;
  }
  StoreCall call = std::move(mQueuedCalls.front());
  mQueuedCalls.pop_front();
  return call;
}

void
StoreWorker::Run()
{
  while (const auto call = NextCall()) {
    const auto execute = [this](const auto& aAlternative) {
      const bool isExpired = HasPassed(aAlternative.mDeadline, Now());
      ControlEvent completion = isExpired ? NotSent(aAlternative) : Unknown(aAlternative);
      if (!isExpired) {
        RunGuardedStep("store worker", [&] { completion = Send(mOptions.mStore, aAlternative); });
      }
      mOptions.mQueue->Push(std::move(completion));
    };
    std::visit(execute, *call);
  }
}

} // namespace trefoil
