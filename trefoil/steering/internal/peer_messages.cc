#include "trefoil/steering/internal/peer_messages.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/store_relay_messages.h"
#include "trefoil/wire/codec.h"
#include "trefoil/wire/crash_report_conversion.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <utility>

namespace trefoil {
namespace {

// Dispatches of other hosts that arrive within this time are posted to the traffic thread
// together.
constexpr Milliseconds kDispatchBatchDelay{ 10 };
// A crash is repeated in the updates for this long, since a datagram can be lost.
constexpr Milliseconds kCrashRepeatTime{ 3'000 };
// Usage windows in an update: the current one and those whose counts may still change.
constexpr std::size_t kUsageWindowsSent = 3;
constexpr int kMaxDatagramBytes = 65'507;

TrafficUpdate
MakeTrafficUpdate(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  TrafficUpdate update{ .mHost = aState.mOptions.mHost,
                        .mIncarnation = aState.mIncarnation,
                        .mSequence = ++aState.mSequence,
                        .mEndpoint = aState.mOptions.mPeerEndpoint,
                        .mZone = aState.mOptions.mZone,
                        .mWallMs = UnixMilliseconds(WallNow()),
                        .mHoldsDuties = aState.mHoldsDuties,
                        .mLeaving = aState.mLeaving,
                        .mBroken = aState.mReport.mBroken };
  for (const auto& [account, used] : aState.mReport.mQuotaUsed) {
    update.mQuotas.push_back(
      { .mAccount = account, .mUsed = static_cast<std::uint64_t>(std::max(0.0, used.mTotal)) });
  }
  std::size_t windows = 0;
  for (auto window = aState.mReport.mUsage.rbegin();
       window != aState.mReport.mUsage.rend() && windows < kUsageWindowsSent;
       ++window, ++windows) {
    for (const auto& [account, requests] : window->second) {
      update.mUsage.push_back(
        { .mWindow = window->first, .mAccount = account, .mRequests = requests });
    }
  }
  while (!aState.mCrashes.empty() && now - aState.mCrashes.front().first > kCrashRepeatTime) {
    aState.mCrashes.pop_front();
  }
  for (const auto& [seenAt, crash] : aState.mCrashes) {
    update.mCrashes.push_back(ToCrashReport(crash));
  }
  for (const auto& [service, tokens] : aState.mReport.mPromptTokens) {
    update.mServices.push_back(
      { .mService = service, .mPromptTokens = static_cast<std::uint64_t>(tokens) });
  }
  if (!aState.mMoves.mMoves.empty()) {
    for (const auto& [service, versions] : aState.mReport.mOutcomes) {
      for (const auto& [version, outcomes] : versions) {
        update.mVersions.push_back({ .mService = service,
                                     .mVersion = version,
                                     .mServed = outcomes.mServed,
                                     .mFailed = outcomes.mFailed,
                                     .mLatencyMs = outcomes.mLatencyMs });
      }
    }
  }
  return update;
}

void
OnTrafficUpdate(SteeringState& aState, const TrafficUpdate& aUpdate)
{
  const bool isNewIncarnation = IsNewIncarnation(aState.mPeers, aUpdate);
  const PeerUpdate added = ApplyTrafficUpdate(aState.mPeers, aUpdate, SuspendAwareNow());
  RecordPeerClock(aState.mPeers, aUpdate, WallNow());
  if (aUpdate.mHoldsDuties && aUpdate.mHost != aState.mOptions.mHost) {
    OnHolderSeen(aState);
  }
  for (const auto& [account, used] : added.mQuotaUsed) {
    aState.mPeerUpdate.mQuotaUsed[account] += used;
  }
  aState.mPeerUpdate.mCrashes.insert(
    aState.mPeerUpdate.mCrashes.end(), added.mCrashes.begin(), added.mCrashes.end());
  if (isNewIncarnation) {
    // A host that has just started gets an update of this one without waiting for the next
    // interval.
    SendTrafficUpdate(aState);
  }
}

// Batches the dispatches that arrive within kDispatchBatchDelay, so that the traffic thread
// wakes up less often.
void
OnDispatchUpdate(SteeringState& aState, const DispatchUpdate& aUpdate)
{
  if (aState.mReceivedDispatches.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kDispatchBatchDelay, [&aState] {
      aState.mTraffic.ApplyDispatches(std::exchange(aState.mReceivedDispatches, {}));
    });
  }
  aState.mReceivedDispatches.insert(
    aState.mReceivedDispatches.end(), aUpdate.mDispatches.begin(), aUpdate.mDispatches.end());
}

void
OnDatagram(SteeringState& aState, std::string_view aBytes)
{
  const auto message = Decode(aBytes);
  if (!message.ok()) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"{}\"",
                      aBytes.size(),
                      std::string{ message.status().message() });
    return;
  }
  if (const auto* update = std::get_if<TrafficUpdate>(&*message)) {
    OnTrafficUpdate(aState, *update);
  } else if (const auto* query = std::get_if<StoreQuery>(&*message)) {
    OnStoreQuery(aState, *query);
  } else if (const auto* reply = std::get_if<StoreReply>(&*message)) {
    OnStoreReply(aState, *reply);
  } else if (const auto* dispatches = std::get_if<DispatchUpdate>(&*message)) {
    OnDispatchUpdate(aState, *dispatches);
  } else {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"not for a gateway\"",
                      aBytes.size());
  }
}

} // namespace

void
SendTrafficUpdate(SteeringState& aState)
{
  TrafficUpdate update = MakeTrafficUpdate(aState);
  const std::string withUsage = Encode(update);
  update.mUsage.clear();
  const std::string withoutUsage = Encode(update);
  // The usage of the holder itself is sent to all hosts, since no other host forwards it.
  for (const auto& [to, needsUsage] :
       TrafficUpdateRecipients(aState.mPeers, aState.mOptions.mZone, SuspendAwareNow())) {
    SendBytes(aState, to, needsUsage || aState.mHoldsDuties ? withUsage : withoutUsage);
  }
}

void
SendDispatches(SteeringState& aState, std::vector<DispatchReport> aDispatches)
{
  const std::string bytes =
    Encode(DispatchUpdate{ .mHost = aState.mOptions.mHost, .mDispatches = std::move(aDispatches) });
  for (const auto& [to, needsUsage] :
       TrafficUpdateRecipients(aState.mPeers, aState.mOptions.mZone, SuspendAwareNow())) {
    SendBytes(aState, to, bytes);
  }
}

void
ReadPeerMessages(SteeringState& aState)
{
  std::array<char, kMaxDatagramBytes> buffer{};
  try {
    while (aState.mPeerSocket.poll(Poco::Timespan{ 0 }, Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::SocketAddress sender;
      const int count =
        aState.mPeerSocket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
      if (count > 0) {
        OnDatagram(aState, { buffer.data(), static_cast<std::size_t>(count) });
      }
    }
  } catch (const Poco::Exception& error) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=news reason=\"{}\"",
                      error.displayText());
  }
}

} // namespace trefoil
