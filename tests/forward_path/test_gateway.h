// A traffic thread with its client, for tests that send requests over sockets to scripted backend
// servers.
//
//   ScriptedServer server{ AnswerSuccess };
//   Gateway gateway;
//   gateway.AddServer("e1", server);
//   gateway.Publish();
//   const ReceivedAnswer answer = gateway.Ask("read", "id-1");
#pragma once

#include "platform/platform_forward_codec.h"
#include "tests/forward_path/scripted_server.h"
#include "trefoil/forward/traffic_thread.h"
#include "trefoil/http/message_reader.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <fmt/format.h>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace trefoil {

// Upper bound of each wait; the awaited events normally come much earlier.
inline constexpr Milliseconds kTestTimeout{ 10'000 };

// An answer as a client receives it.
struct ReceivedAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  // Whether the answer was complete according to its framing.
  bool mComplete = false;
};

class Client
{
public:
  explicit Client(const Endpoint& aEndpoint)
    : mSocket(Poco::Net::SocketAddress{ aEndpoint.mAddress, aEndpoint.mPort })
  {
  }

  explicit Client(const Poco::Net::StreamSocket& aSocket)
    : mSocket(aSocket)
  {
  }

  bool HasAnswerWithin(Milliseconds aTime)
  {
    return mSocket.poll(Poco::Timespan{ std::chrono::microseconds{ aTime }.count() },
                        Poco::Net::Socket::SELECT_READ);
  }

  void Send(const std::string& aBytes)
  {
    mSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  }

  // Lets the peer send only about this many bytes before they are read.
  void LimitReceiveBuffer(int aBytes) { mSocket.setReceiveBufferSize(aBytes); }

  ReceivedAnswer Read()
  {
    MessageReader reader = MessageReader::ForResponse({});
    mSocket.setReceiveTimeout(Poco::Timespan{ std::chrono::microseconds{ kTestTimeout }.count() });
    MessageReadState state = reader.Consume(mReceived);
    while (state == MessageReadState::kHead || state == MessageReadState::kBody) {
      std::array<char, 4096> buffer{};
      const int count = mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (count <= 0) {
        break;
      }
      mReceived.append(buffer.data(), static_cast<std::size_t>(count));
      state = reader.Consume(mReceived);
    }
    ReceivedAnswer answer{ .mComplete = state == MessageReadState::kComplete };
    if (reader.IsHeadComplete()) {
      answer.mStatus = reader.Response().mStatus;
      answer.mHeaders = reader.Response().mHeaders;
      answer.mBody = reader.Body();
    }
    return answer;
  }

private:
  Poco::Net::StreamSocket mSocket;
  std::string mReceived;
};

struct GatewayOptions
{
  const char* mHost = "host-1";
  std::size_t mMaxConnections = 100;
  std::size_t mMaxBufferedBytes = std::size_t{ 32 } * 1024 * 1024;
  double mRetrySlack = 50;
  ForwardCodec mCodec = platform::MakeForwardCodec();
  RegionMap mRegions;
};

