// Purchases of hosts from the cloud API, such that no host is bought twice.
//
//   PurchaseState purchase;
//   PurchaseTick tick{ .mMayAct = true, .mDesiredHosts = 20, .mUnusedToken = token };
//   PurchaseEffects effects = Step(purchase, tick, aNow);
//
// A record with the client token is written to the store before the cloud API is called. If the
// answer is lost, the call is repeated with the same token, for which the cloud API returns the
// same hosts. A new token is used only after the answer to the former one has been recorded.
//
// Plain data and pure functions, one PurchaseState for each zone and price class; the caller
// serializes access.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/service/service_document.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace trefoil {

// The record of a purchase in the store.
struct PurchaseRecord
{
  // The client token of the purchase in progress; 0 if there is none.
  std::uint64_t mToken = 0;
  // The number of hosts of the purchase in progress.
  int mCount = 0;
  // Total number of hosts that all completed purchases bought.
  int mBought = 0;

  friend bool operator==(const PurchaseRecord&, const PurchaseRecord&) = default;
};

enum class PurchasePhase
{
  // The stored record must be read first.
  kUnknown,
  kReading,
  kWriting,
  // The stored record has been read or written, and no call is in flight.
  kReady,
  // A call to the cloud API is in flight.
  kCalling,
};

struct PurchaseState
{
  PurchasePhase mPhase = PurchasePhase::kUnknown;
  // The record as last read or written, and its revision in the store.
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
  // When the call in flight is repeated.
  Instant mCallDeadline;
  // Set to the end of kRefusalDelay when the cloud API refuses a start. Step does not check it.
  Instant mRetryNotBefore;
};

// Time has passed. `mDesiredHosts` is the total number of hosts to buy, counted like
// PurchaseRecord::mBought.
struct PurchaseTick
{
  bool mMayAct = false;
  int mDesiredHosts = 0;
  // A token that no purchase has used.
  std::uint64_t mUnusedToken = 0;
};

// The record was read from the store; revision 0 if there is none.
struct PurchaseRead
{
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
};

// The record was written to the store.
struct PurchaseWritten
{
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
};

// A read or write of the record failed, or a write found another revision in the store.
struct PurchaseCallFailed
{};

// The cloud API has started `mCount` hosts for a token; 0 if it refused to start any.
struct HostsStarted
{
  std::uint64_t mToken = 0;
  int mCount = 0;
};

using PurchaseEvent =
  std::variant<PurchaseTick, PurchaseRead, PurchaseWritten, PurchaseCallFailed, HostsStarted>;

// Read the record from the store.
struct ReadPurchase
{};

// Write the record to the store if the stored one has the expected revision.
struct WritePurchase
{
  PurchaseRecord mRecord;
  std::uint64_t mExpectedRevision = 0;
};

// Request hosts from the cloud API. It starts hosts only once for a token.
struct StartHosts
{
  std::uint64_t mToken = 0;
  int mCount = 0;
};

using PurchaseEffect = std::variant<ReadPurchase, WritePurchase, StartHosts>;
using PurchaseEffects = std::vector<PurchaseEffect>;

// Applies an event and returns the effects that the caller must carry out. Each of them must be
// answered by an event; a missing answer is handled by a later PurchaseTick.
PurchaseEffects
Step(PurchaseState& aPurchase, const PurchaseEvent& aEvent, Instant aNow);

} // namespace trefoil
