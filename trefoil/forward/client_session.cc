#include "trefoil/forward/client_session.h"

#include "trefoil/http/check_head.h"
#include "trefoil/http/status_code.h"
#include "trefoil/http/status_text.h"

#include <Poco/String.h>
#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
// Bytes of further requests that a client may send before its answer has come.
constexpr std::size_t kMaxBytesAhead = std::size_t{ 64 } * 1024;
// A client that acknowledges nothing for so long is gone.
constexpr Milliseconds kClientSilence{ 6'000 };

bool
AsksToClose(const HttpRequest& aRequest)
{
  return Poco::icompare(std::string{ HeaderValue(aRequest.mHeaders, "Connection") }, "close") == 0;
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
  session->mStream = ByteStream::Adopt(aLoop, aSocket, { .mSilenceLimit = kClientSilence });
  session->mStream->SetCallbacks({ .mOnBytes = [session] { session->OnBytes(); },
                                   .mOnEnd = [session](StreamEnd /*aEnd*/) { session->OnEnd(); } });
  session->SetTimer(session->mCallbacks->mLimits().mIdleTimeout);
  return session;
}

void
ClientSession::SetTimer(Milliseconds aAfter)
{
  mLoop.Cancel(mTimer);
  mTimer = mLoop.CallAt(SuspendAwareNow() + aAfter, [self = shared_from_this()] {
    self->mTimer = 0;
    self->OnTimer();
  });
}

// The client sent no request in time, or did not finish one that it began.
void
ClientSession::OnTimer()
{
  if (mWaiting) {
    return;
  }
  if (mReader.has_value()) {
    Malformed(kRequestTimeout, "the request did not arrive in time");
    return;
  }
  OnEnd();
}

void
ClientSession::OnBytes()
{
  if (mWaiting) {
    if (mStream->Received().size() > kMaxBytesAhead) {
      OnEnd();
    }
    return;
  }
  ReadNext();
}

void
ClientSession::ReadNext()
{
  if (mReading) {
    // An answer inside the callback below: the loop there goes on.
    return;
  }
  mReading = true;
  const auto keep = shared_from_this();
  while (!mWaiting && mStream->IsOpen() && !mStream->Received().empty()) {
    if (!mReader.has_value()) {
      const ClientLimits limits = mCallbacks->mLimits();
      mReader = MessageReader::ForRequest(
        { .mMaxHeadBytes = limits.mMaxHeadBytes, .mMaxBodyBytes = limits.mMaxBodyBytes });
      SetTimer(limits.mHeadTimeout);
    }
    const ReadState state = mReader->Consume(mStream->Received());
    if (state == ReadState::kHeadTooLarge) {
      Malformed(kHeadersTooLarge, "the request's headers are too long");
    } else if (state == ReadState::kBodyTooLarge) {
      Malformed(kBodyTooLarge, "the request's body is too long");
    } else if (state == ReadState::kMalformed) {
      Malformed(kBadRequest, "the request is malformed");
    } else if (mReader->HeadDone()) {
      const auto refusal = CheckHead(mReader->Request());
      if (refusal.has_value()) {
        Malformed(refusal->mStatus, refusal->mBody);
        break;
      }
    }
    if (!mStream->IsOpen() || state != ReadState::kComplete) {
      break;
    }
    HttpRequest request = mReader->Request();
    request.mBody = std::move(mReader->Body());
    mCloseAfter = AsksToClose(request) || !mReader->KeepsAlive();
    mIsHead = request.mMethod == "HEAD";
    mReader.reset();
    mLoop.Cancel(mTimer);
    mTimer = 0;
    mWaiting = true;
    mAnswerStarted = false;
    mCallbacks->mOnRequest(keep, std::move(request));
  }
  mReading = false;
}

void
ClientSession::OnEnd()
{
  const auto keep = shared_from_this();
  mLoop.Cancel(mTimer);
  mTimer = 0;
  mStream->Close();
  mWaiting = false;
  mCallbacks->mOnClosed(keep);
}

void
ClientSession::Malformed(int aStatus, std::string_view aReason)
{
  mCallbacks->mOnMalformed(aStatus, aReason);
  mCloseAfter = true;
  mWaiting = true;
  mAnswerStarted = false;
  SendWhole({ .mStatus = aStatus,
              .mHeaders = { { "Content-Type", "text/plain" } },
              .mBody = std::string{ aReason } });
}

void
ClientSession::SendHead(const HttpAnswer& aHead, std::string_view aFraming)
{
  std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", aHead.mStatus, StatusText(aHead.mStatus));
  AppendHeaders(bytes, aHead.mHeaders);
  mCloseAfter = mCloseAfter || mCallbacks->mStopping();
  if (mCloseAfter) {
    bytes += "Connection: close\r\n";
  }
  bytes += aFraming;
  bytes += "\r\n";
  mAnswerStarted = true;
  mStream->Send(bytes);
}

void
ClientSession::SendWhole(const HttpAnswer& aAnswer)
{
  if (!mWaiting) {
    return;
  }
  SendHead(aAnswer, fmt::format("Content-Length: {}\r\n", aAnswer.mBody.size()));
  if (!mIsHead) {
    mStream->Send(aAnswer.mBody);
  }
  EndOfAnswer();
}

void
ClientSession::StartAnswer(const HttpAnswer& aHead)
{
  if (mWaiting) {
    SendHead(aHead, "Transfer-Encoding: chunked\r\n");
  }
}

void
ClientSession::SendBody(std::string_view aBytes)
{
  if (mWaiting && !aBytes.empty() && !mIsHead) {
    mStream->Send(fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes));
  }
}

void
ClientSession::FinishAnswer()
{
  if (!mWaiting) {
    return;
  }
  if (!mIsHead) {
    mStream->Send("0\r\n\r\n");
  }
  EndOfAnswer();
}

void
ClientSession::EndOfAnswer()
{
  mWaiting = false;
  if (mCloseAfter) {
    const auto keep = shared_from_this();
    mLoop.Cancel(mTimer);
    mTimer = 0;
    // What the client sends from here on is not read.
    mStream->SetCallbacks({});
    mStream->CloseAfterSending();
    mCallbacks->mOnClosed(keep);
    return;
  }
  SetTimer(mCallbacks->mLimits().mIdleTimeout);
  if (!mStream->Received().empty()) {
    mLoop.Post([self = shared_from_this()] {
      if (!self->mWaiting) {
        self->ReadNext();
      }
    });
  }
}

void
ClientSession::Abort()
{
  if (mStream->IsOpen()) {
    mWaiting = false;
    OnEnd();
  }
}

void
ClientSession::CloseIfIdle()
{
  if (!mWaiting && !mReader.has_value()) {
    OnEnd();
  }
}

} // namespace trefoil
