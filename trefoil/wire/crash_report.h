// Messages about requests that crash backend servers.
//
//   CrashReport report{ .mHost = self, .mDigest = digest, .mCrashes = { { server, 1 } } };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// The number of crashes of one server that a host observed.
struct ServerCrashes
{
  BackendServerId mServer;
  std::int64_t mCrashes = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mCrashes);
  }
};

// All crashes that one host observed while it ran a request. The counts are cumulative, so reports
// may be lost, repeated or delayed.
struct CrashReport
{
  HostId mHost;
  // The digest of the request's client account, service and body.
  std::string mDigest;
  std::vector<ServerCrashes> mCrashes;
  // How many times the host cleared the crashes because the request completed. A report with a
  // higher value is newer.
  std::int64_t mCleared = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mDigest, mCrashes, mCleared);
  }
};

// Requests that the other hosts send no requests to a backend server while a request that is
// suspected of crashing servers runs there.
struct ServerReservation
{
  BackendServerId mServer;
  // The digest of the suspected request.
  std::string mDigest;
  // How long the reservation lasts; 0 ends it.
  std::int64_t mDurationMilliseconds = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mDigest, mDurationMilliseconds);
  }
};

} // namespace trefoil
