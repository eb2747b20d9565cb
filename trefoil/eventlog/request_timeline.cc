#include "trefoil/eventlog/request_timeline.h"

#include "absl/strings/numbers.h"
#include "absl/time/time.h"
#include "trefoil/base/median.h"
#include "trefoil/eventlog/event_log.h"

#include <algorithm>
#include <set>

namespace trefoil {
namespace {

using std::chrono::milliseconds;

// State changes this long before a request may explain its outcome. Longer than the time for which
// a server is avoided after a failure.
constexpr milliseconds kLookback{ 5'000 };
// Other hosts may log the changes that ended a request up to this much later.
constexpr milliseconds kLookahead{ 1'000 };
// All hosts log a change within this time, so smaller differences do not show a clock offset.
constexpr milliseconds kMaxPropagationDelay{ 1'500 };

std::optional<milliseconds>
ParseTimestamp(const std::string& aText)
{
  absl::Time time;
  std::string error;
  if (!absl::ParseTime("%Y-%m-%dT%H:%M:%E*S%Ez", aText, &time, &error)) {
    return std::nullopt;
  }
  return milliseconds{ absl::ToUnixMillis(time) };
}

std::map<std::string, std::string>
ParseFields(std::string_view aText)
{
  std::map<std::string, std::string> fields;
  std::size_t at = 0;
  while (at < aText.size()) {
    const std::size_t equals = aText.find('=', at);
    if (equals == std::string_view::npos) {
      break;
    }
    const bool quoted = equals + 1 < aText.size() && aText[equals + 1] == '"';
    const std::size_t from = equals + (quoted ? 2 : 1);
    const std::size_t end = std::min(aText.find(quoted ? '"' : ' ', from), aText.size());
    fields.emplace(aText.substr(at, equals - at), aText.substr(from, end - from));
    at = std::min(aText.find_first_not_of(quoted ? "\" " : " ", end), aText.size());
  }
  return fields;
}

// Returns an identifier of the change that a line reports if each host logs it once; otherwise
// empty.
std::string
ChangeId(const LogLine& aLine)
{
  const auto revision = aLine.mFields.find("revision");
  const bool loggedByAll = aLine.mEvent == NameOf(kLogEventNames, LogEvent::kServersChanged) ||
                           aLine.mEvent == NameOf(kLogEventNames, LogEvent::kZoneEvacuated) ||
                           aLine.mEvent == NameOf(kLogEventNames, LogEvent::kConfigurationApplied);
  return loggedByAll && revision != aLine.mFields.end() ? aLine.mEvent + revision->second
                                                        : std::string{};
}

// Returns whether a line reports a change of state that may explain the outcome of a request.
bool
IsStateChange(const LogLine& aLine)
{
  static const std::set<std::string_view> kStateChanges{
    NameOf(kLogEventNames, LogEvent::kServersChanged),
    NameOf(kLogEventNames, LogEvent::kServerAvoided),
    NameOf(kLogEventNames, LogEvent::kServerWarmUp),
    NameOf(kLogEventNames, LogEvent::kConfigurationApplied),
    NameOf(kLogEventNames, LogEvent::kZoneEvacuated),
    NameOf(kLogEventNames, LogEvent::kDependencyLost),
    NameOf(kLogEventNames, LogEvent::kDependencyRegained),
    NameOf(kLogEventNames, LogEvent::kStoreRecord),
    NameOf(kLogEventNames, LogEvent::kPeersChanged),
    NameOf(kLogEventNames, LogEvent::kStart),
    NameOf(kLogEventNames, LogEvent::kStop),
  };
  return kStateChanges.contains(aLine.mEvent);
}

bool
HasField(const LogLine& aLine, const std::string& aKey, const std::set<std::string>& aValues)
{
  const auto field = aLine.mFields.find(aKey);
  return field != aLine.mFields.end() && aValues.contains(field->second);
}

} // namespace

std::optional<LogLine>
ParseLogLine(std::string_view aText)
{
  const std::size_t host = aText.find(" host=");
  if (host == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view before = aText.substr(0, host);
  const auto at = ParseTimestamp(std::string{ before.substr(before.find_last_of(' ') + 1) });
  LogLine line{ .mFields = ParseFields(aText.substr(host + 1)) };
  const auto event = line.mFields.find("event");
  if (!at.has_value() || event == line.mFields.end()) {
    return std::nullopt;
  }
  line.mAt = *at;
  line.mHost = line.mFields.at("host");
  line.mEvent = event->second;
  const std::size_t text = aText.find(' ', aText.find("event=", host));
  line.mText = text == std::string_view::npos ? "" : std::string{ aText.substr(text + 1) };
  return line;
}

std::map<std::string, milliseconds>
ClockOffsets(const std::vector<LogLine>& aLines)
{
  std::map<std::string, std::map<std::string, milliseconds>> changes;
  for (const LogLine& line : aLines) {
    const std::string change = ChangeId(line);
    if (!change.empty()) {
      changes[change].emplace(line.mHost, line.mAt);
    }
  }
  std::map<std::string, std::vector<milliseconds>> offsets;
  for (const auto& [change, times] : changes) {
    std::vector<milliseconds> all;
    for (const auto& [host, at] : times) {
      all.push_back(at);
    }
    const milliseconds median = Median(std::move(all));
    for (const auto& [host, at] : times) {
      offsets[host].push_back(at - median);
    }
  }
  std::map<std::string, milliseconds> clockOffsets;
  for (auto& [host, differences] : offsets) {
    const milliseconds median = Median(std::move(differences));
    clockOffsets[host] =
      std::chrono::abs(median) < kMaxPropagationDelay ? milliseconds{ 0 } : median;
  }
  return clockOffsets;
}

std::vector<TimelineEntry>
BuildTimeline(const std::vector<LogLine>& aLines, const std::string& aRequest)
{
  auto clockOffsets = ClockOffsets(aLines);
  const auto correctedTime = [&clockOffsets](const LogLine& aLine) {
    return aLine.mAt - clockOffsets[aLine.mHost];
  };
  std::set<std::string> servers;
  std::set<std::string> hosts;
  std::optional<milliseconds> first;
  milliseconds last{ 0 };
  for (const LogLine& line : aLines) {
    if (!HasField(line, "id", { aRequest })) {
      continue;
    }
    hosts.insert(line.mHost);
    const auto server = line.mFields.find("server");
    if (server != line.mFields.end()) {
      servers.insert(server->second);
    }
    // The line that ends an attempt or a request has its duration in the "ms" field.
    std::int64_t durationMs = 0;
    const auto field = line.mFields.find("ms");
    if (field != line.mFields.end() && !absl::SimpleAtoi(field->second, &durationMs)) {
      durationMs = 0;
    }
    const milliseconds beganAt = correctedTime(line) - milliseconds{ durationMs };
    first = std::min(first.value_or(beganAt), beganAt);
    last = std::max(last, correctedTime(line));
  }
  std::vector<TimelineEntry> timeline;
  if (!first.has_value()) {
    return timeline;
  }
  for (const LogLine& line : aLines) {
    const milliseconds at = correctedTime(line);
    const bool namesRequest = HasField(line, "id", { aRequest });
    const bool inInterval = at >= *first - kLookback && at <= last + kLookahead;
    const bool ofServer = HasField(line, "server", servers);
    const bool ofHost = hosts.contains(line.mHost) && !line.mFields.contains("server");
    if (namesRequest || (inInterval && IsStateChange(line) && (ofServer || ofHost))) {
      timeline.push_back({ .mOffset = at - *first, .mNamesRequest = namesRequest, .mLine = &line });
    }
  }
  std::ranges::stable_sort(timeline, {}, &TimelineEntry::mOffset);
  return timeline;
}

} // namespace trefoil
