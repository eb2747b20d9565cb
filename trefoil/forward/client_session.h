// A client's connection: reads requests one after the other and writes their answers.
//
//   auto session = ClientSession::Start(loop, socket, options, callbacks);
//   session->SendWhole(answer);              // or StartAnswer, SendBody..., FinishAnswer
//
// A request is handed on once it is whole. While it waits for its answer the connection is watched,
// and a client that closes is reported at once. Runs on the thread of its event loop.
#pragma once

#include "trefoil/catalogue/catalogue.h"
#include "trefoil/http/message_reader.h"
#include "trefoil/reactor/byte_stream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace trefoil {

class ClientSession;

struct SessionCallbacks
{
  // A whole request has arrived; it is answered by SendWhole or FinishAnswer.
  std::function<void(const std::shared_ptr<ClientSession>&, HttpRequest)> mOnRequest;
  // The connection is closed; a request that was not answered yet has lost its client.
  std::function<void(const std::shared_ptr<ClientSession>&)> mOnClosed;
  // Bytes that are no request were answered and the connection closed.
  std::function<void(int aStatus, std::string_view aReason)> mOnMalformed;
  // The limits in force.
  std::function<ClientLimits()> mLimits;
  // Whether the host stops: answers then tell the client to close.
  std::function<bool()> mStopping;
};

class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
  static std::shared_ptr<ClientSession> Start(EventLoop& aLoop,
                                              const Poco::Net::StreamSocket& aSocket,
                                              std::shared_ptr<const SessionCallbacks> aCallbacks);

  ClientSession(EventLoop& aLoop, std::shared_ptr<const SessionCallbacks> aCallbacks);

  // Answers the request with a body of known length.
  void SendWhole(const HttpAnswer& aAnswer);
  // Answers it piece by piece.
  void StartAnswer(const HttpAnswer& aHead);
  void SendBody(std::string_view aBytes);
  void FinishAnswer();
  // Closes without finishing the answer, so that the client sees that it is not whole.
  void Abort();
  // Closes the connection if no request is under way.
  void CloseIfIdle();

  bool AnswerStarted() const { return mAnswerStarted; }
  // Bytes that the client has not taken yet.
  std::size_t Unsent() const { return mStream->Unsent(); }

private:
  void OnBytes();
  void OnEnd();
  void ReadNext();
  void Malformed(int aStatus, std::string_view aReason);
  void SendHead(const HttpAnswer& aHead, std::string_view aFraming);
  void EndOfAnswer();
  void SetTimer(Milliseconds aAfter);
  void OnTimer();

  EventLoop& mLoop;
  std::shared_ptr<const SessionCallbacks> mCallbacks;
  std::shared_ptr<ByteStream> mStream;
  std::optional<MessageReader> mReader;
  bool mWaiting = false;
  bool mAnswerStarted = false;
  bool mCloseAfter = false;
  bool mIsHead = false;
  bool mReading = false;
  EventLoop::TimerId mTimer = 0;
};

} // namespace trefoil
