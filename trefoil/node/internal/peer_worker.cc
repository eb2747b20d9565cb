#include "trefoil/node/internal/peer_worker.h"

#include "trefoil/backend/load_response.h"
#include "trefoil/node/internal/guarded_step.h"
#include "trefoil/wire/peer_link.h"

namespace trefoil {
namespace {

absl::StatusOr<DocumentsReply>
RequestDocuments(const ConfigFetch& aFetch)
{
  auto answer = CallPeer(aFetch.mPeer, aFetch.mRequest, aFetch.mDeadline);
  if (!answer.ok()) {
    return answer.status();
  }
  if (auto* offered = std::get_if<DocumentsReply>(&*answer)) {
    return std::move(*offered);
  }
  return absl::InvalidArgumentError("the host answered with another kind of message");
}

ControlEvent
Execute(const FetchDocuments& aCall)
{
  return DocumentsFetched{ .mHost = aCall.mFetch.mHost,
                           .mOffered = RequestDocuments(aCall.mFetch) };
}

ControlEvent
Execute(const PollServer& aCall)
{
  const ServerPoll& poll = aCall.mPoll;
  PollResult result{ .mServer = poll.mServer };
  // Time that the poll spent in the queue is not evidence about the server, so the server always
  // has the full timeout.
  const Instant deadline = std::max(poll.mDeadline, Now() + kPollTimeout);
  const auto load = QueryLoad(poll.mEndpoint, deadline);
  result.mAnswered = load.ok();
  if (load.ok() && load->has_value()) {
    const LoadResponse& loadAnswer = **load;
    result.mReport =
      ServerReport{ .mServer = poll.mServer,
                    .mIncarnation = loadAnswer.mIncarnation,
                    .mSequence = loadAnswer.mSequence,
                    .mState = loadAnswer.mLeaving ? ServerState::kLeaving : ServerState::kUp,
                    .mRunning = loadAnswer.mRunning,
                    .mQueued = loadAnswer.mQueued,
                    .mVersion = loadAnswer.mVersion };
  }
  return ServerPolled{ .mResult = std::move(result) };
}

// The completions of calls that an exception ended.

ControlEvent
Failed(const FetchDocuments& aCall)
{
  return DocumentsFetched{ .mHost = aCall.mFetch.mHost,
                           .mOffered = absl::InternalError("the call failed") };
}

ControlEvent
Failed(const PollServer& aCall)
{
  return ServerPolled{ .mResult = { .mServer = aCall.mPoll.mServer } };
}

} // namespace

PeerWorker::PeerWorker(const PeerWorkerOptions& aOptions)
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

PeerWorker::~PeerWorker()
{
  Close();
}

void
PeerWorker::Close()
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
  mQueuedCalls.push_back(std::move(aCall));
}

std::optional<PeerWorker::PeerCall>
PeerWorker::NextCall()
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mClosed || !mQueuedCalls.empty();
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.Await(absl::Condition(&ready));
  if (mClosed) {
    return std::nullopt;
  }
  PeerCall call = std::move(mQueuedCalls.front());
  mQueuedCalls.pop_front();
  return call;
}

void
PeerWorker::Run()
{
  while (const auto call = NextCall()) {
    const auto execute = [this](const auto& aAlternative) {
      ControlEvent completion = Failed(aAlternative);
      RunGuardedStep("peer worker", [&] { completion = Execute(aAlternative); });
      mOptions.mQueue->Push(std::move(completion));
    };
    std::visit(execute, *call);
  }
}

} // namespace trefoil
