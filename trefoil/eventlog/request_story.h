// Puts one request's story together from the log lines of several hosts.
//
//   std::vector<LogLine> lines;           // ParseLogLine of each line
//   for (const StoryLine& line : TellStory(lines, "0a464469e729c218")) { ... }
//
// Hosts' clocks may differ: what several hosts logged of the same change tells by how much. Pure
// functions.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

struct LogLine
{
  // By the host's own clock.
  std::chrono::milliseconds mAt{ 0 };
  std::string mHost;
  std::string mEvent;
  // The fields as they stand in the line, without time, host and event.
  std::string mText;
  std::map<std::string, std::string> mFields;
};

struct StoryLine
{
  // Since the request's first line, corrected for the host's clock.
  std::chrono::milliseconds mOffset{ 0 };
  // Whether the line names the request; else it tells what was known at the time.
  bool mOfRequest = false;
  const LogLine* mLine = nullptr;
};

// Reads a line of a gateway's log; text before its time stamp is skipped. Returns nothing for other
// text.
std::optional<LogLine>
ParseLogLine(std::string_view aText);

// Returns by how much each host's clock is ahead of the middle one, from the changes of servers and
// configurations that several hosts logged; hosts without such lines are left out.
std::map<std::string, std::chrono::milliseconds>
ClocksAhead(const std::vector<LogLine>& aLines);

// Returns the lines of a request in order of true time, and those about the servers that it was
// sent to and the hosts that logged it, from a few seconds before it to its end. Empty if no line
// names the request. Points into `aLines`.
std::vector<StoryLine>
TellStory(const std::vector<LogLine>& aLines, const std::string& aRequest);

} // namespace trefoil
