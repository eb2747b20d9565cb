// Distinct string types for the identifiers of hosts, servers, services and so on.
//
//   BackendServerId server{ "engine-7" };
//   server.Value();                          // "engine-7"
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace trefoil {

// A string identifier. Each `Tag` makes a distinct type, so identifiers of different kinds cannot
// be confused. Compared and hashed by value.
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool Empty() const { return mValue.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const Id& aId) { return aOut << aId.mValue; }
  template<typename H>
  friend H AbslHashValue(H aState, const Id& aId)
  {
    return H::combine(std::move(aState), aId.mValue);
  }
  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }

private:
  std::string mValue;
};

// An entry host of the system.
using HostId = Id<struct HostTag>;
using AvailabilityZoneId = Id<struct AvailabilityZoneTag>;
// A region contains availability zones.
using RegionId = Id<struct RegionTag>;
using BackendServerId = Id<struct BackendServerTag>;
using ClientAccountId = Id<struct ClientAccountTag>;
using ServiceId = Id<struct ServiceTag>;
// A version of the software or model that a service's backend servers run.
using VersionId = Id<struct VersionTag>;
// A request of a caller. All attempts of the request share it.
using RequestId = Id<struct RequestTag>;
// One dispatch of a request to a backend server.
using AttemptId = Id<struct AttemptTag>;

} // namespace trefoil

template<typename Tag>
struct std::hash<trefoil::Id<Tag>>
{
  std::size_t operator()(const trefoil::Id<Tag>& aId) const
  {
    return std::hash<std::string>{}(aId.Value());
  }
};
