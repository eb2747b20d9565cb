// What the thread of a handler and the thread of the connections share of one request.
//
//   auto connection = std::make_shared<HttpExchange::Connection>(loop, session, reserve);
//   connection->OnBuffered(session->Unsent());
//
// Each member says which thread uses it.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/http_server/client_session.h"
#include "trefoil/http_server/http_server.h"
#include "trefoil/reactor/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

// How far a handler has got with its answer.
enum class AnswerProgress
{
  kNone,
  kStreaming,
  kComplete,
  kAborted,
};

inline constexpr NameTable<AnswerProgress, 4> kAnswerProgressNames{ {
  { AnswerProgress::kNone, "none" },
  { AnswerProgress::kStreaming, "streaming" },
  { AnswerProgress::kComplete, "complete" },
  { AnswerProgress::kAborted, "aborted" },
} };

struct HttpExchange::Connection : std::enable_shared_from_this<Connection>
{
  using Pointer = std::shared_ptr<Connection>;
  // Grants memory, now or later, by OnReserved. Called on the thread of the connections.
  using Reserve = std::function<void(const Pointer& aConnection, std::size_t aBytes)>;
  // Counts reserved memory no longer. Called on the thread of the connections.
  using Release = std::function<void(Connection& aConnection)>;

  Connection(EventLoop& aLoop,
             std::shared_ptr<ClientSession> aSession,
             Reserve aReserve,
             Release aRelease)
    : mLoop(aLoop)
    , mSession(std::move(aSession))
    , mReserve(std::move(aReserve))
    , mRelease(std::move(aRelease))
  {
  }

  // Called on the thread of the connections: the client has gone, `aBytes` wait for the client, and
  // whether ReserveMemory succeeds.
  void OnEnded();
  void OnBuffered(std::size_t aBytes);
  void OnReserved(bool aIsGranted);
  // The server stops, so that nothing is reserved any more.
  void OnServerStopped();

  EventLoop& mLoop;
  const std::shared_ptr<ClientSession> mSession;
  const Reserve mReserve;
  const Release mRelease;
  // Used on the thread of the connections: the memory that is counted for the request and for its
  // answer.
  std::size_t mRequestBytes = 0;
  std::size_t mReservedBytes = 0;
  // Used on the thread of the handler.
  AnswerProgress mProgress = AnswerProgress::kNone;
  absl::Mutex mMutex;
  bool mHasEnded ABSL_GUARDED_BY(mMutex) = false;
  // Bytes of chunks on their way to the thread of the connections, and those that wait there.
  std::size_t mPostedBytes ABSL_GUARDED_BY(mMutex) = 0;
  std::size_t mBufferedBytes ABSL_GUARDED_BY(mMutex) = 0;
  std::optional<bool> mIsReserved ABSL_GUARDED_BY(mMutex);
  bool mHasServerStopped ABSL_GUARDED_BY(mMutex) = false;
};

} // namespace trefoil
