// standin-fault-proxy, a program that runs a fault proxy for each pair of addresses, called a link.
// Requests such as `POST /fault?Link=0-7&Fault=reset&Connect=refuse` to a separate address set the
// faults of one link or of several.
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

using trefoil::standin::ConnectFault;
using trefoil::standin::FaultProxy;
using trefoil::standin::LinkFault;

constexpr const char* kUsage =
  R"(standin-fault-proxy, passes connections on and harms them on demand.

Usage:
  standin-fault-proxy ORDERS LINK...

Each LINK is IP:PORT=IP:PORT; links are numbered from 0.
)";

// A request to set the faults of the links from mFirst to mLast.
struct FaultRequest
{
  std::size_t mFirst = 0;
  std::size_t mLast = 0;
  // std::nullopt if the request names no known fault.
  std::optional<LinkFault> mFault;
  std::optional<ConnectFault> mConnectFault = ConnectFault::kNone;
};

FaultRequest
ParseFaultRequest(const std::string& aTarget)
{
  FaultRequest faultRequest;
  for (const auto& [key, value] : Poco::URI{ aTarget }.getQueryParameters()) {
    if (key == "Link") {
      const std::size_t dash = value.find('-');
      faultRequest.mFirst = std::stoul(value);
      faultRequest.mLast =
        dash == std::string::npos ? faultRequest.mFirst : std::stoul(value.substr(dash + 1));
    } else if (key == "Fault") {
      faultRequest.mFault = ValueOf(trefoil::standin::kLinkFaultNames, value);
    } else if (key == "Connect") {
      faultRequest.mConnectFault = ValueOf(trefoil::standin::kConnectFaultNames, value);
    }
  }
  return faultRequest;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto commandLine =
    trefoil::ParseCommandLine({ .mUsage = kUsage, .mVersion = trefoil::standin::kStandinVersion },
                              aArgumentCount,
                              aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  std::vector<std::unique_ptr<FaultProxy>> proxies;
  for (const std::string& pair : commandLine.mArguments.at("LINK").asStringList()) {
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
    proxies.push_back(std::move(*proxy));
  }
  return trefoil::standin::ServeUntilSignal(
    commandLine.mArguments.at("ORDERS").asString(), [&proxies](trefoil::HttpExchange& aExchange) {
      const FaultRequest faultRequest = ParseFaultRequest(aExchange.Request().mTarget);
      if (!faultRequest.mFault.has_value() || !faultRequest.mConnectFault.has_value() ||
          faultRequest.mLast >= proxies.size()) {
        aExchange.Respond({ .mStatus = trefoil::kNotFound });
        return;
      }
      for (std::size_t link = faultRequest.mFirst; link <= faultRequest.mLast; ++link) {
        proxies[link]->SetFault(*faultRequest.mFault);
        proxies[link]->SetConnectFault(*faultRequest.mConnectFault);
      }
      aExchange.Respond({});
    });
}
