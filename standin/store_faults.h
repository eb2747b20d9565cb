// Faults that the stand-in store shows on demand, and counts of its calls.
//
//   POST /admin/fault?down=1&slow_ms=50&lost_answers_percent=20&stale_reads_percent=20
//   GET /admin/counts
//
// A fault that is not named is ended. Thread-safe.
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

struct StoreFault
{
  // Closes each connection without an answer.
  bool mDown = false;
  // Added to each call but a watch.
  std::int64_t mSlowMilliseconds = 0;
  // Writes that take effect and whose answer is not sent.
  std::int64_t mLostAnswersPercent = 0;
  // Reads that show the value before the newest one.
  std::int64_t mStaleReadsPercent = 0;
};

class StoreFaults
{
public:
  // Counts a call and returns the faults that stand.
  StoreFault Enter(StoreCallKind aKind);

  // Returns whether a fault of `aPercent` shows now.
  bool Happens(std::int64_t aPercent);

  // Sets the faults that a request target names.
  void Set(const std::string& aTarget);

  // Returns the counts as JSON.
  std::string Counts();

private:
  absl::Mutex mMutex;
  StoreFault mFault ABSL_GUARDED_BY(mMutex);
  std::array<std::uint64_t, kStoreCallKindNames.size()> mCounts ABSL_GUARDED_BY(mMutex){};
  std::minstd_rand mRandom ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
