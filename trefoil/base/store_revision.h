// Revisions that are ordered over all lives of a store.
//
//   std::int64_t revision = MakeStoreRevision(era, number);
//   bool later = revision > other;
//
// A store that is restored from a copy gives numbers out again, but in another era. A revision
// holds the era in its upper bits, so that each one of a later era is greater. Pure functions.
#pragma once

#include <cstdint>
#include <string>

namespace trefoil {

// Returns the revision with the store's own number `aNumber` in the era `aEra`. Values out of range
// are replaced by the nearest possible ones; 0 is the era of a store that states none.
std::int64_t
MakeStoreRevision(std::int64_t aEra, std::int64_t aNumber);

std::int64_t
EraOf(std::int64_t aRevision);

// Returns the store's own number of a revision.
std::int64_t
NumberOf(std::int64_t aRevision);

// Returns `aRevision` for logs: the number, after the era if there is one.
std::string
RevisionText(std::int64_t aRevision);

} // namespace trefoil
