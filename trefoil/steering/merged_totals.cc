#include "trefoil/steering/merged_totals.h"

#include <algorithm>

namespace trefoil {
namespace {

// Larger totals can only come from a corrupted message. Sums and differences of smaller ones do not
// overflow.
constexpr std::uint64_t kMaxTotal = std::uint64_t{ 1 } << 60;

std::uint64_t
TotalOf(const Counters& aCounters, const CounterKey& aKey)
{
  const auto found = aCounters.find(aKey);
  return found == aCounters.end() ? 0 : found->second;
}

// Returns the merged total that a source's total of `aKey` stands for.
std::int64_t
AlignedTotal(const TotalsSource& aSource, const CounterKey& aKey, std::uint64_t aTotal)
{
  const auto offset = aSource.mOffsets.find(aKey);
  return static_cast<std::int64_t>(aTotal) +
         (offset == aSource.mOffsets.end() ? 0 : offset->second);
}

// Sets the offsets so that the source's totals equal the merged ones.
void
Align(TotalsSource& aSource, const Counters& aMerged)
{
  const auto align = [&](const CounterKey& aKey) {
    aSource.mOffsets[aKey] = static_cast<std::int64_t>(TotalOf(aMerged, aKey)) -
                             static_cast<std::int64_t>(TotalOf(aSource.mTotals, aKey));
  };
  for (const auto& [key, total] : aMerged) {
    align(key);
  }
  for (const auto& [key, total] : aSource.mTotals) {
    align(key);
  }
}

} // namespace

Counters
CountersOf(const HostReport& aReport)
{
  const TrafficUpdate& update = aReport.mUpdate;
  Counters counters = FromCounterTotals(aReport.mCounters);
  for (const AccountTotal& total : update.mQuotas) {
    counters[{ .mSubject = total.mAccount.Value() }] = total.mUsed;
  }
  for (const ServiceTotal& total : update.mServices) {
    counters[{ .mKind = CounterKind::kPromptTokens, .mSubject = total.mService.Value() }] =
      total.mPromptTokens;
  }
  for (const VersionTotal& total : update.mVersions) {
    const auto key = [&total](CounterKind aKind) {
      return CounterKey{ .mKind = aKind,
                         .mSubject = total.mService.Value(),
                         .mVersion = total.mVersion.Value() };
    };
    counters[key(CounterKind::kServed)] = static_cast<std::uint64_t>(total.mServed);
    counters[key(CounterKind::kFailed)] = static_cast<std::uint64_t>(total.mFailed);
    counters[key(CounterKind::kLatencyMs)] =
      static_cast<std::uint64_t>(std::max(0.0, total.mLatencyMs));
  }
  return counters;
}

std::vector<CounterTotal>
ToCounterTotals(const Counters& aCounters)
{
  std::vector<CounterTotal> totals;
  totals.reserve(aCounters.size());
  for (const auto& [key, total] : aCounters) {
    totals.push_back(
      { .mKind = key.mKind, .mSubject = key.mSubject, .mVersion = key.mVersion, .mTotal = total });
  }
  return totals;
}

Counters
FromCounterTotals(const std::vector<CounterTotal>& aTotals)
{
  Counters counters;
  for (const CounterTotal& total : aTotals) {
    if (total.mTotal <= kMaxTotal) {
      counters[{ total.mKind, total.mSubject, total.mVersion }] = total.mTotal;
    }
  }
  return counters;
}

void
AddCounters(Counters& aSum, const Counters& aAdded)
{
  for (const auto& [key, added] : aAdded) {
    aSum[key] += added;
  }
}

Counters
Increases(const Counters& aBefore, const Counters& aAfter)
{
  Counters increases;
  for (const auto& [key, total] : aAfter) {
    const std::uint64_t before = TotalOf(aBefore, key);
    if (total > before) {
      increases[key] = total - before;
    }
  }
  return increases;
}

std::map<ClientAccountId, double>
AccountTotalsOf(const Counters& aCounters, CounterKind aKind)
{
  std::map<ClientAccountId, double> totals;
  for (const auto& [key, total] : aCounters) {
    if (key.mKind == aKind) {
      totals[ClientAccountId{ key.mSubject }] = static_cast<double>(total);
    }
  }
  return totals;
}

Counters
MergeTotals(MergedTotals& aMerged,
            const SourceId& aSource,
            std::uint64_t aSequence,
            Counters aTotals,
            Instant aNow)
{
  const auto [found, isFirst] = aMerged.mSources.try_emplace(aSource);
  TotalsSource& source = found->second;
  if (!isFirst && aSequence <= source.mSequence) {
    return {};
  }
  source.mSequence = aSequence;
  source.mLastReceivedAt = aNow;
  source.mTotals = std::move(aTotals);
  if (isFirst) {
    Align(source, aMerged.mTotals);
  }
  Counters added;
  for (const auto& [key, total] : source.mTotals) {
    std::uint64_t& merged = aMerged.mTotals[key];
    const std::int64_t aligned = AlignedTotal(source, key, total);
    if (aligned > static_cast<std::int64_t>(merged)) {
      added[key] = static_cast<std::uint64_t>(aligned) - merged;
      merged = static_cast<std::uint64_t>(aligned);
    }
  }
  return added;
}

void
ExpireSources(MergedTotals& aMerged, Milliseconds aTimeout, Instant aNow)
{
  const std::size_t expired = std::erase_if(aMerged.mSources, [&](const auto& aItem) {
    return aNow - aItem.second.mLastReceivedAt > aTimeout;
  });
  if (expired == 0) {
    return;
  }
  for (auto& [id, source] : aMerged.mSources) {
    for (const auto& [key, merged] : aMerged.mTotals) {
      const std::uint64_t total = TotalOf(source.mTotals, key);
      if (AlignedTotal(source, key, total) < static_cast<std::int64_t>(merged)) {
        source.mOffsets[key] = static_cast<std::int64_t>(merged) - static_cast<std::int64_t>(total);
      }
    }
  }
}

} // namespace trefoil
