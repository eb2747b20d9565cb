// Runs the HTTP server of a stand-in program until SIGTERM or SIGINT.
//
//   return ServeUntilSignal("127.0.0.1:9000", [&](HttpExchange& aExchange) {
//   store.Serve(aExchange); });
#pragma once

#include "trefoil/http/server.h"

#include <string_view>

namespace trefoil::standin {

// Returns the program's exit status.
int
ServeUntilSignal(std::string_view aListen, HttpHandler aHandler);

} // namespace trefoil::standin
