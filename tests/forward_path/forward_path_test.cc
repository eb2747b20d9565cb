// Requests through a traffic thread to scripted backend servers.
#include "platform/forward_codec.h"
#include "tests/forward_path/scripted_server.h"
#include "trefoil/forward/traffic_thread.h"
#include "trefoil/http/message_reader.h"

#include <Poco/Net/SocketAddress.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <future>
#include <memory>

namespace trefoil {
namespace {

// A generous limit for what happens at once.
constexpr Milliseconds kSoon{ 10'000 };

Endpoint
FreeEndpoint()
{
  const Poco::Net::ServerSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", 0 } };
  return { .mAddress = "127.0.0.1", .mPort = socket.address().port() };
}

// What a client sees of an answer.
struct Seen
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  // Whether the answer ended as it should.
  bool mWhole = false;
};

class Client
{
public:
  explicit Client(const Endpoint& aTo)
    : mSocket(Poco::Net::SocketAddress{ aTo.mAddress, aTo.mPort })
  {
  }

  void Send(const std::string& aBytes)
  {
    mSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  }

  Seen Read()
  {
    MessageReader reader = MessageReader::ForResponse({});
    mSocket.setReceiveTimeout(Poco::Timespan{ std::chrono::microseconds{ kSoon }.count() });
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
    Seen seen{ .mWhole = state == MessageReadState::kComplete };
    if (reader.IsHeadComplete()) {
      seen.mStatus = reader.Response().mStatus;
      seen.mHeaders = reader.Response().mHeaders;
      seen.mBody = reader.Body();
    }
    return seen;
  }

private:
  Poco::Net::StreamSocket mSocket;
  std::string mReceived;
};

// A traffic thread with one route of each kind, before the servers of a test.
class Gateway
{
public:
  explicit Gateway(std::size_t aMaxConnections = 100)
  {
    mOptions = { .mHost = HostId{ "host-1" },
                 .mZone = AvailabilityZoneId{ "a" },
                 .mListen = FreeEndpoint(),
                 .mReadiness = FreeEndpoint(),
                 .mCodec = platform::MakeForwardCodec(),
                 .mRetries = { .mRatio = 0.2, .mSlack = 50, .mWindow = std::chrono::seconds{ 10 } },
                 .mUsageWindow = Milliseconds{ 5'000 },
                 .mMaxConfigurationAge = Milliseconds{ 60'000 },
                 .mMaxConnections = aMaxConnections };
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
    mCatalogue.mAccounts = { { .mName = ClientAccountId{ "club" }, .mKeys = { "k" } } };
  }

  void Add(const char* aName, const ScriptedServer& aServer)
  {
    RegisterServer(mServers,
                   { .mId = BackendServerId{ aName },
                     .mService = ServiceId{ "s" },
                     .mEndpoint = aServer.Where(),
                     .mZone = AvailabilityZoneId{ "a" },
                     .mRevision = 1 });
  }

  void Publish(Instant aProvenAt = SuspendAwareNow())
  {
    mTraffic->Publish(std::make_shared<TrafficView>(
      TrafficView{ .mCatalogue = std::make_shared<PublishedCatalogue>(
                     PublishedCatalogue{ mCatalogue, MakeCatalogueIndex(mCatalogue) }),
                   .mServers = std::make_shared<ServerRegistry>(mServers),
                   .mConfirmedCurrentAt = aProvenAt }));
  }

  TrafficReport Report()
  {
    std::promise<TrafficReport> report;
    mTraffic->Report([&report](TrafficReport aReport) { report.set_value(std::move(aReport)); });
    return report.get_future().get();
  }

  // Returns the requests of an account that were counted so far.
  std::int64_t Usage(const ClientAccountId& aAccount)
  {
    std::int64_t requests = 0;
    for (const auto& [window, counts] : Report().mUsage) {
      const auto found = counts.find(aAccount);
      requests += found == counts.end() ? 0 : found->second;
    }
    return requests;
  }

  Client Connect() const { return Client{ mOptions.mListen }; }
  Client ConnectToReadiness() const { return Client{ mOptions.mReadiness }; }
  TrafficThread& Thread() { return *mTraffic; }

  Catalogue mCatalogue;
  ServerRegistry mServers;

private:
  EventLog mLog{ "host-1" };
  Metrics mMetrics;
  TrafficOptions mOptions;
  std::unique_ptr<TrafficThread> mTraffic;
};

std::string
Request(const std::string& aRoute,
        const std::string& aId,
        const std::string& aKey = "k",
        int aDeadlineMs = 8'000)
{
  return fmt::format(
    "POST /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nAuthorization: Token "
    "{}\r\nDeadline-Milliseconds: {}\r\nContent-Length: 4\r\n\r\nbody",
    aRoute,
    aId,
    aKey,
    aDeadlineMs);
}

Reply
Served(const SeenRequest& aRequest)
{
  return { .mBytes = SealedAnswer(aRequest, 200, "done") };
}

SCENARIO("a request is passed to a backend server")
{
  ScriptedServer server{ Served };
  Gateway gateway;
  gateway.Add("e1", server);
  gateway.Publish();
  Client client = gateway.Connect();
  client.Send(Request("write", "id-1"));
  const Seen seen = client.Read();
  CHECK(seen.mStatus == 200);
  CHECK(seen.mBody == "done");
  CHECK(HeaderValue(seen.mHeaders, "Response-Seal") == "s");
  THEN("the server saw it as the client sent it, with what the system adds")
  {
    const HttpRequest request = server.Seen().at(0);
    CHECK(request.mTarget == "/write/x");
    CHECK(request.mBody == "body");
    CHECK(HeaderValue(request.mHeaders, "Tenant") == "club");
    CHECK(HeaderValue(request.mHeaders, "Expected-Instance") == "e1");
    CHECK(HeaderValue(request.mHeaders, "Authorization").empty());
  }
  THEN("the client's connection carries further requests")
  {
    client.Send(Request("read", "id-2"));
    CHECK(client.Read().mStatus == 200);
  }
}

SCENARIO("a request is not allowed")
{
  ScriptedServer server{ Served };
  Gateway gateway;
  gateway.Add("e1", server);
  Client client = gateway.Connect();
  GIVEN("no configuration yet")
  {
    client.Send(Request("read", "id-1"));
    THEN("it has not run, and the client may come again")
    {
      CHECK(client.Read().mStatus == 503);
    }
  }
  GIVEN("a configuration")
  {
    gateway.Publish();
    THEN("an unknown key is refused")
    {
      client.Send(Request("read", "id-1", "other"));
      CHECK(client.Read().mStatus == 401);
    }
    THEN("an unknown route is refused")
    {
      client.Send(Request("none", "id-1"));
      CHECK(client.Read().mStatus == 404);
    }
    THEN("a request that leaves open where it ends is refused and the connection closed")
    {
      client.Send("POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/y HTTP/1.1\r\n\r\n");
      CHECK(client.Read().mStatus == 400);
      CHECK(client.Read().mStatus == 0);
    }
    CHECK(server.Seen().empty());
  }
  GIVEN("a configuration that was not proven current for long")
  {
    gateway.Publish(SuspendAwareNow() - std::chrono::minutes{ 2 });
    THEN("no key is trusted")
    {
      client.Send(Request("read", "id-1"));
      CHECK(client.Read().mStatus == 503);
      CHECK(server.Seen().empty());
    }
  }
}

SCENARIO("a backend server breaks off")
{
  ScriptedServer broken{ [](const SeenRequest&) { return Reply{ .mClose = true }; } };
  ScriptedServer good{ Served };
  Gateway gateway;
  gateway.Add("e1", broken);
  GIVEN("a request that must not run twice")
  {
    gateway.Publish();
    Client client = gateway.Connect();
    client.Send(Request("write", "id-1"));
    THEN("it is sent once, and the answer does not say that it has not run")
    {
      CHECK(client.Read().mStatus == 502);
      CHECK(broken.Seen().size() == 1);
    }
    THEN("it counts for the usage of its account, since it may have run")
    {
      client.Read();
      CHECK(gateway.Usage(ClientAccountId{ "club" }) == 1);
    }
  }
  GIVEN("one that may, and another server")
  {
    gateway.Publish();
    Client client = gateway.Connect();
    client.Send(Request("read", "id-1"));
    CHECK(client.Read().mStatus == 502);
    gateway.Add("e2", good);
    gateway.Publish();
    client.Send(Request("read", "id-2"));
    THEN("it runs on the other one")
    {
      CHECK(client.Read().mStatus == 200);
    }
  }
}

SCENARIO("a server answers that it is unavailable after another one may have run the request")
{
  // The first request anywhere breaks off, whichever server gets it; the next one is refused.
  std::atomic<int> requests{ 0 };
  const auto refusing = [&requests](const std::string& aSeal) {
    return [&requests, aSeal](const SeenRequest& aRequest) {
      if (requests++ == 0) {
        return Reply{ .mClose = true };
      }
      return Reply{ .mBytes = AnswerWith(aRequest, 503, aSeal) };
    };
  };
  Gateway gateway;
  const auto ask = [&gateway](const ScriptedServer& aFirst, const ScriptedServer& aSecond) {
    gateway.Add("e1", aFirst);
    gateway.Add("e2", aSecond);
    gateway.Publish();
    Client client = gateway.Connect();
    client.Send(Request("talk", "id-1"));
    return client.Read().mStatus;
  };
  WHEN("its answer is sealed")
  {
    ScriptedServer first{ refusing("Response-Seal: s\r\n") };
    ScriptedServer second{ refusing("Response-Seal: s\r\n") };
    THEN("the client is not told that the request has not run")
    {
      CHECK(ask(first, second) == 502);
      CHECK(requests == 2);
    }
  }
  WHEN("its answer is not sealed")
  {
    ScriptedServer first{ refusing("") };
    ScriptedServer second{ refusing("") };
    THEN("the client is not told so either")
    {
      CHECK(ask(first, second) == 502);
      CHECK(requests == 2);
    }
  }
}

SCENARIO("a server's failure is not sealed and does not say whether the request ran")
{
  ScriptedServer server{ [](const SeenRequest& aRequest) {
    return Reply{ .mBytes = AnswerWith(aRequest, 429) };
  } };
  Gateway gateway;
  gateway.Add("e1", server);
  gateway.Publish();
  Client client = gateway.Connect();
  client.Send(Request("write", "id-1"));
  THEN("the client is not told that it has not run")
  {
    CHECK(client.Read().mStatus == 502);
  }
}

SCENARIO("backend servers turn requests away")
{
  const auto full = [](const SeenRequest& aRequest) {
    return Reply{ .mBytes = AnswerWith(aRequest, 503, "Not-Executed: 1\r\n") };
  };
  ScriptedServer first{ full };
  Gateway gateway;
  gateway.Add("e1", first);
  GIVEN("only full ones")
  {
    gateway.Publish();
    Client client = gateway.Connect();
    client.Send(Request("write", "id-1", "k", 900));
    const Seen seen = client.Read();
    THEN("the request has not run, and the client is told when to come again")
    {
      CHECK(seen.mStatus == 503);
      CHECK(std::stod(std::string{ HeaderValue(seen.mHeaders, "Retry-After") }) <= 0.3);
    }
  }
  GIVEN("one with room")
  {
    ScriptedServer second{ Served };
    gateway.Add("e2", second);
    gateway.Publish();
    Client client = gateway.Connect();
    for (int request = 0; request < 4; ++request) {
      client.Send(Request("write", fmt::format("id-{}", request)));
      CHECK(client.Read().mStatus == 200);
    }
    THEN("all run there, also those that must not run twice")
    {
      CHECK(second.Seen().size() == 4);
    }
  }
}

SCENARIO("a backend server sends a second answer")
{
  ScriptedServer server{ [](const SeenRequest& aRequest) {
    Reply reply = Served(aRequest);
    if (aRequest.mNumber == 0) {
      reply.mBytes += SealedAnswer(aRequest, 200, "again");
    }
    return reply;
  } };
  Gateway gateway;
  gateway.Add("e1", server);
  gateway.Publish();
  Client client = gateway.Connect();
  client.Send(Request("read", "id-1"));
  CHECK(client.Read().mBody == "done");
  THEN("it never reaches the next request")
  {
    client.Send(Request("read", "id-2"));
    const Seen seen = client.Read();
    CHECK(seen.mBody == "done");
    CHECK(HeaderValue(seen.mHeaders, "Request-Id") == "id-2");
  }
}

SCENARIO("a success is not vouched for")
{
  ScriptedServer server{ [](const SeenRequest& aRequest) {
    return Reply{ .mBytes = AnswerWith(aRequest, 200, "", "no") };
  } };
  Gateway gateway;
  gateway.Add("e1", server);
  gateway.Publish();
  Client client = gateway.Connect();
  client.Send(Request("write", "id-1"));
  THEN("the client does not get it")
  {
    CHECK(client.Read().mStatus == 502);
  }
}

SCENARIO("a stream breaks off in the middle")
{
  ScriptedServer first{ [](const SeenRequest& aRequest) {
    // The third event is cut.
    return Reply{ .mBytes =
                    StreamStart(aRequest) + EventChunk(1) + EventChunk(2) + "9\r\nid: 3\nda",
                  .mClose = true };
  } };
  Gateway gateway;
  gateway.Add("e1", first);
  GIVEN("a route whose streams cannot be resumed")
  {
    gateway.Publish();
    Client client = gateway.Connect();
    client.Send(Request("live", "id-1"));
    const Seen seen = client.Read();
    THEN("the client sees the whole events, and that the answer is not whole")
    {
      CHECK(seen.mBody == "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
      CHECK_FALSE(seen.mWhole);
    }
  }
  GIVEN("one whose streams can, and another server")
  {
    ScriptedServer second{ [](const SeenRequest& aRequest) {
      const bool resumed = HeaderValue(aRequest.mRequest.mHeaders, "Last-Event-Id") == "2";
      return Reply{ .mBytes = StreamStart(aRequest) +
                              (resumed ? "" : EventChunk(1) + EventChunk(2)) + EventChunk(3) +
                              EventChunk(4) + kStreamEnd };
    } };
    gateway.Publish();
    Client client = gateway.Connect();
    client.Send(Request("talk", "id-1"));
    CHECK_FALSE(client.Read().mWhole);
    gateway.Add("e2", second);
    gateway.Publish();
    Client again = gateway.Connect();
    again.Send(Request("talk", "id-2"));
    const Seen seen = again.Read();
    THEN("the client sees each event once and no seam")
    {
      CHECK(seen.mBody ==
            "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\nid: 4\ndata: d4\n\n");
      CHECK(seen.mWhole);
    }
  }
}

SCENARIO("a backend server does not answer")
{
  ScriptedServer server{ [](const SeenRequest&) { return Reply{ .mHang = true }; } };
  Gateway gateway;
  gateway.Add("e1", server);
  gateway.Publish();
  GIVEN("a client that waits for a short time")
  {
    Client client = gateway.Connect();
    client.Send(Request("write", "id-1", "k", 300));
    THEN("it is told at its deadline, and that the request may have run")
    {
      CHECK(client.Read().mStatus == 504);
    }
  }
  GIVEN("a client that leaves")
  {
    {
      Client client = gateway.Connect();
      client.Send(Request("live", "id-1"));
      const Instant deadline = SuspendAwareNow() + kSoon;
      while (server.Seen().empty() && !HasPassed(deadline, SuspendAwareNow())) {
        std::this_thread::sleep_for(Milliseconds{ 5 });
      }
    }
    THEN("the server is told to stop its work")
    {
      const Instant deadline = SuspendAwareNow() + kSoon;
      while (server.Abandoned() == 0 && !HasPassed(deadline, SuspendAwareNow())) {
        std::this_thread::sleep_for(Milliseconds{ 5 });
      }
      CHECK(server.Abandoned() == 1);
    }
  }
}

SCENARIO("as many clients are connected as the host takes")
{
  ScriptedServer server{ Served };
  Gateway gateway{ 2 };
  gateway.Add("e1", server);
  gateway.Publish();
  auto first = std::make_unique<Client>(gateway.Connect());
  Client second = gateway.Connect();
  for (Client* client : { first.get(), &second }) {
    client->Send("GET /none/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n\r\n");
    CHECK(client->Read().mStatus == 404);
  }
  Client third = gateway.Connect();
  third.Send("GET /none/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: y\r\n\r\n");
  WHEN("one of them leaves")
  {
    first.reset();
    THEN("the one that waits is served")
    {
      CHECK(third.Read().mStatus == 404);
    }
  }
}

SCENARIO("a server stays silent on a request that must not run twice")
{
  ScriptedServer silent{ [](const SeenRequest&) { return Reply{ .mHang = true }; } };
  ScriptedServer good{ Served };
  Gateway gateway;
  gateway.Add("e1", silent);
  gateway.Publish();
  Client waiting = gateway.Connect();
  waiting.Send(Request("write", "id-1"));
  const Instant deadline = SuspendAwareNow() + kSoon;
  std::vector<BackendServerId> broken;
  while (broken.empty() && !HasPassed(deadline, SuspendAwareNow())) {
    std::this_thread::sleep_for(Milliseconds{ 10 });
    broken = gateway.Report().mBroken;
  }
  THEN("other hosts can be told before its deadline, and the request stays with the server")
  {
    CHECK(broken == std::vector{ BackendServerId{ "e1" } });
    CHECK(silent.Abandoned() == 0);
  }
  WHEN("another server comes")
  {
    gateway.Add("e2", good);
    gateway.Publish();
    THEN("further requests go there")
    {
      for (int i = 0; i < 3; ++i) {
        Client client = gateway.Connect();
        client.Send(Request("write", fmt::format("id-{}", i + 2)));
        CHECK(client.Read().mStatus == 200);
      }
      CHECK(silent.Seen().size() == 1);
    }
  }
  WHEN("other hosts say so of the other server too")
  {
    gateway.Add("e2", good);
    gateway.Publish();
    gateway.Thread().PublishPeerUpdate(
      { .mBroken = { BackendServerId{ "e1" }, BackendServerId{ "e2" } } });
    THEN("they are not believed, since no server would be left")
    {
      Client client = gateway.Connect();
      client.Send(Request("write", "id-2"));
      CHECK(client.Read().mStatus == 200);
    }
  }
}

SCENARIO("the host stops")
{
  ScriptedServer server{ [](const SeenRequest& aRequest) {
    std::this_thread::sleep_for(Milliseconds{ 300 });
    return Served(aRequest);
  } };
  Gateway gateway;
  gateway.Add("e1", server);
  gateway.Publish();
  Client ready = gateway.ConnectToReadiness();
  ready.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(ready.Read().mStatus == 200);
  Client client = gateway.Connect();
  client.Send(Request("write", "id-1"));
  const Instant deadline = SuspendAwareNow() + kSoon;
  while (server.Seen().empty() && !HasPassed(deadline, SuspendAwareNow())) {
    std::this_thread::sleep_for(Milliseconds{ 5 });
  }
  int cutOff = -1;
  std::thread stopping{ [&] { cutOff = gateway.Thread().Stop(deadline); } };
  const Seen seen = client.Read();
  stopping.join();
  THEN("the request under way is answered, and the client is told to close")
  {
    CHECK(seen.mStatus == 200);
    CHECK(HeaderValue(seen.mHeaders, "Connection") == "close");
    CHECK(cutOff == 0);
  }
}

} // namespace
} // namespace trefoil
