// The daemon of an entry host on the platform.
#include "platform/forward_codec.h"
#include "platform/platform_codec.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/eventlog/pipe_sink.h"
#include "trefoil/settings/gateway_settings.h"
#include "trefoil/steering/control_thread.h"

#include <csignal>
#include <cstdio>
#include <ctime>
#include <pthread.h>
#include <spdlog/spdlog.h>
#include <string>
#include <unistd.h>

namespace {

constexpr const char* kUsage = R"(trefoil-gateway, an entry host of trefoillb on the platform.

Usage:
  trefoil-gateway [--check] SETTINGS
  trefoil-gateway --help
  trefoil-gateway --version

Options:
  --check    Check the settings file and stop.
  --help     Show this page.
  --version  Show the version.

SIGTERM and SIGINT stop it without cutting off a request, SIGHUP reads the settings file again.
Exit status: 0 stopped as asked, 1 failed, 2 bad command line or settings.
)";
constexpr const char* kVersion = "trefoil-gateway 0.1.0";
constexpr int kExitFailed = 1;
// The settings file is looked at so often for changes that no signal told of.
constexpr timespec kSettingsCheck{ .tv_sec = 5, .tv_nsec = 0 };
// The process ends so long before it would be killed.
constexpr trefoil::Milliseconds kStopMargin{ 700 };
// Calls to the platform and among hosts have connections of their own.
constexpr std::int64_t kOtherConnections = 16;
// The parts of what the platform allows beyond a quota that hosts use; the rest is for news that
// come late.
constexpr double kQuotaOverageUsed = 0.8;
constexpr double kQuotaSlackUsed = 0.2;
// A request with a key is refused this long before its key might be refused late.
constexpr trefoil::Milliseconds kRevokeMargin{ 1'000 };

trefoil::TrafficOptions
TrafficOptionsOf(const trefoil::GatewaySettings& aSettings)
{
  return { .mHost = aSettings.mHost,
           .mZone = aSettings.mZone,
           .mListen = aSettings.mListen,
           .mReadiness = aSettings.mReadiness,
           .mMetrics = aSettings.mMetrics,
           .mCodec = trefoil::platform::MakeForwardCodec(),
           .mRetries = { .mRatio = aSettings.mRetryRatio,
                         .mSlack = aSettings.mRetrySlack,
                         .mWindow = aSettings.mRetryWindow },
           .mQuotaOverage = kQuotaOverageUsed * aSettings.mQuotaOverage,
           .mQuotaSlack = kQuotaSlackUsed * aSettings.mQuotaSlack,
           .mUsageWindow = aSettings.mUsageWindow,
           .mMaxConfigurationAge = aSettings.mRevokeWithin - kRevokeMargin,
           .mMaxConnections =
             static_cast<std::size_t>(aSettings.mMaxConnections - kOtherConnections) };
}

trefoil::ControlThreadOptions
ControlThreadOptionsOf(const trefoil::GatewaySettings& aSettings)
{
  return { .mHost = aSettings.mHost,
           .mZone = aSettings.mZone,
           .mPeerEndpoint = aSettings.mPeerListen,
           .mZones = aSettings.mZones,
           .mStore = aSettings.mStore,
           .mCloud = aSettings.mCloud,
           .mReportsUsage = aSettings.mReportsUsage,
           .mOrdersServers = aSettings.mOrdersServers,
           .mUsageWindow = aSettings.mUsageWindow,
           .mUsageLateAfter = aSettings.mUsageLateAfter,
           .mCodec = trefoil::platform::MakePlatformCodec() };
}

// Blocks the signals that the daemon waits for in this thread and in those it will start.
sigset_t
BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Reads the settings again. A change takes effect at the next start, except that a wrong file is
// told.
void
Reload(const std::string& aPath, trefoil::GatewaySettings& aSettings, trefoil::EventLog& aLog)
{
  const auto settings = trefoil::ReadGatewaySettings(aPath);
  if (!settings.ok()) {
    aLog.Write(trefoil::LogSeverity::kNotable,
               trefoil::LogEvent::kReload,
               "outcome=refused reason=\"{}\"",
               std::string{ settings.status().message() });
    return;
  }
  if (*settings == aSettings) {
    return;
  }
  aSettings = *settings;
  aLog.Write(trefoil::LogSeverity::kNotable, trefoil::LogEvent::kReload, "outcome=noted");
}

// Waits until the process is asked to stop. Returns the signal that asked.
int
WaitForStop(const sigset_t& aSignals,
            const std::string& aPath,
            trefoil::GatewaySettings aSettings,
            trefoil::EventLog& aLog)
{
  for (;;) {
    const int signal = sigtimedwait(&aSignals, nullptr, &kSettingsCheck);
    if (signal == SIGTERM || signal == SIGINT) {
      return signal;
    }
    Reload(aPath, aSettings, aLog);
  }
}

int
Run(const std::string& aPath, const trefoil::GatewaySettings& aSettings)
{
  const sigset_t signals = BlockSignals();
  // Lines of parts that have no event log must not wait for a reader either.
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
    "gateway", std::make_shared<trefoil::PipeSink>(STDOUT_FILENO)));
  trefoil::EventLog log{ aSettings.mHost.Value() };
  trefoil::Metrics metrics;
  const auto traffic = trefoil::TrafficThread::Start(TrafficOptionsOf(aSettings), log, metrics);
  if (!traffic.ok()) {
    std::fprintf(
      stderr, "trefoil-gateway: %s\n", std::string{ traffic.status().message() }.c_str());
    return kExitFailed;
  }
  const auto control =
    trefoil::ControlThread::Start(ControlThreadOptionsOf(aSettings), **traffic, log);
  if (!control.ok()) {
    std::fprintf(
      stderr, "trefoil-gateway: %s\n", std::string{ control.status().message() }.c_str());
    return kExitFailed;
  }
  log.Write(trefoil::LogSeverity::kNotable,
            trefoil::LogEvent::kStart,
            "zone={} listen={} store={}",
            aSettings.mZone.Value(),
            trefoil::ToText(aSettings.mListen),
            trefoil::ToText(aSettings.mStore));
  const int signal = WaitForStop(signals, aPath, aSettings, log);
  const trefoil::Instant deadline =
    trefoil::SuspendAwareNow() + aSettings.mStopNotice - kStopMargin;
  log.Write(
    trefoil::LogSeverity::kNotable, trefoil::LogEvent::kStop, "signal={} state=begun", signal);
  (*control)->Leave();
  const int cutOff = (*traffic)->Stop(deadline);
  (*control)->SendLastReport((*traffic)->FinalReport());
  log.Write(
    trefoil::LogSeverity::kNotable, trefoil::LogEvent::kStop, "state=ended cut_off={}", cutOff);
  return 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line =
    trefoil::ParseCommandLine({ .mUsage = kUsage, .mVersion = kVersion }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  const std::string path = line.mArguments.at("SETTINGS").asString();
  const auto settings = trefoil::ReadGatewaySettings(path);
  if (!settings.ok()) {
    std::fprintf(
      stderr, "trefoil-gateway: %s\n", std::string{ settings.status().message() }.c_str());
    return trefoil::kExitBadInput;
  }
  if (line.mArguments.at("--check").asBool()) {
    std::puts("the settings are good");
    return 0;
  }
  return Run(path, *settings);
}
