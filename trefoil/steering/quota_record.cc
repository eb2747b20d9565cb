#include "trefoil/steering/quota_record.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <sstream>

namespace trefoil {

std::string
RenderQuotaRecord(const QuotaRecord& aRecord)
{
  Poco::JSON::Object accounts;
  for (const auto& [account, slices] : aRecord.mSlices) {
    Poco::JSON::Array list;
    for (const std::int64_t used : slices) {
      list.add(used);
    }
    accounts.set(account.Value(), list);
  }
  Poco::JSON::Object object;
  object.set("at_ms", UnixMilliseconds(aRecord.mAt));
  object.set("slice_ms", aRecord.mSlice.count());
  object.set("accounts", accounts);
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

absl::StatusOr<QuotaRecord>
ParseQuotaRecord(const std::string& aText)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
    QuotaRecord record{ .mAt = FromUnixMilliseconds(object->getValue<std::int64_t>("at_ms")),
                        .mSlice = Milliseconds{ object->getValue<std::int64_t>("slice_ms") } };
    const auto accounts = object->getObject("accounts");
    if (accounts.isNull()) {
      return absl::DataLossError("a quota record has no accounts");
    }
    for (const std::string& account : accounts->getNames()) {
      const auto list = accounts->getArray(account);
      if (list.isNull()) {
        return absl::DataLossError("a quota record has an account without uses");
      }
      for (const auto& used : *list) {
        record.mSlices[ClientAccountId{ account }].push_back(used.convert<std::int64_t>());
      }
    }
    return record;
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

std::vector<PastUse>
PastUses(const QuotaRecord& aRecord, WallTime aNow)
{
  const Milliseconds since =
    std::max(Milliseconds{ 0 }, std::chrono::duration_cast<Milliseconds>(aNow - aRecord.mAt));
  std::vector<PastUse> uses;
  for (const auto& [account, slices] : aRecord.mSlices) {
    Milliseconds age = since;
    for (auto used = slices.rbegin(); used != slices.rend(); ++used) {
      if (*used > 0) {
        uses.push_back({ .mAccount = account, .mCost = static_cast<double>(*used), .mAge = age });
      }
      age += aRecord.mSlice;
    }
  }
  return uses;
}

QuotaRecord
MakeQuotaRecord(const std::map<ClientAccountId, QuotaUse>& aUses, WallTime aNow)
{
  QuotaRecord record{ .mAt = aNow };
  for (const auto& [account, use] : aUses) {
    const SlidingCount& window = use.mAllHosts;
    record.mSlice = std::chrono::duration_cast<Milliseconds>(window.mSlice);
    const auto size = static_cast<std::int64_t>(window.mSlices.size());
    for (std::int64_t slice = window.mNewest - size + 1; slice <= window.mNewest; ++slice) {
      record.mSlices[account].push_back(
        static_cast<std::int64_t>(window.mSlices[static_cast<std::size_t>(slice % size)]));
    }
  }
  return record;
}

} // namespace trefoil
