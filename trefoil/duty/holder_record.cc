#include "trefoil/duty/holder_record.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace trefoil {

std::string
DutyClaimKey(const ServiceId& aService)
{
  return "duties/" + aService.Value();
}

std::string
RenderHolderRecord(const HolderRecord& aRecord)
{
  Poco::JSON::Object object;
  object.set("host", aRecord.mHost.Value());
  object.set("nonce", std::to_string(aRecord.mNonce));
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

absl::StatusOr<HolderRecord>
ParseHolderRecord(const std::string& aText)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
    return HolderRecord{ .mHost = HostId{ object->getValue<std::string>("host") },
                         .mNonce = object->getValue<std::uint64_t>("nonce") };
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

} // namespace trefoil
