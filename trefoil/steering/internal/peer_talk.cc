#include "trefoil/steering/internal/peer_talk.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/relaying.h"
#include "trefoil/wire/codec.h"
#include "trefoil/wire/crash_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <utility>

namespace trefoil {
namespace {

// Dispatches of other hosts that come within this are taken in at once.
constexpr Milliseconds kGatherHeard{ 10 };
// Crashes are repeated in the news for so long, since a message may be lost.
constexpr Milliseconds kRepeatCrashes{ 3'000 };
// Windows of usage in a message: the running one and those that may still be counted.
constexpr std::size_t kUsageWindowsSent = 3;
constexpr int kMaxDatagram = 65'507;

TrafficUpdate
MakeNews(ControlState& aState)
{
  const Instant now = SuspendAwareNow();
  TrafficUpdate news{ .mHost = aState.mOptions.mHost,
                      .mIncarnation = aState.mIncarnation,
                      .mSequence = ++aState.mSequence,
                      .mEndpoint = aState.mOptions.mPeerEndpoint,
                      .mZone = aState.mOptions.mZone,
                      .mWallMs = UnixMilliseconds(WallNow()),
                      .mHoldsDuties = aState.mHoldsDuties,
                      .mLeaving = aState.mLeaving,
                      .mBroken = aState.mReport.mBroken };
  for (const auto& [account, used] : aState.mReport.mQuotaUsed) {
    news.mQuotas.push_back(
      { .mAccount = account, .mUsed = static_cast<std::uint64_t>(std::max(0.0, used.mTotal)) });
  }
  std::size_t windows = 0;
  for (auto window = aState.mReport.mUsage.rbegin();
       window != aState.mReport.mUsage.rend() && windows < kUsageWindowsSent;
       ++window, ++windows) {
    for (const auto& [account, requests] : window->second) {
      news.mUsage.push_back(
        { .mWindow = window->first, .mAccount = account, .mRequests = requests });
    }
  }
  while (!aState.mCrashes.empty() && now - aState.mCrashes.front().first > kRepeatCrashes) {
    aState.mCrashes.pop_front();
  }
  for (const auto& [seenAt, crash] : aState.mCrashes) {
    news.mCrashes.push_back(ToCrashReport(crash));
  }
  for (const auto& [service, tokens] : aState.mReport.mPromptTokens) {
    news.mServices.push_back(
      { .mService = service, .mPromptTokens = static_cast<std::uint64_t>(tokens) });
  }
  if (!aState.mMoves.mMoves.empty()) {
    for (const auto& [service, versions] : aState.mReport.mOutcomes) {
      for (const auto& [version, outcomes] : versions) {
        news.mVersions.push_back({ .mService = service,
                                   .mVersion = version,
                                   .mServed = outcomes.mServed,
                                   .mFailed = outcomes.mFailed,
                                   .mLatencyMs = outcomes.mLatencyMs });
      }
    }
  }
  return news;
}

void
TakeNewsOf(ControlState& aState, const TrafficUpdate& aUpdate)
{
  const bool unknown = IsUnknown(aState.mPeers, aUpdate);
  const PeerUpdate added = TakeNews(aState.mPeers, aUpdate, SuspendAwareNow());
  NoteClock(aState.mPeers, aUpdate, WallNow());
  if (aUpdate.mHoldsDuties && aUpdate.mHost != aState.mOptions.mHost) {
    OnHolderHeard(aState);
  }
  for (const auto& [account, used] : added.mQuotaUsed) {
    aState.mPeerUpdate.mQuotaUsed[account] += used;
  }
  aState.mPeerUpdate.mCrashes.insert(
    aState.mPeerUpdate.mCrashes.end(), added.mCrashes.begin(), added.mCrashes.end());
  if (unknown) {
    // A host that has just started learns of this one at once.
    SendNews(aState);
  }
}

// Passes on what comes in a short time at once, so that the traffic thread wakes up less often.
void
TakeDispatches(ControlState& aState, const DispatchUpdate& aUpdate)
{
  if (aState.mHeardDispatches.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kGatherHeard, [&aState] {
      aState.mTraffic.TakeDispatches(std::exchange(aState.mHeardDispatches, {}));
    });
  }
  aState.mHeardDispatches.insert(
    aState.mHeardDispatches.end(), aUpdate.mDispatches.begin(), aUpdate.mDispatches.end());
}

void
TakeDatagram(ControlState& aState, std::string_view aBytes)
{
  const auto message = Decode(aBytes);
  if (!message.ok()) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"{}\"",
                      aBytes.size(),
                      std::string{ message.status().message() });
    return;
  }
  if (const auto* news = std::get_if<TrafficUpdate>(&*message)) {
    TakeNewsOf(aState, *news);
  } else if (const auto* query = std::get_if<StoreQuery>(&*message)) {
    OnStoreQuery(aState, *query);
  } else if (const auto* reply = std::get_if<StoreReply>(&*message)) {
    OnStoreReply(aState, *reply);
  } else if (const auto* dispatches = std::get_if<DispatchUpdate>(&*message)) {
    TakeDispatches(aState, *dispatches);
  } else {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"not for a gateway\"",
                      aBytes.size());
  }
}

} // namespace

void
SendNews(ControlState& aState)
{
  TrafficUpdate news = MakeNews(aState);
  const std::string whole = Encode(news);
  news.mUsage.clear();
  const std::string withoutUsage = Encode(news);
  // The usage of a holder is kept by all, since none tells it on.
  for (const auto& [to, wantsUsage] :
       Recipients(aState.mPeers, aState.mOptions.mZone, SuspendAwareNow())) {
    SendBytes(aState, to, wantsUsage || aState.mHoldsDuties ? whole : withoutUsage);
  }
}

void
SendDispatches(ControlState& aState, std::vector<DispatchNote> aDispatches)
{
  const std::string bytes =
    Encode(DispatchUpdate{ .mHost = aState.mOptions.mHost, .mDispatches = std::move(aDispatches) });
  for (const auto& [to, wantsUsage] :
       Recipients(aState.mPeers, aState.mOptions.mZone, SuspendAwareNow())) {
    SendBytes(aState, to, bytes);
  }
}

void
ReadPeers(ControlState& aState)
{
  std::array<char, kMaxDatagram> buffer{};
  try {
    while (aState.mPeerSocket.poll(Poco::Timespan{ 0 }, Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::SocketAddress sender;
      const int count =
        aState.mPeerSocket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
      if (count > 0) {
        TakeDatagram(aState, { buffer.data(), static_cast<std::size_t>(count) });
      }
    }
  } catch (const Poco::Exception& error) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kInputRejected,
                      "input=news reason=\"{}\"",
                      error.displayText());
  }
}

} // namespace trefoil
