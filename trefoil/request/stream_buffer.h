// Buffers the tokens of one response on the host that generates it, so that a caller can reconnect
// to the stream, and tracks the hand-over of the stream to another host.
//
//   StreamBuffer buffer;
//   Append(buffer, { .mIndex = 0, .mText = "a" });
//   if (BeginHandOver(buffer)) { ... send buffer.mTokens ...; EndHandOver(buffer, outcome, host); }
//
// No token is appended while a hand-over is pending or after it succeeded, so the tokens sent to
// the other host include every token that a caller can have received. Plain data and pure
// functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/base/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

enum class StreamState
{
  kRunning,
  // Another host was requested to continue the stream; the hand-over is pending.
  kHandingOver,
  // Another host continues the stream.
  kHandedOver,
  kComplete,
  kFailed,
};

inline constexpr NameTable<StreamState, 5> kStreamStateNames{ {
  { StreamState::kRunning, "running" },
  { StreamState::kHandingOver, "handing_over" },
  { StreamState::kHandedOver, "handed_over" },
  { StreamState::kComplete, "complete" },
  { StreamState::kFailed, "failed" },
} };

// A token to append to a buffer.
struct BufferedToken
{
  std::int64_t mIndex = 0;
  std::string_view mText;
  // Empty except for the last token.
  std::string_view mFinishReason;
};

struct StreamBuffer
{
  StreamState mState = StreamState::kRunning;
  std::vector<std::string> mTokens;
  std::int64_t mBytes = 0;
  std::string mFinishReason;
  // The cause if mState is kFailed.
  Failure mFailure;
  // The host that continues the stream if mState is kHandedOver.
  HostId mHandedTo;
};

enum class AppendResult
{
  kAppended,
  // A hand-over is pending. Append the token again after the hand-over has ended.
  kHandOverPending,
  // The stream has ended on this host, or the token is out of order.
  kRefused,
};

inline constexpr NameTable<AppendResult, 3> kAppendResultNames{ {
  { AppendResult::kAppended, "kept" },
  { AppendResult::kHandOverPending, "wait" },
  { AppendResult::kRefused, "refused" },
} };

enum class HandOverOutcome
{
  // The other host continues the stream.
  kAccepted,
  // The other host does not continue the stream.
  kRefused,
  // The other host may continue the stream. Send the hand-over to the same host again.
  kUnknown,
};

inline constexpr NameTable<HandOverOutcome, 3> kHandOverOutcomeNames{ {
  { HandOverOutcome::kAccepted, "taken" },
  { HandOverOutcome::kRefused, "refused" },
  { HandOverOutcome::kUnknown, "unknown" },
} };

// Appends `aToken` if the stream is running and the token is the next one.
AppendResult
Append(StreamBuffer& aBuffer, const BufferedToken& aToken);

// Marks a running stream as complete if its last token has been appended. Otherwise does nothing.
void
Complete(StreamBuffer& aBuffer);

// Marks a running stream as failed. Does nothing if it is not running.
void
Fail(StreamBuffer& aBuffer, const Failure& aFailure);

// Starts a hand-over and returns true if the stream is running and its last token is not yet
// appended. Otherwise returns false.
bool
BeginHandOver(StreamBuffer& aBuffer);

// Records the outcome of a hand-over to `aHost`. After kUnknown the hand-over remains pending.
void
EndHandOver(StreamBuffer& aBuffer, HandOverOutcome aOutcome, const HostId& aHost);

// Returns whether no more tokens can be appended on this host, now or later.
bool
HasEnded(const StreamBuffer& aBuffer);

} // namespace trefoil
