// Runs the decisions on paths to servers (dispatch/server_path.h) and on carried connections
// (relay/relay_limits.h) of many entry hosts in one process, on a simulated clock and without a
// network. Some of the hosts are cut off from all servers for some time.
//
//   CutFleetReport report = RunCutFleet({ .mCutOff = { 0, 1, 2 }, .mFailure = ... });
//
// A request takes the first connection that is established, over as many servers and carriers as a
// request of trefoil/forward tries. What happens to it afterwards, quotas and the load of servers
// are not simulated. Deterministic.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/dispatch/server_path.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoil {

struct CutFleetOptions
{
  std::size_t mZones = 6;
  std::size_t mHosts = 295;
  std::size_t mServers = 120;
  // Requests a second that clients send to each host, except to the quiet ones.
  double mRequestRate = 4.2;
  // The last hosts of the fleet get no requests.
  std::size_t mQuietHosts = 0;
  // The hosts that are cut off, and whether their connections are refused or time out. Host i is in
  // zone i % mZones.
  std::vector<std::size_t> mCutOff;
  ConnectFailure mFailure = ConnectFailure::kRefused;
  // When the cut begins and ends, from the start.
  Milliseconds mCutAt{ 2'000 };
  Milliseconds mHealedAt{ 14'000 };
  Milliseconds mEnd{ 20'000 };
  // Requests are counted as late, like in RECOVER, if they are sent from this time after the cut
  // on.
  Milliseconds mBound{ 3'000 };
  std::size_t mMaxConnections = 1'000;
  std::uint64_t mSeed = 1;
};

struct RequestCounts
{
  std::uint64_t mAll = 0;
  std::uint64_t mServed = 0;
};

struct CutFleetReport
{
  // Requests of cut-off hosts from the cut until mBound later, from then on until the end of the
  // cut, and of cut-off hosts after it; and those of all other hosts from the cut on.
  RequestCounts mEarly;
  RequestCounts mLate;
  RequestCounts mHealed;
  RequestCounts mOthers;
  // The longest time that a served late request took to get a connection.
  Milliseconds mSlowestLate{ 0 };
  // Asks of carriers, those that did not lead to a connection, and the largest number of asks of
  // the whole fleet in a second.
  std::uint64_t mAsks = 0;
  std::uint64_t mDeclined = 0;
  std::uint64_t mMostAsksInSecond = 0;
  // The largest number of connections that a carrier had at a time, and got in a second.
  std::size_t mMostCarried = 0;
  std::size_t mMostCarriedInSecond = 0;
  // Servers that hosts blamed, though all servers are sound.
  std::uint64_t mBlamed = 0;
  // The largest number of direct connections that a server got in a tenth of a second after the end
  // of the cut, and the largest number in such a time before the cut.
  std::size_t mMostDirectAfter = 0;
  std::size_t mMostDirectBefore = 0;
  // When the last host that was cut off used a direct path again, from the end of the cut.
  Milliseconds mAllDirectAfter{ 0 };
};

CutFleetReport
RunCutFleet(const CutFleetOptions& aOptions);

} // namespace trefoil
