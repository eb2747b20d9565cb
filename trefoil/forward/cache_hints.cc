#include "trefoil/forward/cache_hints.h"

namespace trefoil {
namespace {

// After this time without use, the server has probably evicted the shared parts from its cache.
constexpr std::chrono::seconds kHintTtl{ 30 };
// Twice the number of sessions that all 72 hosts of a site serve within kHintTtl.
constexpr std::size_t kMaxKeys = 4'000;

} // namespace

void
RecordCacheHint(CacheHints& aHints,
                const std::string& aKey,
                const BackendServerId& aServer,
                Instant aNow)
{
  if (aHints.mPrefillTimes.size() >= kMaxKeys) {
    std::erase_if(aHints.mPrefillTimes, [aNow](const auto& aItem) {
      for (const auto& [server, prefilledAt] : aItem.second) {
        if (aNow - prefilledAt <= kHintTtl) {
          return false;
        }
      }
      return true;
    });
    if (aHints.mPrefillTimes.size() >= kMaxKeys) {
      aHints.mPrefillTimes.clear();
    }
  }
  aHints.mPrefillTimes[aKey][aServer] = aNow;
}

const PrefillTimes*
FindCacheHints(const CacheHints& aHints, const std::string& aKey)
{
  const auto key = aHints.mPrefillTimes.find(aKey);
  return key == aHints.mPrefillTimes.end() ? nullptr : &key->second;
}

bool
IsLikelyCached(const PrefillTimes* aPrefillTimes, const BackendServerId& aServer, Instant aNow)
{
  if (aPrefillTimes == nullptr) {
    return false;
  }
  const auto server = aPrefillTimes->find(aServer);
  return server != aPrefillTimes->end() && aNow - server->second <= kHintTtl;
}

} // namespace trefoil
