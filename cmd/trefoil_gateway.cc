// trefoil-gateway, the daemon of an entry host that uses the users' platform.
#include "platform/platform_control_codec.h"
#include "platform/platform_forward_codec.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/eventlog/pipe_sink.h"
#include "trefoil/settings/gateway_settings.h"
#include "trefoil/startup/allocator.h"
#include "trefoil/startup/descriptors.h"
#include "trefoil/startup/signals.h"
#include "trefoil/startup/startup.h"
#include "trefoil/steering/control_thread.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>
#include <spdlog/spdlog.h>
#include <string>
#include <unistd.h>
#include <utility>

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
A port in use and a settings file that is missing or incomplete are waited for.
Exit status: 0 stopped as asked, 1 failed, 2 bad command line or settings.
)";
constexpr const char* kVersion = "trefoil-gateway 0.1.0";
// The host in the log lines of a process that has not read its settings yet.
constexpr const char* kUnknownHost = "-";
// How often the settings file is checked for changes without a SIGHUP.
constexpr trefoil::Milliseconds kSettingsCheckInterval{ 5'000 };
// The process stops this long before the end of its stop notice, after which it is killed.
constexpr trefoil::Milliseconds kStopMargin{ 700 };
// The connections that are reserved for calls to the platform and to other hosts. The traffic
// thread may use the rest of the connection limit.
constexpr std::size_t kReservedConnections = 16;
// The fractions of the platform's allowance beyond a quota that entry hosts use. The rest covers
// updates that arrive late.
constexpr double kQuotaOverageFraction = 0.8;
constexpr double kQuotaSlackFraction = 0.2;
// Revoked API keys must be refused within mRevokeWithin. Requests with a key are refused once the
// configuration is older than that time less this margin, so that no revoked key is accepted late.
constexpr trefoil::Milliseconds kRevokeMargin{ 1'000 };

// Returns the connections that the traffic thread may have open.
std::size_t
MaxConnections(const trefoil::GatewaySettings& aSettings)
{
  const std::size_t system = trefoil::DescriptorLimit();
  const auto stated = static_cast<std::size_t>(aSettings.mMaxDescriptors);
  const std::size_t descriptors = trefoil::DescriptorsLeft(
    { .mMax = stated == 0 ? system : std::min(stated, system),
      .mReserved = static_cast<std::size_t>(aSettings.mReservedDescriptors) });
  return std::min(
    descriptors,
    trefoil::DescriptorsLeft({ .mMax = static_cast<std::size_t>(aSettings.mMaxConnections),
                               .mReserved = kReservedConnections }));
}

trefoil::TrafficOptions
MakeTrafficOptions(const trefoil::GatewaySettings& aSettings)
{
  return { .mHost = aSettings.mHost,
           .mZone = aSettings.mZone,
           .mRegions = { .mOwn = aSettings.mRegion, .mZones = aSettings.mZoneRegions },
           .mListen = aSettings.mListen,
           .mReadiness = aSettings.mReadiness,
           .mMetrics = aSettings.mMetrics,
           .mRelay = aSettings.mPeerListen,
           .mCodec = trefoil::platform::MakeForwardCodec(),
           .mRetries = { .mRatio = aSettings.mRetryRatio,
                         .mSlack = aSettings.mRetrySlack,
                         .mWindow = aSettings.mRetryWindow },
           .mZoneCrossingCost = aSettings.mZoneCrossingCost,
           .mQuotaOverage = kQuotaOverageFraction * aSettings.mQuotaOverage,
           .mQuotaSlack = kQuotaSlackFraction * aSettings.mQuotaSlack,
           .mUsageWindow = aSettings.mUsageWindow,
           .mMaxConfigurationAge = aSettings.mRevokeWithin - kRevokeMargin,
           .mMaxConnections = MaxConnections(aSettings),
           .mMemoryLimits =
             trefoil::LimitsOfMachine(trefoil::MachineMemory(aSettings.mMemoryBytes)) };
}

trefoil::ControlThreadOptions
MakeControlThreadOptions(const trefoil::GatewaySettings& aSettings, trefoil::Metrics& aMetrics)
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
           .mDrainWithin = aSettings.mDrainWithin,
           .mServerNewsWithin = aSettings.mDrainWithin + aSettings.mSettleWithin,
           .mCodec = trefoil::platform::MakeControlCodec(),
           .mMetrics = &aMetrics };
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
    const auto signal =
      trefoil::AwaitSignal(aSignals, trefoil::SuspendAwareNow() + kSettingsCheckInterval);
    if (signal.has_value() && trefoil::IsStopSignal(*signal)) {
      return *signal;
    }
    CheckSettingsFile(aPath, aSettings, aLog);
  }
}

