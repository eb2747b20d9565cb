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
                      aMetadata.mRequestId.capacity() + aMetadata.mHost.capacity() +
                      aMetadata.mKey.capacity() + aMetadata.mLastEventId.capacity() +
                      aMetadata.mPrompt.capacity() * sizeof(PromptPart);
  const std::size_t inPlace = std::string{}.capacity();
  for (const PromptPart& part : aMetadata.mPrompt) {
    // A vector that grows takes up to twice its contents.
    bytes += 2 * sizeof(PromptPartKey) + (part.mId.capacity() > inPlace ? part.mId.capacity() : 0);
  }
  return bytes;
}

} // namespace trefoil
