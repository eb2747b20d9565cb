#include "trefoil/forward/client_session.h"

#include "trefoil/http/check_request_head.h"
#include "trefoil/http/reason_phrase.h"
#include "trefoil/http/status_code.h"

#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
// Bytes of further requests that a client may send before it receives the current answer.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 64 } * 1024;
// The next request of a client is not read while more of the answers to earlier ones waits.
constexpr std::size_t kMaxUnsentBeforeNext = std::size_t{ 64 } * 1024;
// A client that acknowledges no sent bytes for this long is considered gone.
constexpr Milliseconds kClientAckTimeout{ 6'000 };

// A client sends its first request within a round trip after it has connected, or later under load.
constexpr Milliseconds kFirstRequestTime{ 500 };

bool
RequestsClose(const HttpRequest& aRequest)
{
  return HasListElement(aRequest.mHeaders, "Connection", "close");
}

} // namespace

ClientSession::ClientSession(EventLoop& aLoop, std::shared_ptr<const SessionCallbacks> aCallbacks)
  : mLoop(aLoop)
  , mCallbacks(std::move(aCallbacks))
{
}

std::shared_ptr<ClientSession>
ClientSession::Start(EventLoop& aLoop,
                     const Poco::Net::StreamSocket& aSocket,
                     std::shared_ptr<const SessionCallbacks> aCallbacks)
{
  auto session = std::make_shared<ClientSession>(aLoop, std::move(aCallbacks));
  session->mStream = ByteStream::Adopt(aLoop, aSocket, { .mPeerTimeout = kClientAckTimeout });
  session->mStream->SetCallbacks({ .mOnBytes = [session] { session->OnBytes(); },
                                   .mOnSent = [session] { session->OnSent(); },
                                   .mOnEnd = [session](StreamEnd /*aEnd*/) { session->OnEnd(); } });
  session->mWaitingSince = SuspendAwareNow();
  session->SetTimer(session->mCallbacks->mLimits().mIdleTimeout);
  session->mFirstRequestDeadline = SuspendAwareNow() + kFirstRequestTime;
  return session;
}

void
ClientSession::SetTimer(Milliseconds aDelay)
{
  mLoop.Cancel(mTimer);
  mTimer = mLoop.CallAt(SuspendAwareNow() + aDelay, [self = shared_from_this()] {
    self->mTimer = 0;
    self->OnTimer();
  });
}

// Called when the client has sent no request, or only part of one, in time.
void
ClientSession::OnTimer()
{
  if (mAwaitingAnswer) {
    return;
  }
  if (mReader.has_value()) {
    RejectMalformed(kRequestTimeout, "the request did not arrive in time");
    return;
  }
  CloseAfterSending();
}

void
ClientSession::OnBytes()
{
  if (mAwaitingAnswer) {
    if (mStream->Received().size() > kMaxPipelinedBytes) {
      OnEnd();
      return;
    }
    ReportMemory(MemoryReport::kOther);
    return;
  }
  ReadRequests();
}

void
ClientSession::ReadRequests()
{
  if (mInReadLoop) {
    // Called from within mOnRequest below, whose caller continues the loop.
    return;
  }
  mInReadLoop = true;
  const auto keep = shared_from_this();
  const bool hasRead = mLoop.RunGuarded([this] { ReadAvailableRequests(); });
  mInReadLoop = false;
  if (!hasRead && mStream->IsOpen()) {
    // Answers to earlier requests may still have to be sent.
    mAwaitingAnswer = false;
    CloseAfterSending();
  }
}

