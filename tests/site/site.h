// Entry hosts, stand-in engines and a stand-in store in one process, for tests and measurements.
//
//   Site site{ { .mEngines = 3, .mHosts = 2 } };
//   CallerAnswer answer = Ask(site.Listen(0), BodyOf("castling?", 40));
//
// Listens on 127.0.13.x.
#pragma once

#include "standin/engine.h"
#include "standin/store.h"
#include "trefoil/http/client.h"
#include "trefoil/http/server.h"
#include "trefoil/node/entry_host.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

struct SiteOptions
{
  int mEngines = 3;
  int mHosts = 3;
  // Hosts are spread over so many availability zones.
  int mZones = 1;
  std::int64_t mFirstTokenMilliseconds = 5;
  std::int64_t mTokenEveryMilliseconds = 5;
  std::int64_t mExportTokensPerSecond = 100'000;
  // The notice between a host's stop and its end.
  std::int64_t mStopNoticeMilliseconds = 20'000;
};

class Site
{
public:
  // Throws std::runtime_error if a part does not start.
  explicit Site(const SiteOptions& aOptions);
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;
  ~Site();

  standin::Engine& EngineAt(std::size_t aIndex) { return *mEngines.at(aIndex); }
  std::size_t Engines() const { return mEngines.size(); }
  Endpoint EngineEndpoint(std::size_t aIndex) const;

  EntryHost& HostAt(std::size_t aIndex) { return *mHosts.at(aIndex); }
  std::size_t Hosts() const { return mHosts.size(); }
  Endpoint Listen(std::size_t aIndex) const { return mListens.at(aIndex); }
  // Ends a host at once, without a stop.
  void DropHost(std::size_t aIndex) { mHosts.at(aIndex).reset(); }

  // Returns the tokens that all engines had to prefill again.
  std::int64_t RecomputedTokens() const;
  // Returns how often a request killed an engine.
  std::int64_t Crashes() const;

private:
  void StartEngines(const SiteOptions& aOptions);
  void StartStore();
  void StartHosts(const SiteOptions& aOptions);
  void AwaitHosts() const;
  std::string DocumentText() const;

  standin::Store mStore;
  std::vector<std::unique_ptr<standin::Engine>> mEngines;
  std::vector<HttpServer> mEngineServers;
  std::vector<HttpServer> mStoreServer;
  std::vector<std::unique_ptr<EntryHost>> mHosts;
  std::vector<Endpoint> mListens;
};

// How a caller's stream ended.
enum class StreamEnd
{
  kDone,
  // It goes on at another host.
  kMoved,
  // With an event that tells why.
  kError,
  // Without a word.
  kCut,
  kRefused,
};

inline constexpr NameTable<StreamEnd, 5> kStreamEndNames{ {
  { StreamEnd::kDone, "done" },
  { StreamEnd::kMoved, "moved" },
  { StreamEnd::kError, "error" },
  { StreamEnd::kCut, "cut" },
  { StreamEnd::kRefused, "refused" },
} };

// What a caller has of its answer.
struct CallerAnswer
{
  StreamEnd mEnd = StreamEnd::kRefused;
  int mStatus = 0;
  std::string mRequest;
  std::string mText;
  // The last event's id; -1 before the first.
  std::int64_t mLastEvent = -1;
  // Whether each event had the id after the one before.
  bool mInOrder = true;
  std::string mRefusal;
};

// Returns the body of a streamed completion of the service that a site serves.
std::string
BodyOf(std::string_view aPrompt, std::int64_t aTokens);

// Sends a streamed completion and reads it; stops reading after `aMaxEvents` events.
CallerAnswer
Ask(const Endpoint& aHost, const std::string& aBody, std::int64_t aMaxEvents = 1'000'000);

// Takes up a stream again, and adds to what the caller has.
void
Reattach(const Endpoint& aHost, CallerAnswer& aAnswer);

// Returns an authorised request of the site's client account.
HttpCall
CallTo(const Endpoint& aHost, HttpRequest aRequest);

} // namespace trefoil
