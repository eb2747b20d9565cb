// Runs the HTTP server of a stand-in program until SIGTERM or SIGINT.
//
//   const auto serve = [&](HttpExchange& aExchange) { store.Serve(aExchange); };
//   return ServeUntilSignal("127.0.0.1:9000", serve);
#pragma once

#include "trefoil/command_line/command_line.h"
#include "trefoil/http_server/http_server.h"

#include <string>
#include <string_view>

namespace trefoil::standin {

// Serves requests at `aListen`, an IP:PORT, and blocks until SIGTERM or SIGINT. Returns the
// program's exit status: 0 after a signal, 1 if the endpoint cannot be bound, 2 if `aListen` is
// invalid. Must be called before other threads start, since it blocks the signals in the calling
// thread.
int
ServeUntilSignal(std::string_view aListen, HttpHandler aHandler);

// The version that the stand-in programs print.
inline constexpr const char* kStandinVersion = "trefoillb stand-ins 0.1.0";

// Runs a stand-in program whose only argument is the ADDRESS to listen on. Returns the program's
// exit status.
template<typename Service>
int
RunService(const std::string& aUsage, int aArgumentCount, char** aArguments)
{
  const auto commandLine =
    ParseCommandLine({ .mUsage = aUsage, .mVersion = kStandinVersion }, aArgumentCount, aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  Service service;
  return ServeUntilSignal(commandLine.mArguments.at("ADDRESS").asString(),
                          [&service](HttpExchange& aExchange) { service.Serve(aExchange); });
}

} // namespace trefoil::standin
