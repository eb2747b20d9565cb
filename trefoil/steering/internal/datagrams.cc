#include "trefoil/steering/internal/datagrams.h"

#include "trefoil/wire/codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Totals are sent in this number of slices at this interval, together half of the update interval.
constexpr std::size_t kTotalsSlices = 10;
constexpr Milliseconds kSliceInterval{ 25 };

// Sends the next slice of the totals that wait, and the following ones later.
void
SendTotalsSlice(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  for (std::size_t i = 0; i < aState.mTotalsPerSlice && !aState.mWaitingTotals.empty(); ++i) {
    auto& [madeAt, datagram] = aState.mWaitingTotals.front();
    if (auto* totals = std::get_if<TotalsMessage>(&datagram.mMessage)) {
      // The receivers read their clock offset from it.
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

} // namespace trefoil
