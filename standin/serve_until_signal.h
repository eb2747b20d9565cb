// Runs the HTTP server of a stand-in program until SIGTERM or SIGINT.
//
//   return ServeUntilSignal("127.0.0.1:9000", [&](HttpExchange& aExchange) {
//   store.Serve(aExchange); });
#pragma once

#include "trefoil/command_line/command_line.h"
#include "trefoil/http/server.h"

#include <string>
#include <string_view>

namespace trefoil::standin {

// Returns the program's exit status.
int
ServeUntilSignal(std::string_view aListen, HttpHandler aHandler);

// The version that the stand-in programs print.
inline constexpr const char* kStandinVersion = "trefoillb stand-ins 0.1.0";

// Runs a program whose command line has nothing but the ADDRESS to listen at. Returns its exit
// status.
template<typename Service>
int
RunService(const std::string& aUsage, int aCount, char** aValues)
{
  const auto line =
    ParseCommandLine({ .mUsage = aUsage, .mVersion = kStandinVersion }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  Service service;
  return ServeUntilSignal(line.mArguments.at("ADDRESS").asString(),
                          [&service](HttpExchange& aExchange) { service.Serve(aExchange); });
}

} // namespace trefoil::standin
