#include "trefoil/eventlog/pipe_sink.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace trefoil {
namespace {

// A reader that takes nothing for so long has stopped; it is not waited for again until it reads.
constexpr int kReaderLimitMs = 200;

} // namespace

void
PipeSink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  if (mLeftOut > 0) {
    const std::string note = fmt::format("event=lines_dropped unread={}\n", mLeftOut);
    if (!Write(note.data(), note.size())) {
      ++mLeftOut;
      return;
    }
    mLeftOut = 0;
  }
  if (!Write(line.data(), line.size())) {
    ++mLeftOut;
  }
}

// Returns false if the reader does not take the bytes. A pipe that is ready takes 4 KiB without
// blocking, which no line exceeds.
bool
PipeSink::Write(const char* aBytes, std::size_t aCount)
{
  pollfd ready{ .fd = mDescriptor, .events = POLLOUT };
  mReads = poll(&ready, 1, mReads ? kReaderLimitMs : 0) > 0 && (ready.revents & POLLOUT) != 0;
  return mReads && write(mDescriptor, aBytes, aCount) == static_cast<ssize_t>(aCount);
}

} // namespace trefoil
