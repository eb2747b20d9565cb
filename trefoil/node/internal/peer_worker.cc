#include "trefoil/node/internal/peer_worker.h"

#include "trefoil/backend/load_answer.h"
#include "trefoil/wire/peer_link.h"

namespace trefoil {
namespace {

absl::StatusOr<DocumentsOffered>
AskForDocuments(const ConfigFetch& aFetch)
{
  auto answer = AskPeer(aFetch.mPeer, aFetch.mWanted, aFetch.mDeadline);
  if (!answer.ok()) {
    return answer.status();
  }
  if (auto* offered = std::get_if<DocumentsOffered>(&*answer)) {
    return std::move(*offered);
  }
  return absl::InvalidArgumentError("the host answered with another kind of message");
}

ControlEvent
CarryOut(const FetchDocuments& aCall)
{
  return DocumentsFetched{ .mHost = aCall.mFetch.mHost, .mOffered = AskForDocuments(aCall.mFetch) };
}

ControlEvent
CarryOut(const PollServer& aCall)
{
  const ServerPoll& poll = aCall.mPoll;
  PollResult result{ .mServer = poll.mServer };
  // A poll that waited too long in line says nothing about the server: it is asked with a limit of
  // its own.
  const Instant deadline = std::max(poll.mDeadline, Now() + kPollTimeout);
  const auto load = AskLoad(poll.mEndpoint, deadline);
  result.mAnswered = load.ok();
  if (load.ok() && load->has_value()) {
    const LoadAnswer& told = **load;
    result.mReport =
      ServerReport{ .mServer = poll.mServer,
                    .mIncarnation = told.mIncarnation,
                    .mSequence = told.mSequence,
                    .mState = told.mLeaving ? ServerState::kLeaving : ServerState::kUp,
                    .mRunning = told.mRunning,
                    .mQueued = told.mQueued,
                    .mVersion = told.mVersion };
  }
  return ServerPolled{ .mResult = std::move(result) };
}

} // namespace

PeerWorker::PeerWorker(const PeerWorkerOptions& aOptions)
  : mOptions(aOptions)
{
  for (std::size_t i = 0; i < mOptions.mThreads; ++i) {
    mThreads.emplace_back([this] { Run(); });
  }
}

PeerWorker::~PeerWorker()
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
PeerWorker::Submit(PeerCall aCall)
{
  const absl::MutexLock lock{ &mMutex };
  mWaiting.push_back(std::move(aCall));
}

std::optional<PeerWorker::PeerCall>
PeerWorker::Take()
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mClosed || !mWaiting.empty();
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.Await(absl::Condition(&ready));
  if (mClosed) {
    return std::nullopt;
  }
  PeerCall call = std::move(mWaiting.front());
  mWaiting.pop_front();
  return call;
}

void
PeerWorker::Run()
{
  while (const auto call = Take()) {
    mOptions.mQueue->Push(std::visit([](const auto& aKind) { return CarryOut(aKind); }, *call));
  }
}

} // namespace trefoil
