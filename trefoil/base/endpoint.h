// An IPv4 address and a port.
//
//   absl::StatusOr<Endpoint> endpoint = ParseEndpoint("127.0.1.1:8080");
//   ToText(*endpoint);                       // "127.0.1.1:8080"
#pragma once

#include "absl/status/statusor.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil {

struct Endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mPort);
  }
};

// Parses "ADDRESS:PORT". Returns InvalidArgument if the address is not an IPv4 address in dotted
// decimal notation or the port is not from 1 to 65535.
absl::StatusOr<Endpoint>
ParseEndpoint(std::string_view aText);

// Returns "ADDRESS:PORT".
std::string
ToText(const Endpoint& aEndpoint);

} // namespace trefoil
