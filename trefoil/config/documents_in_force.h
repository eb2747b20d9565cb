// The service documents that are in force on this host, which are the valid ones that it uses.
//
//   DocumentsInForce documents;
//   Apply(documents, { .mService = id, .mRevision = 7, .mText = text });
//
// The revision in force of a service only increases. An invalid document is refused, and the last
// valid one stays in force. A revision is never changed in place, so any host can send a copy of it
// to other hosts. Numbered immutable versions follow L. Hejtmanek, "Secure and Fault Tolerant
// Distributed Framework with Mobility Support", sections 2.1 and 2.2. Plain data and pure
// functions.
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

enum class DocumentApplyResult
{
  // The document is now in force.
  kInForce,
  // The same or a newer revision is in force, or the document is invalid and not the newest seen.
  kStale,
  // The document is invalid. The last valid one stays in force.
  kRefused,
};

inline constexpr NameTable<DocumentApplyResult, 3> kDocumentApplyResultNames{ {
  { DocumentApplyResult::kInForce, "in_force" },
  { DocumentApplyResult::kStale, "stale" },
  { DocumentApplyResult::kRefused, "refused" },
} };

// The revisions of one service's document on this host.
struct DocumentState
{
  // The newest revision seen, including refused ones.
  std::uint64_t mSeenRevision = 0;
  // Why the newest revision was refused; empty if it is in force.
  std::string mRefusal;
  // The text of the newest revision if it was refused.
  std::string mRefusedText;
  // The revision in force; 0 for none.
  std::uint64_t mRevision = 0;
  std::string mText;
  // Null if no document is in force or the revision in force is a deletion.
  std::shared_ptr<const ServiceDocument> mDocument;
};

// The documents of all services.
struct DocumentsInForce
{
  std::map<ServiceId, DocumentState> mByService;
};

// Maximum total size of the documents in one response to another host. A response with a single
// document may exceed it.
inline constexpr std::size_t kMaxOfferedBytes = std::size_t{ 1 } << 20;

// Puts a document into force if it is valid and no document of the same or a newer revision is in
// force. A valid document older than a refused one is put into force too, so that all hosts have
// the same last valid document.
DocumentApplyResult
Apply(DocumentsInForce& aDocuments, const DocumentRevision& aRevision);

// Returns the newest revision seen of all documents, or 0 if there is none.
std::uint64_t
NewestRevision(const DocumentsInForce& aDocuments);

// Returns a hash of the revisions in force and the newest revisions seen of all services.
std::uint32_t
DigestOfRevisions(const DocumentsInForce& aDocuments);

// Returns a request for all documents that are newer than those in `aDocuments`.
DocumentsRequest
MakeDocumentsRequest(const DocumentsInForce& aDocuments);

// Returns the documents that the requesting host lacks, the oldest revision first, so that a host
// that received only a part has all documents up to its newest revision. `aReady` is true if this
// host has received documents from the store or another host since its start.
DocumentsReply
OfferDocuments(const DocumentsInForce& aDocuments, const DocumentsRequest& aRequest, bool aReady);

} // namespace trefoil
