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
  for (const auto& [account, level] : aRecord) {
    levels.set(account.Value(), level);
  }
  Poco::JSON::Object object;
  object.set("levels", levels);
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
    QuotaRecord record;
    for (const std::string& account : levels->getNames()) {
      record[ClientAccountId{ account }] = levels->getValue<double>(account);
    }
    return record;
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

} // namespace trefoil
