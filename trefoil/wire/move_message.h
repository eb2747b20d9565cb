// Messages about duties and version moves.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/rollout/evidence.h"
#include "trefoil/rollout/move_record.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// A duty that a host holds.
struct HeldDuty
{
  ServiceId mService;
  std::uint64_t mFencing = 0;
  // The revision of the service's move record; 0 while it is not known.
  std::uint64_t mRecord = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mFencing, mRecord);
  }
};

// Says which duties a host holds. A host of another zone passes it on inside its own zone, once.
struct DutiesHeld
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  std::vector<HeldDuty> mDuties;
  bool mPassedOn = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mZone, mPeerEndpoint, mDuties, mPassedOn);
  }
};

// What a host saw of a service's versions. Asks the holder for a permit.
struct VersionReport
{
  HostId mHost;
  Endpoint mReplyTo;
  ServiceId mService;
  std::uint64_t mSequence = 0;
  // The permit under which the host stopped the version; 0 if it did not.
  std::uint64_t mStoppedNumber = 0;
  std::vector<ReportLine> mLines;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mReplyTo, mService, mSequence, mStoppedNumber, mLines);
  }
};

// The holder's answer to a report. It lasts for a time that counts from when the report was sent.
struct PermitGranted
{
  // The report that asked for it.
  std::uint64_t mSequence = 0;
  ServiceId mService;
  std::uint64_t mNumber = 0;
  MovePhase mPhase = MovePhase::kSteady;
  VersionId mVersion;
  int mPermille = 0;
  std::int64_t mEndsInMilliseconds = 0;
  std::vector<VersionShare> mSettled;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence, mService, mNumber, mPhase, mVersion, mPermille);
    aArchive(mEndsInMilliseconds, mSettled);
  }
};

// A host has stopped sending to a version because of its faults.
struct VersionStopped
{
  ServiceId mService;
  VersionId mVersion;
  // The permit under which it was sent to.
  std::uint64_t mNumber = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mVersion, mNumber);
  }
};

} // namespace trefoil
