// What entry hosts tell each other of requests that crash backend servers.
#pragma once

#include "trefoil/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// How often a host saw one server crash.
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

// The crashes that one host saw while it ran a request, in all, so that a report may be lost,
// repeated or late.
struct CrashReport
{
  HostId mHost;
  // The digest of client account, service and body.
  std::string mDigest;
  std::vector<ServerCrashes> mCrashes;
  // How often the request completed on the host since the first crash.
  std::int64_t mCleared = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mDigest, mCrashes, mCleared);
  }
};

// Asks the other hosts to send nothing to a backend server while a suspected request runs there.
struct ServerReservation
{
  BackendServerId mServer;
  std::string mDigest;
  std::int64_t mForMilliseconds = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mDigest, mForMilliseconds);
  }
};

} // namespace trefoil
