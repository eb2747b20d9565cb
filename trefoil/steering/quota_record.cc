#include "trefoil/steering/quota_record.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace trefoil {

std::string
RenderQuotaRecord(const QuotaRecord& aRecord)
{
  Poco::JSON::Object levels;
  Poco::JSON::Object demands;
  for (const auto& [account, snapshot] : aRecord) {
    levels.set(account.Value(), snapshot.mLevel);
    demands.set(account.Value(), snapshot.mAskedPerSecond);
  }
  Poco::JSON::Object object;
  object.set("levels", levels);
  object.set("asked_per_second", demands);
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

absl::StatusOr<QuotaRecord>
ParseQuotaRecord(const std::string& aText)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
    const auto levels = object->getObject("levels");
    if (levels.isNull()) {
      return absl::DataLossError("a quota record has no levels");
    }
    const auto demands = object->getObject("asked_per_second");
    QuotaRecord record;
    for (const std::string& account : levels->getNames()) {
      QuotaSnapshot& snapshot = record[ClientAccountId{ account }];
      snapshot.mLevel = levels->getValue<double>(account);
      snapshot.mAskedPerSecond = demands.isNull() ? 0 : demands->optValue<double>(account, 0);
    }
    return record;
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

} // namespace trefoil
