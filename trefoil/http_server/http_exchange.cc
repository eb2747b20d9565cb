#include "trefoil/http_server/http_server.h"

#include "trefoil/http_server/internal/exchange_connection.h"

#include "absl/time/time.h"
#include <utility>

namespace trefoil {
namespace {

// A handler waits with the next chunk while the client has more than this to take.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 64 } * 1024;

// Removes the headers that concern the connection to the client: a handler may pass on the response
// of another server. Only the wish to close the connection is kept.
void
RemoveConnectionHeaders(HttpHeaders& aHeaders)
{
  const bool closes = HasListElement(aHeaders, "Connection", "close");
  std::erase_if(aHeaders, [](const HttpHeader& aHeader) {
    return IsHopByHop(aHeader.mName) || IsSameHeaderName(aHeader.mName, "Content-Length");
  });
  if (closes) {
    aHeaders.push_back({ .mName = "Connection", .mValue = "close" });
  }
}

} // namespace

void
HttpExchange::Connection::OnEnded()
{
  const absl::MutexLock lock{ &mMutex };
  mHasEnded = true;
}

void
HttpExchange::Connection::OnBuffered(std::size_t aBytes)
{
  const absl::MutexLock lock{ &mMutex };
  mBufferedBytes = aBytes;
}

void
HttpExchange::Connection::OnReserved(bool aIsGranted)
{
  const absl::MutexLock lock{ &mMutex };
  mIsReserved = aIsGranted;
}

void
HttpExchange::Connection::OnServerStopped()
{
  const absl::MutexLock lock{ &mMutex };
  mHasServerStopped = true;
}

HttpExchange::HttpExchange(HttpRequest aRequest, std::shared_ptr<Connection> aConnection)
  : mRequest(std::move(aRequest))
  , mConnection(std::move(aConnection))
{
}

void
HttpExchange::Respond(HttpResponse aResponse)
{
  if (mConnection->mProgress != AnswerProgress::kNone) {
    return;
  }
  mConnection->mProgress = AnswerProgress::kComplete;
  RemoveConnectionHeaders(aResponse.mHeaders);
  // A task must be copyable.
  const auto response = std::make_shared<HttpResponse>(std::move(aResponse));
  mConnection->mLoop.Post([connection = mConnection, response] {
    // From here on the session counts the answer.
    connection->mRelease(*connection);
    connection->mSession->SendAnswer(std::move(*response));
  });
}

void
HttpExchange::BeginStream(HttpResponse aHead)
{
  if (mConnection->mProgress != AnswerProgress::kNone) {
    return;
  }
  mConnection->mProgress = AnswerProgress::kStreaming;
  RemoveConnectionHeaders(aHead.mHeaders);
  mConnection->mLoop.Post(
    [connection = mConnection, aHead] { connection->mSession->StartAnswer(aHead); });
}

bool
HttpExchange::Write(std::string_view aBytes)
{
  Connection& shared = *mConnection;
  if (shared.mProgress != AnswerProgress::kStreaming) {
    return false;
  }
  {
    const auto mayWrite = [&shared]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(shared.mMutex) {
      return shared.mHasEnded || shared.mPostedBytes + shared.mBufferedBytes <= kMaxUnsentBytes;
    };
    const absl::MutexLock lock{ &shared.mMutex };
    shared.mMutex.Await(absl::Condition(&mayWrite));
    if (shared.mHasEnded) {
      return false;
    }
    shared.mPostedBytes += aBytes.size();
  }
  shared.mLoop.Post([connection = mConnection, bytes = std::string{ aBytes }] {
    connection->mSession->SendBody(bytes);
    const absl::MutexLock lock{ &connection->mMutex };
    connection->mPostedBytes -= bytes.size();
    connection->mBufferedBytes = connection->mSession->Unsent();
  });
  return true;
}

void
HttpExchange::Abort()
{
  mConnection->mProgress = AnswerProgress::kAborted;
  mConnection->mLoop.Post([connection = mConnection] { connection->mSession->Abort(); });
}

bool
HttpExchange::ReserveMemory(std::size_t aBytes, Instant aDeadline)
{
  Connection& shared = *mConnection;
  {
    const absl::MutexLock lock{ &shared.mMutex };
    shared.mIsReserved.reset();
  }
  shared.mLoop.Post(
    [connection = mConnection, aBytes] { connection->mReserve(connection, aBytes); });
  const auto isDecided = [&shared]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(shared.mMutex) {
    return shared.mHasServerStopped || shared.mIsReserved.has_value();
  };
  const absl::MutexLock lock{ &shared.mMutex };
  shared.mMutex.AwaitWithTimeout(absl::Condition(&isDecided),
                                 absl::FromChrono(Remaining(aDeadline, Now())));
  return shared.mIsReserved.value_or(false);
}

} // namespace trefoil
