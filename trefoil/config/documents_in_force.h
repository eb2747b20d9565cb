// The accepted documents that this host acts on.
//
//   DocumentsInForce documents;
//   Apply(documents, { .mService = id, .mRevision = 7, .mText = text });
//
// The revision of a service's document only goes up. A document that does not parse is refused; the
// last good one stays in force. Numbered versions that are never changed in place, so that copies
// can be passed on by any host: Hejtmanek, "Secure and Fault Tolerant Distributed Framework with
// Mobility Support", sections 2.1 and 2.2. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"
#include "trefoil/service/service_document.h"
#include "trefoil/wire/config_message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace trefoil {

enum class DocumentFate
{
  kInForce,
  // A newer or the same revision is known.
  kStale,
  // It does not parse. The last good one stays.
  kRefused,
};

inline constexpr NameTable<DocumentFate, 3> kDocumentFateNames{ {
  { DocumentFate::kInForce, "in_force" },
  { DocumentFate::kStale, "stale" },
  { DocumentFate::kRefused, "refused" },
} };

struct DocumentState
{
  // The newest revision that was seen, refused or not.
  std::uint64_t mSeenRevision = 0;
  // Why the newest one was refused; empty if it is in force.
  std::string mRefusal;
  // The text of the newest one if it was refused.
  std::string mRefusedText;
  // The revision in force; 0 for none.
  std::uint64_t mRevision = 0;
  std::string mText;
  // Null if none is in force.
  std::shared_ptr<const ServiceDocument> mDocument;
};

struct DocumentsInForce
{
  std::map<ServiceId, DocumentState> mByService;
};

// The most bytes of documents in one answer to another host; one document may be longer.
inline constexpr std::size_t kMaxOfferedBytes = std::size_t{ 1 } << 20;

// Takes in a document unless one of the same or a newer revision is in force. One that is older
// than a refused one comes into force all the same, so that hosts agree on the last good one.
DocumentFate
Apply(DocumentsInForce& aDocuments, const DocumentRevision& aRevision);

// Returns the newest revision seen of any document.
std::uint64_t
NewestRevision(const DocumentsInForce& aDocuments);

// Returns a hash of all revisions, in force and seen.
std::uint32_t
DigestOf(const DocumentsInForce& aDocuments);

// Returns a request for all documents that are newer than these.
DocumentsWanted
WantedBy(const DocumentsInForce& aDocuments);

// Returns the documents that the asking host lacks, the oldest revision first, so that a host which
// received a part has everything up to its newest revision. `aReady` says whether this host has
// read the store or another host.
DocumentsOffered
OfferDocuments(const DocumentsInForce& aDocuments, const DocumentsWanted& aWanted, bool aReady);

} // namespace trefoil
