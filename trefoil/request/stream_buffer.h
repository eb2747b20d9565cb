// The tokens of one answer as the host that generates it keeps them, so that a caller can take the
// stream up again, and how they pass to another host.
//
//   StreamBuffer buffer;
//   Append(buffer, { .mIndex = 0, .mText = "a" });
//   if (BeginHandOver(buffer)) { ... send buffer.mTokens ...; EndHandOver(buffer, outcome, host); }
//
// From the start of a hand-over on no token is added here, so that the tokens that the other host
// was told are all that a caller can have seen. Plain data and pure functions.
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
  // Another host was asked to go on; its reply is open.
  kHandingOver,
  // Another host goes on.
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

// A token that is to be kept.
struct BufferedToken
{
  std::int64_t mIndex = 0;
  std::string_view mText;
  // Set on the last token.
  std::string_view mFinishReason;
};

struct StreamBuffer
{
  StreamState mState = StreamState::kRunning;
  std::vector<std::string> mTokens;
  std::int64_t mBytes = 0;
  std::string mFinishReason;
  // Why it failed.
  Failure mFailure;
  // The host that goes on.
  HostId mHandedTo;
};

enum class AppendFate
{
  kKept,
  // A hand-over is open: ask again when it has ended.
  kWait,
  // The stream has ended on this host, or the token is not the next one.
  kRefused,
};

inline constexpr NameTable<AppendFate, 3> kAppendFateNames{ {
  { AppendFate::kKept, "kept" },
  { AppendFate::kWait, "wait" },
  { AppendFate::kRefused, "refused" },
} };

enum class HandOverOutcome
{
  // The other host goes on.
  kTaken,
  // It surely does not.
  kRefused,
  // It may: ask it again.
  kUnknown,
};

inline constexpr NameTable<HandOverOutcome, 3> kHandOverOutcomeNames{ {
  { HandOverOutcome::kTaken, "taken" },
  { HandOverOutcome::kRefused, "refused" },
  { HandOverOutcome::kUnknown, "unknown" },
} };

AppendFate
Append(StreamBuffer& aBuffer, const BufferedToken& aToken);

// Ends a running stream whose last token was kept.
void
Complete(StreamBuffer& aBuffer);

// Ends a running stream that cannot be completed.
void
Fail(StreamBuffer& aBuffer, const Failure& aFailure);

// Returns whether the stream was running and may be handed over now.
bool
BeginHandOver(StreamBuffer& aBuffer);

// Notes a reply of `aHost`. After kUnknown the hand-over stays open.
void
EndHandOver(StreamBuffer& aBuffer, HandOverOutcome aOutcome, const HostId& aHost);

// Returns whether nothing will be added any more on this host.
bool
HasEnded(const StreamBuffer& aBuffer);

} // namespace trefoil
