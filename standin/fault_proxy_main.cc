// A proxy that harms connections, as a program: a link for each pair of addresses, and one address
// for orders such as `POST /fault?Link=0&Fault=reset`.
#include "standin/fault_proxy.h"
#include "standin/serve_until_signal.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/http/status_code.h"

#include <Poco/URI.h>
#include <cstdio>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace {

using trefoil::standin::FaultProxy;

constexpr const char* kUsage =
  R"(standin-fault-proxy, passes connections on and harms them on demand.

Usage:
  standin-fault-proxy ORDERS LINK...

Each LINK is IP:PORT=IP:PORT; links are numbered from 0.
)";

struct Order
{
  std::size_t mLink = 0;
  std::optional<trefoil::standin::LinkFault> mFault;
};

Order
ReadOrder(const std::string& aTarget)
{
  Order order;
  for (const auto& [key, value] : Poco::URI{ aTarget }.getQueryParameters()) {
    if (key == "Link") {
      order.mLink = std::stoul(value);
    } else if (key == "Fault") {
      order.mFault = ValueOf(trefoil::standin::kLinkFaultNames, value);
    }
  }
  return order;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = trefoil::standin::kStandinVersion }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  std::vector<std::unique_ptr<FaultProxy>> links;
  for (const std::string& pair : line.mArguments.at("LINK").asStringList()) {
    const std::size_t equals = pair.find('=');
    const auto listen = trefoil::ParseEndpoint(pair.substr(0, equals));
    const auto target =
      trefoil::ParseEndpoint(equals == std::string::npos ? "" : pair.substr(equals + 1));
    if (!listen.ok() || !target.ok()) {
      fmt::print(stderr, "{}: must be IP:PORT=IP:PORT\n", pair);
      return trefoil::kExitBadInput;
    }
    auto proxy = FaultProxy::Start(*listen, *target);
    if (!proxy.ok()) {
      fmt::print(stderr, "{}: {}\n", pair, std::string{ proxy.status().message() });
      return 1;
    }
    links.push_back(std::move(*proxy));
  }
  return trefoil::standin::ServeUntilSignal(
    line.mArguments.at("ORDERS").asString(), [&links](trefoil::HttpExchange& aExchange) {
      const Order order = ReadOrder(aExchange.Request().mTarget);
      if (!order.mFault.has_value() || order.mLink >= links.size()) {
        aExchange.Respond({ .mStatus = trefoil::kNotFound });
        return;
      }
      links[order.mLink]->Set(*order.mFault);
      aExchange.Respond({});
    });
}
