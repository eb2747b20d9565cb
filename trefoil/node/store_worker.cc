#include "trefoil/node/store_worker.h"

namespace trefoil {
namespace {

constexpr const char* kNotSent = "the call was not sent in time";

ControlEvent
NotSent(const StoreReadWanted& aCall)
{
  return StoreReadDone{ .mTopic = aCall.mTopic,
                        .mTag = aCall.mTag,
                        .mEntry = absl::UnavailableError(kNotSent) };
}

ControlEvent
NotSent(const StoreWriteWanted& aCall)
{
  return StoreWriteDone{ .mTopic = aCall.mTopic,
                         .mTag = aCall.mTag,
                         .mWrite = { .mState = StoreWriteState::kNotWritten,
                                     .mReason = kNotSent } };
}

ControlEvent
NotSent(const LeaseCallWanted& aCall)
{
  return LeaseCallDone{ .mCallNumber = aCall.mCallNumber, .mLease = aCall.mLease };
}

ControlEvent
Send(const StoreClient& aStore, const StoreReadWanted& aCall)
{
  return StoreReadDone{ .mTopic = aCall.mTopic,
                        .mTag = aCall.mTag,
                        .mEntry = Read(aStore, aCall.mKey, aCall.mDeadline) };
}

ControlEvent
Send(const StoreClient& aStore, const StoreWriteWanted& aCall)
{
  return StoreWriteDone{ .mTopic = aCall.mTopic,
                         .mTag = aCall.mTag,
                         .mWrite = CompareAndSwap(aStore, aCall.mWrite, aCall.mDeadline) };
}

} // namespace

StoreWorker::StoreWorker(const StoreWorkerOptions& aOptions)
  : mOptions(aOptions)
{
  for (std::size_t i = 0; i < mOptions.mThreads; ++i) {
    mThreads.emplace_back([this] { Run(); });
  }
}

StoreWorker::~StoreWorker()
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
    if (mWaiting.size() < mOptions.mMaxWaiting) {
      mWaiting.push_back(std::move(aCall));
      return;
    }
  }
  std::visit([this](const auto& aKind) { mOptions.mQueue->Push(NotSent(aKind)); }, aCall);
}

std::optional<StoreWorker::StoreCall>
StoreWorker::Take()
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mClosed || !mWaiting.empty();
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.Await(absl::Condition(&ready));
  if (mClosed) {
    return std::nullopt;
  }
  StoreCall call = std::move(mWaiting.front());
  mWaiting.pop_front();
  return call;
}

void
StoreWorker::Run()
{
  while (const auto call = Take()) {
    const auto carryOut = [this](const auto& aKind) {
      const bool late = HasPassed(aKind.mDeadline, Now());
      mOptions.mQueue->Push(late ? NotSent(aKind) : ControlEvent{ Send(mOptions.mStore, aKind) });
    };
    std::visit(carryOut, *call);
  }
}

} // namespace trefoil
