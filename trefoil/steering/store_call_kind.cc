#include "trefoil/steering/store_call_kind.h"

#include <string>

namespace trefoil {
namespace {

// Names the kind of each alternative of StoreCall.
struct KindVisitor
{
  const ControlCodec& mCodec;

  StoreCallKind OfPrefix(const std::string& aPrefix,
                         StoreCallKind aOperators,
                         StoreCallKind aServers) const
  {
    if (aPrefix == mCodec.mOperatorPrefix) {
      return aOperators;
    }
    return aPrefix == mCodec.mServerPrefix ? aServers : StoreCallKind::kOther;
  }

  StoreCallKind operator()(const ReadKey& /*aCall*/) const { return StoreCallKind::kReadKey; }
  StoreCallKind operator()(const ListKeys& aCall) const
  {
    return aCall.mMayBeStale
             ? StoreCallKind::kListStale
             : OfPrefix(aCall.mPrefix, StoreCallKind::kListOperators, StoreCallKind::kListServers);
  }
  StoreCallKind operator()(const WatchKeys& aCall) const
  {
    return OfPrefix(aCall.mPrefix, StoreCallKind::kWatchOperators, StoreCallKind::kWatchServers);
  }
  StoreCallKind operator()(const Commit& /*aCall*/) const { return StoreCallKind::kCommit; }
  StoreCallKind operator()(const GrantStoreLease& /*aCall*/) const
  {
    return StoreCallKind::kGrantLease;
  }
  StoreCallKind operator()(const RenewStoreLease& /*aCall*/) const
  {
    return StoreCallKind::kRenewLease;
  }
  StoreCallKind operator()(const RevokeStoreLease& /*aCall*/) const
  {
    return StoreCallKind::kRevokeLease;
  }
};

} // namespace

StoreCallKind
KindOf(const StoreCall& aCall, const ControlCodec& aCodec)
{
  return std::visit(KindVisitor{ aCodec }, aCall);
}

} // namespace trefoil
