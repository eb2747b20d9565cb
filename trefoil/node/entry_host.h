// One entry host: the control thread, the traffic threads and what connects them.
//
//   absl::StatusOr<std::unique_ptr<EntryHost>> host = EntryHost::Start(settings);
//   (*host)->Stop();
//
// Threads: one control thread owns all control state and blocks on one queue. One thread watches
// the store, one receives datagrams, a few carry out calls to other hosts and polls of backend
// servers, and each connection of a caller has a thread.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/http/server.h"
#include "trefoil/node/admission_gate.h"
#include "trefoil/node/control_desk.h"
#include "trefoil/node/control_state.h"
#include "trefoil/node/event_queue.h"
#include "trefoil/node/internal/peer_worker.h"
#include "trefoil/node/internal/watch_gate.h"
#include "trefoil/node/outcome_buffer.h"
#include "trefoil/node/routing_tables.h"
#include "trefoil/node/snapshot.h"
#include "trefoil/node/store_worker.h"
#include "trefoil/node/traffic.h"
#include "trefoil/settings/host_settings.h"
#include "trefoil/wire/peer_link.h"
#include "trefoil/wire/udp_socket.h"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

namespace trefoil {

class EntryHost
{
public:
  // Returns Unavailable if an endpoint cannot be bound.
  static absl::StatusOr<std::unique_ptr<EntryHost>> Start(const HostSettings& aSettings);

  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;
  ~EntryHost();

  // Stops without cutting off a request: tells the balancer and the other hosts, takes no further
  // connections, waits for the requests in flight, and hands those over to other hosts that would
  // outlast the stop notice. Returns how many were still running.
  std::int64_t Stop();

private:
  EntryHost(const HostSettings& aSettings, UdpSocket aSocket);
  void RunControl();
  void RunStoreWatch();
  void RunPeerReceive();
  void TellHosts(const Message& aMessage);
  void TickAdmission(ControlState& aState);
  void CarryOut(const ControlEffects& aEffects);
  void CarryOut(const PublishSnapshot& aEffect);
  void CarryOut(const SendMessage& aEffect);
  void CarryOut(const StoreReadWanted& aEffect);
  void CarryOut(const StoreWriteWanted& aEffect);
  void CarryOut(const LeaseCallWanted& aEffect);
  void CarryOut(const FetchDocuments& aEffect);
  void CarryOut(const PollServer& aEffect);
  void CarryOut(const WatchDocuments& aEffect);
  void CarryOut(const AnswerClaim& aEffect);
  void CarryOut(const TicketMinted& aEffect);
  void CarryOut(const TicketDecided& aEffect);

  HostSettings mSettings;
  UdpSocket mSocket;
  EventQueue mQueue;
  OutcomeBuffer mOutcomes{ mQueue };
  SnapshotCell mSnapshots;
  StoreWorker mStoreWorker;
  PeerWorker mPeerWorker;
  WatchGate mWatchGate;
  ControlDesk mDesk;
  RoutingTables mRouting;
  AdmissionGate mAdmission;
  Metrics mMetrics;
  std::atomic<std::int64_t> mActive = 0;
  std::atomic<bool> mStopping = false;
  std::unique_ptr<RequestLife> mLife;
  TrafficContext mTraffic;
  std::optional<HttpServer> mServer;
  std::optional<PeerServer> mPeerServer;
  std::thread mControlThread;
  std::thread mStoreThread;
  std::thread mPeerThread;
};

} // namespace trefoil
