#include "trefoil/http/http_channel.h"

#include "trefoil/http/framing.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{ 16 } * 1024 * 1024;

} // namespace

std::string
RenderRequest(const HttpRequest& aRequest, const Endpoint& aServer)
{
  HttpRequest request = aRequest;
  request.mHeaders.insert(request.mHeaders.begin(), { .mName = "Host", .mValue = ToText(aServer) });
  return RequestBytes(request);
}

HttpChannel::HttpChannel(EventLoop& aLoop, Endpoint aServer, StreamOptions aOptions)
  : mLoop(aLoop)
  , mServer(std::move(aServer))
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
  for (const PendingRequest& pending : mPending) {
    mLoop.Cancel(pending.mTimer);
  }
  mPending.clear();
  mAwaitingResponse = false;
  mReader.reset();
  if (mStream) {
    mStream->Close();
    mStream.reset();
  }
}

void
HttpChannel::Send(const HttpRequest& aRequest, Instant aDeadline, Callback aCallback)
{
  PendingRequest pending{ .mBytes = RenderRequest(aRequest, mServer),
                          .mCallback = std::move(aCallback),
                          .mId = ++mLastId };
  pending.mTimer = mLoop.CallAt(aDeadline, [this, id = pending.mId] { OnDeadline(id); });
  mPending.push_back(std::move(pending));
  StartNext();
}

void
HttpChannel::StartNext()
{
  if (mAwaitingResponse || mPending.empty()) {
    return;
  }
  if (!mStream || !mStream->IsOpen()) {
    mStream = ByteStream::Connect(
      mLoop,
      mServer,
      { .mOnBytes = [this] { OnBytes(); }, .mOnEnd = [this](StreamEnd aEnd) { OnEnd(aEnd); } },
      mOptions);
  }
  mReader = MessageReader::ForResponse({ .mMaxBodyBytes = kMaxAnswerBytes });
  mAwaitingResponse = true;
  mStream->Send(mPending.front().mBytes);
}

void
HttpChannel::OnBytes()
{
  if (!mAwaitingResponse) {
    // No request is in flight, so the bytes belong to no response.
    mStream->Close();
    return;
  }
  const MessageReadState state = mReader->Consume(mStream->Received());
  if (state == MessageReadState::kHead || state == MessageReadState::kBody) {
    return;
  }
  if (state != MessageReadState::kComplete) {
    mStream->Close();
    Finish({ .mKind = HttpReplyKind::kLost });
    return;
  }
  HttpReply reply{ .mKind = HttpReplyKind::kAnswered, .mResponse = mReader->Response() };
  reply.mResponse.mBody = std::move(mReader->Body());
  if (!mReader->KeepsAlive()) {
    mStream->Close();
  }
  Finish(reply);
}

void
HttpChannel::OnEnd(StreamEnd aEnd)
{
  if (!mAwaitingResponse) {
    return;
  }
  if (aEnd == StreamEnd::kClosedByPeer && mReader->ConsumeEof() == MessageReadState::kComplete) {
    HttpReply reply{ .mKind = HttpReplyKind::kAnswered, .mResponse = mReader->Response() };
    reply.mResponse.mBody = std::move(mReader->Body());
    Finish(reply);
    return;
  }
  Finish({ .mKind =
             aEnd == StreamEnd::kConnectFailed ? HttpReplyKind::kNotSent : HttpReplyKind::kLost });
}

void
HttpChannel::OnDeadline(std::uint64_t aId)
{
  if (mPending.front().mId == aId && mAwaitingResponse) {
    const bool connected = mStream->IsConnected();
    // The sender may have lost the right to the call when it arrives late.
    mStream->Abort();
    Finish({ .mKind = connected ? HttpReplyKind::kLost : HttpReplyKind::kNotSent });
    return;
  }
  const auto found =
    std::find_if(mPending.begin(), mPending.end(), [aId](const PendingRequest& aPending) {
      return aPending.mId == aId;
    });
  if (found != mPending.end()) {
    const Callback callback = std::move(found->mCallback);
    mPending.erase(found);
    callback({ .mKind = HttpReplyKind::kNotSent });
  }
}

void
HttpChannel::Finish(const HttpReply& aReply)
{
  const PendingRequest pending = std::move(mPending.front());
  mPending.pop_front();
  mLoop.Cancel(pending.mTimer);
  mAwaitingResponse = false;
  mLoop.RunGuarded([&] { pending.mCallback(aReply); });
  StartNext();
}

} // namespace trefoil
