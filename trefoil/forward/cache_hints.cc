#include "trefoil/forward/cache_hints.h"

namespace trefoil {
namespace {

// A part that was not used for longer has probably given way to others.
constexpr std::chrono::seconds kHintAge{ 30 };
// Keys kept: twice the sessions that all hosts of a site of 72 see in kHintAge.
constexpr std::size_t kMaxKeys = 4'000;

} // namespace

void
NoteRead(CacheHints& aHints, const std::string& aKey, const BackendServerId& aServer, Instant aNow)
{
  if (aHints.mReadAt.size() >= kMaxKeys) {
    std::erase_if(aHints.mReadAt, [aNow](const auto& aItem) {
      for (const auto& [server, readAt] : aItem.second) {
        if (aNow - readAt <= kHintAge) {
          return false;
        }
      }
      return true;
    });
    if (aHints.mReadAt.size() >= kMaxKeys) {
      aHints.mReadAt.clear();
    }
  }
  aHints.mReadAt[aKey][aServer] = aNow;
}

const CacheReaders*
ReadersOf(const CacheHints& aHints, const std::string& aKey)
{
  const auto key = aHints.mReadAt.find(aKey);
  return key == aHints.mReadAt.end() ? nullptr : &key->second;
}

bool
Holds(const CacheReaders* aReaders, const BackendServerId& aServer, Instant aNow)
{
  if (aReaders == nullptr) {
    return false;
  }
  const auto server = aReaders->find(aServer);
  return server != aReaders->end() && aNow - server->second <= kHintAge;
}

} // namespace trefoil
