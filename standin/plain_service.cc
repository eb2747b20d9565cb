#include "standin/plain_service.h"

#include "absl/time/clock.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace trefoil::standin {

PlainService::PlainService(PlainServiceOptions aOptions)
  : mOptions(std::move(aOptions))
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
    aExchange.Respond(
      { .mBody = fmt::format("{} answers {}\n", mOptions.mName, aExchange.Request().mTarget) });
  }
}

void
PlainService::ServeRecord(HttpExchange& aExchange)
{
  const std::string& body = aExchange.Request().mBody;
  std::string answer;
  {
    const absl::MutexLock lock{ &mMutex };
    const auto count = std::ranges::count(mRecords, body, &PlainRecord::mBody) + 1;
    answer = fmt::format("{} recorded it, {} in all\n", mOptions.mName, count);
    mRecords.push_back({ .mBody = body, .mAnswer = answer, .mAt = Now() });
  }
  absl::SleepFor(absl::Milliseconds(mOptions.mDelayMilliseconds));
  aExchange.Respond({ .mStatus = 201, .mBody = answer });
}

void
PlainService::ServeHistory(HttpExchange& aExchange)
{
  Poco::JSON::Array records;
  {
    const absl::MutexLock lock{ &mMutex };
    for (const PlainRecord& record : mRecords) {
      records.add(record.mBody);
    }
  }
  std::ostringstream text;
  records.stringify(text);
  aExchange.Respond({ .mBody = text.str() + "\n" });
}

std::vector<PlainRecord>
PlainService::Records()
{
  const absl::MutexLock lock{ &mMutex };
  return mRecords;
}

} // namespace trefoil::standin
