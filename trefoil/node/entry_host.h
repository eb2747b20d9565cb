// One entry host: the control thread, the traffic threads and the queues and tables between them.
//
//   absl::StatusOr<std::unique_ptr<EntryHost>> host = EntryHost::Start(settings);
//   (*host)->Stop();
//
// Threads: one control thread owns all control state and blocks on one queue. One thread watches
// the store, one receives datagrams, one pool executes the other calls to the store and another one
// the calls to other hosts and the polls of backend servers. Each connection of a caller has a
// thread, and one thread carries connections to servers for other hosts.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/http_server/http_server.h"
#include "trefoil/node/admission_controller.h"
#include "trefoil/node/control_request_broker.h"
#include "trefoil/node/event_queue.h"
#include "trefoil/node/internal/peer_inbox.h"
#include "trefoil/node/internal/peer_worker.h"
#include "trefoil/node/internal/relay_thread.h"
#include "trefoil/node/internal/server_connector.h"
#include "trefoil/node/internal/store_watch_switch.h"
#include "trefoil/node/node_control_state.h"
#include "trefoil/node/outcome_buffer.h"
#include "trefoil/node/request_routing.h"
#include "trefoil/node/routing_tables.h"
#include "trefoil/node/snapshot.h"
#include "trefoil/node/store_worker.h"
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
  // Starts all threads. Returns an error if an endpoint cannot be bound.
  static absl::StatusOr<std::unique_ptr<EntryHost>> Start(const HostSettings& aSettings);

  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;
  ~EntryHost();

  // Shuts down gracefully: reports "not ready" to the load balancer and announces the shutdown to
  // the other hosts, accepts no further connections, waits for the requests in flight, and hands
  // over to other hosts the streams that would outlast the stop notice. Blocks for the stop notice
  // at most, and returns the number of requests that are still active then.
  std::int64_t Stop();

private:
  EntryHost(const HostSettings& aSettings, UdpSocket aSocket);
  // The progress of the watch of the documents in the store.
  struct StoreWatch
  {
    std::optional<std::uint64_t> mRevision;
    unsigned mFailures = 0;
  };

  void RunControl();
  void ProcessNextEvent(NodeControlState& aState);
  void RunStoreWatcher();
  void ContinueStoreWatch(StoreWatch& aWatch);
  void RepeatEvidence();
  void RunPeerReceiver();
  // Waits for messages of other hosts and applies them. `aRepeatAt` is when the evidence of crashes
  // is repeated.
  void ReceivePeerMessages(Instant& aRepeatAt);
  void ApplyPeerMessage(std::string_view aBytes);
  void BroadcastMessage(const Message& aMessage);
  void RunAdmissionTimer(NodeControlState& aState);
  void Execute(const ControlEffects& aEffects);
  void Execute(const PublishSnapshot& aEffect);
  void Execute(const SendMessage& aEffect);
  void Execute(const ReadStoreEntry& aEffect);
  void Execute(const WriteStoreEntry& aEffect);
  void Execute(const SendLeaseCall& aEffect);
  void Execute(const FetchDocuments& aEffect);
  void Execute(const PollServer& aEffect);
  void Execute(const WatchDocuments& aEffect);
  void Execute(const AnswerClaim& aEffect);
  void Execute(const AnswerTicketRequest& aEffect);
  void Execute(const AnswerTicketUse& aEffect);

  HostSettings mSettings;
  UdpSocket mSocket;
  PeerInbox mPeerInbox;
  EventQueue mQueue;
  OutcomeBuffer mOutcomes{ mQueue };
  SnapshotCell mSnapshots;
  StoreWorker mStoreWorker;
  PeerWorker mPeerWorker;
  StoreWatchSwitch mStoreWatchSwitch;
  ControlRequestBroker mRequestBroker;
  RoutingTables mRouting;
  AdmissionController mAdmissionController;
  Metrics mMetrics;
  std::atomic<std::int64_t> mActiveRequests = 0;
  std::atomic<bool> mStopping = false;
  std::unique_ptr<SharedRequestState> mRequestState;
  ServerConnector mConnector;
  RelayThread mRelayThread;
  TrafficContext mTraffic;
  std::optional<HttpServer> mServer;
  std::optional<PeerServer> mPeerServer;
  std::thread mControlThread;
  std::thread mStoreThread;
  std::thread mPeerThread;
};

} // namespace trefoil