void
ClientSession::ReadAvailableRequests()
{
  while (!mAwaitingAnswer && mStream->IsOpen() && !mStream->Received().empty()) {
    if (!mReader.has_value() && !ReadsAnswers()) {
      break;
    }
    if (!mReader.has_value()) {
      const ClientLimits limits = mCallbacks->mLimits();
      mReader = MessageReader::ForRequest(
        { .mMaxHeadBytes = limits.mMaxHeadBytes, .mMaxBodyBytes = limits.mMaxBodyBytes });
      SetTimer(limits.mHeadTimeout);
    }
    const MessageReadState state = mReader->Consume(mStream->Received());
    if (state == MessageReadState::kHeadTooLarge) {
      RejectMalformed(kHeadersTooLarge, "the request's headers are too long");
    } else if (state == MessageReadState::kBodyTooLarge) {
      RejectMalformed(kBodyTooLarge, "the request's body is too long");
    } else if (state == MessageReadState::kMalformed) {
      RejectMalformed(kBadRequest, "the request is malformed");
    } else if (state == MessageReadState::kFramingTooLarge) {
      RejectMalformed(kBadRequest, "the framing of the request's body is too long");
    } else if (mReader->IsHeadComplete()) {
      const auto refusal = CheckRequestHead(mReader->Request());
      if (refusal.has_value()) {
        RejectMalformed(refusal->mStatus, refusal->mBody);
        break;
      }
    }
    if (!mStream->IsOpen() || state != MessageReadState::kComplete) {
      ShrinkIfEmpty(mStream->Received());
      ReportMemory(MemoryReport::kReceiving);
      break;
    }
    HttpRequest request = mReader->Request();
    request.mBody = std::move(mReader->Body());
    mCloseAfterAnswer = RequestsClose(request) || !mReader->KeepsAlive();
    mIsHeadRequest = request.mMethod == "HEAD";
    mReader.reset();
    mLoop.Cancel(mTimer);
    mTimer = 0;
    mAwaitingAnswer = true;
    mAnswerStarted = false;
    mFirstRequestDeadline = {};
    ShrinkIfEmpty(mStream->Received());
    ReportMemory(MemoryReport::kOther);
    mCallbacks->mOnRequest(shared_from_this(), std::move(request));
  }
}

void
ClientSession::OnEnd()
{
  const auto keep = shared_from_this();
  mLoop.Cancel(mTimer);
  mTimer = 0;
  mStream->Close();
  mAwaitingAnswer = false;
  mReader.reset();
  ReportMemory(MemoryReport::kOther);
  mCallbacks->mOnClosed(keep);
}

// Returns whether little enough of the earlier answers waits for the client. Otherwise stops to
// read, until they have been sent.
bool
ClientSession::ReadsAnswers()
{
  const bool reads = mStream->Unsent() <= kMaxUnsentBeforeNext;
  mStream->SetReading(reads);
  return reads;
}

void
ClientSession::OnSent()
{
  ReportMemory(MemoryReport::kOther);
  mStream->SetReading(true);
  if (!mAwaitingAnswer && !mStream->Received().empty()) {
    ReadRequests();
  }
}

void
ClientSession::ReportMemory(MemoryReport aReport)
{
  ClientMemory memory{ .mSince = SuspendAwareNow() };
  if (mStream->IsOpen()) {
    memory.mIncomplete = (mReader.has_value() ? mReader->HeldBytes() : 0) +
                         (mStream->Received().empty() ? 0 : mStream->Received().capacity());
    memory.mUnsent = mStream->UnsentCapacity() + mUnacknowledged;
  }
  if (memory.mIncomplete != mReported.mIncomplete || memory.mUnsent != mReported.mUnsent) {
    mReported = memory;
    mCallbacks->mOnMemory(shared_from_this(), memory, aReport);
  }
}

void
ClientSession::ReportUnacknowledged()
{
  mUnacknowledged = mStream->UnacknowledgedBytes();
  ReportMemory(MemoryReport::kOther);
}

std::optional<Instant>
ClientSession::WaitingSince()
{
  if (mAwaitingAnswer || !mStream->IsOpen() ||
      (!mReader.has_value() && mStream->HasUnreadBytes())) {
    return std::nullopt;
  }
  return mWaitingSince;
}

MemoryRefusal
ClientSession::GiveWay()
{
  const auto keep = shared_from_this();
  if (!mReader.has_value()) {
    // Also ends a session that only sends its last answer.
    const MemoryRefusal reason = mStream->Unsent() + mUnacknowledged > 0
                                   ? MemoryRefusal::kUnreadAnswers
                                   : MemoryRefusal::kConnectionLimit;
    OnEnd();
    return reason;
  }
  if (mInReadLoop) {
    RejectMalformed(kServiceUnavailable,
                    "there is no memory for the request now",
                    mReader->IsHeadComplete() ? mCallbacks->mNoRoomHeaders(mReader->Request())
                                              : mCallbacks->mNoRoomHeaders({}));
    return MemoryRefusal::kNoRoom;
  }
  RejectMalformed(kRequestTimeout, "the request did not arrive before others needed its memory");
  return MemoryRefusal::kGaveWay;
}

