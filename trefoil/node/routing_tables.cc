#include "trefoil/node/routing_tables.h"

#include <utility>
#include <vector>

namespace trefoil {
namespace {

// Average age of a report when it arrives.
constexpr Milliseconds kReportLag{ 500 };
// Estimated prompt tokens of a request that is queued at a server.
constexpr std::int64_t kTokensPerQueuedRequest = 1000;

std::vector<ServerSlot>
SlotsOf(const RoutingState& aState, const std::set<BackendServerId>& aServers)
{
  std::vector<ServerSlot> slots;
  for (const BackendServerId& server : aServers) {
    if (const auto slot = FindSlot(aState, server)) {
      slots.push_back(*slot);
    }
  }
  return slots;
}

// Returns the reported load of a server, or std::nullopt if there is no report or the report is
// the one in `aPrevious`.
std::optional<LoadReport>
NewLoad(const ServerReportMap* aPrevious,
        const ServerReportMap& aReports,
        const BackendServerId& aServer)
{
  const auto report = aReports.find(aServer);
  if (report == aReports.end()) {
    return std::nullopt;
  }
  if (aPrevious != nullptr) {
    const auto previous = aPrevious->find(aServer);
    const bool same = previous != aPrevious->end() &&
                      previous->second.mSequence == report->second.mSequence &&
                      previous->second.mIncarnation == report->second.mIncarnation;
    if (same) {
      return std::nullopt;
    }
  }
  const auto& load = report->second;
  return LoadReport{ .mRunning = std::int64_t{ load.mRunning } + load.mQueued,
                     .mQueuedTokens = load.mQueued * kTokensPerQueuedRequest };
}

} // namespace

bool
RoutingTables::IsOlderThan(const ServiceId& aService, std::uint64_t aRevision) const
{
  const absl::MutexLock lock{ &mMutex };
  const auto table = mTables.find(aService);
  return table == mTables.end() || table->second.mRevision < aRevision;
}

void
RoutingTables::SetServers(const ServiceId& aService,
                          std::uint64_t aRevision,
                          std::span<const RoutableServer> aServers)
{
  const absl::MutexLock lock{ &mMutex };
  const auto [entry, added] = mTables.try_emplace(aService);
  Table& table = entry->second;
  if (added) {
    table.mState = MakeRoutingState({});
  } else if (table.mRevision >= aRevision) {
    return;
  }
  table.mRevision = aRevision;
  // The new list does not contain which servers are up; the next reports set that.
  table.mUpdate = {};
  trefoil::SetServers(table.mState, aServers);
}

void
RoutingTables::ApplyServerUpdate(const ServiceId& aService,
                                 const ServerUpdate& aUpdate,
                                 Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  const auto table = mTables.find(aService);
  if (table == mTables.end() || (table->second.mUpdate.mReports == aUpdate.mReports &&
                                 table->second.mUpdate.mNotUp == aUpdate.mNotUp)) {
    return;
  }
  RoutingState& state = table->second.mState;
  for (const auto& [server, slot] : state.mSlots) {
    RoutedServer& routed = state.mServers[slot];
    routed.mSpec.mAvailable = !aUpdate.mNotUp->contains(server);
    if (const auto load =
          NewLoad(table->second.mUpdate.mReports.get(), *aUpdate.mReports, server)) {
      ApplyReport(routed.mLoad, *load, aNow - kReportLag);
    }
  }
  table->second.mUpdate = aUpdate;
}

std::optional<BackendServerId>
RoutingTables::PlaceRequest(const ServiceId& aService,
                            const PlacementRequest& aRequest,
                            Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  const auto table = mTables.find(aService);
  if (table == mTables.end()) {
    return std::nullopt;
  }
  RoutingState& state = table->second.mState;
  const std::vector<ServerSlot> excluded = SlotsOf(state, aRequest.mExcluded);
  const RoutingRequest request{ .mPrefixDigests = aRequest.mPrefixDigests.empty()
                                                    ? nullptr
                                                    : &aRequest.mPrefixDigests,
                                .mPromptTokens = aRequest.mPromptTokens,
                                .mExpectedTokens = aRequest.mExpectedTokens,
                                .mExcluded = excluded,
                                .mVersions = aRequest.mVersions };
  const auto slot = ChooseServer(state, aRequest.mPolicy, request, aRequest.mRandom, aNow);
  if (!slot.has_value()) {
    return std::nullopt;
  }
  RecordPlacement(state, *slot, request, aNow);
  return state.mServers[*slot].mSpec.mServer;
}

template<typename Function>
void
RoutingTables::ForEachSlotOf(const BackendServerId& aServer, Function aFunction)
{
  for (auto& [service, table] : mTables) {
    if (const auto slot = FindSlot(table.mState, aServer)) {
      aFunction(table.mState, *slot);
    }
  }
}

void
RoutingTables::RecordAttemptStart(const BackendServerId& aServer, Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  ForEachSlotOf(aServer, [aNow](RoutingState& aState, ServerSlot aSlot) {
    RecordOwnStart(aState.mServers[aSlot].mLoad, aNow);
  });
}

void
RoutingTables::RecordAttemptEnd(const BackendServerId& aServer, Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  ForEachSlotOf(aServer, [aNow](RoutingState& aState, ServerSlot aSlot) {
    RecordOwnEnd(aState.mServers[aSlot].mLoad, aNow);
  });
}

void
RoutingTables::ApplyLoadReport(const BackendServerId& aServer,
                               const LoadReport& aReport,
                               Instant aMeasuredAt)
{
  const absl::MutexLock lock{ &mMutex };
  ForEachSlotOf(aServer, [&aReport, aMeasuredAt](RoutingState& aState, ServerSlot aSlot) {
    ApplyReport(aState.mServers[aSlot].mLoad, aReport, aMeasuredAt);
  });
}

void
RoutingTables::ApplyCacheChange(const BackendServerId& aServer,
                                CacheChange aChange,
                                const PrefixDigests& aPrefixDigests,
                                Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  ForEachSlotOf(aServer, [&](RoutingState& aState, ServerSlot aSlot) {
    if (aChange == CacheChange::kStored) {
      AddPrefixHolder(aState.mPrefixes, aPrefixDigests, { .mSlot = aSlot }, aNow);
    } else {
      RemovePrefixHolder(aState.mPrefixes, aPrefixDigests, aSlot);
    }
  });
}

std::int64_t
RoutingTables::InFlight(const BackendServerId& aServer) const
{
  const absl::MutexLock lock{ &mMutex };
  std::int64_t maxInFlight = 0;
  for (const auto& [service, table] : mTables) {
    if (const auto slot = FindSlot(table.mState, aServer)) {
      maxInFlight = std::max(maxInFlight, table.mState.mServers[*slot].mLoad.mOwnInFlight);
    }
  }
  return maxInFlight;
}

InFlightGuard::InFlightGuard(RoutingTables& aTables, BackendServerId aServer)
  : mTables(aTables)
  , mServer(std::move(aServer))
{
  mTables.RecordAttemptStart(mServer, Now());
}

InFlightGuard::~InFlightGuard()
{
  mTables.RecordAttemptEnd(mServer, Now());
}

} // namespace trefoil