// A gateway that has started, or that waits for what it needs. The members that refer to others
// come after them.
struct Gateway
{
  trefoil::GatewaySettings mSettings{ .mHost = trefoil::HostId{ kUnknownHost } };
  trefoil::EventLog mLog{ kUnknownHost };
  trefoil::Metrics mMetrics;
  std::unique_ptr<trefoil::TrafficThread> mTraffic;
  std::unique_ptr<trefoil::ControlThread> mControl;
};

// Starts the gateway with the present contents of the settings file. After a failure nothing is
// left running.
trefoil::StartAttempt
TryToStart(const std::string& aPath, trefoil::Instant aStartedAt, Gateway& aGateway)
{
  const auto settings = trefoil::ReadGatewaySettings(aPath);
  if (!settings.ok()) {
    return trefoil::SettingsFailure(settings.status(), aStartedAt);
  }
  aGateway.mSettings = *settings;
  aGateway.mLog.SetHost(settings->mHost.Value());
  const trefoil::Instant retryUntil = aStartedAt + settings->mStopNotice;
  const auto peerSocket = trefoil::BindPeerSocket(settings->mPeerListen);
  if (!peerSocket.ok()) {
    return { .mStatus = peerSocket.status(), .mRetryUntil = retryUntil };
  }
  auto traffic =
    trefoil::TrafficThread::Start(MakeTrafficOptions(*settings), aGateway.mLog, aGateway.mMetrics);
  if (!traffic.ok()) {
    return { .mStatus = traffic.status(), .mRetryUntil = retryUntil };
  }
  auto control = trefoil::ControlThread::Start(
    MakeControlThreadOptions(*settings, aGateway.mMetrics), *peerSocket, **traffic, aGateway.mLog);
  if (!control.ok()) {
    return { .mStatus = control.status(), .mRetryUntil = retryUntil };
  }
  aGateway.mTraffic = std::move(*traffic);
  aGateway.mControl = std::move(*control);
  return {};
}

int
Stop(Gateway& aGateway, int aSignal)
{
  const trefoil::Instant deadline =
    trefoil::SuspendAwareNow() + aGateway.mSettings.mStopNotice - kStopMargin;
  aGateway.mLog.Write(
    trefoil::LogSeverity::kNotable, trefoil::LogEvent::kStop, "signal={} state=begun", aSignal);
  aGateway.mControl->Leave();
  const int cutOff = aGateway.mTraffic->Stop(deadline);
  aGateway.mControl->SendLastReport(aGateway.mTraffic->FinalReport());
  aGateway.mLog.Write(
    trefoil::LogSeverity::kNotable, trefoil::LogEvent::kStop, "state=ended cut_off={}", cutOff);
  return 0;
}

int
Run(const std::string& aPath, const sigset_t& aSignals)
{
  const trefoil::Instant startedAt = trefoil::SuspendAwareNow();
  // Packages without access to the event log write to spdlog's default logger, which must not block
  // on a slow reader of stdout either.
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
    "gateway", std::make_shared<trefoil::PipeSink>(STDOUT_FILENO)));
  Gateway gateway;
  const trefoil::StartResult start =
    trefoil::StartWhenPossible({ .mAttempt = [&] { return TryToStart(aPath, startedAt, gateway); },
                                 .mOnWait =
                                   [&gateway](const absl::Status& aReason) {
                                     gateway.mLog.Write(trefoil::LogSeverity::kNotable,
                                                        trefoil::LogEvent::kStartDelayed,
                                                        "reason=\"{}\"",
                                                        std::string{ aReason.message() });
                                   },
                                 .mSignals = aSignals });
  switch (start.mOutcome) {
    case trefoil::StartOutcome::kFailed:
      std::fprintf(
        stderr, "trefoil-gateway: %s\n", std::string{ start.mAttempt.mStatus.message() }.c_str());
      return start.mAttempt.mExitStatus;
    case trefoil::StartOutcome::kStopped:
      gateway.mLog.Write(trefoil::LogSeverity::kNotable,
                         trefoil::LogEvent::kStop,
                         "signal={} state=ended cut_off=0",
                         start.mSignal);
      return 0;
    case trefoil::StartOutcome::kStarted:
      break;
  }
  gateway.mLog.Write(trefoil::LogSeverity::kNotable,
                     trefoil::LogEvent::kStart,
                     "zone={} listen={} store={}",
                     gateway.mSettings.mZone.Value(),
                     trefoil::ToText(gateway.mSettings.mListen),
                     trefoil::ToText(gateway.mSettings.mStore));
  return Stop(gateway, WaitForStopSignal(aSignals, aPath, gateway.mSettings, gateway.mLog));
}

int
CheckSettings(const std::string& aPath)
{
  const auto settings = trefoil::ReadGatewaySettings(aPath);
  if (!settings.ok()) {
    std::fprintf(
      stderr, "trefoil-gateway: %s\n", std::string{ settings.status().message() }.c_str());
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
    std::fprintf(stderr, "trefoil-gateway: %s\n", error.what());
    return trefoil::kExitFailed;
  }
}
