// Runs entry hosts, stand-in engines and a stand-in store in one process, for tests and
// measurements.
//
//   Site site{ { .mEngines = 3, .mHosts = 2 } };
//   const std::string body = MakeCompletionBody("castling?", 40);
//   CallerAnswer answer = StreamCompletion(site.ListenEndpoint(0), body);
//
// Listens on 127.0.13.x. The constructor returns when all hosts are ready.
#pragma once

#include "standin/engine.h"
#include "standin/store.h"
#include "trefoil/http/client.h"
#include "trefoil/http_server/http_server.h"
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
  // The number of availability zones, over which the hosts are spread evenly.
  int mZones = 1;
  std::int64_t mFirstTokenMilliseconds = 5;
  std::int64_t mTokenIntervalMilliseconds = 5;
  // The rate at which an engine exports its KV cache; 0 disables the export.
  std::int64_t mExportTokensPerSecond = 100'000;
  // The backend servers of the plain service "app", which exists unless there are none.
  std::vector<Endpoint> mPlainServers;
  // The time between the request to stop a host and its end.
  std::int64_t mStopNoticeMilliseconds = 20'000;
};

class Site
{
public:
  // Starts all parts. Throws std::runtime_error if one of them does not start.
  explicit Site(const SiteOptions& aOptions);
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;
  ~Site();

  standin::Engine& EngineAt(std::size_t aIndex) { return *mEngines.at(aIndex); }
  std::size_t EngineCount() const { return mEngines.size(); }
  Endpoint EngineEndpoint(std::size_t aIndex) const;

  EntryHost& HostAt(std::size_t aIndex) { return *mHosts.at(aIndex); }
  std::size_t HostCount() const { return mHosts.size(); }
  Endpoint ListenEndpoint(std::size_t aIndex) const { return mListenEndpoints.at(aIndex); }
  // Returns where the host receives messages of other hosts.
  Endpoint PeerEndpoint(std::size_t aIndex) const;
  // Destroys a host immediately, without a call of EntryHost::Stop().
  void DestroyHost(std::size_t aIndex) { mHosts.at(aIndex).reset(); }

  // Returns the number of tokens that the engines together prefilled again.
  std::int64_t RecomputedTokens() const;
  // Returns how often a request crashed an engine, over all engines.
  std::int64_t Crashes() const;

private:
  void StartEngines(const SiteOptions& aOptions);
  void StartStore(const SiteOptions& aOptions);
  void StartHosts(const SiteOptions& aOptions);
  void WaitForHosts() const;
  std::string DocumentText() const;
  void WriteDocument(const std::string& aKey, const std::string& aText);

  standin::Store mStore;
  std::vector<std::unique_ptr<standin::Engine>> mEngines;
  std::vector<HttpServer> mEngineServers;
  // Holds one server after StartStore().
  std::vector<HttpServer> mStoreServer;
  std::vector<std::unique_ptr<EntryHost>> mHosts;
  std::vector<Endpoint> mListenEndpoints;
};

// How a caller's stream ended.
enum class StreamEnd
{
  kDone,
  // The host sent a `moved` event: the stream continues at another host.
  kMoved,
  // The host sent an `error` event with the reason.
  kError,
  // The connection ended without an end mark, or the reader stopped after its maximum of events.
  // Also if the call failed and the request may have run.
  kCutOff,
  // The host answered with a status other than 200, or the call failed and the request has not
  // run.
  kRefused,
};

inline constexpr NameTable<StreamEnd, 5> kStreamEndNames{ {
  { StreamEnd::kDone, "done" },
  { StreamEnd::kMoved, "moved" },
  { StreamEnd::kError, "error" },
  { StreamEnd::kCutOff, "cut" },
  { StreamEnd::kRefused, "refused" },
} };

// The part of an answer that a caller has received.
struct CallerAnswer
{
  StreamEnd mEnd = StreamEnd::kRefused;
  // The HTTP status; 0 if the host did not answer.
  int mStatus = 0;
  std::string mRequestId;
  // The text of all tokens.
  std::string mText;
  // The id of the last event; -1 before the first event.
  std::int64_t mLastEventId = -1;
  // Whether each event's id was one higher than the id before it.
  bool mInOrder = true;
  // The first line of a refusal, or the reason why the request could not be sent.
  std::string mRefusalText;
};

// Returns the body of a request for a streamed completion with at most `aTokens` tokens.
std::string
MakeCompletionBody(std::string_view aPrompt, std::int64_t aTokens);

// Sends the request for a streamed completion to the host and reads the stream to its end, but at
// most `aMaxEvents` events.
CallerAnswer
StreamCompletion(const Endpoint& aHost,
                 const std::string& aBody,
                 std::int64_t aMaxEvents = 1'000'000);

// Resumes a stream at the host after the last received event, and appends to `aAnswer`.
void
Reattach(const Endpoint& aHost, CallerAnswer& aAnswer);

// Returns a call to the host with the credential of the site's client account.
HttpCall
MakeAuthorizedCall(const Endpoint& aHost, HttpRequest aRequest);

} // namespace trefoil
