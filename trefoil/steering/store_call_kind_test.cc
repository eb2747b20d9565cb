#include "trefoil/steering/store_call_kind.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against: an operator cannot tell the watches of the two prefixes, or cheap stale lists and
// expensive current ones, apart.
SCENARIO("calls to the store are counted by kind")
{
  ControlCodec codec;
  codec.mOperatorPrefix = "op/";
  codec.mServerPrefix = "servers/";
  THEN("watches and lists are told apart by their prefix")
  {
    CHECK(KindOf(WatchKeys{ .mPrefix = "op/" }, codec) == StoreCallKind::kWatchOperators);
    CHECK(KindOf(WatchKeys{ .mPrefix = "servers/" }, codec) == StoreCallKind::kWatchServers);
    CHECK(KindOf(ListKeys{ .mPrefix = "op/" }, codec) == StoreCallKind::kListOperators);
    CHECK(KindOf(ListKeys{ .mPrefix = "servers/" }, codec) == StoreCallKind::kListServers);
    CHECK(KindOf(ListKeys{ .mPrefix = "elsewhere/" }, codec) == StoreCallKind::kOther);
  }
  THEN("a list that may be stale is a kind of its own")
  {
    CHECK(KindOf(ListKeys{ .mPrefix = "hosts/", .mMayBeStale = true }, codec) ==
          StoreCallKind::kListStale);
  }
  THEN("other calls are told apart by what they do")
  {
    CHECK(KindOf(ReadKey{}, codec) == StoreCallKind::kReadKey);
    CHECK(KindOf(Commit{}, codec) == StoreCallKind::kCommit);
    CHECK(KindOf(GrantStoreLease{}, codec) == StoreCallKind::kGrantLease);
    CHECK(KindOf(RenewStoreLease{}, codec) == StoreCallKind::kRenewLease);
    CHECK(KindOf(RevokeStoreLease{}, codec) == StoreCallKind::kRevokeLease);
  }
}

} // namespace
} // namespace trefoil
