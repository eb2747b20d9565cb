// A backend server whose answers a test writes byte by byte.
//
//   ScriptedServer server{ [](const SeenRequest& aRequest) { return Reply{ .mBytes = ... }; } };
//   server.Where();                          // its endpoint
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/http/message.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace trefoil {

struct SeenRequest
{
  HttpRequest mRequest;
  // Its number at the server, from 0.
  int mNumber = 0;
};

struct Reply
{
  std::string mBytes;
  // Whether the connection is closed after the bytes.
  bool mClose = false;
  // Whether the connection then stays silent until the peer closes it.
  bool mHang = false;
};

class ScriptedServer
{
public:
  using Script = std::function<Reply(const SeenRequest&)>;

  explicit ScriptedServer(Script aScript);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Endpoint Where() const;
  std::vector<HttpRequest> Seen() const;
  // Connections that the peer closed while an answer was awaited.
  int Abandoned() const { return mAbandoned.load(); }

private:
  void Accept();
  void Serve(Poco::Net::StreamSocket aSocket);

  Script mScript;
  Poco::Net::ServerSocket mListener;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mAbandoned{ 0 };
  mutable absl::Mutex mMutex;
  std::vector<HttpRequest> mSeen ABSL_GUARDED_BY(mMutex);
  std::vector<std::thread> mConnections ABSL_GUARDED_BY(mMutex);
  std::thread mAcceptor;
};

// Returns the bytes of a server's answer to the request, with further header lines and a length.
std::string
AnswerWith(const SeenRequest& aRequest,
           int aStatus,
           const std::string& aHeaders = "",
           const std::string& aBody = "");

// The same, sealed.
std::string
SealedAnswer(const SeenRequest& aRequest, int aStatus, const std::string& aBody);

// Returns the bytes of the start of a server's event stream, sealed, in chunks.
std::string
StreamStart(const SeenRequest& aRequest);

// Returns a chunk with one event.
std::string
EventChunk(int aId);

inline constexpr const char* kStreamEnd = "0\r\n\r\n";

} // namespace trefoil
