// Messages by which entry hosts pass on service documents.
//
//   DocumentsWanted wanted{ .mKnown = { { .mService = id, .mInForce = 7, .mSeen = 7 } } };
//
// Plain structs: only the codec knows their bytes.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// A document as it stood in the store at a revision.
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

// The revisions of a service's document on the sender.
struct KnownRevision
{
  ServiceId mService;
  std::uint64_t mInForce = 0;
  // The newest one, refused or not.
  std::uint64_t mSeen = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mInForce, mSeen);
  }
};

// Asks a host for the documents that are newer than the sender's.
struct DocumentsWanted
{
  std::vector<KnownRevision> mKnown;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKnown);
  }
};

// Answers DocumentsWanted, the oldest revision first.
struct DocumentsOffered
{
  // Whether the sender has read the store or another host since its start.
  bool mReady = false;
  std::vector<DocumentRevision> mDocuments;
  // Whether there are more, left out to bound the message.
  bool mMore = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReady, mDocuments, mMore);
  }
};

} // namespace trefoil
