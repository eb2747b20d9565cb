// A log sink that writes to a file descriptor whose reader may have stopped.
//
//   auto sink = std::make_shared<PipeSink>(STDOUT_FILENO);
//
// A line that cannot be written within 200 ms is dropped. The number of dropped lines is written
// before the next line that can be written. A stopped reader therefore blocks neither the writing
// thread nor the end of the process.
#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>

namespace trefoil {

class PipeSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit PipeSink(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}

private:
  // Writes `aCount` bytes. Returns false if the reader does not accept them in time.
  bool Write(const char* aBytes, std::size_t aCount);

  int mDescriptor;
  // Whether the descriptor became writable in time for the previous write. If not, the next write
  // does not wait.
  bool mReaderResponsive = true;
  std::uint64_t mDroppedLines = 0;
};

} // namespace trefoil
