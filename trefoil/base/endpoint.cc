#include "trefoil/base/endpoint.h"

#include "absl/strings/numbers.h"

#include <arpa/inet.h>
#include <fmt/format.h>

namespace trefoil {

absl::StatusOr<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not ADDRESS:PORT", aText));
  }
  const std::string address{ aText.substr(0, colon) };
  const std::string port{ aText.substr(colon + 1) };
  in_addr parsed{};
  if (inet_pton(AF_INET, address.c_str(), &parsed) != 1) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not an IPv4 number", address));
  }
  int number = 0;
  if (!absl::SimpleAtoi(port, &number) || number < 1 || number > UINT16_MAX) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not a port from 1 to 65535", port));
  }
  return Endpoint{ .mAddress = address, .mPort = static_cast<std::uint16_t>(number) };
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return fmt::format("{}:{}", aEndpoint.mAddress, aEndpoint.mPort);
}

} // namespace trefoil
