// Measures the time of an admission decision and the memory of a waiting request.
#include "trefoil/admission/admission.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <string>

namespace trefoil {
namespace {

const Instant kStart{ Milliseconds{ 1'000'000 } };
constexpr int kAccounts = 5;

RequestArrived
Arrival(QueueTicket aTicket)
{
  constexpr std::int64_t kDeadlineMs = 3'600'000;
  return { .mTicket = aTicket,
           .mAccount = ClientAccountId{ "client-account-" + std::to_string(aTicket % kAccounts) },
           .mAccountLimit = 1e9,
           .mPriority = aTicket % 3 == 0 ? Priority::kUrgent : Priority::kDeferrable,
           .mDeadline = kStart + Milliseconds{ kDeadlineMs + static_cast<int>(aTicket % 1000) },
           .mWork = 1 };
}

// One request arrives and one ends while `range(0)` others wait.
void
BenchmarkArriveAndEnd(benchmark::State& aBenchmark)
{
  const auto queued = static_cast<QueueTicket>(aBenchmark.range(0));
  AdmissionState state =
    MakeAdmissionState({ .mSelf = HostId{ "h1" }, .mSlots = 100, .mMaxQueued = 1'000'000 }, kStart);
  state.mWorkPerSlotMs = 1000;
  std::vector<QueueTicket> running;
  QueueTicket ticket = 0;
  const auto apply = [&running](const AdmissionEffects& aEffects) {
    for (const AdmissionEffect& effect : aEffects) {
      if (const auto* admit = std::get_if<AdmitRequest>(&effect)) {
        running.push_back(admit->mTicket);
      }
    }
  };
  while (state.mQueue.mPlaces.size() < queued || running.size() < 100) {
    apply(Step(state, Arrival(++ticket), kStart));
  }
  std::size_t next = 0;
  for (auto _ : aBenchmark) {
    apply(Step(state, Arrival(++ticket), kStart));
    apply(Step(state, RequestEnded{ .mTicket = running[next++] }, kStart));
  }
}

BENCHMARK(BenchmarkArriveAndEnd)->Arg(0)->Arg(100)->Arg(4000);

void
BenchmarkMemoryPerQueuedRequest(benchmark::State& aBenchmark)
{
  constexpr std::size_t kQueued = 4000;
  double bytes = 0;
  for (auto _ : aBenchmark) {
    AdmissionState state =
      MakeAdmissionState({ .mSelf = HostId{ "h1" }, .mSlots = 1, .mMaxQueued = 1'000'000 }, kStart);
    state.mWorkPerSlotMs = 1000;
    const std::size_t before = mallinfo2().uordblks;
    for (QueueTicket ticket = 0; ticket <= kQueued; ++ticket) {
      Step(state, Arrival(ticket), kStart);
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before) / kQueued;
  }
  aBenchmark.counters["bytes_per_request"] = bytes;
}

BENCHMARK(BenchmarkMemoryPerQueuedRequest)->Iterations(20);

} // namespace
} // namespace trefoil
