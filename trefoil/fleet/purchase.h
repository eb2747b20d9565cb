// Purchases of hosts from the cloud API, never twice.
//
//   PurchaseState purchase;
//   PurchaseEffects effects = Step(purchase, PurchaseTick{ .mMayAct = true, .mWanted = wanted },
//   aNow);
//
// The intent with its client token stands in the store before the cloud API is called. After a lost
// answer the same token is sent again: the cloud API gives the same hosts for it. A token ends only
// once its answer has been recorded. Plain data and pure functions, one for each zone and class.
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

// A purchase as it stands in the store.
struct PurchaseRecord
{
  // The client token of the purchase that is under way; 0 for none.
  std::uint64_t mToken = 0;
  int mCount = 0;
  // Hosts that were bought by all purchases before.
  int mBought = 0;

  friend bool operator==(const PurchaseRecord&, const PurchaseRecord&) = default;
};

enum class PurchasePhase
{
  // What stands in the store is not known.
  kUnknown,
  kReading,
  kWriting,
  kReady,
  kCalling,
};

struct PurchaseState
{
  PurchasePhase mPhase = PurchasePhase::kUnknown;
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
  Instant mCallUntil;
  // A refused start is not repeated before.
  Instant mNotBefore;
};

// Time has passed. `mWanted` hosts are to be bought in all, counted as in the record.
struct PurchaseTick
{
  bool mMayAct = false;
  int mWanted = 0;
  // A token that was never used before.
  std::uint64_t mFreshToken = 0;
};

struct PurchaseRead
{
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
};

struct PurchaseWritten
{
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
};

struct PurchaseUnknown
{};

// The cloud API answered with so many hosts for a token; 0 if it refused to start any.
struct HostsStarted
{
  std::uint64_t mToken = 0;
  int mCount = 0;
};

using PurchaseEvent =
  std::variant<PurchaseTick, PurchaseRead, PurchaseWritten, PurchaseUnknown, HostsStarted>;

struct ReadPurchase
{};

struct WritePurchase
{
  PurchaseRecord mRecord;
  std::uint64_t mExpected = 0;
};

// Ask the cloud API for hosts. The same token gives the same hosts.
struct StartHosts
{
  std::uint64_t mToken = 0;
  int mCount = 0;
};

using PurchaseEffect = std::variant<ReadPurchase, WritePurchase, StartHosts>;
using PurchaseEffects = std::vector<PurchaseEffect>;

PurchaseEffects
Step(PurchaseState& aPurchase, const PurchaseEvent& aEvent, Instant aNow);

} // namespace trefoil
