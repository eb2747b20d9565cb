#include "trefoil/audit/trail_codec.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Timestamp.h>
#include <fmt/format.h>
#include <sstream>

namespace trefoil {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr
ObjectOf(const AuditRecord& aRecord)
{
  Object::Ptr object = new Object;
  object->set("kind", std::string{ NameOf(kAuditKindNames, aRecord.mKind) });
  object->set("revision", aRecord.mRevision);
  object->set("who", aRecord.mActor);
  object->set("where", aRecord.mScope);
  object->set("at_unix_ms", UnixMilliseconds(aRecord.mAt));
  object->set("text", aRecord.mText);
  return object;
}

AuditRecord
RecordOf(const Object& aObject)
{
  const auto kind = ValueOf(kAuditKindNames, aObject.getValue<std::string>("kind"));
  if (!kind.has_value()) {
    throw Poco::DataFormatException("unknown kind of record");
  }
  return { .mKind = *kind,
           .mRevision = aObject.getValue<std::uint64_t>("revision"),
           .mActor = aObject.getValue<std::string>("who"),
           .mScope = aObject.getValue<std::string>("where"),
           .mAt = FromUnixMilliseconds(aObject.getValue<std::int64_t>("at_unix_ms")),
           .mText = aObject.getValue<std::string>("text") };
}

} // namespace

std::string
EncodeSegment(const AuditSegment& aSegment)
{
  Array::Ptr records = new Array;
  for (const AuditRecord& record : aSegment.mRecords) {
    records->add(ObjectOf(record));
  }
  Object segment;
  segment.set("number", aSegment.mNumber);
  segment.set("records", records);
  std::ostringstream text;
  segment.stringify(text);
  return text.str();
}

absl::StatusOr<AuditSegment>
DecodeSegment(std::string_view aText)
{
  if (aText.empty()) {
    return AuditSegment{};
  }
  try {
    const auto object = Poco::JSON::Parser{}.parse(std::string{ aText }).extract<Object::Ptr>();
    AuditSegment segment{ .mNumber = object->getValue<std::uint64_t>("number") };
    for (const auto& item : *object->getArray("records")) {
      segment.mRecords.push_back(RecordOf(*item.extract<Object::Ptr>()));
    }
    return segment;
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

std::string
RenderRecord(const AuditRecord& aRecord)
{
  constexpr std::int64_t kMicrosecondsInMillisecond = 1000;
  const Poco::Timestamp at{ UnixMilliseconds(aRecord.mAt) * kMicrosecondsInMillisecond };
  const std::string where = aRecord.mScope.empty() ? "" : " in " + aRecord.mScope;
  const std::string text = aRecord.mText.empty() ? "" : ": " + aRecord.mText;
  return fmt::format("{} revision {} {}{} by {}{}",
                     Poco::DateTimeFormatter::format(at, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT),
                     aRecord.mRevision,
                     NameOf(kAuditKindNames, aRecord.mKind),
                     where,
                     aRecord.mActor,
                     text);
}

} // namespace trefoil
