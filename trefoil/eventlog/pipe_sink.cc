#include "trefoil/eventlog/pipe_sink.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace trefoil {
namespace {

// A reader that accepts no bytes for this long is considered stopped. Later writes do not wait
// until the reader accepts bytes again.
constexpr int kReaderTimeoutMs = 200;

} // namespace

void
PipeSink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  if (mDroppedLines > 0) {
    const std::string report = fmt::format("event=lines_dropped unread={}\n", mDroppedLines);
    if (!Write(report.data(), report.size())) {
      ++mDroppedLines;
      return;
    }
    mDroppedLines = 0;
  }
  if (!Write(line.data(), line.size())) {
    ++mDroppedLines;
  }
}

// A pipe that poll reports as writable accepts 4 KiB without blocking. No line is longer.
bool
PipeSink::Write(const char* aBytes, std::size_t aCount)
{
  pollfd ready{ .fd = mDescriptor, .events = POLLOUT };
  mReaderResponsive =
    poll(&ready, 1, mReaderResponsive ? kReaderTimeoutMs : 0) > 0 && (ready.revents & POLLOUT) != 0;
  return mReaderResponsive && write(mDescriptor, aBytes, aCount) == static_cast<ssize_t>(aCount);
}

} // namespace trefoil
