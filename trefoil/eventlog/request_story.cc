#include "trefoil/eventlog/request_story.h"

#include "absl/strings/numbers.h"
#include "absl/time/time.h"
#include "trefoil/base/median.h"
#include "trefoil/eventlog/event_log.h"

#include <algorithm>
#include <set>

namespace trefoil {
namespace {

using std::chrono::milliseconds;

// What happened before a request and may explain it: longer than the pauses after a failure.
constexpr milliseconds kBefore{ 5'000 };
// Lines of the end of a request may stand in the log of another host a little later.
constexpr milliseconds kAfter{ 1'000 };
// Hosts learn of a change within this of each other; what differs by less says nothing of clocks.
constexpr milliseconds kSpread{ 1'500 };

std::optional<milliseconds>
ReadTime(const std::string& aText)
{
  absl::Time time;
  std::string error;
  if (!absl::ParseTime("%Y-%m-%dT%H:%M:%E*S%Ez", aText, &time, &error)) {
    return std::nullopt;
  }
  return milliseconds{ absl::ToUnixMillis(time) };
}

std::map<std::string, std::string>
ReadFields(std::string_view aText)
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

// Names a change that each host logs once, empty for other lines.
std::string
ChangeOf(const LogLine& aLine)
{
  const auto revision = aLine.mFields.find("revision");
  const bool shared = aLine.mEvent == NameOf(kLogEventNames, LogEvent::kServersChanged) ||
                      aLine.mEvent == NameOf(kLogEventNames, LogEvent::kConfigurationInForce);
  return shared && revision != aLine.mFields.end() ? aLine.mEvent + revision->second
                                                   : std::string{};
}

// Whether a line tells what a host believed that may explain a request.
bool
IsBelief(const LogLine& aLine)
{
  static const std::set<std::string_view> kBeliefs{
    NameOf(kLogEventNames, LogEvent::kServersChanged),
    NameOf(kLogEventNames, LogEvent::kServerAvoided),
    NameOf(kLogEventNames, LogEvent::kConfigurationInForce),
    NameOf(kLogEventNames, LogEvent::kDependencyLost),
    NameOf(kLogEventNames, LogEvent::kDependencyRegained),
    NameOf(kLogEventNames, LogEvent::kPeersChanged),
    NameOf(kLogEventNames, LogEvent::kStart),
    NameOf(kLogEventNames, LogEvent::kStop),
  };
  return kBeliefs.contains(aLine.mEvent);
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
  const auto at = ReadTime(std::string{ before.substr(before.find_last_of(' ') + 1) });
  LogLine line{ .mFields = ReadFields(aText.substr(host + 1)) };
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
ClocksAhead(const std::vector<LogLine>& aLines)
{
  std::map<std::string, std::map<std::string, milliseconds>> changes;
  for (const LogLine& line : aLines) {
    const std::string change = ChangeOf(line);
    if (!change.empty()) {
      changes[change].emplace(line.mHost, line.mAt);
    }
  }
  std::map<std::string, std::vector<milliseconds>> ahead;
  for (const auto& [change, times] : changes) {
    std::vector<milliseconds> all;
    for (const auto& [host, at] : times) {
      all.push_back(at);
    }
    const milliseconds middle = Median(std::move(all));
    for (const auto& [host, at] : times) {
      ahead[host].push_back(at - middle);
    }
  }
  std::map<std::string, milliseconds> clocks;
  for (auto& [host, differences] : ahead) {
    const milliseconds middle = Median(std::move(differences));
    clocks[host] = std::chrono::abs(middle) < kSpread ? milliseconds{ 0 } : middle;
  }
  return clocks;
}

std::vector<StoryLine>
TellStory(const std::vector<LogLine>& aLines, const std::string& aRequest)
{
  auto clocks = ClocksAhead(aLines);
  const auto trueTime = [&clocks](const LogLine& aLine) { return aLine.mAt - clocks[aLine.mHost]; };
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
    // A line at the end of an attempt or a request says how long it took.
    std::int64_t took = 0;
    const auto field = line.mFields.find("ms");
    if (field != line.mFields.end() && !absl::SimpleAtoi(field->second, &took)) {
      took = 0;
    }
    const milliseconds began = trueTime(line) - milliseconds{ took };
    first = std::min(first.value_or(began), began);
    last = std::max(last, trueTime(line));
  }
  std::vector<StoryLine> story;
  if (!first.has_value()) {
    return story;
  }
  for (const LogLine& line : aLines) {
    const milliseconds at = trueTime(line);
    const bool own = HasField(line, "id", { aRequest });
    const bool near = at >= *first - kBefore && at <= last + kAfter;
    const bool ofServer = HasField(line, "server", servers);
    const bool ofHost = hosts.contains(line.mHost) && !line.mFields.contains("server");
    if (own || (near && IsBelief(line) && (ofServer || ofHost))) {
      story.push_back({ .mOffset = at - *first, .mOfRequest = own, .mLine = &line });
    }
  }
  std::ranges::stable_sort(story, {}, &StoryLine::mOffset);
  return story;
}

} // namespace trefoil
