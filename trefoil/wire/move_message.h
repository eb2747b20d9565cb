// Messages about the duties that hosts hold and about version moves.
//
//   VersionReport report{ .mHost = self, .mService = service, .mSequence = 12 };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/rollout/evidence.h"
#include "trefoil/rollout/move_record.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// A duty whose lease a host holds.
struct HeldDuty
{
  ServiceId mService;
  // The fencing number of the lease.
  std::uint64_t mFencing = 0;
  // The revision of the service's move record; 0 while the holder does not have the current record.
  std::uint64_t mRecord = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mFencing, mRecord);
  }
};

// Announces the duties that a host holds. A host of another zone that receives the message relays
// it once, to the hosts of its own zone.
struct HolderAnnouncement
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  std::vector<HeldDuty> mDuties;
  // Whether the message has been relayed already.
  bool mRelayed = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mZone, mPeerEndpoint, mDuties, mRelayed);
  }
};

// Reports what a host observed of a service's versions, and requests a permit from the holder.
struct VersionReport
{
  HostId mHost;
  Endpoint mReplyTo;
  ServiceId mService;
  std::uint64_t mSequence = 0;
  // The number of the permit under which the host stopped the version; 0 if it did not stop it.
  std::uint64_t mStoppedNumber = 0;
  std::vector<ReportLine> mLines;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mReplyTo, mService, mSequence, mStoppedNumber, mLines);
  }
};

// The holder's reply to a VersionReport. The permit's lifetime starts when the report was sent.
struct PermitGranted
{
  // The sequence number of the report.
  std::uint64_t mSequence = 0;
  ServiceId mService;
  // The revision of the move record in the store.
  std::uint64_t mNumber = 0;
  MovePhase mPhase = MovePhase::kSteady;
  VersionId mVersion;
  int mPermille = 0;
  // Milliseconds until the end of the move.
  std::int64_t mEndsInMilliseconds = 0;
  std::vector<VersionShare> mSettled;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence, mService, mNumber, mPhase, mVersion, mPermille);
    aArchive(mEndsInMilliseconds, mSettled);
  }
};

// Reports that a host has stopped sending requests to a version because of its faults.
struct VersionStopped
{
  ServiceId mService;
  VersionId mVersion;
  // The number of the permit under which requests were sent to the version.
  std::uint64_t mNumber = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mVersion, mNumber);
  }
};

} // namespace trefoil