void
ClientSession::RejectMalformed(int aStatus, std::string_view aReason, HttpHeaders aHeaders)
{
  mCallbacks->mOnMalformed(aStatus, aReason);
  mCloseAfterAnswer = true;
  mAwaitingAnswer = true;
  mAnswerStarted = false;
  if (aHeaders.empty()) {
    aHeaders = { { "Content-Type", "text/plain" } };
  }
  SendAnswer(
    { .mStatus = aStatus, .mHeaders = std::move(aHeaders), .mBody = std::string{ aReason } });
}

void
ClientSession::SendHead(const HttpResponse& aHead, std::string_view aFraming)
{
  std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", aHead.mStatus, ReasonPhrase(aHead.mStatus));
  AppendHeaders(bytes, aHead.mHeaders);
  mCloseAfterAnswer = mCloseAfterAnswer || mCallbacks->mStopping();
  if (mCloseAfterAnswer) {
    bytes += "Connection: close\r\n";
  }
  bytes += aFraming;
  bytes += "\r\n";
  mAnswerStarted = true;
  mStream->Send(bytes);
}

void
ClientSession::SendAnswer(const HttpResponse& aAnswer)
{
  if (!mAwaitingAnswer) {
    return;
  }
  SendHead(aAnswer, fmt::format("Content-Length: {}\r\n", aAnswer.mBody.size()));
  if (!mIsHeadRequest) {
    mStream->Send(aAnswer.mBody);
  }
  ReportMemory(MemoryReport::kOther);
  OnAnswerSent();
}

void
ClientSession::StartAnswer(const HttpResponse& aHead)
{
  if (mAwaitingAnswer) {
    SendHead(aHead, "Transfer-Encoding: chunked\r\n");
  }
}

void
ClientSession::SendBody(std::string_view aBytes)
{
  if (mAwaitingAnswer && !aBytes.empty() && !mIsHeadRequest) {
    mStream->Send(fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes));
    ReportMemory(MemoryReport::kOther);
  }
}

void
ClientSession::FinishAnswer()
{
  if (!mAwaitingAnswer) {
    return;
  }
  if (!mIsHeadRequest) {
    mStream->Send("0\r\n\r\n");
  }
  OnAnswerSent();
}

void
ClientSession::OnAnswerSent()
{
  mAwaitingAnswer = false;
  if (mCloseAfterAnswer) {
    CloseAfterSending();
    return;
  }
  mWaitingSince = SuspendAwareNow();
  SetTimer(mCallbacks->mLimits().mIdleTimeout);
  if (!mStream->Received().empty()) {
    mLoop.Post([self = shared_from_this()] {
      if (!self->mAwaitingAnswer) {
        self->ReadRequests();
      }
    });
  }
}

// Ends the session. The connection is closed when the client has received what was sent.
void
ClientSession::CloseAfterSending()
{
  const auto keep = shared_from_this();
  mLoop.Cancel(mTimer);
  mTimer = 0;
  mReader.reset();
  // Ignore anything that the client sends from here on.
  mStream->SetCallbacks(
    { .mOnSent = [keep] { keep->ReportMemory(MemoryReport::kOther); },
      .mOnEnd = [keep](StreamEnd /*aEnd*/) { keep->ReportMemory(MemoryReport::kOther); } });
  mStream->CloseAfterSending(mCallbacks->mMaxDiscarded());
  ReportMemory(MemoryReport::kOther);
  mCallbacks->mOnClosed(keep);
}

void
ClientSession::Abort()
{
  if (mStream->IsOpen()) {
    mAwaitingAnswer = false;
    OnEnd();
  }
}

void
ClientSession::CloseIfIdle(Instant aNow)
{
  const bool awaitsFirstRequest = !HasPassed(mFirstRequestDeadline, aNow);
  if (!mAwaitingAnswer && !mReader.has_value() && !awaitsFirstRequest &&
      !mStream->HasUnreadBytes()) {
    CloseAfterSending();
  }
}

} // namespace trefoil
