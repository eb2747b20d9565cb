#include "trefoil/http/http_channel.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace trefoil {

std::string
RenderRequest(const HttpRequest& aRequest, const Endpoint& aTo)
{
  std::string bytes =
    fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", aRequest.mMethod, aRequest.mTarget, ToText(aTo));
  AppendHeaders(bytes, aRequest.mHeaders);
  if (!aRequest.mBody.empty() || aRequest.mMethod == "POST") {
    fmt::format_to(std::back_inserter(bytes), "Content-Length: {}\r\n", aRequest.mBody.size());
  }
  bytes += "\r\n";
  bytes += aRequest.mBody;
  return bytes;
}

HttpChannel::HttpChannel(EventLoop& aLoop, Endpoint aTo, StreamOptions aOptions)
  : mLoop(aLoop)
  , mTo(std::move(aTo))
  , mOptions(aOptions)
{
}

HttpChannel::~HttpChannel()
{
  Reset();
}

void
HttpChannel::Reset()
{
  for (const Call& call : mCalls) {
    mLoop.Cancel(call.mTimer);
  }
  mCalls.clear();
  mSent = false;
  mReader.reset();
  if (mStream) {
    mStream->Close();
    mStream.reset();
  }
}

void
HttpChannel::Send(const HttpRequest& aRequest, Instant aDeadline, Callback aCallback)
{
  Call call{ .mBytes = RenderRequest(aRequest, mTo),
             .mCallback = std::move(aCallback),
             .mNumber = ++mLastNumber };
  call.mTimer = mLoop.CallAt(aDeadline, [this, number = call.mNumber] { OnDeadline(number); });
  mCalls.push_back(std::move(call));
  StartNext();
}

void
HttpChannel::StartNext()
{
  if (mSent || mCalls.empty()) {
    return;
  }
  if (!mStream || !mStream->IsOpen()) {
    mStream = ByteStream::Connect(
      mLoop,
      mTo,
      { .mOnBytes = [this] { OnBytes(); }, .mOnEnd = [this](StreamEnd aEnd) { OnEnd(aEnd); } },
      mOptions);
  }
  mReader = MessageReader::ForAnswer({});
  mSent = true;
  mStream->Send(mCalls.front().mBytes);
}

void
HttpChannel::OnBytes()
{
  if (!mSent) {
    // Nothing was asked: the bytes belong to no request.
    mStream->Close();
    return;
  }
  const ReadState state = mReader->Consume(mStream->Received());
  if (state == ReadState::kHead || state == ReadState::kBody) {
    return;
  }
  if (state != ReadState::kComplete) {
    mStream->Close();
    Finish({ .mKind = ReplyKind::kLost });
    return;
  }
  HttpReply reply{ .mKind = ReplyKind::kAnswered, .mAnswer = mReader->Answer() };
  reply.mAnswer.mBody = std::move(mReader->Body());
  if (!mReader->KeepsAlive()) {
    mStream->Close();
  }
  Finish(reply);
}

void
HttpChannel::OnEnd(StreamEnd aEnd)
{
  if (!mSent) {
    return;
  }
  if (aEnd == StreamEnd::kClosedByPeer && mReader->ConsumeEnd() == ReadState::kComplete) {
    HttpReply reply{ .mKind = ReplyKind::kAnswered, .mAnswer = mReader->Answer() };
    reply.mAnswer.mBody = std::move(mReader->Body());
    Finish(reply);
    return;
  }
  Finish({ .mKind = aEnd == StreamEnd::kConnectFailed ? ReplyKind::kNotSent : ReplyKind::kLost });
}

void
HttpChannel::OnDeadline(std::uint64_t aNumber)
{
  if (mCalls.front().mNumber == aNumber && mSent) {
    const bool sent = mStream->IsConnected();
    mStream->Close();
    Finish({ .mKind = sent ? ReplyKind::kLost : ReplyKind::kNotSent });
    return;
  }
  const auto found = std::find_if(mCalls.begin(), mCalls.end(), [aNumber](const Call& aCall) {
    return aCall.mNumber == aNumber;
  });
  if (found != mCalls.end()) {
    const Callback callback = std::move(found->mCallback);
    mCalls.erase(found);
    callback({ .mKind = ReplyKind::kNotSent });
  }
}

void
HttpChannel::Finish(const HttpReply& aReply)
{
  const Call call = std::move(mCalls.front());
  mCalls.pop_front();
  mLoop.Cancel(call.mTimer);
  mSent = false;
  call.mCallback(aReply);
  StartNext();
}

} // namespace trefoil
