// trefoild, the daemon of an entry host.
#include "trefoil/command_line/command_line.h"
#include "trefoil/eventlog/pipe_sink.h"
#include "trefoil/node/entry_host.h"
#include "trefoil/settings/host_settings.h"
#include "trefoil/startup/allocator.h"
#include "trefoil/startup/signals.h"
#include "trefoil/startup/startup.h"

#include <csignal>
#include <cstdio>
#include <exception>
#include <fmt/format.h>
#include <memory>
#include <spdlog/spdlog.h>
#include <string>
#include <string_view>
#include <unistd.h>
#include <utility>

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

SIGTERM and SIGINT stop it without cutting off a request, SIGHUP reads the settings file again.
A port in use and a settings file that is missing or incomplete are waited for.
Exit status: 0 stopped as asked, 1 failed, 2 bad command line or settings.
)";
constexpr const char* kVersion = "trefoild 0.1.0";
// The host in the log lines of a process that has not read its settings yet.
constexpr std::string_view kUnknownHost = "-";
// How often the settings file is checked for changes without a SIGHUP.
constexpr trefoil::Milliseconds kSettingsCheckInterval{ 5'000 };

void
SetLogHost(std::string_view aHost)
{
  spdlog::set_pattern(fmt::format("%Y-%m-%dT%H:%M:%S.%e%z %l host={} %v", aHost));
}

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

// Writes log lines of spdlog's default logger, which must not block on a slow reader of stdout.
void
SetUpLog()
{
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
    "trefoild", std::make_shared<trefoil::PipeSink>(STDOUT_FILENO)));
  SetLogHost(kUnknownHost);
}

// Starts the entry host with the present contents of the settings file. After a failure nothing is
// left running.
trefoil::StartAttempt
TryToStart(const std::string& aPath,
           trefoil::Instant aStartedAt,
           trefoil::HostSettings& aSettings,
           std::unique_ptr<trefoil::EntryHost>& aHost)
{
  const auto settings = trefoil::ReadHostSettings(aPath);
  if (!settings.ok()) {
    return trefoil::SettingsFailure(settings.status(), aStartedAt);
  }
  aSettings = *settings;
  spdlog::set_level(ToSpdlogLevel(settings->mLogLevel));
  SetLogHost(settings->mHost.Value());
  auto host = trefoil::EntryHost::Start(*settings);
  if (!host.ok()) {
    return { .mStatus = host.status(),
             .mRetryUntil =
               aStartedAt + trefoil::Milliseconds{ settings->mStopNoticeMilliseconds } };
  }
  aHost = std::move(*host);
  return {};
}

// Reads the settings file again and logs whether it is invalid or has changed since `aSettings`,
// the last valid settings. Changed settings take effect at the next start of the process.
void
CheckSettingsFile(const std::string& aPath, trefoil::HostSettings& aSettings)
{
  const auto settings = trefoil::ReadHostSettings(aPath);
  if (!settings.ok()) {
    spdlog::warn("the settings file is not valid: {}", std::string{ settings.status().message() });
    return;
  }
  if (*settings != aSettings) {
    aSettings = *settings;
    spdlog::info("the settings have changed; the next start uses them");
  }
}

// Checks the settings file on SIGHUP until SIGTERM or SIGINT arrives. Returns that signal.
int
WaitForStopSignal(const sigset_t& aSignals,
                  const std::string& aPath,
                  trefoil::HostSettings aSettings)
{
  for (;;) {
    const auto signal =
      trefoil::AwaitSignal(aSignals, trefoil::SuspendAwareNow() + kSettingsCheckInterval);
    if (signal.has_value() && trefoil::IsStopSignal(*signal)) {
      return *signal;
    }
    CheckSettingsFile(aPath, aSettings);
  }
}

int
Run(const std::string& aPath, const sigset_t& aSignals)
{
  const trefoil::Instant startedAt = trefoil::SuspendAwareNow();
  SetUpLog();
  trefoil::HostSettings settings;
  std::unique_ptr<trefoil::EntryHost> host;
  const trefoil::StartResult start = trefoil::StartWhenPossible(
    { .mAttempt = [&] { return TryToStart(aPath, startedAt, settings, host); },
      .mOnWait =
        [](const absl::Status& aReason) {
          spdlog::warn("the start is delayed: {}", std::string{ aReason.message() });
        },
      .mSignals = aSignals });
  switch (start.mOutcome) {
    case trefoil::StartOutcome::kFailed:
      std::fprintf(
        stderr, "trefoild: %s\n", std::string{ start.mAttempt.mStatus.message() }.c_str());
      return start.mAttempt.mExitStatus;
    case trefoil::StartOutcome::kStopped:
      spdlog::info("stopped by signal {} before the start", start.mSignal);
      return 0;
    case trefoil::StartOutcome::kStarted:
      break;
  }
  spdlog::info(
    "entry host {} listens on {}", settings.mHost.Value(), trefoil::ToText(settings.mListen));
  const int signal = WaitForStopSignal(aSignals, aPath, settings);
  spdlog::info("stopping after signal {}", signal);
  const std::int64_t requestsInFlight = host->Stop();
  spdlog::info("stopped with {} requests in flight", requestsInFlight);
  return 0;
}

int
CheckSettings(const std::string& aPath)
{
  const auto settings = trefoil::ReadHostSettings(aPath);
  if (!settings.ok()) {
    std::fprintf(stderr, "trefoild: %s\n", std::string{ settings.status().message() }.c_str());
    return trefoil::kExitBadInput;
  }
  std::puts("the settings are valid");
  return 0;
}

} // namespace

// Called by the launcher.
extern "C" int
RunDaemon(int aArgumentCount, char** aArguments)
{
  const sigset_t signals = trefoil::BlockDaemonSignals();
  trefoil::ConfigureAllocator();
  const auto commandLine = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = kVersion }, aArgumentCount, aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  const std::string path = commandLine.mArguments.at("SETTINGS").asString();
  try {
    return commandLine.mArguments.at("--check").asBool() ? CheckSettings(path) : Run(path, signals);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "trefoild: %s\n", error.what());
    return trefoil::kExitFailed;
  }
}
