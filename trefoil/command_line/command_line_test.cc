#include "trefoil/command_line/command_line.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

CommandLine
Parse(std::vector<const char*> aWords)
{
  constexpr const char* kUsage =
    "Usage:\n  tool FILE [--count=N]\n  tool --help\n  tool --version\n\n"
    "Options:\n  --count=N  How many [default: 3].\n";
  aWords.insert(aWords.begin(), "tool");
  return ParseCommandLine(
    { .mUsage = kUsage, .mVersion = "tool 1" }, static_cast<int>(aWords.size()), aWords.data());
}

TEST_CASE("A program parses its command line")
{
  SECTION("a valid command line yields its arguments")
  {
    const CommandLine line = Parse({ "a.toml", "--count=5" });
    REQUIRE_FALSE(line.mExit.has_value());
    CHECK(line.mArguments.at("FILE").asString() == "a.toml");
    CHECK(NumberOption(line, "--count", 1) == 5);
  }
  SECTION("an omitted option has its default value")
  {
    CHECK(NumberOption(Parse({ "a.toml" }), "--count", 1) == 3);
  }
  SECTION("an option that is not a number or is below the minimum yields no value")
  {
    CHECK_FALSE(NumberOption(Parse({ "a.toml", "--count=x" }), "--count", 1).has_value());
    CHECK_FALSE(NumberOption(Parse({ "a.toml", "--count=0" }), "--count", 1).has_value());
  }
  SECTION("help and version exit with 0")
  {
    CHECK(Parse({ "--help" }).mExit == 0);
    CHECK(Parse({ "--version" }).mExit == 0);
  }
  SECTION("a missing argument or an unknown option exits with 2")
  {
    CHECK(Parse({}).mExit == kExitBadInput);
    CHECK(Parse({ "--colour" }).mExit == kExitBadInput);
  }
}

} // namespace
} // namespace trefoil
