#include "trefoil/steering/refusal_record.h"

#include "absl/strings/numbers.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace trefoil {

RefusalRecord
RefusalsInForce(const std::map<SuspectKey, Refusal>& aRefusals, Instant aNow)
{
  RefusalRecord record;
  for (const auto& [part, refusal] : aRefusals) {
    if (IsInForce(refusal, aNow)) {
      record[part] = refusal;
    }
  }
  return record;
}

std::string
RenderRefusalRecord(const RefusalRecord& aRecord, const ClockReading& aClock)
{
  Poco::JSON::Object parts;
  for (const auto& [part, refusal] : aRecord) {
    const auto remaining =
      std::chrono::duration_cast<WallTime::duration>(refusal.mUntil - aClock.mNow);
    Poco::JSON::Object entry;
    entry.set("until_ms", UnixMilliseconds(aClock.mWallNow + remaining));
    entry.set("generation", refusal.mGeneration);
    entry.set("level", refusal.mLevel);
    // JSON numbers do not hold 64 bits everywhere.
    parts.set(fmt::format("{:016x}", part), entry);
  }
  Poco::JSON::Object object;
  object.set("parts", parts);
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

absl::StatusOr<RefusalRecord>
ParseRefusalRecord(const std::string& aText, const ClockReading& aClock)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
    const auto parts = object->getObject("parts");
    if (parts.isNull()) {
      return absl::DataLossError("a record of refused parts has no parts");
    }
    RefusalRecord record;
    for (const std::string& name : parts->getNames()) {
      const auto entry = parts->getObject(name);
      PromptPartKey part = 0;
      if (entry.isNull() || !absl::SimpleHexAtoi(name, &part)) {
        return absl::DataLossError("a record of refused parts has a part that is none");
      }
      const std::int64_t nowMs = UnixMilliseconds(aClock.mWallNow);
      const std::int64_t untilMs =
        std::min(entry->getValue<std::int64_t>("until_ms"),
                 nowMs + std::chrono::duration_cast<Milliseconds>(kMaxRefusal).count());
      if (untilMs > nowMs) {
        record[part] = { .mUntil = aClock.mNow + Milliseconds{ untilMs - nowMs },
                         .mGeneration = entry->getValue<std::int64_t>("generation"),
                         .mLevel = entry->getValue<std::int64_t>("level") };
      }
    }
    return record;
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

} // namespace trefoil
