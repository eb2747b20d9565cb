#include "trefoil/config/documents_in_force.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

absl::StatusOr<ServiceDocument>
ParseFor(const DocumentRevision& aRevision)
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

DocumentFate
Apply(DocumentsInForce& aDocuments, const DocumentRevision& aRevision)
{
  DocumentState& state = aDocuments.mByService[aRevision.mService];
  if (aRevision.mRevision <= state.mSeenRevision) {
    return DocumentFate::kStale;
  }
  state.mSeenRevision = aRevision.mRevision;
  if (aRevision.mDeleted) {
    state.mRefusal.clear();
    state.mRevision = aRevision.mRevision;
    state.mText.clear();
    state.mDocument = nullptr;
    return DocumentFate::kInForce;
  }
  auto document = ParseFor(aRevision);
  if (!document.ok()) {
    state.mRefusal = std::string{ document.status().message() };
    return DocumentFate::kRefused;
  }
  state.mRefusal.clear();
  state.mRevision = aRevision.mRevision;
  state.mText = aRevision.mText;
  state.mDocument = std::make_shared<const ServiceDocument>(std::move(*document));
  return DocumentFate::kInForce;
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

} // namespace trefoil
