#include "tests/site/site.h"

#include "trefoil/base/digest.h"
#include "trefoil/platform/store_client.h"

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <fmt/format.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace trefoil {
namespace {

constexpr std::string_view kCredential = "site-credential";
constexpr std::int64_t kMaxConnections = 2000;
constexpr Milliseconds kGenerousLimit{ 60'000 };
constexpr Milliseconds kAwaitPause{ 20 };
constexpr const char* kAddress = "127.0.13.1";

HttpServer
Serving(HttpHandler aHandler)
{
  auto server = HttpServer::Start({ .mListen = { .mAddress = kAddress, .mPort = 0 },
                                    .mHandler = std::move(aHandler),
                                    .mMaxConnections = kMaxConnections });
  if (!server.ok()) {
    throw std::runtime_error(server.status().ToString());
  }
  return std::move(*server);
}

// Returns a port that differs between test programs which run at once.
std::uint16_t
PortOfThisProcess(int aTry)
{
  constexpr int kFirst = 20'000;
  constexpr int kCount = 10'000;
  constexpr int kStep = 37;
  return static_cast<std::uint16_t>(kFirst + (getpid() + aTry * kStep) % kCount);
}

HostSettings
SettingsOf(std::size_t aIndex, const Endpoint& aStore, const SiteOptions& aOptions, int aTry)
{
  const auto address = [](std::size_t aHost) { return fmt::format("127.0.13.{}", aHost + 10); };
  const std::uint16_t port = PortOfThisProcess(aTry);
  HostSettings settings{ .mHost = HostId{ fmt::format("host-{}", aIndex) },
                         .mZone = AvailabilityZoneId{ fmt::format(
                           "zone-{}", aIndex % static_cast<std::size_t>(aOptions.mZones)) },
                         .mListen = { .mAddress = address(aIndex), .mPort = port },
                         .mPeerListen = { .mAddress = address(aIndex),
                                          .mPort = static_cast<std::uint16_t>(port + 1) },
                         .mStore = aStore,
                         .mMaxConnections = kMaxConnections,
                         .mMaxBodyBytes = 1 << 20,
                         .mIdleConnectionMilliseconds = 15'000,
                         .mStopNoticeMilliseconds = aOptions.mStopNoticeMilliseconds };
  for (std::size_t host = 0; host < static_cast<std::size_t>(aOptions.mHosts); ++host) {
    settings.mSeeds.push_back({ .mAddress = address(host), .mPort = settings.mPeerListen.mPort });
  }
  return settings;
}

std::unique_ptr<EntryHost>
StartHost(std::size_t aIndex, const Endpoint& aStore, const SiteOptions& aOptions, int aTry)
{
  auto host = EntryHost::Start(SettingsOf(aIndex, aStore, aOptions, aTry));
  if (!host.ok()) {
    throw std::runtime_error(host.status().ToString());
  }
  return std::move(*host);
}

void
TakeId(CallerAnswer& aAnswer, std::string_view aText)
{
  std::int64_t id = 0;
  const bool isNumber = absl::SimpleAtoi(absl::string_view{ aText.data(), aText.size() }, &id);
  aAnswer.mInOrder = aAnswer.mInOrder && isNumber && id == aAnswer.mLastEvent + 1;
  aAnswer.mLastEvent = id;
}

void
TakeData(CallerAnswer& aAnswer, const std::string& aText)
{
  const auto event = Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
  const auto choices = event->getArray("choices");
  if (!choices.isNull() && choices->size() > 0) {
    aAnswer.mText += choices->getObject(0)->optValue<std::string>("text", "");
  }
}

// Takes in a line of a stream. Returns whether the stream has ended.
bool
TakeLine(CallerAnswer& aAnswer, const std::string& aLine)
{
  if (aLine == "data: [DONE]") {
    aAnswer.mEnd = StreamEnd::kDone;
    return true;
  }
  if (aLine.starts_with("event: moved") || aLine.starts_with("event: error")) {
    aAnswer.mEnd = aLine.ends_with("moved") ? StreamEnd::kMoved : StreamEnd::kError;
    return true;
  }
  if (aLine.starts_with("id: ")) {
    TakeId(aAnswer, std::string_view{ aLine }.substr(4));
  } else if (aLine.starts_with("data: ")) {
    TakeData(aAnswer, aLine.substr(6));
  }
  return false;
}

void
ReadStream(const HttpCall& aCall, CallerAnswer& aAnswer, std::int64_t aMaxEvents)
{
  auto opened = HttpStream::Open(aCall);
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    aAnswer.mEnd = failure->mVerdict == Verdict::kNotRun ? StreamEnd::kRefused : StreamEnd::kCut;
    aAnswer.mRefusal = failure->mStatus.ToString();
    return;
  }
  auto& stream = std::get<HttpStream>(opened);
  aAnswer.mStatus = stream.Status();
  if (aAnswer.mRequest.empty()) {
    aAnswer.mRequest = std::string{ HeaderValue(stream.Headers(), "X-Request-Id") };
  }
  if (stream.Status() != 200) {
    aAnswer.mEnd = StreamEnd::kRefused;
    const auto refusal = stream.ReadLine(aCall.mDeadline);
    aAnswer.mRefusal = refusal.ok() ? *refusal : "";
    return;
  }
  aAnswer.mEnd = StreamEnd::kCut;
  while (true) {
    const auto line = stream.ReadLine(aCall.mDeadline);
    if (!line.ok() || TakeLine(aAnswer, *line)) {
      return;
    }
    if (line->starts_with("data: ") && aAnswer.mLastEvent + 1 >= aMaxEvents) {
      return;
    }
  }
}

} // namespace

Site::Site(const SiteOptions& aOptions)
{
  StartEngines(aOptions);
  StartStore();
  StartHosts(aOptions);
  AwaitHosts();
}

Site::~Site()
{
  for (const auto& engine : mEngines) {
    engine->SetState(standin::EngineState::kDead);
  }
  mHosts.clear();
}

void
Site::StartEngines(const SiteOptions& aOptions)
{
  for (int i = 0; i < aOptions.mEngines; ++i) {
    mEngines.push_back(std::make_unique<standin::Engine>(
      standin::EngineOptions{ .mName = fmt::format("engine-{}", i),
                              .mFirstTokenMilliseconds = aOptions.mFirstTokenMilliseconds,
                              .mTokenEveryMilliseconds = aOptions.mTokenEveryMilliseconds,
                              .mExportTokensPerSecond = aOptions.mExportTokensPerSecond }));
    standin::Engine* engine = mEngines.back().get();
    mEngineServers.push_back(
      Serving([engine](HttpExchange& aExchange) { engine->Serve(aExchange); }));
  }
}

Endpoint
Site::EngineEndpoint(std::size_t aIndex) const
{
  return { .mAddress = kAddress, .mPort = mEngineServers.at(aIndex).Port() };
}

std::string
Site::DocumentText() const
{
  std::string text = fmt::format("service = \"rules\"\nkind = \"model\"\n"
                                 "[[version]]\nversion = \"v1\"\nshare_percent = 100\n"
                                 "[[account]]\naccount = \"a\"\ncredential_sha256 = \"{}\"\n",
                                 Sha256Hex(kCredential));
  for (std::size_t i = 0; i < mEngines.size(); ++i) {
    text += fmt::format("[[backend_server]]\nserver = \"engine-{}\"\nendpoint = \"{}\"\n"
                        "availability_zone = \"zone-{}\"\nversion = \"v1\"\n",
                        i,
                        ToText(EngineEndpoint(i)),
                        i % 3);
  }
  return text;
}

void
Site::StartStore()
{
  mStoreServer.push_back(Serving([this](HttpExchange& aExchange) { mStore.Serve(aExchange); }));
  const StoreClient client{ .mEndpoint = { .mAddress = kAddress,
                                           .mPort = mStoreServer.front().Port() } };
  const StoreWriteResult write =
    CompareAndSwap(client,
                   { .mKey = "services/rules", .mValue = DocumentText(), .mExpected = 0 },
                   Now() + kGenerousLimit);
  if (write.mState != StoreWriteState::kWritten) {
    throw std::runtime_error("the store did not take the document");
  }
}

void
Site::StartHosts(const SiteOptions& aOptions)
{
  constexpr int kMaxTries = 20;
  const Endpoint store{ .mAddress = kAddress, .mPort = mStoreServer.front().Port() };
  for (int attempt = 0;; ++attempt) {
    try {
      for (std::size_t i = 0; i < static_cast<std::size_t>(aOptions.mHosts); ++i) {
        mListens.push_back(SettingsOf(i, store, aOptions, attempt).mListen);
        mHosts.push_back(StartHost(i, store, aOptions, attempt));
      }
      return;
    } catch (const std::runtime_error&) {
      mHosts.clear();
      mListens.clear();
      if (attempt == kMaxTries) {
        throw;
      }
    }
  }
}

void
Site::AwaitHosts() const
{
  const Instant until = Now() + kGenerousLimit;
  for (const Endpoint& listen : mListens) {
    std::size_t alive = 0;
    while (alive + 1 < mHosts.size()) {
      const HttpResult page = Call(CallTo(listen, { .mTarget = "/status" }));
      const auto* answer = std::get_if<HttpResponse>(&page);
      alive = 0;
      if (answer != nullptr) {
        for (std::size_t at = 0; (at = answer->mBody.find("\"alive\"", at)) != std::string::npos;
             ++at) {
          ++alive;
        }
      }
      if (HasPassed(until, Now())) {
        throw std::runtime_error("the hosts did not find each other");
      }
      absl::SleepFor(absl::FromChrono(kAwaitPause));
    }
    while (true) {
      const HttpResult ready = Call(CallTo(listen, { .mTarget = "/readyz" }));
      const auto* answer = std::get_if<HttpResponse>(&ready);
      if (answer != nullptr && answer->mStatus == 200) {
        break;
      }
      absl::SleepFor(absl::FromChrono(kAwaitPause));
    }
  }
}

std::int64_t
Site::RecomputedTokens() const
{
  std::int64_t tokens = 0;
  for (const auto& engine : mEngines) {
    tokens += engine->RecomputedTokens();
  }
  return tokens;
}

std::int64_t
Site::Crashes() const
{
  std::int64_t crashes = 0;
  for (const auto& engine : mEngines) {
    crashes += engine->Crashes();
  }
  return crashes;
}

std::string
BodyOf(std::string_view aPrompt, std::int64_t aTokens)
{
  Poco::JSON::Object body;
  body.set("model", "rules");
  body.set("prompt", std::string{ aPrompt });
  body.set("max_tokens", aTokens);
  body.set("stream", true);
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

HttpCall
CallTo(const Endpoint& aHost, HttpRequest aRequest)
{
  SetHeader(aRequest.mHeaders, "Authorization", fmt::format("Bearer {}", kCredential));
  return { .mServer = aHost, .mRequest = std::move(aRequest), .mDeadline = Now() + kGenerousLimit };
}

CallerAnswer
Ask(const Endpoint& aHost, const std::string& aBody, std::int64_t aMaxEvents)
{
  CallerAnswer answer;
  ReadStream(CallTo(aHost, { .mMethod = "POST", .mTarget = "/v1/completions", .mBody = aBody }),
             answer,
             aMaxEvents);
  return answer;
}

void
Reattach(const Endpoint& aHost, CallerAnswer& aAnswer)
{
  HttpRequest request{ .mTarget = "/v1/requests/" + aAnswer.mRequest };
  if (aAnswer.mLastEvent >= 0) {
    SetHeader(request.mHeaders, "Last-Event-ID", fmt::format("{}", aAnswer.mLastEvent));
  }
  ReadStream(CallTo(aHost, std::move(request)), aAnswer, 1'000'000);
}

} // namespace trefoil
