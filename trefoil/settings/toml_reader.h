// Reads one TOML table key by key and reports the first fault with file, line and column.
//
//   absl::StatusOr<TomlDocument> document = ParseToml(text, "host.toml");
//   TomlReader reader = document->Root();
//   std::string zone = reader.RequiredString("zone");
//   std::int64_t port = reader.OptionalInt("port", 8080, { .mMin = 1, .mMax = 65535 });
//   absl::Status status = reader.Finish();   // a bad value, or a key that was never asked for
//
// Reading goes on after a fault, with defaults. Not thread-safe.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

struct IntBounds
{
  std::int64_t mMin = std::numeric_limits<std::int64_t>::min();
  std::int64_t mMax = std::numeric_limits<std::int64_t>::max();
};

class TomlReader;

// A parsed TOML file. Readers of its tables must not outlive it.
class TomlDocument
{
public:
  TomlReader Root() const;

private:
  friend absl::StatusOr<TomlDocument> ParseToml(std::string_view aText, std::string_view aFile);
  std::shared_ptr<const void> mTable;
  std::string mFile;
};

// Parses TOML text. `aFile` names it in errors. Returns InvalidArgument with line and column.
absl::StatusOr<TomlDocument>
ParseToml(std::string_view aText, std::string_view aFile);

class TomlReader
{
public:
  // Reads values of a type; a missing or wrong one is a fault.
  std::string RequiredString(std::string_view aKey);
  std::int64_t RequiredInt(std::string_view aKey, IntBounds aBounds = {});

  // Reads values that may be left out; a wrong one is a fault.
  std::string OptionalString(std::string_view aKey, std::string_view aDefault);
  std::int64_t OptionalInt(std::string_view aKey, std::int64_t aDefault, IntBounds aBounds = {});
  double OptionalNumber(std::string_view aKey, double aDefault);
  bool OptionalBool(std::string_view aKey, bool aDefault);
  // Returns milliseconds since 1970 of an offset date-time, `aDefault` if it is left out.
  std::int64_t OptionalUnixMilliseconds(std::string_view aKey, std::int64_t aDefault);
  std::vector<std::string> OptionalStrings(std::string_view aKey);
  // Returns the tables of [[aKey]], none if it is left out.
  std::vector<TomlReader> OptionalTables(std::string_view aKey);

  // Records a fault at the position of `aKey`, for a value that reads well but means nothing.
  void Fault(std::string_view aKey, std::string_view aReason);

  // Returns the first fault, or that a key of the table is unknown. Call it last, also on
  // sub-tables.
  absl::Status Finish();

private:
  friend class TomlDocument;
  TomlReader(std::shared_ptr<const void> aDocument, const void* aTable, std::string aFile);

  std::shared_ptr<const void> mDocument;
  const void* mTable;
  std::string mFile;
  std::set<std::string, std::less<>> mAsked;
  absl::Status mFirstFault;
};

} // namespace trefoil
