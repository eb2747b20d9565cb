#include "trefoil/settings/common_settings.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace trefoil {

Endpoint
ReadEndpoint(TomlReader& aReader, std::string_view aKey)
{
  const std::string text = aReader.RequiredString(aKey);
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint.ok()) {
    aReader.RecordError(aKey, std::string{ endpoint.status().message() });
    return {};
  }
  return *endpoint;
}

std::optional<Endpoint>
ReadOptionalEndpoint(TomlReader& aReader, std::string_view aKey)
{
  const std::string text = aReader.OptionalString(aKey, "");
  if (text.empty()) {
    return std::nullopt;
  }
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint.ok()) {
    aReader.RecordError(aKey, std::string{ endpoint.status().message() });
    return std::nullopt;
  }
  return *endpoint;
}

std::vector<Endpoint>
ReadEndpoints(TomlReader& aReader, std::string_view aKey)
{
  std::vector<Endpoint> endpoints;
  for (const std::string& text : aReader.OptionalStrings(aKey)) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint.ok()) {
      aReader.RecordError(aKey, std::string{ endpoint.status().message() });
      return {};
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::string
ReadNonEmptyString(TomlReader& aReader, std::string_view aKey)
{
  std::string name = aReader.RequiredString(aKey);
  if (name.empty()) {
    aReader.RecordError(aKey, "must not be empty");
  }
  return name;
}

std::int64_t
ReadMemoryBytes(TomlReader& aReader, std::string_view aKey)
{
  constexpr double kBytesPerMegabyte = 1e6;
  constexpr double kMaxMegabytes = 1e7;
  const double megabytes = aReader.OptionalNumber(aKey, 0);
  // The negated comparison also rejects NaN.
  if (!(megabytes >= 0 && megabytes <= kMaxMegabytes)) {
    aReader.RecordError(aKey, fmt::format("must be from 0 to {}", kMaxMegabytes));
    return 0;
  }
  return static_cast<std::int64_t>(megabytes * kBytesPerMegabyte);
}

absl::StatusOr<std::string>
ReadSettingsFile(std::string_view aPath)
{
  const std::string path{ aPath };
  std::ifstream file{ path };
  if (!file) {
    return MarkIncomplete(absl::NotFoundError(fmt::format("{}: cannot be read", path)));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace trefoil
