#include "trefoil/forward/request_memory.h"

#include "trefoil/forward/exchange.h"
#include "trefoil/request/crash_tracker.h"

namespace trefoil {
namespace {

// The timers, the callbacks and the connection of an attempt, and the reader of its answer.
constexpr std::size_t kAttemptBytes = std::size_t{ 4 } * 1024;

} // namespace

std::size_t
MemoryOfRequest(const HttpRequest& aRequest, const RequestMetadata& aMetadata)
{
  std::size_t bytes = sizeof(Exchange) + kAttemptBytes + HeldBytes(aRequest) +
                      AllocatedBytes(aMetadata.mRequestId) + AllocatedBytes(aMetadata.mHost) +
                      AllocatedBytes(aMetadata.mKey) + AllocatedBytes(aMetadata.mLastEventId) +
                      aMetadata.mPrompt.capacity() * sizeof(PromptPart);
  for (const PromptPart& part : aMetadata.mPrompt) {
    // A vector that grows takes up to twice its contents.
    bytes += 2 * sizeof(PromptPartKey) + AllocatedBytes(part.mId);
  }
  return bytes;
}

} // namespace trefoil
