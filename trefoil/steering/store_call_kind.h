// The kinds by which the calls to the store are counted. Each call is priced, rejected ones too, so
// operators see which of them a host sends.
//
//   const StoreCallKind kind = KindOf(call, codec);
//   metrics.IncrementLabelled(LabelledCounter::kStoreCalls, NameOf(kStoreCallKindNames, kind));
//
// Plain data and a pure function.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/steering/control_codec.h"
#include "trefoil/store/store_call.h"

namespace trefoil {

enum class StoreCallKind
{
  kWatchOperators,
  kWatchServers,
  kListOperators,
  kListServers,
  // A list whose answer may be stale, such as that of the entry hosts.
  kListStale,
  kReadKey,
  kCommit,
  kGrantLease,
  kRenewLease,
  kRevokeLease,
  // A watch or a list of other keys.
  kOther,
};

inline constexpr NameTable<StoreCallKind, 11> kStoreCallKindNames{ {
  { StoreCallKind::kWatchOperators, "watch_operators" },
  { StoreCallKind::kWatchServers, "watch_servers" },
  { StoreCallKind::kListOperators, "list_operators" },
  { StoreCallKind::kListServers, "list_servers" },
  { StoreCallKind::kListStale, "list_stale" },
  { StoreCallKind::kReadKey, "read_key" },
  { StoreCallKind::kCommit, "commit" },
  { StoreCallKind::kGrantLease, "grant_lease" },
  { StoreCallKind::kRenewLease, "renew_lease" },
  { StoreCallKind::kRevokeLease, "revoke_lease" },
  { StoreCallKind::kOther, "other" },
} };

StoreCallKind
KindOf(const StoreCall& aCall, const ControlCodec& aCodec);

} // namespace trefoil
