#include "trefoil/node/routing_tables.h"

#include <utility>
#include <vector>

namespace trefoil {
namespace {

// How old a report is on average when it arrives.
constexpr Milliseconds kReportLag{ 500 };
// Prompt tokens of a request that waits at a server.
constexpr std::int64_t kTokensPerQueued = 1000;

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

// Returns the load that the reports tell of a server, nothing if it is no news.
std::optional<LoadReport>
NewLoad(const ServerReportMap* aKnown,
        const ServerReportMap& aReports,
        const BackendServerId& aServer)
{
  const auto report = aReports.find(aServer);
  if (report == aReports.end()) {
    return std::nullopt;
  }
  if (aKnown != nullptr) {
    const auto known = aKnown->find(aServer);
    const bool same = known != aKnown->end() &&
                      known->second.mSequence == report->second.mSequence &&
                      known->second.mIncarnation == report->second.mIncarnation;
    if (same) {
      return std::nullopt;
    }
  }
  const auto& load = report->second;
  return LoadReport{ .mRunning = std::int64_t{ load.mRunning } + load.mQueued,
                     .mQueuedTokens = load.mQueued * kTokensPerQueued };
}

} // namespace

bool
RoutingTables::IsOlder(const ServiceId& aService, std::uint64_t aNumber) const
{
  const absl::MutexLock lock{ &mMutex };
  const auto table = mTables.find(aService);
  return table == mTables.end() || table->second.mNumber < aNumber;
}

void
RoutingTables::SetServers(const ServiceId& aService,
                          std::uint64_t aNumber,
                          std::span<const RoutableServer> aServers)
{
  const absl::MutexLock lock{ &mMutex };
  const auto [entry, added] = mTables.try_emplace(aService);
  Table& table = entry->second;
  if (added) {
    table.mState = MakeRoutingState({});
  } else if (table.mNumber >= aNumber) {
    return;
  }
  table.mNumber = aNumber;
  // The new list says nothing of who is up: the next reports do.
  table.mUpdate = {};
  trefoil::SetServers(table.mState, aServers);
}

void
RoutingTables::TakeReports(const ServiceId& aService, const ServerUpdate& aUpdate, Instant aNow)
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
RoutingTables::Choose(const ServiceId& aService, const PlacementRequest& aRequest, Instant aNow)
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
RoutingTables::ForServer(const BackendServerId& aServer, Function aFunction)
{
  for (auto& [service, table] : mTables) {
    if (const auto slot = FindSlot(table.mState, aServer)) {
      aFunction(table.mState, *slot);
    }
  }
}

void
RoutingTables::Start(const BackendServerId& aServer, Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  ForServer(aServer, [aNow](RoutingState& aState, ServerSlot aSlot) {
    RecordOwnStart(aState.mServers[aSlot].mLoad, aNow);
  });
}

void
RoutingTables::End(const BackendServerId& aServer, Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  ForServer(aServer, [aNow](RoutingState& aState, ServerSlot aSlot) {
    RecordOwnEnd(aState.mServers[aSlot].mLoad, aNow);
  });
}

void
RoutingTables::Apply(const BackendServerId& aServer, const LoadReport& aReport, Instant aMeasuredAt)
{
  const absl::MutexLock lock{ &mMutex };
  ForServer(aServer, [&aReport, aMeasuredAt](RoutingState& aState, ServerSlot aSlot) {
    ApplyReport(aState.mServers[aSlot].mLoad, aReport, aMeasuredAt);
  });
}

void
RoutingTables::Apply(const BackendServerId& aServer,
                     CacheChange aChange,
                     const PrefixDigests& aMarks,
                     Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  ForServer(aServer, [&](RoutingState& aState, ServerSlot aSlot) {
    if (aChange == CacheChange::kStored) {
      AddPrefixHolder(aState.mPrefixes, aMarks, { .mSlot = aSlot }, aNow);
    } else {
      RemovePrefixHolder(aState.mPrefixes, aMarks, aSlot);
    }
  });
}

std::int64_t
RoutingTables::InFlight(const BackendServerId& aServer) const
{
  const absl::MutexLock lock{ &mMutex };
  std::int64_t most = 0;
  for (const auto& [service, table] : mTables) {
    if (const auto slot = FindSlot(table.mState, aServer)) {
      most = std::max(most, table.mState.mServers[*slot].mLoad.mOwnInFlight);
    }
  }
  return most;
}

InFlightGuard::InFlightGuard(RoutingTables& aTables, BackendServerId aServer)
  : mTables(aTables)
  , mServer(std::move(aServer))
{
  mTables.Start(mServer, Now());
}

InFlightGuard::~InFlightGuard()
{
  mTables.End(mServer, Now());
}

} // namespace trefoil
