// Messages by which entry hosts tell each other how much work they run.
//
//   AdmissionDemands demands{ .mDemands = { { .mHost = self, .mUndeferredPerMinute = 20'000 } } };
//
// Plain structs: only the codec knows their bytes.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// The work of one service on one host that it does not hold back, in expected tokens a minute.
struct ServiceDemand
{
  ServiceId mService;
  HostId mHost;
  // The host's incarnation, and a number that rises with each demand of it.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mUndeferredPerMinute = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mHost, mIncarnation, mSequence, mUndeferredPerMinute);
  }
};

// The sender's own demands and some that it heard of lately.
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
