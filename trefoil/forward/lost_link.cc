#include "trefoil/forward/lost_link.h"

#include "trefoil/dispatch/link_check.h"
#include "trefoil/forward/server_connector.h"
#include "trefoil/forward/warm_up_limits.h"
#include "trefoil/http/framing.h"
#include "trefoil/http/message_reader.h"

#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

// A server that takes longer is too busy to be asked.
constexpr Milliseconds kHealthTimeout{ 300 };

// A link that is being checked.
struct CheckedLink
{
  TrafficState& mState;
  RegisteredServer mServer;
  LinkCheck mCheck;
  std::function<void(Instant)> mOnLost;
  std::shared_ptr<ServerConnection> mRelayed;
  std::shared_ptr<ServerConnection> mDirect;
};

using CheckedLinkPointer = std::shared_ptr<CheckedLink>;

// A question for the health of a server.
struct HealthQuestion
{
  TrafficState& mState;
  RegisteredServer mServer;
  std::shared_ptr<ServerConnection> mConnection;
  std::function<void(bool)> mOnEnd;
  MessageReader mReader = MessageReader::ForResponse({});
  EventLoop::TimerId mTimer = 0;
};

std::string_view
HealthPathOf(const TrafficState& aState, const ServiceId& aService)
{
  if (!aState.mView || !aState.mView->mCatalogue) {
    return {};
  }
  const auto& services = aState.mView->mCatalogue->mCatalogue.mServices;
  const auto service = services.find(aService);
  return service == services.end() ? std::string_view{} : service->second.mHealthPath;
}

void
EndQuestion(const std::shared_ptr<HealthQuestion>& aQuestion, bool aIsAnswered)
{
  aQuestion->mState.mLoop.Cancel(std::exchange(aQuestion->mTimer, 0));
  Discard(*aQuestion->mConnection);
  std::exchange(aQuestion->mOnEnd, nullptr)(aIsAnswered);
}

void
OnHealthBytes(const std::shared_ptr<HealthQuestion>& aQuestion)
{
  const MessageReadState state =
    aQuestion->mReader.Consume(aQuestion->mConnection->mStream->Received());
  if (aQuestion->mReader.IsHeadComplete()) {
    // Whatever the server says of its health, it is alive, unless another one has its address.
    const AnswerMetadata metadata =
      aQuestion->mState.mOptions.mCodec.mReadAnswer(aQuestion->mReader.Response());
    if (!metadata.mWrongServer && metadata.mRemainingWarmUp.has_value()) {
      ApplyWarmUpOfHealth(aQuestion->mState, aQuestion->mServer, *metadata.mRemainingWarmUp);
    }
    EndQuestion(aQuestion, !metadata.mWrongServer);
  } else if (state != MessageReadState::kHead) {
    EndQuestion(aQuestion, false);
  }
}

// Asks for the server's health on an open connection, which is closed afterwards. `aOnEnd` is
// called once, with whether the server has answered.
void
AskHealth(const CheckedLinkPointer& aLink,
          const std::shared_ptr<ServerConnection>& aConnection,
          std::function<void(bool)> aOnEnd)
{
  TrafficState& state = aLink->mState;
  const RegisteredServer& server = aLink->mServer;
  const auto question = std::make_shared<HealthQuestion>(HealthQuestion{
    .mState = state, .mServer = server, .mConnection = aConnection, .mOnEnd = std::move(aOnEnd) });
  if (!aConnection->mStream->IsOpen()) {
    EndQuestion(question, false);
    return;
  }
  question->mTimer = state.mLoop.CallAt(SuspendAwareNow() + kHealthTimeout, [question] {
    question->mTimer = 0;
    EndQuestion(question, false);
  });
  aConnection->mStream->SetCallbacks(
    { .mOnBytes = [question] { OnHealthBytes(question); },
      .mOnEnd = [question](StreamEnd /*aEnd*/) { EndQuestion(question, false); } });
  const HttpHeaders host{
    { "Host", fmt::format("{}:{}", server.mEndpoint.mAddress, server.mEndpoint.mPort) }
  };
  aConnection->mStream->Send(
    RequestBytes({ .mMethod = "GET",
                   .mTarget = std::string{ HealthPathOf(state, server.mService) },
                   .mHeaders = state.mOptions.mCodec.mServerHeaders(
                     host, { .mServer = server.mId, .mTimeLeft = kHealthTimeout }) }));
}

