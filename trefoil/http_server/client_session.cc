#include "trefoil/http_server/client_session.h"

#include "trefoil/http/check_request_head.h"
#include "trefoil/http/reason_phrase.h"
#include "trefoil/http/status_code.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

constexpr int kHeadersTooLarge = 431;
// Bytes of further requests that a client may send before it receives the current answer.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 64 } * 1024;
// The next request of a client is not read while more of the answers to earlier ones waits.
constexpr std::size_t kMaxUnsentBeforeNext = std::size_t{ 64 } * 1024;
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
  const SessionOptions& options = session->mCallbacks->mOptions;
  session->mStream = ByteStream::Adopt(
    aLoop,
    aSocket,
    { .mPeerTimeout = options.mAckTimeout, .mKeepsHalfClosed = options.mServesHalfClosed });
  session->mStream->SetCallbacks({ .mOnBytes = [session] { session->OnBytes(); },
                                   .mOnSent = [session] { session->OnSent(); },
                                   .mOnPeerClosed = [session] { session->OnPeerClosed(); },
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

void
ClientSession::SetRequestTimer()
{
  SetTimer(
    std::min(Remaining(mRequestDeadline, SuspendAwareNow()), mCallbacks->mOptions.mStallTimeout));
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
      if (!mCallbacks->mOptions.mServesHalfClosed) {
        OnEnd();
        return;
      }
      // The next request, or the end of this answer, resumes reading.
      mStream->SetReading(false);
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
      return;
    }
    const MessageReadState state = ReadRequest();
    if (!CheckRead(state)) {
      return;
    }
    if (!mStream->IsOpen() || state != MessageReadState::kComplete) {
      SendContinue(state);
      ShrinkIfEmpty(mStream->Received());
      ReportMemory(MemoryReport::kReceiving);
      break;
    }
    PassOnRequest();
  }
  if (mStream->IsPeerClosed() && mReader.has_value() && !mAwaitingAnswer) {
    OnPeerClosed();
  }
}

// Reads what has arrived of the current request, or of the next one. Returns the state of its
// reader.
MessageReadState
ClientSession::ReadRequest()
{
  if (!mReader.has_value()) {
    const ClientLimits limits = mCallbacks->mLimits();
    mReader =
      MessageReader::ForRequest({ .mMaxHeadBytes = limits.mMaxHeadBytes,
                                  .mMaxBodyBytes = limits.mMaxBodyBytes,
                                  .mMaxHeaders = mCallbacks->mOptions.mMaxHeaders,
                                  .mMaxHeaderBytes = mCallbacks->mOptions.mMaxHeaderBytes });
    mHasSentContinue = false;
    mRequestDeadline = SuspendAwareNow() + limits.mHeadTimeout;
    SetRequestTimer();
  } else if (mCallbacks->mOptions.mStallTimeout < Milliseconds::max()) {
    SetRequestTimer();
  }
  return mReader->Consume(mStream->Received());
}

// Returns false if the request was refused because of what has been read of it.
bool
ClientSession::CheckRead(MessageReadState aState)
{
  switch (aState) {
    case MessageReadState::kHeadTooLarge:
      RejectMalformed(kHeadersTooLarge, "the request's headers are too long");
      return false;
    case MessageReadState::kBodyTooLarge:
      RejectMalformed(kPayloadTooLarge, "the request's body is too long");
      return false;
    case MessageReadState::kMalformed:
      RejectMalformed(kBadRequest, "the request is malformed");
      return false;
    case MessageReadState::kFramingTooLarge:
      RejectMalformed(kBadRequest, "the framing of the request's body is too long");
      return false;
    case MessageReadState::kHead:
    case MessageReadState::kBody:
    case MessageReadState::kComplete:
      break;
  }
  if (!mReader->IsHeadComplete()) {
    return true;
  }
  const auto refusal = CheckRequestHead(mReader->Request());
  if (refusal.has_value()) {
    RejectMalformed(refusal->mStatus, refusal->mBody);
  }
  return !refusal.has_value();
}

// Tells a client that waits for it to send the body of its request (RFC 9110, section 10.1.1).
void
ClientSession::SendContinue(MessageReadState aState)
{
  if (aState == MessageReadState::kBody && mStream->IsOpen() && !mHasSentContinue &&
      mReader->Body().empty() &&
      HasListElement(mReader->Request().mHeaders, "Expect", "100-continue")) {
    mHasSentContinue = true;
    mStream->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void
ClientSession::PassOnRequest()
{
  HttpRequest request = mReader->TakeRequest();
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

// Called when a client that is served nevertheless has shut down its sending side.
void
ClientSession::OnPeerClosed()
{
  if (mAwaitingAnswer) {
    return;
  }
  if (mReader.has_value()) {
    RejectMalformed(kBadRequest, "the request is cut short");
  } else if (mStream->Received().empty()) {
    CloseAfterSending();
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
  if (mCallbacks->mOnSent) {
    mCallbacks->mOnSent(shared_from_this());
  }
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
  const bool statesClose = HasListElement(aHead.mHeaders, "Connection", "close");
  mCloseAfterAnswer = mCloseAfterAnswer || statesClose || mCallbacks->mStopping();
  if (mCloseAfterAnswer && !statesClose) {
    bytes += "Connection: close\r\n";
  } else if (!mCloseAfterAnswer && mCallbacks->mOptions.mStatesKeepAlive) {
    bytes += "Connection: Keep-Alive\r\n";
  }
  bytes += aFraming;
  bytes += "\r\n";
  mAnswerStarted = true;
  mStream->Send(bytes);
}

void
ClientSession::SendAnswer(HttpResponse aAnswer)
{
  if (!mAwaitingAnswer) {
    return;
  }
  SendHead(aAnswer, fmt::format("Content-Length: {}\r\n", aAnswer.mBody.size()));
  if (!mIsHeadRequest) {
    mStream->SendString(std::move(aAnswer.mBody));
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
  if (mStream->IsPeerClosed() && mStream->Received().empty()) {
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
ClientSession::AwaitFirstRequestUntil(Instant aDeadline)
{
  if (mFirstRequestDeadline != Instant{}) {
    mFirstRequestDeadline = std::max(mFirstRequestDeadline, aDeadline);
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
