// Parses the command line of a program and prints its help, version or usage error.
//
//   CommandLine line =
//     ParseCommandLine({ .mUsage = kUsage, .mVersion = kVersion }, aCount, aValues);
//   if (line.mExit.has_value()) {
//     return *line.mExit;
//   }
//   std::string file = line.mArguments.at("FILE").asString();
//
// The functions keep no state. They print to stdout and stderr.
#pragma once

#include <docopt/docopt.h>
#include <map>
#include <optional>
#include <string>

namespace trefoil {

// The exit status of a program whose command line, settings or document are invalid.
inline constexpr int kExitBadInput = 2;

struct CommandLineOptions
{
  // The usage text in docopt's language, which defines the arguments; printed as the help.
  std::string mUsage;
  std::string mVersion;
};

struct CommandLine
{
  // The values by name as the usage text has them, such as "FILE" or "--count". Empty if mExit has
  // a value.
  std::map<std::string, docopt::value> mArguments;
  // The status to exit with immediately: 0 after the help or the version was printed, kExitBadInput
  // after a usage error. std::nullopt if the program should run.
  std::optional<int> mExit;
};

// Parses the `aCount` words of `aValues`, the first of which is the program's name and is skipped.
// Prints the help or the version to stdout if requested, and a usage error to stderr.
CommandLine
ParseCommandLine(const CommandLineOptions& aOptions, int aCount, const char* const* aValues);

// Returns the value of an option as a whole number. If it is not a whole number or is below `aMin`,
// prints the reason to stderr and returns std::nullopt.
std::optional<std::int64_t>
NumberOption(const CommandLine& aLine, const std::string& aOption, std::int64_t aMin);

} // namespace trefoil
