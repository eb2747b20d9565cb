// Messages with which entry hosts report how much work they run.
//
//   AdmissionDemands demands{ .mDemands = { { .mHost = self, .mUndeferredPerMinute = 20'000 } } };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// The work of one service on one host that the host does not defer, in expected tokens per minute.
struct ServiceDemand
{
  ServiceId mService;
  HostId mHost;
  // The incarnation of the host, and a number that increases with each demand of that incarnation.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mUndeferredPerMinute = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mHost, mIncarnation, mSequence, mUndeferredPerMinute);
  }
};

// The sender's own demands and some that it received recently from other hosts.
struct AdmissionDemands
{
  std::vector<ServiceDemand> mDemands;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDemands);
  }
};

} // namespace trefoil
