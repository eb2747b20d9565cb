// Faults that the stand-in store injects on demand, and counts of its calls.
//
//   POST /admin/fault?down=1&slow_ms=50&lost_answers_percent=20&stale_reads_percent=20
//   GET /admin/counts
//
// The POST sets all faults: one that it does not name is switched off. Both requests return the
// counts. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/name_table.h"
#include "trefoil/http/message.h"

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace trefoil::standin {

enum class StoreCallKind
{
  kRead,
  kWrite,
  kWatch,
  kLease,
};

inline constexpr NameTable<StoreCallKind, 4> kStoreCallKindNames{ {
  { StoreCallKind::kRead, "reads" },
  { StoreCallKind::kWrite, "writes" },
  { StoreCallKind::kWatch, "watches" },
  { StoreCallKind::kLease, "leases" },
} };

// The faults in effect.
struct StoreFault
{
  // Aborts each call without an answer.
  bool mDown = false;
  // The delay of each call other than a watch.
  std::int64_t mSlowMilliseconds = 0;
  // The percentage of writes that take effect but get no answer.
  std::int64_t mLostAnswersPercent = 0;
  // The percentage of reads that return the previous value of the key.
  std::int64_t mStaleReadsPercent = 0;
};

class StoreFaults
{
public:
  // Counts a call and returns the faults in effect.
  StoreFault CountCall(StoreCallKind aKind);

  // Returns true with a probability of `aPercent` percent.
  bool DrawFault(std::int64_t aPercent);

  // Replaces the faults by those in the query of a request target.
  void SetFaults(const std::string& aTarget);

  // Returns the number of calls of each kind as a JSON object.
  std::string Counts();

private:
  absl::Mutex mMutex;
  StoreFault mFault ABSL_GUARDED_BY(mMutex);
  std::array<std::uint64_t, kStoreCallKindNames.size()> mCounts ABSL_GUARDED_BY(mMutex){};
  std::minstd_rand mRandom ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
