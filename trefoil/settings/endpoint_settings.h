// Values that several settings files have in common.
//
//   Endpoint listen = ReadEndpoint(reader, "listen");
//   absl::StatusOr<std::string> text = ReadSettingsFile("host.toml");
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/settings/toml_reader.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

// Reads ADDRESS:PORT; anything else is a fault of the reader.
Endpoint
ReadEndpoint(TomlReader& aReader, std::string_view aKey);

// Returns nothing if the key is left out or empty.
std::optional<Endpoint>
ReadOptionalEndpoint(TomlReader& aReader, std::string_view aKey);

std::vector<Endpoint>
ReadEndpoints(TomlReader& aReader, std::string_view aKey);

// Reads a text that must not be empty.
std::string
ReadName(TomlReader& aReader, std::string_view aKey);

// Returns NotFound if the file cannot be read.
absl::StatusOr<std::string>
ReadSettingsFile(std::string_view aPath);

} // namespace trefoil
