// Orders to backend servers: load a model, adapter or version, or change the role.
//
//   OrderState order = MakeOrder(server, wanted, seed);
//   OrderEffects effects = Step(order, OrderTick{ .mMayAct = true, .mFencing = 7 }, aNow);
//
// An order is absolute: it says what the server is to run. Its intent is in the store before it is
// sent, so that a successor knows what may be on its way. A server that ignores fencing numbers is
// kept from two holders by the deadline of the duty alone; what it reports is compared afterwards.
// Plain data and pure functions, one OrderState for each server.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/duty/retry_budget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

enum class ServerRole
{
  kGeneral,
  // Computes prompts and hands the cache on.
  kPrefill,
  kDecode,
};

inline constexpr NameTable<ServerRole, 3> kServerRoleNames{ {
  { ServerRole::kGeneral, "general" },
  { ServerRole::kPrefill, "prefill" },
  { ServerRole::kDecode, "decode" },
} };

// What a backend server runs, or is to run.
struct ServerTask
{
  VersionId mVersion;
  std::vector<std::string> mAdapters;
  ServerRole mRole = ServerRole::kGeneral;

  friend bool operator==(const ServerTask&, const ServerTask&) = default;
};

// What stands in the store of an order.
struct OrderIntent
{
  // Rises with each order to the server.
  std::uint64_t mNumber = 0;
  // The fencing number of the duty under which it was written.
  std::uint64_t mFencing = 0;
  ServerTask mTask;
};

enum class OrderPhase
{
  // The intent in the store is not known.
  kUnknown,
  // The intent and the server agree, or nothing is wanted.
  kIdle,
  kReading,
  kWriting,
  // The intent stands in the store; the order may be sent.
  kWritten,
  kSent,
};

struct OrderState
{
  BackendServerId mServer;
  ServerTask mWanted;
  OrderPhase mPhase = OrderPhase::kUnknown;
  OrderIntent mIntent;
  std::uint64_t mRevision = 0;
  std::optional<ServerTask> mReported;
  Instant mCallUntil;
  int mFailures = 0;
  std::uint64_t mRandom = 0;
};

// Time has passed. Whether the duty may act is asked for just before.
struct OrderTick
{
  bool mMayAct = false;
  std::uint64_t mFencing = 0;
};

// The server says what it runs.
struct TaskReported
{
  ServerTask mTask;
};

// The intent was read; revision 0 if there is none.
struct IntentRead
{
  OrderIntent mIntent;
  std::uint64_t mRevision = 0;
};

struct IntentWritten
{
  std::uint64_t mRevision = 0;
};

// A read or write failed, or another intent stands there.
struct IntentUnknown
{};

// The order was answered, or no answer came: only what the server reports counts.
struct OrderEnded
{};

using OrderEvent =
  std::variant<OrderTick, TaskReported, IntentRead, IntentWritten, IntentUnknown, OrderEnded>;

struct ReadIntent
{};

// Write the intent if the store's has the expected revision.
struct WriteIntent
{
  OrderIntent mIntent;
  std::uint64_t mExpected = 0;
};

struct SendOrder
{
  OrderIntent mIntent;
};

using OrderEffect = std::variant<ReadIntent, WriteIntent, SendOrder>;
using OrderEffects = std::vector<OrderEffect>;

OrderState
MakeOrder(BackendServerId aServer, ServerTask aWanted, std::uint64_t aRandomSeed);

OrderEffects
Step(OrderState& aOrder, const OrderEvent& aEvent, Instant aNow);

} // namespace trefoil
