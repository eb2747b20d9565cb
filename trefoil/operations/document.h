// What operators do with the document of a service: put it, and read its audit trail.
//
//   PutResult result = PutDocument(store, { .mText = text, .mAuthor = "ana" }, deadline);
//   absl::StatusOr<std::vector<AuditRecord>> trail = ReadTrail(store, service, deadline);
//
// A document is written by compare-and-swap together with its author's name. A change of another
// operator in between is told and never overwritten. A write whose answer was lost is read back.
// Each call blocks until its deadline at most.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/audit/author.h"
#include "trefoil/audit/trail.h"
#include "trefoil/base/name_table.h"
#include "trefoil/platform/store_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

struct PutOptions
{
  std::string mText;
  // Names the text in errors.
  std::string mFile;
  std::string mAuthor;
  // The revision that the operator changed. Nothing takes the one that stands now.
  std::optional<std::uint64_t> mExpected;
};

enum class PutState
{
  kAccepted,
  // The document or the author's name is bad.
  kInvalid,
  // The document has another revision than expected. Nothing was written.
  kConflict,
  // Nothing was written.
  kNotWritten,
  // It may have been written.
  kUnknown,
};

inline constexpr NameTable<PutState, 5> kPutStateNames{ {
  { PutState::kAccepted, "accepted" },
  { PutState::kInvalid, "invalid" },
  { PutState::kConflict, "conflict" },
  { PutState::kNotWritten, "not_written" },
  { PutState::kUnknown, "unknown" },
} };

struct PutResult
{
  PutState mState = PutState::kNotWritten;
  // kAccepted: the new revision. kConflict: the one that stands.
  std::uint64_t mRevision = 0;
  // kConflict: who put it, if it is known.
  std::optional<Author> mStanding;
  std::string mReason;
};

PutResult
PutDocument(const StoreClient& aStore, const PutOptions& aOptions, Instant aDeadline);

// Returns the records of a service's trail, the oldest first and each fact once.
absl::StatusOr<std::vector<AuditRecord>>
ReadTrail(const StoreClient& aStore, const ServiceId& aService, Instant aDeadline);

} // namespace trefoil
