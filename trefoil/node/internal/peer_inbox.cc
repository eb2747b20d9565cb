#include "trefoil/node/internal/peer_inbox.h"

#include <cstddef>
#include <spdlog/spdlog.h>
#include <utility>

namespace trefoil {
namespace {

// Bounds the work of one call while datagrams go on arriving.
constexpr std::size_t kMaxDatagramsAtOnce = 1'024;

} // namespace

PeerInbox::PeerInbox(PeerInboxOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
PeerInbox::Wait(Instant aDeadline)
{
  if (mOptions.mSocket->WaitUntilReadable(aDeadline).ok()) {
    ApplyArrived();
  }
}

void
PeerInbox::ApplyArrived()
{
  const absl::MutexLock lock{ &mMutex };
  for (std::size_t i = 0; i < kMaxDatagramsAtOnce; ++i) {
    const auto bytes = mOptions.mSocket->Receive(Now());
    if (!bytes.ok()) {
      return;
    }
    Apply(*bytes);
  }
}

void
PeerInbox::Apply(std::string_view aBytes) const
{
  try {
    mOptions.mApply(aBytes);
  } catch (const std::exception& error) {
    spdlog::error("a message of another host is dropped: {}", error.what());
  }
}

} // namespace trefoil
