// The limit on requests per second that a backend server states in its answers.
//
//   StatedLimit limit{ .mKind = LimitStatement::kLimited, .mPerSecond = 1.5 };
//
// Plain data.
#pragma once

#include "trefoil/base/name_table.h"

namespace trefoil {

// What an answer states about the requests that its server accepts.
enum class LimitStatement
{
  kUnlimited,
  kLimited,
  // The statement cannot be read.
  kUnreadable,
};

inline constexpr NameTable<LimitStatement, 3> kLimitStatementNames{ {
  { LimitStatement::kUnlimited, "unlimited" },
  { LimitStatement::kLimited, "limited" },
  { LimitStatement::kUnreadable, "unreadable" },
} };

struct StatedLimit
{
  LimitStatement mKind = LimitStatement::kUnlimited;
  // The requests per second that the server accepts from all hosts together; 0 or more. Meaningful
  // with kLimited.
  double mPerSecond = 0;

  friend bool operator==(const StatedLimit&, const StatedLimit&) = default;
};

} // namespace trefoil
