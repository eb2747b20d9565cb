#include "trefoil/request/stream_buffer.h"

namespace trefoil {

AppendResult
Append(StreamBuffer& aBuffer, const BufferedToken& aToken)
{
  if (aBuffer.mState == StreamState::kHandingOver) {
    return AppendResult::kHandOverPending;
  }
  const auto next = static_cast<std::int64_t>(aBuffer.mTokens.size());
  if (aBuffer.mState != StreamState::kRunning || aToken.mIndex != next) {
    return AppendResult::kRefused;
  }
  aBuffer.mTokens.emplace_back(aToken.mText);
  aBuffer.mBytes += static_cast<std::int64_t>(aToken.mText.size());
  aBuffer.mFinishReason = aToken.mFinishReason;
  return AppendResult::kAppended;
}

void
Complete(StreamBuffer& aBuffer)
{
  if (aBuffer.mState == StreamState::kRunning && !aBuffer.mFinishReason.empty()) {
    aBuffer.mState = StreamState::kComplete;
  }
}

void
Fail(StreamBuffer& aBuffer, const Failure& aFailure)
{
  if (aBuffer.mState == StreamState::kRunning) {
    aBuffer.mState = StreamState::kFailed;
    aBuffer.mFailure = aFailure;
  }
}

bool
BeginHandOver(StreamBuffer& aBuffer)
{
  // A stream whose last token is appended completes on this host without a hand-over.
  if (aBuffer.mState != StreamState::kRunning || !aBuffer.mFinishReason.empty()) {
    return false;
  }
  aBuffer.mState = StreamState::kHandingOver;
  return true;
}

void
EndHandOver(StreamBuffer& aBuffer, HandOverOutcome aOutcome, const HostId& aHost)
{
  if (aBuffer.mState != StreamState::kHandingOver || aOutcome == HandOverOutcome::kUnknown) {
    return;
  }
  if (aOutcome == HandOverOutcome::kRefused) {
    aBuffer.mState = StreamState::kRunning;
    return;
  }
  aBuffer.mState = StreamState::kHandedOver;
  aBuffer.mHandedTo = aHost;
}

bool
HasEnded(const StreamBuffer& aBuffer)
{
  return aBuffer.mState != StreamState::kRunning && aBuffer.mState != StreamState::kHandingOver;
}

} // namespace trefoil
