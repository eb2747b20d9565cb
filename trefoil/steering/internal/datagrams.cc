#include "trefoil/steering/internal/datagrams.h"

#include "trefoil/wire/codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace trefoil {
namespace {

// The totals of a round are sent in this number of slices, which are this far apart. Together they
// take half of the update interval of fleets that use aggregation.
constexpr std::size_t kTotalsSlices = 10;
constexpr Milliseconds kSliceInterval{ 25 };

// Sends the next slice of the totals that wait and schedules the one after it. A scheduled call
// that finds none waiting has no effect.
void
SendTotalsSlice(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  for (std::size_t i = 0; i < aState.mTotalsPerSlice && !aState.mWaitingTotals.empty(); ++i) {
    auto& [madeAt, datagram] = aState.mWaitingTotals.front();
    if (auto* totals = std::get_if<TotalsMessage>(&datagram.mMessage)) {
      // Receivers derive the offset of their clock from it when they get it.
      totals->mWallMs += std::chrono::duration_cast<Milliseconds>(now - madeAt).count();
    }
    SendDatagram(aState, datagram.mTo, datagram.mMessage);
    aState.mWaitingTotals.pop_front();
  }
  aState.mSendsTotals = !aState.mWaitingTotals.empty();
  if (aState.mSendsTotals) {
    aState.mLoop.CallAt(now + kSliceInterval, [&aState] { SendTotalsSlice(aState); });
  }
}

} // namespace

void
SendBytes(SteeringState& aState, const Endpoint& aTo, std::string_view aBytes)
{
  try {
    aState.mPeerSocket.sendTo(aBytes.data(),
                              static_cast<int>(aBytes.size()),
                              Poco::Net::SocketAddress{ aTo.mAddress, aTo.mPort });
  } catch (const Poco::Exception& error) {
    aState.mLog.Write(LogSeverity::kRoutine,
                      LogEvent::kInputRejected,
                      "input=message_to peer={} reason=\"{}\"",
                      ToText(aTo),
                      error.displayText());
  }
}

void
SendDatagram(SteeringState& aState, const Endpoint& aTo, const Message& aMessage)
{
  SendBytes(aState, aTo, Encode(aMessage));
}

void
SendTotals(SteeringState& aState, const Datagrams& aTotals)
{
  const Instant now = SuspendAwareNow();
  for (const Datagram& datagram : aTotals) {
    aState.mWaitingTotals.emplace_back(now, datagram);
  }
  const std::size_t waiting = aState.mWaitingTotals.size();
  aState.mTotalsPerSlice =
    aState.mLeaving ? waiting : (waiting + kTotalsSlices - 1) / kTotalsSlices;
  if (aState.mLeaving || !aState.mSendsTotals) {
    SendTotalsSlice(aState);
  }
}

FirstRecipients
FirstRecipientsOf(const SteeringState& aState, Instant aNow)
{
  FirstRecipients first;
  if (!UsesAggregation(aState.mPeers)) {
    for (const auto& [endpoint, recipient] : TrafficUpdateRecipients(aState.mPeers, aNow)) {
      first.mEndpoints.insert(endpoint);
    }
    return first;
  }
  const RelayRecipients recipients = RelayRecipientsOf(aState.mPeers, aState.mAggregation, aNow);
  return { .mIsAggregator = recipients.mIsAggregator,
           .mEndpoints = recipients.mAggregators,
           .mStage = RelayStage::kZoneAggregators };
}

} // namespace trefoil
