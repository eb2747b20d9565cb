#include "trefoil/command_line/command_line.h"

#include "absl/strings/numbers.h"

#include <cstdio>
#include <vector>

namespace trefoil {

CommandLine
ParseCommandLine(const CommandLineOptions& aOptions, int aCount, const char* const* aValues)
{
  const std::vector<std::string> arguments{ aValues + 1, aValues + aCount };
  CommandLine line;
  try {
    line.mArguments = docopt::docopt_parse(aOptions.mUsage, arguments, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::fputs(aOptions.mUsage.c_str(), stdout);
    line.mExit = 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::puts(aOptions.mVersion.c_str());
    line.mExit = 0;
  } catch (const docopt::DocoptLanguageError& error) {
    std::fprintf(stderr, "the usage text cannot be parsed: %s\n", error.what());
    line.mExit = kExitBadInput;
  } catch (const docopt::DocoptArgumentError& error) {
    std::fprintf(stderr, "bad command line: %s\n\n%s", error.what(), aOptions.mUsage.c_str());
    line.mExit = kExitBadInput;
  }
  return line;
}

std::optional<std::int64_t>
NumberOption(const CommandLine& aLine, const std::string& aOption, std::int64_t aMin)
{
  const std::string text = aLine.mArguments.at(aOption).asString();
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(text, &number) || number < aMin) {
    std::fprintf(stderr,
                 "%s: '%s' is not a whole number of at least %lld\n",
                 aOption.c_str(),
                 text.c_str(),
                 static_cast<long long>(aMin));
    return std::nullopt;
  }
  return number;
}

} // namespace trefoil