// Keeps a connection of a check for later requests.
void
Keep(TrafficState& aState, const std::shared_ptr<ServerConnection>& aConnection)
{
  if (aConnection && aConnection->mStream->IsOpen()) {
    aState.mConnectionPool.Release(aConnection, std::nullopt);
  }
}

void
Proceed(const CheckedLinkPointer& aLink, LinkCheckStep aStep);

void
EndCheck(const CheckedLinkPointer& aLink, bool aIsLost)
{
  TrafficState& state = aLink->mState;
  state.mCheckedLinks.erase(aLink->mServer.mId);
  Keep(state, std::exchange(aLink->mRelayed, nullptr));
  Keep(state, std::exchange(aLink->mDirect, nullptr));
  if (aIsLost) {
    aLink->mOnLost(*aLink->mCheck.mReachedAt);
  }
}

void
AskCarrier(const CheckedLinkPointer& aLink)
{
  const auto onEnd = [aLink](bool aIsReached) {
    if (!aIsReached) {
      aLink->mRelayed.reset();
    }
    Proceed(aLink, RecordCarrierOutcome(aLink->mCheck, aIsReached, SuspendAwareNow()));
  };
  aLink->mState.mLoop.CallAt(aLink->mCheck.mAskAt, [aLink, onEnd] {
    aLink->mRelayed = OpenRelayedConnection(aLink->mState, aLink->mServer, onEnd);
    if (!aLink->mRelayed) {
      onEnd(false);
    }
  });
}

// Returns whether the server may be asked for its health: while it warms up, only with a permit,
// since the question is a request, too.
bool
MayAskHealth(const CheckedLink& aLink)
{
  const Instant now = SuspendAwareNow();
  return !IsLimitedByWarmUp(aLink.mState, aLink.mServer, now) ||
         TakeWarmUpPermit(aLink.mState, aLink.mServer, now);
}

void
Proceed(const CheckedLinkPointer& aLink, LinkCheckStep aStep)
{
  const bool asksHealth = aStep == LinkCheckStep::kAskHealth || aStep == LinkCheckStep::kTryHealth;
  if (asksHealth && !MayAskHealth(*aLink)) {
    EndCheck(aLink, false);
    return;
  }
  switch (aStep) {
    case LinkCheckStep::kAsk:
      AskCarrier(aLink);
      return;
    case LinkCheckStep::kConnect:
      aLink->mDirect = OpenDirectConnection(aLink->mState, aLink->mServer, [aLink](bool aIsOpen) {
        if (!aIsOpen) {
          aLink->mDirect.reset();
        }
        const bool hasHealthCheck = !HealthPathOf(aLink->mState, aLink->mServer.mService).empty();
        Proceed(aLink, RecordOwnOutcome(aIsOpen, hasHealthCheck));
      });
      return;
    case LinkCheckStep::kAskHealth:
      if (IsEvacuated(aLink->mState, aLink->mServer)) {
        EndCheck(aLink, false);
        return;
      }
      AskHealth(aLink, std::exchange(aLink->mRelayed, nullptr), [aLink](bool aIsAnswered) {
        Proceed(aLink, RecordCarrierAnswer(aLink->mCheck, aIsAnswered, SuspendAwareNow()));
      });
      return;
    case LinkCheckStep::kTryHealth:
      if (IsEvacuated(aLink->mState, aLink->mServer)) {
        EndCheck(aLink, false);
        return;
      }
      AskHealth(aLink, std::exchange(aLink->mDirect, nullptr), [aLink](bool aIsAnswered) {
        Proceed(aLink, aIsAnswered ? LinkCheckStep::kGiveUp : LinkCheckStep::kLost);
      });
      return;
    case LinkCheckStep::kLost:
    case LinkCheckStep::kGiveUp:
      EndCheck(aLink, aStep == LinkCheckStep::kLost);
      return;
  }
}

} // namespace

void
CheckLink(TrafficState& aState,
          const RegisteredServer& aServer,
          std::function<void(Instant aReachedAt)> aOnLost)
{
  if (!HasCarriers(aState) || !aState.mCheckedLinks.insert(aServer.mId).second) {
    return;
  }
  AskCarrier(std::make_shared<CheckedLink>(CheckedLink{ .mState = aState,
                                                        .mServer = aServer,
                                                        .mCheck = BeginLinkCheck(SuspendAwareNow()),
                                                        .mOnLost = std::move(aOnLost) }));
}

} // namespace trefoil
