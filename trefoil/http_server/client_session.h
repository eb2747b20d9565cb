// A client's connection: reads requests one after the other and writes their answers.
//
//   auto session = ClientSession::Start(loop, socket, callbacks);
//   session->SendAnswer(answer);             // or StartAnswer, SendBody..., FinishAnswer
//
// A request is passed to mOnRequest once it is complete. While the request is being processed,
// the connection is still watched, so that a client that closes it is reported immediately. An
// exception while requests are read ends the connection once the answers that are ready have been
// sent, so that the client detects that its request is not answered. All functions must be called
// on the thread of the event loop.
#pragma once

#include "trefoil/http/client_limits.h"
#include "trefoil/http/message_reader.h"
#include "trefoil/memory/memory_budget.h"
#include "trefoil/reactor/byte_stream.h"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>

namespace trefoil {

class ClientSession;

// When a session reports what it holds.
enum class MemoryReport
{
  // Bytes of a request have been received.
  kReceiving,
  // While an answer is passed on, or after something was released.
  kOther,
};

inline constexpr NameTable<MemoryReport, 2> kMemoryReportNames{ {
  { MemoryReport::kReceiving, "receiving" },
  { MemoryReport::kOther, "other" },
} };

struct SessionOptions
{
  // A client that acknowledges no sent bytes for about this long is considered gone.
  Milliseconds mAckTimeout{ 6'000 };
  // A request of which no byte has arrived for this long is late.
  Milliseconds mStallTimeout = Milliseconds::max();
  // A request with more headers, or with a longer one, is malformed.
  std::size_t mMaxHeaders = std::numeric_limits<std::size_t>::max();
  std::size_t mMaxHeaderBytes = std::numeric_limits<std::size_t>::max();
  // Whether clients that have shut down their sending side, or that send much more than a request
  // before its answer, get the answers to their requests. Otherwise they are considered gone.
  bool mServesHalfClosed = false;
  // Whether answers after which the connection stays open say so, for clients of HTTP/1.0.
  bool mStatesKeepAlive = false;
};

struct SessionCallbacks
{
  SessionOptions mOptions;
  // Called with each complete request. The request is answered by SendAnswer or FinishAnswer.
  std::function<void(const std::shared_ptr<ClientSession>&, HttpRequest)> mOnRequest;
  // Called when the connection is closed. A request that is still unanswered must be cancelled.
  std::function<void(const std::shared_ptr<ClientSession>&)> mOnClosed;
  // Called when all that was buffered for the client has been passed to the kernel. May be empty.
  std::function<void(const std::shared_ptr<ClientSession>&)> mOnSent;
  // Called when a request was malformed, too large or late. The session itself sends the error
  // answer and closes the connection.
  std::function<void(int aStatus, std::string_view aReason)> mOnMalformed;
  // Called when what is held for the client has changed, also after mOnClosed. With
  // MemoryReport::kReceiving the callback may end clients at once, this one included.
  std::function<void(const std::shared_ptr<ClientSession>&, const ClientMemory&, MemoryReport)>
    mOnMemory;
  // Returns the headers of a refusal of a request that there is no room for. The request may have
  // been received in part.
  std::function<HttpHeaders(const HttpRequest&)> mNoRoomHeaders;
  // Returns the limits of the current configuration.
  std::function<ClientLimits()> mLimits;
  // Returns how many bytes of what the client still sends after its last answer are discarded.
  std::function<std::size_t()> mMaxDiscarded;
  // Returns whether the host is shutting down. Answers then carry "Connection: close".
  std::function<bool()> mStopping;
};

class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
  // Takes over an accepted connection and starts to read from it.
  static std::shared_ptr<ClientSession> Start(EventLoop& aLoop,
                                              const Poco::Net::StreamSocket& aSocket,
                                              std::shared_ptr<const SessionCallbacks> aCallbacks);

  ClientSession(EventLoop& aLoop, std::shared_ptr<const SessionCallbacks> aCallbacks);

  // Sends a complete answer whose body length is known.
  void SendAnswer(HttpResponse aAnswer);
  // Send an answer in chunks: the headers, any number of body pieces, then the end.
  void StartAnswer(const HttpResponse& aHead);
  void SendBody(std::string_view aBytes);
  void FinishAnswer();
  // Closes the connection without finishing the answer, so that the client detects that the
  // answer is incomplete.
  void Abort();
  // Closes the connection if no request is being received or processed. A client that has just
  // connected is given time to send its first request.
  void CloseIfIdle(Instant aNow);
  // Gives a client that has not sent its first request time until `aDeadline` at least.
  void AwaitFirstRequestUntil(Instant aDeadline);

  // Ends a client for lack of memory or connections. A request that is incomplete is refused: with
  // 503 if it is the one that is being received now, otherwise with 408. Other clients are closed.
  // Returns why the client was ended.
  MemoryRefusal GiveWay();
  // Returns since when the session waits for a request or the rest of one, or std::nullopt if it
  // has a request or unread bytes.
  std::optional<Instant> WaitingSince();
  // Reports the bytes that the kernel holds because the client does not read them. To be called at
  // intervals.
  void ReportUnacknowledged();

  bool AnswerStarted() const { return mAnswerStarted; }
  // Returns whether the connection is open, be it only to send the last answer.
  bool IsOpen() const { return mStream->IsOpen(); }
  // Returns the number of bytes that are buffered for the client.
  std::size_t Unsent() const { return mStream->Unsent(); }

private:
  void OnBytes();
  void OnEnd();
  void OnPeerClosed();
  void ReadRequests();
  void ReadAvailableRequests();
  MessageReadState ReadRequest();
  bool CheckRead(MessageReadState aState);
  void PassOnRequest();
  void SendContinue(MessageReadState aState);
  void RejectMalformed(int aStatus, std::string_view aReason, HttpHeaders aHeaders = {});
  void ReportMemory(MemoryReport aReport);
  void OnSent();
  bool ReadsAnswers();
  void SendHead(const HttpResponse& aHead, std::string_view aFraming);
  void OnAnswerSent();
  void CloseAfterSending();
  void SetTimer(Milliseconds aDelay);
  void SetRequestTimer();
  void OnTimer();

  EventLoop& mLoop;
  std::shared_ptr<const SessionCallbacks> mCallbacks;
  std::shared_ptr<ByteStream> mStream;
  std::optional<MessageReader> mReader;
  // Until when the first request of the client is awaited; in the past once one has arrived.
  Instant mFirstRequestDeadline;
  bool mAwaitingAnswer = false;
  bool mAnswerStarted = false;
  bool mCloseAfterAnswer = false;
  bool mIsHeadRequest = false;
  // Whether the client was told to send the body of the request that is being received.
  bool mHasSentContinue = false;
  bool mInReadLoop = false;
  EventLoop::TimerId mTimer = 0;
  // When the request that is being received is late.
  Instant mRequestDeadline;
  // When the session began to wait for a request.
  Instant mWaitingSince;
  // Sent bytes that the client had not acknowledged when that was last checked.
  std::size_t mUnacknowledged = 0;
  // What was reported last.
  ClientMemory mReported;
};

} // namespace trefoil
