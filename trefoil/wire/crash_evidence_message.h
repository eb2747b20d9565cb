// Messages about requests and parts of prompts that crash servers.
//
//   CrashEvidenceMessage message{ .mHost = self, .mCrashes = crashes };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// Added to the standing of a suspect that is a request. Hosts of earlier versions take its standing
// for one that they do not know, and ignore the suspect.
inline constexpr std::uint8_t kRequestStandingOffset = 3;

// The standing of an entry that is no suspect: parts were left out of the list of the crash for
// lack of room. Hosts of earlier versions take it for a part that has been answered.
inline constexpr std::uint8_t kPartsCutStanding = 2 * kRequestStandingOffset;

// A suspect of a crash.
struct SuspectMessage
{
  // A digest of the service and the id of the part, or of the request.
  std::uint64_t mPart = 0;
  // The numeric value of SuspectStanding, plus kRequestStandingOffset for a request. Receivers take
  // values that they do not know for a part with the highest standing. kPartsCutStanding marks a
  // list that was cut.
  std::uint8_t mStanding = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPart, mStanding);
  }
};

struct ServerCrashEntry
{
  BackendServerId mServer;
  std::vector<std::uint64_t> mIds;
  std::int64_t mAgeMilliseconds = 0;
  bool mDisproved = false;
  std::vector<SuspectMessage> mParts;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mIds, mAgeMilliseconds, mDisproved, mParts);
  }
};

struct RefusalEntry
{
  std::uint64_t mPart = 0;
  // How much longer the part is refused; negative if the refusal has ended.
  std::int64_t mRemainingMilliseconds = 0;
  std::int64_t mGeneration = 0;
  std::int64_t mLevel = 0;
  bool mAnswered = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPart, mRemainingMilliseconds, mGeneration, mLevel, mAnswered);
  }
};

// What the sender knows about crashes and refused parts, from whichever host.
struct CrashEvidenceMessage
{
  HostId mHost;
  std::vector<ServerCrashEntry> mCrashes;
  std::vector<RefusalEntry> mRefusals;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mCrashes, mRefusals);
  }
};

} // namespace trefoil
