// trefoild, the daemon of an entry host.
#include "trefoil/command_line/command_line.h"
#include "trefoil/node/entry_host.h"
#include "trefoil/settings/host_settings.h"

#include <csignal>
#include <cstdio>
#include <pthread.h>
#include <spdlog/spdlog.h>
#include <string>

namespace {

constexpr const char* kUsage = R"(trefoild, an entry host of trefoillb.

Usage:
  trefoild [--check] SETTINGS
  trefoild --help
  trefoild --version

Options:
  --check    Check the settings file and stop.
  --help     Show this page.
  --version  Show the version.

SIGTERM and SIGINT stop it without cutting off a request.
Exit status: 0 stopped as asked, 1 failed, 2 bad command line or settings.
)";
constexpr const char* kVersion = "trefoild 0.1.0";
constexpr int kExitFailed = 1;

spdlog::level::level_enum
ToSpdlogLevel(trefoil::LogLevel aLevel)
{
  switch (aLevel) {
    case trefoil::LogLevel::kDebug:
      return spdlog::level::debug;
    case trefoil::LogLevel::kInfo:
      return spdlog::level::info;
    case trefoil::LogLevel::kWarning:
      return spdlog::level::warn;
    case trefoil::LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts later, so that sigwait
// receives them. Returns the blocked signals.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int
Run(const trefoil::HostSettings& aSettings)
{
  const sigset_t signals = BlockStopSignals();
  auto host = trefoil::EntryHost::Start(aSettings);
  if (!host.ok()) {
    spdlog::error("cannot start: {}", host.status().ToString());
    return kExitFailed;
  }
  spdlog::info(
    "entry host {} listens on {}", aSettings.mHost.Value(), trefoil::ToText(aSettings.mListen));
  int signal = 0;
  sigwait(&signals, &signal);
  spdlog::info("stopping after signal {}", signal);
  const std::int64_t requestsInFlight = (*host)->Stop();
  spdlog::info("stopped with {} requests in flight", requestsInFlight);
  return 0;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto commandLine = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = kVersion }, aArgumentCount, aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  const auto settings = trefoil::ReadHostSettings(commandLine.mArguments.at("SETTINGS").asString());
  if (!settings.ok()) {
    std::fprintf(stderr, "trefoild: %s\n", std::string{ settings.status().message() }.c_str());
    return trefoil::kExitBadInput;
  }
  if (commandLine.mArguments.at("--check").asBool()) {
    std::puts("the settings are valid");
    return 0;
  }
  spdlog::set_level(ToSpdlogLevel(settings->mLogLevel));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l host=" + settings->mHost.Value() + " %v");
  return Run(*settings);
}
