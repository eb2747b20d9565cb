// Reads one TOML table key by key and reports the first error with file, line and column.
//
//   absl::StatusOr<TomlDocument> document = ParseToml(text, "host.toml");
//   TomlReader reader = document->Root();
//   std::string zone = reader.RequiredString("zone");
//   std::int64_t port = reader.OptionalInt("port", 8080, { .mMin = 1, .mMax = 65535 });
//   absl::Status status = reader.Finish();   // reports an invalid value or an unknown key
//
// After an error, the remaining keys can still be read; an invalid value yields its default. Not
// thread-safe.
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

// An inclusive range of integers.
struct IntBounds
{
  std::int64_t mMin = std::numeric_limits<std::int64_t>::min();
  std::int64_t mMax = std::numeric_limits<std::int64_t>::max();
};

class TomlReader;

// A parsed TOML file. Readers of its tables share the ownership of the parsed text, so they may
// outlive the document.
class TomlDocument
{
public:
  // Returns a reader of the top-level table.
  TomlReader Root() const;

private:
  friend absl::StatusOr<TomlDocument> ParseToml(std::string_view aText, std::string_view aFile);
  std::shared_ptr<const void> mTable;
  std::string mFile;
};

// Returns whether the error may disappear when the writer of the file has finished: the syntax is
// invalid, or a required key is missing.
bool
MayBeIncomplete(const absl::Status& aError);

// Marks an error as one for which MayBeIncomplete returns true.
absl::Status
MarkIncomplete(absl::Status aError);

// Parses TOML text. `aFile` is the name of the file in error messages. Returns InvalidArgument
// with line and column if the syntax is invalid.
absl::StatusOr<TomlDocument>
ParseToml(std::string_view aText, std::string_view aFile);

class TomlReader
{
public:
  // Read a required value. A missing value, one of the wrong type or one out of bounds is an
  // error; the returned value must then not be used.
  std::string RequiredString(std::string_view aKey);
  std::int64_t RequiredInt(std::string_view aKey, IntBounds aBounds = {});

  // Read an optional value. A missing value yields `aDefault`. A value of the wrong type or out
  // of bounds is an error and yields `aDefault` too.
  std::string OptionalString(std::string_view aKey, std::string_view aDefault);
  std::int64_t OptionalInt(std::string_view aKey, std::int64_t aDefault, IntBounds aBounds = {});
  double OptionalNumber(std::string_view aKey, double aDefault);
  bool OptionalBool(std::string_view aKey, bool aDefault);
  // Reads an offset date-time. Returns milliseconds since 1970, or `aDefault` if the key is
  // missing.
  std::int64_t OptionalUnixMilliseconds(std::string_view aKey, std::int64_t aDefault);
  // Returns the strings of an array, or an empty vector if the key is missing.
  std::vector<std::string> OptionalStrings(std::string_view aKey);
  // Returns a reader of each table [[aKey]], or an empty vector if the key is missing.
  std::vector<TomlReader> OptionalTables(std::string_view aKey);

  // Records an error at the position of `aKey`, for a value of the right type that is invalid for
  // another reason. Does nothing if an error is already recorded.
  void RecordError(std::string_view aKey, std::string_view aReason);

  // Returns the first error as InvalidArgument. MayBeIncomplete is true of it if a required key is
  // missing, whichever error came first. A key of the table that has not been read is an
  // error too. Must be called last, separately for this table and for each reader from
  // OptionalTables().
  absl::Status Finish();

private:
  friend class TomlDocument;
  void RecordMissing(std::string_view aKey);
  TomlReader(std::shared_ptr<const void> aDocument, const void* aTable, std::string aFile);

  std::shared_ptr<const void> mDocument;
  const void* mTable;
  std::string mFile;
  std::set<std::string, std::less<>> mReadKeys;
  absl::Status mFirstError;
  bool mMissesKey = false;
};

} // namespace trefoil
