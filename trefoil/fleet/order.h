// Orders to backend servers: load a model, adapter or version, or change the role.
//
//   ServerOrderState order = MakeOrder(server, desired, seed);
//   OrderEffects effects = Step(order, OrderTick{ .mMayAct = true, .mFencing = 7 }, aNow);
//
// An order is absolute: it contains the whole task that the server must run. The holder of the duty
// stores the intent before it sends the order, so that the next holder can read which order may be
// in flight. If a server ignores fencing numbers, only the deadline of the lease prevents orders
// from two holders; the task that the server reports is compared with the desired one afterwards.
//
// Plain data and pure functions, one ServerOrderState for each server; the caller serializes
// access.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/duty/store_retry_budget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

enum class ServerRole
{
  kGeneral,
  // Computes the caches of prompts and transfers them to decode servers.
  kPrefill,
  kDecode,
};

inline constexpr NameTable<ServerRole, 3> kServerRoleNames{ {
  { ServerRole::kGeneral, "general" },
  { ServerRole::kPrefill, "prefill" },
  { ServerRole::kDecode, "decode" },
} };

// The task that a backend server runs or must run.
struct ServerTask
{
  VersionId mVersion;
  std::vector<std::string> mAdapters;
  ServerRole mRole = ServerRole::kGeneral;

  friend bool operator==(const ServerTask&, const ServerTask&) = default;
};

// The record of an order in the store.
struct OrderIntent
{
  // Increases with each order to the server.
  std::uint64_t mNumber = 0;
  // The fencing number under which the holder of the duty wrote the intent.
  std::uint64_t mFencing = 0;
  ServerTask mTask;
};

enum class OrderPhase
{
  // The stored intent must be read first.
  kUnknown,
  // The stored intent has been read, and no call is in flight.
  kIdle,
  kReading,
  kWriting,
  // This host has written the intent; the order may be sent.
  kWritten,
  // The order was sent; the server has not reported the task yet.
  kSent,
};

struct ServerOrderState
{
  BackendServerId mServer;
  ServerTask mDesiredTask;
  OrderPhase mPhase = OrderPhase::kUnknown;
  // The intent as last read or written, and its revision in the store; revision 0 if there is none.
  OrderIntent mIntent;
  std::uint64_t mRevision = 0;
  // The task that the server reported last.
  std::optional<ServerTask> mReportedTask;
  // When the call to the store or the order that is in flight is repeated.
  Instant mCallDeadline;
  // Orders sent since the server last ran the desired task.
  int mUnconfirmedSends = 0;
  std::uint64_t mRandomState = 0;
};

// Time has passed. The caller must determine `mMayAct`, whether this host holds the lease of the
// duty, immediately before the event.
struct OrderTick
{
  bool mMayAct = false;
  std::uint64_t mFencing = 0;
};

// The server has reported the task that it runs.
struct TaskReported
{
  ServerTask mTask;
};

// The intent was read from the store; revision 0 if there is none.
struct IntentRead
{
  OrderIntent mIntent;
  std::uint64_t mRevision = 0;
};

// The intent was written to the store.
struct IntentWritten
{
  std::uint64_t mRevision = 0;
};

// A read or write of the intent failed, or a write found another revision in the store.
struct IntentCallFailed
{};

// The call that sent the order has ended, with or without an answer. It changes no state, since
// only TaskReported shows what the server runs.
struct OrderCallEnded
{};

using OrderEvent = std::
  variant<OrderTick, TaskReported, IntentRead, IntentWritten, IntentCallFailed, OrderCallEnded>;

// Read the intent from the store.
struct ReadIntent
{};

// Write the intent to the store if the stored one has the expected revision.
struct WriteIntent
{
  OrderIntent mIntent;
  std::uint64_t mExpectedRevision = 0;
};

// Send the order to the server.
struct SendOrder
{
  OrderIntent mIntent;
};

using OrderEffect = std::variant<ReadIntent, WriteIntent, SendOrder>;
using OrderEffects = std::vector<OrderEffect>;

// Returns the state for a server that must run `aDesiredTask`. The first OrderTick reads the stored
// intent.
ServerOrderState
MakeOrder(BackendServerId aServer, ServerTask aDesiredTask, std::uint64_t aRandomSeed);

// Applies an event and returns the effects that the caller must carry out. Each of them must be
// answered by an event; a missing answer is handled by a later OrderTick.
OrderEffects
Step(ServerOrderState& aOrder, const OrderEvent& aEvent, Instant aNow);

} // namespace trefoil
