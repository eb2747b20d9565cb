// Whether a request may have run on a backend server.
//
//   Failure failure{ .mVerdict = Verdict::kNotRun, .mStatus = absl::UnavailableError("refused") };
//   VerdictName(failure.mVerdict);           // "not_run"
#pragma once

#include "absl/status/status.h"
#include "trefoil/base/name_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

enum class Verdict
{
  // No byte of the request reached a backend server, or a trusted server said that it did nothing.
  kNotRun,
  // A backend server answered.
  kRan,
  // A byte may have reached a backend server and no answer came back.
  kMayHaveRun,
};

inline constexpr NameTable<Verdict, 3> kVerdictNames{ {
  { Verdict::kNotRun, "not_run" },
  { Verdict::kRan, "ran" },
  { Verdict::kMayHaveRun, "may_have_run" },
} };

inline std::string_view
VerdictName(Verdict aVerdict)
{
  return NameOf(kVerdictNames, aVerdict);
}

inline std::optional<Verdict>
ParseVerdict(std::string_view aName)
{
  return ValueOf(kVerdictNames, aName);
}

// Returns the verdict on a request that was tried twice with these verdicts, the weaker promise
// first: "may have run" outweighs "ran", which outweighs "not run".
constexpr Verdict
Combine(Verdict aFirst, Verdict aSecond)
{
  if (aFirst == Verdict::kMayHaveRun || aSecond == Verdict::kMayHaveRun) {
    return Verdict::kMayHaveRun;
  }
  if (aFirst == Verdict::kRan || aSecond == Verdict::kRan) {
    return Verdict::kRan;
  }
  return Verdict::kNotRun;
}

// Why a request has no answer, and whether it may have run all the same.
struct Failure
{
  Verdict mVerdict = Verdict::kNotRun;
  absl::Status mStatus;
};

} // namespace trefoil
