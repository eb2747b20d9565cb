// Builds the timeline of one request from the log lines of several hosts.
//
//   std::vector<LogLine> lines;           // ParseLogLine of each line
//   for (const TimelineEntry& entry : BuildTimeline(lines, "0a464469e729c218")) { ... }
//
// The hosts' clocks may differ. Their offsets are estimated from changes that several hosts logged.
// Pure functions.
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
  // Time of the line by the clock of its host, since the Unix epoch.
  std::chrono::milliseconds mAt{ 0 };
  std::string mHost;
  std::string mEvent;
  // The text of the line after its "event" field.
  std::string mText;
  std::map<std::string, std::string> mFields;
};

struct TimelineEntry
{
  // Time since the earliest start of the request or one of its attempts, corrected for the offset
  // of the host's clock.
  std::chrono::milliseconds mOffset{ 0 };
  // Whether the line has the id of the request. Other lines show the state of servers and hosts at
  // that time.
  bool mNamesRequest = false;
  const LogLine* mLine = nullptr;
};

// Parses a line of a gateway's log. Text before the time stamp is ignored. Returns std::nullopt if
// `aText` is not such a line.
std::optional<LogLine>
ParseLogLine(std::string_view aText);

// Returns the offset of each host's clock from the median of all clocks; positive if the clock is
// ahead. Offsets are computed from the changes of servers and configurations that several hosts
// logged; offsets below 1.5 s are returned as 0. Hosts without such lines are omitted.
std::map<std::string, std::chrono::milliseconds>
ClockOffsets(const std::vector<LogLine>& aLines);

// Returns the timeline of the request with id `aRequest`, in order of corrected time. Besides the
// lines with the request's id it contains the state changes of the servers that the request was
// sent to and of the hosts that logged it, from 5 s before its start to 1 s after its end. Empty if
// no line has the id. The entries point into `aLines`.
std::vector<TimelineEntry>
BuildTimeline(const std::vector<LogLine>& aLines, const std::string& aRequest);

} // namespace trefoil
