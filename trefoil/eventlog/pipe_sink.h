// Writes log lines to a file descriptor whose reader may have stopped.
//
//   auto sink = std::make_shared<PipeSink>(STDOUT_FILENO);
//
// A line that cannot be written within a short time is left out and counted; the next line that can
// be written is preceded by the count. So neither the thread that writes nor the end of the process
// waits for a reader.
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
  bool Write(const char* aBytes, std::size_t aCount);

  int mDescriptor;
  bool mReads = true;
  std::uint64_t mLeftOut = 0;
};

} // namespace trefoil
