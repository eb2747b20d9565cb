// What reaches the control thread, and what it asks the other threads to do.
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
#include "trefoil/platform/store_client.h"
#include "trefoil/rollout/evidence.h"
#include "trefoil/wire/message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

// Documents were read from the store.
struct DocumentsRead
{
  StoreListing mListing;
};

// The store did not answer.
struct StoreUnreachable
{};

// A message of another entry host arrived.
struct MessageArrived
{
  Message mMessage;
};

// The process was told to stop.
struct StopAnnounced
{};

// The deadline that the control state asked for has passed.
struct TimerFired
{};

// Which package asked for a call to the store.
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

// A read that was asked for by StoreReadWanted has ended.
struct StoreReadDone
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  absl::StatusOr<StoreEntry> mEntry;
};

// A write that was asked for by StoreWriteWanted has ended.
struct StoreWriteDone
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  StoreWrite mWrite;
};

// Attempts have ended.
struct OutcomesSeen
{
  std::vector<AttemptOutcome> mOutcomes;
};

// A fetch that was asked for by FetchDocuments has ended.
struct DocumentsFetched
{
  HostId mHost;
  absl::StatusOr<DocumentsOffered> mOffered;
};

// A poll that was asked for by PollServer has ended.
struct ServerPolled
{
  PollResult mResult;
};

// The work of this host that admission does not hold back was measured.
struct DemandsSampled
{
  AdmissionDemands mDemands;
};

using ControlEvent = std::variant<DocumentsRead,
                                  StoreUnreachable,
                                  MessageArrived,
                                  StopAnnounced,
                                  TimerFired,
                                  StoreReadDone,
                                  StoreWriteDone,
                                  DocumentsFetched,
                                  ServerPolled,
                                  DemandsSampled,
                                  ClaimRequested,
                                  ClaimCompleted,
                                  TicketWanted,
                                  TicketUsed,
                                  TicketEnded,
                                  LeaseCallDone,
                                  OutcomesSeen>;

// Show this snapshot to the traffic threads.
struct PublishSnapshot
{
  std::shared_ptr<const Snapshot> mSnapshot;
};

// Send a datagram to another entry host.
struct SendMessage
{
  Endpoint mTo;
  Message mMessage;
};

// Read a key of the store, and answer with StoreReadDone of the same topic and tag.
struct StoreReadWanted
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  std::string mKey;
  Instant mDeadline;
};

// Write a key of the store, and answer with StoreWriteDone of the same topic and tag.
struct StoreWriteWanted
{
  StoreTopic mTopic = StoreTopic::kClaims;
  std::uint64_t mTag = 0;
  StoreWriteRequest mWrite;
  Instant mDeadline;
};

// Ask another host for documents, and answer with DocumentsFetched.
struct FetchDocuments
{
  ConfigFetch mFetch;
};

// Ask a backend server for its load, and answer with ServerPolled.
struct PollServer
{
  ServerPoll mPoll;
};

// Watch the store for changed documents, or do so no longer.
struct WatchDocuments
{
  bool mWanted = false;
};

using ControlEffect = std::variant<PublishSnapshot,
                                   SendMessage,
                                   StoreReadWanted,
                                   StoreWriteWanted,
                                   FetchDocuments,
                                   PollServer,
                                   WatchDocuments,
                                   AnswerClaim,
                                   TicketMinted,
                                   TicketDecided,
                                   LeaseCallWanted>;
using ControlEffects = std::vector<ControlEffect>;

} // namespace trefoil
