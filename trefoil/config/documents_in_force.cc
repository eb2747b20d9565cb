#include "trefoil/config/documents_in_force.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

// Returns the parsed document, or an error if it is invalid or belongs to another service.
absl::StatusOr<ServiceDocument>
ParseAndCheckService(const DocumentRevision& aRevision)
{
  auto document = ParseServiceDocument(aRevision.mText, aRevision.mService.Value());
  if (document.ok() && document->mService != aRevision.mService) {
    return absl::InvalidArgumentError(fmt::format("{}: service: the document names '{}'",
                                                  aRevision.mService.Value(),
                                                  document->mService.Value()));
  }
  return document;
}

} // namespace

DocumentApplyResult
Apply(DocumentsInForce& aDocuments, const DocumentRevision& aRevision)
{
  DocumentState& state = aDocuments.mByService[aRevision.mService];
  if (aRevision.mRevision <= state.mRevision) {
    return DocumentApplyResult::kStale;
  }
  const bool newest = aRevision.mRevision > state.mSeenRevision;
  absl::StatusOr<ServiceDocument> document = ServiceDocument{};
  if (!aRevision.mDeleted) {
    document = ParseAndCheckService(aRevision);
  }
  if (!document.ok() && !newest) {
    return DocumentApplyResult::kStale;
  }
  state.mSeenRevision = std::max(state.mSeenRevision, aRevision.mRevision);
  if (!document.ok()) {
    state.mRefusal = std::string{ document.status().message() };
    state.mRefusedText = aRevision.mText;
    return DocumentApplyResult::kRefused;
  }
  if (state.mSeenRevision == aRevision.mRevision) {
    state.mRefusal.clear();
    state.mRefusedText.clear();
  }
  state.mRevision = aRevision.mRevision;
  state.mText = aRevision.mText;
  state.mDocument =
    aRevision.mDeleted ? nullptr : std::make_shared<const ServiceDocument>(std::move(*document));
  return DocumentApplyResult::kInForce;
}

std::uint64_t
NewestRevision(const DocumentsInForce& aDocuments)
{
  std::uint64_t newest = 0;
  for (const auto& [service, state] : aDocuments.mByService) {
    newest = std::max(newest, state.mSeenRevision);
  }
  return newest;
}

std::uint32_t
DigestOfRevisions(const DocumentsInForce& aDocuments)
{
  std::string text;
  for (const auto& [service, state] : aDocuments.mByService) {
    text += fmt::format("{} {} {}\n", service.Value(), state.mRevision, state.mSeenRevision);
  }
  return static_cast<std::uint32_t>(Digest64(text));
}

DocumentsRequest
MakeDocumentsRequest(const DocumentsInForce& aDocuments)
{
  DocumentsRequest request;
  for (const auto& [service, state] : aDocuments.mByService) {
    request.mRevisions.push_back(
      { .mService = service, .mInForce = state.mRevision, .mNewest = state.mSeenRevision });
  }
  return request;
}

namespace {

// Adds the revisions of a service that the requesting host lacks to `aOffers`.
void
AddOffers(const ServiceId& aService,
          const DocumentState& aState,
          const ServiceRevisions& aKnown,
          std::vector<DocumentRevision>& aOffers)
{
  // If this revision is the newest that the requesting host has seen but not in force there, that
  // host refused it.
  const bool refusedThere = aKnown.mNewest == aState.mRevision;
  if (aState.mRevision > aKnown.mInForce && !refusedThere) {
    aOffers.push_back({ .mService = aService,
                        .mRevision = aState.mRevision,
                        .mText = aState.mText,
                        .mDeleted = aState.mDocument == nullptr });
  }
  if (!aState.mRefusal.empty() && aState.mSeenRevision > aKnown.mNewest) {
    aOffers.push_back(
      { .mService = aService, .mRevision = aState.mSeenRevision, .mText = aState.mRefusedText });
  }
}

} // namespace

DocumentsReply
OfferDocuments(const DocumentsInForce& aDocuments, const DocumentsRequest& aRequest, bool aReady)
{
  std::map<ServiceId, ServiceRevisions> knownRevisions;
  for (const ServiceRevisions& revision : aRequest.mRevisions) {
    knownRevisions[revision.mService] = revision;
  }
  std::vector<DocumentRevision> offers;
  for (const auto& [service, state] : aDocuments.mByService) {
    AddOffers(service, state, knownRevisions[service], offers);
  }
  std::ranges::sort(offers, {}, &DocumentRevision::mRevision);
  DocumentsReply offered{ .mReady = aReady };
  std::size_t bytes = 0;
  for (DocumentRevision& offer : offers) {
    bytes += offer.mText.size();
    if (!offered.mDocuments.empty() && bytes > kMaxOfferedBytes) {
      offered.mHasMore = true;
      break;
    }
    offered.mDocuments.push_back(std::move(offer));
  }
  return offered;
}

} // namespace trefoil
