// Verdicts on whether a request ran on a backend server.
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
  // No byte of the request reached a backend server, or a trusted server reported that it did not
  // run the request.
  kNotRun,
  // A backend server answered.
  kRan,
  // A byte of the request may have reached a backend server, but no answer arrived.
  kMayHaveRun,
};

inline constexpr NameTable<Verdict, 3> kVerdictNames{ {
  { Verdict::kNotRun, "not_run" },
  { Verdict::kRan, "ran" },
  { Verdict::kMayHaveRun, "may_have_run" },
} };

// Returns the name of a verdict, such as "not_run".
inline std::string_view
VerdictName(Verdict aVerdict)
{
  return NameOf(kVerdictNames, aVerdict);
}

// Returns the verdict with a name, or std::nullopt if there is none.
inline std::optional<Verdict>
ParseVerdict(std::string_view aName)
{
  return ValueOf(kVerdictNames, aName);
}

// Returns the verdict on a request whose two attempts have these verdicts. The less certain verdict
// takes precedence: kMayHaveRun over kRan, and kRan over kNotRun.
constexpr Verdict
CombineVerdicts(Verdict aFirst, Verdict aSecond)
{
  if (aFirst == Verdict::kMayHaveRun || aSecond == Verdict::kMayHaveRun) {
    return Verdict::kMayHaveRun;
  }
  if (aFirst == Verdict::kRan || aSecond == Verdict::kRan) {
    return Verdict::kRan;
  }
  return Verdict::kNotRun;
}

// The reason why a request has no answer, and whether the request may have run.
struct Failure
{
  Verdict mVerdict = Verdict::kNotRun;
  absl::Status mStatus;
};

} // namespace trefoil
