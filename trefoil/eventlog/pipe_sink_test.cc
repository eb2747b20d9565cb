#include "trefoil/eventlog/pipe_sink.h"

#include <array>
#include <catch2/catch.hpp>
#include <spdlog/logger.h>
#include <string>
#include <unistd.h>

namespace trefoil {
namespace {

std::string
ReadAll(int aDescriptor)
{
  std::array<char, 1 << 20> buffer{};
  const ssize_t count = read(aDescriptor, buffer.data(), buffer.size());
  return { buffer.data(), static_cast<std::size_t>(count) };
}

SCENARIO("the reader of the log stops reading")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  spdlog::logger logger{ "test", std::make_shared<PipeSink>(ends[1]) };
  logger.set_pattern("%v");
  logger.info("first");
  CHECK(ReadAll(ends[0]) == "first\n");
  WHEN("more lines are logged than fit into the pipe")
  {
    const std::string line(1'000, 'x');
    constexpr int kLines = 300;
    for (int i = 0; i < kLines; ++i) {
      logger.info(line);
    }
    THEN("the writer does not block, and later writes the number of dropped lines")
    {
      const std::string read = ReadAll(ends[0]);
      const std::size_t written = read.size() / (line.size() + 1);
      CHECK(written < kLines);
      logger.info("last");
      CHECK(ReadAll(ends[0]) ==
            "event=lines_dropped unread=" + std::to_string(kLines - written) + "\nlast\n");
    }
  }
  close(ends[0]);
  close(ends[1]);
}

} // namespace
} // namespace trefoil
