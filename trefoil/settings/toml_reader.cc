#include "trefoil/settings/toml_reader.h"

#include "absl/strings/cord.h"

#include <chrono>
#include <fmt/format.h>
#include <toml++/toml.h>

namespace trefoil {
namespace {

constexpr const char* kIncompletePayload = "trefoillb/incomplete";

const toml::table&
AsTable(const void* aTable)
{
  return *static_cast<const toml::table*>(aTable);
}

absl::Status
ErrorAt(std::string_view aFile, const toml::source_position& aPosition, std::string_view aReason)
{
  return absl::InvalidArgumentError(
    fmt::format("{}:{}:{}: {}", aFile, aPosition.line, aPosition.column, aReason));
}

std::int64_t
ToUnixMilliseconds(const toml::date_time& aTime)
{
  using std::chrono::days;
  const auto day = std::chrono::sys_days{ std::chrono::year{ aTime.date.year } / aTime.date.month /
                                          aTime.date.day };
  const auto minutes = std::chrono::hours{ aTime.time.hour } +
                       std::chrono::minutes{ aTime.time.minute - aTime.offset->minutes };
  const auto seconds = std::chrono::seconds{ aTime.time.second };
  const auto fraction = std::chrono::milliseconds{ aTime.time.nanosecond / 1'000'000 };
  return std::chrono::milliseconds{ day.time_since_epoch() + minutes + seconds + fraction }.count();
}

} // namespace

bool
MayBeIncomplete(const absl::Status& aError)
{
  return aError.GetPayload(kIncompletePayload).has_value();
}

absl::Status
MarkIncomplete(absl::Status aError)
{
  aError.SetPayload(kIncompletePayload, absl::Cord{});
  return aError;
}

absl::StatusOr<TomlDocument>
ParseToml(std::string_view aText, std::string_view aFile)
{
  try {
    TomlDocument document;
    document.mTable = std::make_shared<const toml::table>(toml::parse(aText));
    document.mFile = std::string{ aFile };
    return document;
  } catch (const toml::parse_error& error) {
    return MarkIncomplete(ErrorAt(aFile, error.source().begin, error.description()));
  }
}

TomlReader
TomlDocument::Root() const
{
  return TomlReader{ mTable, mTable.get(), mFile };
}

TomlReader::TomlReader(std::shared_ptr<const void> aDocument, const void* aTable, std::string aFile)
  : mDocument(std::move(aDocument))
  , mTable(aTable)
  , mFile(std::move(aFile))
{
}

void
TomlReader::RecordError(std::string_view aKey, std::string_view aReason)
{
  if (!mFirstError.ok()) {
    return;
  }
  const toml::node* node = AsTable(mTable).get(aKey);
  const auto& position = node != nullptr ? node->source().begin : AsTable(mTable).source().begin;
  mFirstError = ErrorAt(mFile, position, fmt::format("{}: {}", aKey, aReason));
}

void
TomlReader::RecordMissing(std::string_view aKey)
{
  mReadKeys.emplace(aKey);
  mMissesKey = true;
  RecordError(aKey, "is missing");
}

std::string
TomlReader::RequiredString(std::string_view aKey)
{
  if (!AsTable(mTable).contains(aKey)) {
    RecordMissing(aKey);
    return {};
  }
  return OptionalString(aKey, {});
}

std::int64_t
TomlReader::RequiredInt(std::string_view aKey, IntBounds aBounds)
{
  if (!AsTable(mTable).contains(aKey)) {
    RecordMissing(aKey);
    return 0;
  }
  return OptionalInt(aKey, aBounds.mMin, aBounds);
}

std::string
TomlReader::OptionalString(std::string_view aKey, std::string_view aDefault)
{
  mReadKeys.emplace(aKey);
  const toml::node* node = AsTable(mTable).get(aKey);
  if (node == nullptr) {
    return std::string{ aDefault };
  }
  const auto value = node->value_exact<std::string>();
  if (!value.has_value()) {
    RecordError(aKey, "must be a string");
    return std::string{ aDefault };
  }
  return *value;
}

std::int64_t
TomlReader::OptionalInt(std::string_view aKey, std::int64_t aDefault, IntBounds aBounds)
{
  mReadKeys.emplace(aKey);
  const toml::node* node = AsTable(mTable).get(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value.has_value()) {
    RecordError(aKey, "must be a whole number");
    return aDefault;
  }
  if (*value < aBounds.mMin || *value > aBounds.mMax) {
    RecordError(aKey, fmt::format("must be from {} to {}", aBounds.mMin, aBounds.mMax));
    return aDefault;
  }
  return *value;
}

double
TomlReader::OptionalNumber(std::string_view aKey, double aDefault)
{
  mReadKeys.emplace(aKey);
  const toml::node* node = AsTable(mTable).get(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value<double>();
  if (!value.has_value() || !node->is_number()) {
    RecordError(aKey, "must be a number");
    return aDefault;
  }
  return *value;
}

bool
TomlReader::OptionalBool(std::string_view aKey, bool aDefault)
{
  mReadKeys.emplace(aKey);
  const toml::node* node = AsTable(mTable).get(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<bool>();
  if (!value.has_value()) {
    RecordError(aKey, "must be true or false");
    return aDefault;
  }
  return *value;
}

std::int64_t
TomlReader::OptionalUnixMilliseconds(std::string_view aKey, std::int64_t aDefault)
{
  mReadKeys.emplace(aKey);
  const toml::node* node = AsTable(mTable).get(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<toml::date_time>();
  if (!value.has_value() || !value->offset.has_value()) {
    RecordError(aKey, "must be a date and time with an offset, such as 2027-01-31T18:00:00Z");
    return aDefault;
  }
  return ToUnixMilliseconds(*value);
}

std::vector<std::string>
TomlReader::OptionalStrings(std::string_view aKey)
{
  mReadKeys.emplace(aKey);
  std::vector<std::string> values;
  const toml::node* node = AsTable(mTable).get(aKey);
  if (node == nullptr) {
    return values;
  }
  if (!node->is_array()) {
    RecordError(aKey, "must be an array of strings");
    return values;
  }
  for (const toml::node& element : *node->as_array()) {
    const auto value = element.value_exact<std::string>();
    if (!value.has_value()) {
      RecordError(aKey, "must hold strings only");
      return {};
    }
    values.push_back(*value);
  }
  return values;
}

std::vector<TomlReader>
TomlReader::OptionalTables(std::string_view aKey)
{
  mReadKeys.emplace(aKey);
  std::vector<TomlReader> tables;
  const toml::node* node = AsTable(mTable).get(aKey);
  if (node == nullptr) {
    return tables;
  }
  if (!node->is_array_of_tables()) {
    RecordError(aKey, fmt::format("must be tables, written as [[{}]]", aKey));
    return tables;
  }
  for (const toml::node& element : *node->as_array()) {
    tables.push_back(TomlReader{ mDocument, element.as_table(), mFile });
  }
  return tables;
}

absl::Status
TomlReader::Finish()
{
  for (const auto& [key, node] : AsTable(mTable)) {
    if (!mReadKeys.contains(key.str())) {
      RecordError(key.str(), "is not a known key");
    }
  }
  return mMissesKey ? MarkIncomplete(mFirstError) : mFirstError;
}

} // namespace trefoil
