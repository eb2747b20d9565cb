// Connects to backend servers, directly or by way of another entry host that carries the bytes.
//
//   ServerConnector connector{ { .mHost = self, .mZone = zone, .mSnapshots = &snapshots } };
//   TakenPath path;
//   AnswerWatch watch{ connector, { .mServer = server, .mMayRepeat = true }, path };
//   Call({ .mServer = server.mEndpoint,
//          .mConnector = watch.MakeConnector(),
//          .mEarlierDeadlines = { &watch.GivenUpAt() } });
//   watch.RecordAnswer();
//
// Decides by trefoil/dispatch/server_path.h. Requests that a server leaves unanswered show, too,
// that this host is cut off: connections may be established on a path whose way to the servers is
// cut. Then a silent request that may be repeated is given up, to be sent by way of another host:
// first one of them, and the others once a server has answered by such a way. No byte of a request
// is sent before the connection is established on either way, so a failure means that the request
// has not run. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/atomic_deadline.h"
#include "trefoil/dispatch/server_path.h"
#include "trefoil/http/client.h"
#include "trefoil/node/snapshot.h"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace trefoil {

struct ServerConnectorOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // Names the hosts that may carry connections, and the servers.
  const SnapshotCell* mSnapshots = nullptr;
};

// How the last connection of a call was established.
struct TakenPath
{
  // Whether another host carries it, which may be the one that loses it.
  bool mIsRelayed = false;
};

struct WatchedRequest
{
  BackendServerSpec mServer;
  // Whether the request may be sent again while a server may run it.
  bool mMayRepeat = false;
  // Whether the request may find out whether a cut has ended. One that is silent in vain has no
  // time to do so again.
  bool mMayTryDirect = false;
};

class AnswerWatch;

class ServerConnector
{
public:
  explicit ServerConnector(ServerConnectorOptions aOptions);

  // Returns the connector for one call to the server. It sets `aPath`, which must outlive the call.
  Connector For(const BackendServerSpec& aServer, TakenPath& aPath);

  // Finds the requests that have not been answered for some time, and gives up those that may reach
  // their servers by another way. Must be called regularly.
  void CheckSilence();

  // Returns the servers whose direct paths are to be probed now.
  std::vector<BackendServerSpec> TakeProbesDue();
  // Records the outcome of a direct connection to the server.
  void RecordDirect(const BackendServerSpec& aServer, std::optional<ConnectFailure> aFailure);
  // Returns whether the direct path to the server is not known to have failed.
  bool HasDirectPathTo(const BackendServerSpec& aServer);

private:
  friend class AnswerWatch;

  // Connects to the server. Blocks until `aDeadline` at most. Throws a Poco::Exception if no way
  // leads to it. `aIsTrial` selects the direct way although it is known to have failed.
  Poco::Net::StreamSocket Connect(const BackendServerSpec& aServer,
                                  Instant aDeadline,
                                  TakenPath& aPath,
                                  bool aIsTrial);
  bool TakeTrial();

  void BeginWatch(AnswerWatch& aWatch);
  void EndWatch(AnswerWatch& aWatch);
  void RecordAnswer(AnswerWatch& aWatch);
  void RecordUnanswered(AnswerWatch& aWatch);
  void CountUnanswered(AnswerWatch& aWatch, std::size_t aServers)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void ApplyChange(PathChange aChange) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  bool IsPathLost(const AnswerWatch& aWatch) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  bool IsCutOff(const AnswerWatch& aWatch);

  std::optional<Carrier> NextCarrier(const RegisteredServer& aServer, const Carriers& aCarriers);
  void RecordCarrier(const RegisteredServer& aServer,
                     const HostId& aCarrier,
                     std::optional<CarrierFailure> aFailure);

  const ServerConnectorOptions mOptions;
  absl::Mutex mMutex;
  ServerPaths mPaths ABSL_GUARDED_BY(mMutex);
  std::mt19937_64 mRandom ABSL_GUARDED_BY(mMutex);
  // The requests that are sent and not answered yet.
  std::set<AnswerWatch*> mWatches ABSL_GUARDED_BY(mMutex);
  // Since this host is cut off: whether a silent request was given up to find out whether servers
  // answer by way of other hosts, and whether one has answered so.
  bool mTriesRelays ABSL_GUARDED_BY(mMutex) = false;
  bool mRelaysAnswer ABSL_GUARDED_BY(mMutex) = false;
};

// Watches one request until its answer begins or it has failed. Must be used on one thread.
class AnswerWatch
{
public:
  // The connector and `aPath` must outlive the watch.
  AnswerWatch(ServerConnector& aConnector, WatchedRequest aRequest, TakenPath& aPath);
  ~AnswerWatch();
  AnswerWatch(const AnswerWatch&) = delete;
  AnswerWatch& operator=(const AnswerWatch&) = delete;

  // Returns the connector for the call, which the watch must outlive.
  Connector MakeConnector();
  // Is set when the request is given up. Must end the call then.
  const AtomicDeadline& GivenUpAt() const { return mGivenUpAt; }

  // Records that the server has begun to answer. Does nothing if the request was not sent.
  void RecordAnswer();
  // Records that the connection has ended, for which the request is not to blame. Does nothing if
  // the server had begun to answer.
  void RecordLoss();

  // Returns whether the connection was direct, and this host is cut off from the server or has
  // given the request up, so that the server is not to blame.
  bool IsCutOff() const;

private:
  friend class ServerConnector;

  ServerConnector& mConnector;
  const WatchedRequest mRequest;
  TakenPath& mPath;
  AtomicDeadline mGivenUpAt;
  // Guarded by the mutex of the connector.
  std::optional<Instant> mSentAt;
  bool mIsAnswered = false;
  bool mIsUnanswered = false;
  // Whether a server has answered directly since the request was found unanswered, so that it shows
  // nothing of the path any more.
  bool mIsExcused = false;
};

// Returns the server with the id in the documents in force, or std::nullopt.
std::optional<BackendServerSpec>
FindServer(const Snapshot& aSnapshot, const BackendServerId& aServer);

} // namespace trefoil
