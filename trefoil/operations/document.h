// Writes the document of a service to the store and reads the audit trail of the service, for the
// operators' tools.
//
//   PutResult result = PutDocument(store, { .mText = text, .mAuthor = "ana" }, deadline);
//   absl::StatusOr<std::vector<AuditRecord>> trail = ReadTrail(store, service, deadline);
//
// A document is written by compare-and-swap, together with its author's name. If another operator
// has changed it in the meantime, the put reports a conflict and does not overwrite the change. If
// the answer to a write is lost, the document is read back to find out whether the write took
// effect.
//
// The functions block. They keep no state and may be called from any thread.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/audit/author.h"
#include "trefoil/audit/trail.h"
#include "trefoil/base/name_table.h"
#include "trefoil/store_client/store_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

struct PutOptions
{
  std::string mText;
  // The name of the document in error messages.
  std::string mFile;
  std::string mAuthor;
  // The stored revision that the new document replaces, 0 if there must be none. std::nullopt
  // replaces whichever revision is stored.
  std::optional<std::uint64_t> mExpected;
};

enum class PutState
{
  kAccepted,
  // The document or the author's name is invalid. Nothing was written.
  kInvalid,
  // The stored document has another revision than expected. Nothing was written.
  kConflict,
  // The store could not be read or written before the deadline. Nothing was written.
  kNotWritten,
  // The document may have been written: the answer of the store was lost.
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
  // kAccepted: the new revision. kConflict, and kUnknown after a conflict: the stored revision.
  std::uint64_t mRevision = 0;
  // The author of the document that has the stored revision; std::nullopt if it names none.
  std::optional<Author> mStoredAuthor;
  // Why the document was not accepted.
  std::string mReason;
};

// Checks a document and writes it to the store, blocking until `aDeadline` at most. An accepted
// document is also recorded in the audit trail, which blocks for up to 3 s more.
PutResult
PutDocument(const StoreClient& aStore, const PutOptions& aOptions, Instant aDeadline);

// Returns the records of a service's audit trail, the oldest first and without duplicates. Blocks
// until `aDeadline` at most. Returns the error if the store does not answer or a segment cannot be
// decoded.
absl::StatusOr<std::vector<AuditRecord>>
ReadAuditTrail(const StoreClient& aStore, const ServiceId& aService, Instant aDeadline);

} // namespace trefoil
