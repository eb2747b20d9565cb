// Measures what the record of a direct connection costs in a fleet.
#include "trefoil/node/internal/server_connector.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <memory>

namespace trefoil {
namespace {

void
RecordDirectConnection(benchmark::State& aState)
{
  auto document = std::make_shared<ServiceDocument>();
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    document->mServers.push_back({ .mServer = BackendServerId{ fmt::format("engine-{}", i) } });
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mServices[ServiceId{ "s" }] = { .mDocument = document };
  SnapshotCell snapshots;
  snapshots.Publish(snapshot);
  ServerConnector connector{ { .mHost = HostId{ "self" }, .mSnapshots = &snapshots } };
  for (auto _ : aState) {
    connector.RecordDirect(document->mServers.front(), std::nullopt);
  }
}
BENCHMARK(RecordDirectConnection)->Arg(10)->Arg(7'500);

} // namespace
} // namespace trefoil
