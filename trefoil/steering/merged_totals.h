// Combines the running totals that several sources report about the same hosts.
//
//   Counters added = MergeTotals(merged, { reporter, epoch }, sequence, totals, now);
//   ExpireSources(merged, now);
//
// The hosts of a zone report to two aggregators, so each request is counted in the totals of both.
// Totals of different sources are not comparable: a source counts from its own start. The first
// message of a source is therefore aligned with the merged totals, and afterwards the source that
// is furthest ahead determines them. So nothing is counted twice, the loss of a message or of a
// source loses nothing, and merged totals never decrease. An alignment is off by what one source
// has counted and the other not yet, at most the traffic of one update interval. Plain data and
// pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/wire/totals_message.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace trefoil {

struct CounterKey
{
  CounterKind mKind = CounterKind::kQuotaUsed;
  // The account or the service that is counted.
  std::string mSubject;
  // Empty for counters that do not distinguish versions.
  std::string mVersion;

  friend auto operator<=>(const CounterKey&, const CounterKey&) = default;
};

// Totals that only increase. A missing key counts as 0.
using Counters = std::map<CounterKey, std::uint64_t>;

// Returns the counters of one host since its start.
Counters
CountersOf(const HostReport& aReport);

std::vector<CounterTotal>
ToCounterTotals(const Counters& aCounters);

// Totals that are too large to be sound are left out.
Counters
FromCounterTotals(const std::vector<CounterTotal>& aTotals);

void
AddCounters(Counters& aSum, const Counters& aAdded);

// Returns the increases from `aBefore` to `aAfter`. Decreases are ignored.
Counters
Increases(const Counters& aBefore, const Counters& aAfter);

// Returns the totals of a kind by account.
std::map<ClientAccountId, double>
AccountTotalsOf(const Counters& aCounters, CounterKind aKind);

// A host and the epoch of its counters.
using SourceId = std::pair<HostId, std::uint64_t>;

struct TotalsSource
{
  std::uint64_t mSequence = 0;
  Instant mLastReceivedAt;
  Counters mTotals;
  // What must be added to the source's totals to compare them with the merged ones. 0 for keys that
  // neither had when the source was first heard.
  std::map<CounterKey, std::int64_t> mOffsets;
};

struct MergedTotals
{
  std::map<SourceId, TotalsSource> mSources;
  Counters mTotals;
};

// Applies the totals of a source and returns what they add to the merged totals. The result is
// empty for the first message of a source and for messages that arrive out of order.
Counters
MergeTotals(MergedTotals& aMerged,
            const SourceId& aSource,
            std::uint64_t aSequence,
            Counters aTotals,
            Instant aNow);

// Removes the sources that have been silent for longer than `aTimeout`. The remaining ones are
// aligned again if they are behind, so that what they report from now on counts.
void
ExpireSources(MergedTotals& aMerged, Milliseconds aTimeout, Instant aNow);

} // namespace trefoil
