#include "standin/serve_until_signal.h"

#include <csignal>
#include <cstdio>
#include <pthread.h>
#include <string>

namespace trefoil::standin {
namespace {

constexpr std::int64_t kMaxConnections = 4000;
constexpr int kExitBadInput = 2;

} // namespace

int
ServeUntilSignal(std::string_view aListen, HttpHandler aHandler)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto endpoint = ParseEndpoint(aListen);
  if (!endpoint.ok()) {
    std::fprintf(stderr, "%s\n", endpoint.status().ToString().c_str());
    return kExitBadInput;
  }
  const auto server = HttpServer::Start(
    { .mListen = *endpoint, .mHandler = std::move(aHandler), .mMaxConnections = kMaxConnections });
  if (!server.ok()) {
    std::fprintf(stderr, "%s\n", server.status().ToString().c_str());
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

} // namespace trefoil::standin
