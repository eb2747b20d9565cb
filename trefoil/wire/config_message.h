// Messages with which entry hosts fetch service documents from each other.
//
//   ServiceRevisions revisions{ .mService = id, .mInForce = 7, .mNewest = 7 };
//   DocumentsRequest request{ .mRevisions = { revisions } };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// A service document at a revision of the store.
struct DocumentRevision
{
  ServiceId mService;
  std::uint64_t mRevision = 0;
  std::string mText;
  bool mDeleted = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mRevision, mText, mDeleted);
  }
};

// The revisions of a service's document that the sender has.
struct ServiceRevisions
{
  ServiceId mService;
  std::uint64_t mInForce = 0;
  // The newest revision that the sender has received, whether it was accepted or refused.
  std::uint64_t mNewest = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mInForce, mNewest);
  }
};

// Requests the documents that are newer than those of the sender.
struct DocumentsRequest
{
  std::vector<ServiceRevisions> mRevisions;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRevisions);
  }
};

// The reply to DocumentsRequest, in ascending order of revision.
struct DocumentsReply
{
  // Whether the sender has read the store or another host since its start.
  bool mReady = false;
  std::vector<DocumentRevision> mDocuments;
  // Whether further documents were omitted to limit the size of the message.
  bool mHasMore = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReady, mDocuments, mHasMore);
  }
};

} // namespace trefoil