// A traffic thread with one route of each kind, which forwards to the backend servers of a test.
class Gateway
{
public:
  explicit Gateway(const GatewayOptions& aOptions = {})
    : mLog(aOptions.mHost)
  {
    mOptions = { .mHost = HostId{ aOptions.mHost },
                 .mZone = AvailabilityZoneId{ "a" },
                 .mRegions = aOptions.mRegions,
                 .mListen = FreeEndpoint(),
                 .mReadiness = FreeEndpoint(),
                 .mRelay = FreeEndpoint(),
                 .mCodec = aOptions.mCodec,
                 .mRetries = { .mRatio = 0.2,
                               .mSlack = aOptions.mRetrySlack,
                               .mWindow = std::chrono::seconds{ 10 } },
                 .mUsageWindow = Milliseconds{ 5'000 },
                 .mMaxConfigurationAge = Milliseconds{ 60'000 },
                 .mMaxConnections = aOptions.mMaxConnections,
                 .mMemoryLimits = { .mTotal = aOptions.mMaxBufferedBytes,
                                    .mIncomplete = aOptions.mMaxBufferedBytes,
                                    .mLarge = aOptions.mMaxBufferedBytes,
                                    .mKernel = aOptions.mMaxBufferedBytes } };
    mTraffic = std::move(TrafficThread::Start(mOptions, mLog, mMetrics).value());
    const auto route = [this](const char* aName, RouteKind aKind, bool aResumable) {
      mCatalogue.mRoutes.push_back({ .mName = aName,
                                     .mHost = "h.example",
                                     .mPathPrefix = fmt::format("/{}/", aName),
                                     .mKind = aKind,
                                     .mTimeout = Milliseconds{ 8'000 },
                                     .mTargets = { { .mService = ServiceId{ "s" } } },
                                     .mAttempts = 2,
                                     .mResumable = aResumable });
    };
    route("read", RouteKind::kIdempotent, false);
    route("write", RouteKind::kNonIdempotent, false);
    route("live", RouteKind::kStream, false);
    route("talk", RouteKind::kStream, true);
    mCatalogue.mAccounts =
      std::vector<ClientAccount>{ { .mName = ClientAccountId{ "club" }, .mKeys = { "k" } } };
  }

  void AddServer(const char* aName, const ScriptedServer& aServer)
  {
    AddServerAt(aName, aServer.ListenEndpoint());
  }

  // Adds a server that this host reaches at another endpoint.
  void AddServerAt(const char* aName, const Endpoint& aEndpoint)
  {
    RegisterServer(mServers,
                   { .mId = BackendServerId{ aName },
                     .mService = ServiceId{ "s" },
                     .mEndpoint = aEndpoint,
                     .mZone = AvailabilityZoneId{ "a" },
                     .mRevision = 1 });
  }

  // Adds a server in a zone.
  void AddServerIn(const char* aZone, const char* aName, const ScriptedServer& aServer)
  {
    RegisterServer(mServers,
                   { .mId = BackendServerId{ aName },
                     .mService = ServiceId{ "s" },
                     .mEndpoint = aServer.ListenEndpoint(),
                     .mZone = AvailabilityZoneId{ aZone },
                     .mRevision = 1 });
  }

  // Lets the other host carry connections for this one.
  void AddCarrier(const Gateway& aOther)
  {
    mCarriers.push_back({ .mHost = aOther.mOptions.mHost,
                          .mEndpoint = *aOther.mOptions.mRelay,
                          .mZone = aOther.mOptions.mZone });
  }

  // Adds routes with no other purpose than to be many; `/many-N/` for N from 0.
  void AddManyRoutes(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mCatalogue.mRoutes.push_back({ .mName = fmt::format("many-{}", i),
                                     .mHost = "h.example",
                                     .mPathPrefix = fmt::format("/many-{}/", i),
                                     .mTimeout = Milliseconds{ 8'000 },
                                     .mTargets = { { .mService = ServiceId{ "s" } } },
                                     .mAttempts = 2 });
    }
  }

  // Moves the service to a version that none of its servers has yet.
  void OrderMove() { mSteering[ServiceId{ "s" }] = { .mTarget = VersionId{ "v2" } }; }

  // Publishes the view and waits until it is in use.
  void Publish(Instant aConfirmedAt = SuspendAwareNow())
  {
    mTraffic->Publish(std::make_shared<TrafficView>(
      TrafficView{ .mCatalogue = std::make_shared<PublishedCatalogue>(
                     PublishedCatalogue{ mCatalogue, MakeCatalogueIndex(mCatalogue) }),
                   .mServers = std::make_shared<ServerRegistry>(mServers),
                   .mConfirmedCurrentAt = aConfirmedAt,
                   .mHostList = std::make_shared<std::vector<HostId>>(mHostList),
                   .mSteering = mSteering,
                   .mEvacuatedZones = mEvacuatedZones,
                   .mCarriers = std::make_shared<Carriers>(mCarriers) }));
    // Reports are made after the tasks that were posted before.
    Report();
  }

  TrafficReport Report()
  {
    std::promise<TrafficReport> report;
    mTraffic->Report([&report](TrafficReport aReport) { report.set_value(std::move(aReport)); });
    return report.get_future().get();
  }

  // Returns the number of requests counted for the account so far.
  std::int64_t Usage(const ClientAccountId& aAccount)
  {
    std::int64_t requests = 0;
    for (const auto& [window, counts] : Report().mUsage) {
      const auto found = counts.find(aAccount);
      requests += found == counts.end() ? 0 : found->second;
    }
    return requests;
  }

  // Returns the value of a line of the metrics, 0 if it is missing.
  double Metric(const std::string& aName) const;

  Client Connect() const { return Client{ mOptions.mListen }; }
  Poco::Net::SocketAddress ListenAddress() const
  {
    return { mOptions.mListen.mAddress, mOptions.mListen.mPort };
  }
  // Sends a request on a new connection and returns its answer.
  ReceivedAnswer Ask(const std::string& aRoute, const std::string& aId) const;
  Client ConnectToReadiness() const { return Client{ mOptions.mReadiness }; }
  TrafficThread& Thread() { return *mTraffic; }

  Catalogue mCatalogue;
  ServerRegistry mServers;
  std::map<ServiceId, VersionSteering> mSteering;
  std::set<AvailabilityZoneId> mEvacuatedZones;
  std::vector<HostId> mHostList{ HostId{ "host-1" } };
  Carriers mCarriers;

private:
  EventLog mLog;
  Metrics mMetrics;
  TrafficOptions mOptions;
  std::unique_ptr<TrafficThread> mTraffic;
};

// Returns a request to the route with a body of four bytes.
std::string
MakeRequest(const std::string& aRoute,
            const std::string& aId,
            const std::string& aKey = "k",
            int aDeadlineMs = 8'000);

// Answers a request with status 200 and the body "done".
Reply
AnswerSuccess(const ReceivedRequest& aRequest);

// Stops a gateway on a thread of its own, and waits for its end when it is destroyed.
class StoppingGateway
{
public:
  StoppingGateway(Gateway& aGateway, Milliseconds aGrace)
    : mThread([&aGateway, deadline = SuspendAwareNow() + aGrace, this] {
      mAborted = aGateway.Thread().Stop(deadline);
    })
  {
  }
  ~StoppingGateway() { Wait(); }
  StoppingGateway(const StoppingGateway&) = delete;
  StoppingGateway& operator=(const StoppingGateway&) = delete;

  // Waits until the gateway has stopped. Returns the number of requests that it did not finish.
  int Wait()
  {
    if (mThread.joinable()) {
      mThread.join();
    }
    return mAborted;
  }

private:
  int mAborted = 0;
  std::thread mThread;
};

} // namespace trefoil
