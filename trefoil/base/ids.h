// Identifiers that the compiler keeps apart.
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

// A name whose `Tag` says what it names. Ordered and hashed by its text.
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
using BackendServerId = Id<struct BackendServerTag>;
using ClientAccountId = Id<struct ClientAccountTag>;
using ServiceId = Id<struct ServiceTag>;
// A version of what a service's backend servers run.
using VersionId = Id<struct VersionTag>;
// One request of a caller, the same over all its attempts.
using RequestId = Id<struct RequestTag>;
// One dispatch of a request to one backend server.
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
