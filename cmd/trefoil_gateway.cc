// trefoil-gateway, the daemon of an entry host that uses the users' platform.
#include "platform/platform_control_codec.h"
#include "platform/platform_forward_codec.h"
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
// How often the settings file is checked for changes without a SIGHUP.
constexpr timespec kSettingsCheckInterval{ .tv_sec = 5, .tv_nsec = 0 };
// The process stops this long before the end of its stop notice, after which it is killed.
constexpr trefoil::Milliseconds kStopMargin{ 700 };
// The connections that are reserved for calls to the platform and to other hosts. The traffic
// thread may use the rest of the connection limit.
constexpr std::int64_t kReservedConnections = 16;
// The fractions of the platform's allowance beyond a quota that entry hosts use. The rest covers
// updates that arrive late.
constexpr double kQuotaOverageFraction = 0.8;
constexpr double kQuotaSlackFraction = 0.2;
// Revoked API keys must be refused within mRevokeWithin. Requests with a key are refused once the
// configuration is older than that time less this margin, so that no revoked key is accepted late.
constexpr trefoil::Milliseconds kRevokeMargin{ 1'000 };

trefoil::TrafficOptions
MakeTrafficOptions(const trefoil::GatewaySettings& aSettings)
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
           .mQuotaOverage = kQuotaOverageFraction * aSettings.mQuotaOverage,
           .mQuotaSlack = kQuotaSlackFraction * aSettings.mQuotaSlack,
           .mUsageWindow = aSettings.mUsageWindow,
           .mMaxConfigurationAge = aSettings.mRevokeWithin - kRevokeMargin,
           .mMaxConnections =
             static_cast<std::size_t>(aSettings.mMaxConnections - kReservedConnections) };
}

trefoil::ControlThreadOptions
MakeControlThreadOptions(const trefoil::GatewaySettings& aSettings)
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
           .mServerNewsWithin = aSettings.mDrainWithin + aSettings.mSettleWithin,
           .mCodec = trefoil::platform::MakeControlCodec() };
}

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in the threads that it starts later, so that
// sigtimedwait receives them, and ignores SIGPIPE. Returns the blocked signals.
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

// Reads the settings file again and logs whether it is invalid or has changed since `aSettings`,
// the last valid settings. Changed settings take effect at the next start of the process.
void
CheckSettingsFile(const std::string& aPath,
                  trefoil::GatewaySettings& aSettings,
                  trefoil::EventLog& aLog)
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

// Checks the settings file every kSettingsCheckInterval and on SIGHUP until SIGTERM or SIGINT
// arrives. Returns that signal.
int
WaitForStopSignal(const sigset_t& aSignals,
                  const std::string& aPath,
                  trefoil::GatewaySettings aSettings,
                  trefoil::EventLog& aLog)
{
  for (;;) {
    const int signal = sigtimedwait(&aSignals, nullptr, &kSettingsCheckInterval);
    if (signal == SIGTERM || signal == SIGINT) {
      return signal;
    }
    CheckSettingsFile(aPath, aSettings, aLog);
  }
}

int
Run(const std::string& aPath, const trefoil::GatewaySettings& aSettings)
{
  const sigset_t signals = BlockSignals();
  // Packages without access to the event log write to spdlog's default logger, which must not block
  // on a slow reader of stdout either.
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
    "gateway", std::make_shared<trefoil::PipeSink>(STDOUT_FILENO)));
  trefoil::EventLog log{ aSettings.mHost.Value() };
  trefoil::Metrics metrics;
  const auto traffic = trefoil::TrafficThread::Start(MakeTrafficOptions(aSettings), log, metrics);
  if (!traffic.ok()) {
    std::fprintf(
      stderr, "trefoil-gateway: %s\n", std::string{ traffic.status().message() }.c_str());
    return kExitFailed;
  }
  const auto control =
    trefoil::ControlThread::Start(MakeControlThreadOptions(aSettings), **traffic, log);
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
  const int signal = WaitForStopSignal(signals, aPath, aSettings, log);
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
main(int aArgumentCount, char** aArguments)
{
  const auto commandLine = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = kVersion }, aArgumentCount, aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  const std::string path = commandLine.mArguments.at("SETTINGS").asString();
  const auto settings = trefoil::ReadGatewaySettings(path);
  if (!settings.ok()) {
    std::fprintf(
      stderr, "trefoil-gateway: %s\n", std::string{ settings.status().message() }.c_str());
    return trefoil::kExitBadInput;
  }
  if (commandLine.mArguments.at("--check").asBool()) {
    std::puts("the settings are valid");
    return 0;
  }
  return Run(path, *settings);
}
