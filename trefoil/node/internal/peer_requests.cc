#include "trefoil/node/internal/peer_requests.h"

namespace trefoil {

std::optional<Message>
AnswerPeerRequest(const SnapshotCell& aSnapshots, const Message& aRequest)
{
  if (const auto* request = std::get_if<DocumentsRequest>(&aRequest)) {
    const auto snapshot = aSnapshots.Read();
    return OfferDocuments(*snapshot->mDocuments, *request, snapshot->mHasDocuments);
  }
  return std::nullopt;
}

} // namespace trefoil
