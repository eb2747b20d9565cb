#include "standin/plain_service.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace trefoil::standin {

PlainService::PlainService(std::string aName)
  : mName(std::move(aName))
{
}

void
PlainService::Serve(HttpExchange& aExchange)
{
  if (aExchange.Request().mMethod == "POST") {
    ServeRecord(aExchange);
  } else if (PathOf(aExchange.Request().mTarget) == "/history") {
    ServeHistory(aExchange);
  } else {
    aExchange.Answer(
      { .mBody = fmt::format("{} answers {}\n", mName, aExchange.Request().mTarget) });
  }
}

void
PlainService::ServeRecord(HttpExchange& aExchange)
{
  const std::string& body = aExchange.Request().mBody;
  std::ptrdiff_t count = 0;
  {
    const absl::MutexLock lock{ &mMutex };
    mRecords.push_back(body);
    count = std::ranges::count(mRecords, body);
  }
  aExchange.Answer(
    { .mStatus = 201, .mBody = fmt::format("{} recorded it, {} in all\n", mName, count) });
}

void
PlainService::ServeHistory(HttpExchange& aExchange)
{
  Poco::JSON::Array records;
  {
    const absl::MutexLock lock{ &mMutex };
    for (const std::string& record : mRecords) {
      records.add(record);
    }
  }
  std::ostringstream text;
  records.stringify(text);
  aExchange.Answer({ .mBody = text.str() + "\n" });
}

} // namespace trefoil::standin
