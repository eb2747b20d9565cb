// Parses the command line of a program and prints its help, version or usage error.
//
//   CommandLine line = ParseCommandLine({ .mUsage = kUsage, .mVersion = kVersion }, aCount,
//   aValues); if (line.mExit.has_value()) { return *line.mExit; } std::string file =
//   line.mArguments.at("FILE").asString();
#pragma once

#include <docopt/docopt.h>
#include <map>
#include <optional>
#include <string>

namespace trefoil {

// The exit status of a program whose command line, settings or document are bad.
inline constexpr int kExitBadInput = 2;

struct CommandLineOptions
{
  std::string mUsage;
  std::string mVersion;
};

struct CommandLine
{
  std::map<std::string, docopt::value> mArguments;
  // The exit status, if the program is to stop here: 0 after help or version, 2 after a usage
  // error.
  std::optional<int> mExit;
};

CommandLine
ParseCommandLine(const CommandLineOptions& aOptions, int aCount, const char* const* aValues);

// Returns the whole number of an option. Returns nothing and prints the reason if it is none or
// below `aMin`.
std::optional<std::int64_t>
NumberOption(const CommandLine& aLine, const std::string& aOption, std::int64_t aMin);

} // namespace trefoil
