// Readers of values that several settings files have in common.
//
//   Endpoint listen = ReadEndpoint(reader, "listen");
//   absl::StatusOr<std::string> text = ReadSettingsFile("host.toml");
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/settings/toml_reader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

// Reads a required endpoint, written as ADDRESS:PORT. If it is missing or invalid, records an
// error in `aReader` and returns a default endpoint.
Endpoint
ReadEndpoint(TomlReader& aReader, std::string_view aKey);

// Reads an optional endpoint. Returns std::nullopt if the key is missing or empty. If the text is
// invalid, records an error in `aReader` and returns std::nullopt.
std::optional<Endpoint>
ReadOptionalEndpoint(TomlReader& aReader, std::string_view aKey);

// Reads an array of endpoints. Returns an empty vector if the key is missing. If any endpoint is
// invalid, records an error in `aReader` and returns an empty vector.
std::vector<Endpoint>
ReadEndpoints(TomlReader& aReader, std::string_view aKey);

// Reads a required string. An empty string is an error.
std::string
ReadNonEmptyString(TomlReader& aReader, std::string_view aKey);

// Reads an optional amount of memory in units of 10^6 bytes, which may have a fraction. Returns the
// bytes, or 0 if the key is missing. Records an error and returns 0 for a negative value and for
// more than 10^7.
std::int64_t
ReadMemoryBytes(TomlReader& aReader, std::string_view aKey);

// Returns the contents of a file. Returns NotFound if the file cannot be opened; MayBeIncomplete is
// true of that error, since a writer may be replacing the file. Blocks on file I/O.
absl::StatusOr<std::string>
ReadSettingsFile(std::string_view aPath);

} // namespace trefoil
