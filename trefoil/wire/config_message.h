// Messages with which entry hosts fetch service documents from each other.
//
//   KnownRevision revisions{ .mService = id, .mInForce = 7, .mSeen = 7 };
//   DocumentsWanted request{ .mKnown = { revisions } };
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
struct KnownRevision
{
  ServiceId mService;
  std::uint64_t mInForce = 0;
  // The newest revision that the sender has received, whether it was accepted or refused.
  std::uint64_t mSeen = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mInForce, mSeen);
  }
};

// Requests the documents that are newer than those of the sender.
struct DocumentsWanted
{
  std::vector<KnownRevision> mKnown;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKnown);
  }
};

// The reply to DocumentsWanted, in ascending order of revision.
struct DocumentsOffered
{
  // Whether the sender has read the store or another host since its start.
  bool mReady = false;
  std::vector<DocumentRevision> mDocuments;
  // Whether further documents were omitted to limit the size of the message.
  bool mMore = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReady, mDocuments, mMore);
  }
};

} // namespace trefoil
