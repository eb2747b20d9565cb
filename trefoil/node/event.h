// The events of the control thread, and the effects that other threads execute for it.
//
//   queue.Push(MessageReceived{ .mMessage = message });
//   ControlEffects effects = Step(state, event, aNow);
//
// Events are named in the past tense, effects in the imperative. An effect with a result names the
// event that carries it.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/config/config_propagation.h"
#include "trefoil/health/server_health.h"
#include "trefoil/idempotency/claim_table.h"
#include "trefoil/node/lease_event.h"
#include "trefoil/node/snapshot.h"
#include "trefoil/node/ticket_event.h"
#include "trefoil/rollout/evidence.h"
#include "trefoil/store_client/store_client.h"
#include "trefoil/wire/message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

// The service documents were listed in the store, or a watch returned changes or timed out.
struct DocumentsRead
{
  StoreListing mListing;
};

// A list or watch call to the store failed.
struct StoreUnreachable
{};

// A message from another entry host was received.
struct MessageReceived
{
  Message mMessage;
};

// A shutdown of the process was requested.
struct StopRequested
{};

// The time that NextTimer returned has passed.
struct TimerFired
{};

// The part of the control state that requested a call to the store and handles its result.
enum class StoreTopic
{
  kClaims,
  kLeases,
  kMoves,
  kOrders,
  kAudit,
};

inline constexpr NameTable<StoreTopic, 5> kStoreTopicNames{ {
  { StoreTopic::kClaims, "claims" },
  { StoreTopic::kLeases, "leases" },
  { StoreTopic::kMoves, "moves" },
  { StoreTopic::kOrders, "orders" },
  { StoreTopic::kAudit, "audit" },
} };

// A read that ReadStoreEntry requested has completed.
struct StoreReadCompleted
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  absl::StatusOr<StoreEntry> mEntry;
};

// A write that WriteStoreEntry requested has completed.
struct StoreWriteCompleted
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  StoreWriteResult mWrite;
};

// Attempts at backend servers have completed.
struct AttemptsCompleted
{
  std::vector<AttemptOutcome> mOutcomes;
};

// A fetch that FetchDocuments requested has completed.
struct DocumentsFetched
{
  HostId mHost;
  absl::StatusOr<DocumentsReply> mOffered;
};

// A poll that PollServer requested has completed.
struct ServerPolled
{
  PollResult mResult;
};

// The work of this host that admission does not defer was measured, to be sent to other hosts.
struct DemandsSampled
{
  AdmissionDemands mDemands;
};

using ControlEvent = std::variant<DocumentsRead,
                                  StoreUnreachable,
                                  MessageReceived,
                                  StopRequested,
                                  TimerFired,
                                  StoreReadCompleted,
                                  StoreWriteCompleted,
                                  DocumentsFetched,
                                  ServerPolled,
                                  DemandsSampled,
                                  ClaimRequested,
                                  ClaimCompleted,
                                  TicketRequested,
                                  TicketUsed,
                                  TicketRequestCompleted,
                                  LeaseCallCompleted,
                                  AttemptsCompleted>;

// Makes the snapshot visible to the traffic threads.
struct PublishSnapshot
{
  std::shared_ptr<const Snapshot> mSnapshot;
};

// Sends a datagram to another entry host.
struct SendMessage
{
  Endpoint mTo;
  Message mMessage;
};

// Reads a key of the store. The result is a StoreReadCompleted with the same topic and tag.
struct ReadStoreEntry
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  std::string mKey;
  Instant mDeadline;
};

// Writes a key of the store. The result is a StoreWriteCompleted with the same topic and tag.
struct WriteStoreEntry
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  StoreWriteRequest mWrite;
  Instant mDeadline;
};

// Fetches documents from another entry host. The result is a DocumentsFetched.
struct FetchDocuments
{
  ConfigFetch mFetch;
};

// Queries the load of a backend server. The result is a ServerPolled.
struct PollServer
{
  ServerPoll mPoll;
};

// Starts watching the store for changed documents, or stops it.
struct WatchDocuments
{
  bool mEnabled = false;
};

using ControlEffect = std::variant<PublishSnapshot,
                                   SendMessage,
                                   ReadStoreEntry,
                                   WriteStoreEntry,
                                   FetchDocuments,
                                   PollServer,
                                   WatchDocuments,
                                   AnswerClaim,
                                   AnswerTicketRequest,
                                   AnswerTicketUse,
                                   SendLeaseCall>;
using ControlEffects = std::vector<ControlEffect>;

} // namespace trefoil
