// Sends requests through a traffic thread while operators evacuate zones.
#include "tests/forward_path/scripted_server.h"
#include "tests/forward_path/test_gateway.h"
#include "trefoil/wire/frame.h"

#include <Poco/Net/ServerSocket.h>
#include <absl/strings/numbers.h>
#include <array>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>
#include <string>
#include <vector>

namespace trefoil {
namespace {

const AvailabilityZoneId kZoneA{ "a" };
const AvailabilityZoneId kZoneB{ "b" };
constexpr std::size_t kMaxFrameBytes = 4'096;

void
Evacuate(Gateway& aGateway, std::set<AvailabilityZoneId> aZones)
{
  aGateway.mEvacuatedZones = std::move(aZones);
  aGateway.Publish();
}

// Guards against requests that reach servers of an evacuated zone (EVACUATE). The zone is that of
// the host, whose servers get its requests otherwise.
SCENARIO("a zone is evacuated")
{
  const ScriptedServer inB{ AnswerSuccess };
  const ScriptedServer inA{ AnswerSuccess };
  const ScriptedServer alsoInA{ AnswerSuccess };
  Gateway gateway;
  gateway.AddServerIn("b", "e1", inB);
  gateway.AddServerIn("a", "e2", inA);
  gateway.AddServerIn("a", "e3", alsoInA);
  const auto receivedInA = [&] {
    return inA.ReceivedRequests().size() + alsoInA.ReceivedRequests().size();
  };
  constexpr int kRequests = 30;
  const auto askAll = [&gateway](const char* aRoute) {
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      served += gateway.Ask(aRoute, fmt::format("{}-{}", aRoute, i)).mStatus == 200 ? 1 : 0;
    }
    return served;
  };
  gateway.Publish();
  REQUIRE(askAll("read") == kRequests);
  REQUIRE(receivedInA() > 0);
  const std::size_t before = receivedInA();
  WHEN("the zone has most of the servers")
  {
    Evacuate(gateway, { kZoneA });
    THEN("all requests go to the others, also past idle connections to its servers")
    {
      CHECK(askAll("read") == kRequests);
      CHECK(askAll("write") == kRequests);
      CHECK(receivedInA() == before);
    }
    AND_WHEN("the evacuation is taken back")
    {
      Evacuate(gateway, {});
      THEN("its servers get requests again")
      {
        CHECK(askAll("read") == kRequests);
        CHECK(receivedInA() > before);
      }
    }
  }
  WHEN("all zones are evacuated")
  {
    Evacuate(gateway, { kZoneB, kZoneA });
    const ReceivedAnswer answer = gateway.Ask("write", "id-all");
    THEN("requests are refused truthfully, with a time to come back, and cost no quota")
    {
      CHECK(answer.mStatus == 503);
      CHECK(answer.mBody == "zones_evacuated\n");
      CHECK_FALSE(HeaderValue(answer.mHeaders, "Retry-After").empty());
      CHECK(receivedInA() == before);
      CHECK(gateway.Metric("trefoil_refusals_total{reason=\"zones_evacuated\"}") == 1);
      CHECK(gateway.Usage(ClientAccountId{ "club" }) == kRequests);
    }
  }
  WHEN("the service moves to a version whose only servers are in the zone")
  {
    gateway.OrderMove();
    gateway.mSteering.at(ServiceId{ "s" }).mTargetShare = 1;
    RegisterServer(gateway.mServers,
                   { .mId = BackendServerId{ "e3" },
                     .mService = ServiceId{ "s" },
                     .mEndpoint = alsoInA.ListenEndpoint(),
                     .mZone = kZoneA,
                     .mVersion = VersionId{ "v2" },
                     .mRevision = 2 });
    Evacuate(gateway, { kZoneA });
    THEN("its other version serves the requests")
    {
      CHECK(askAll("read") == kRequests);
      CHECK(receivedInA() == before);
    }
  }
}

// Guards against streams that are cut off, or go on in the zone, when it is evacuated (EVACUATE).
SCENARIO("a zone is evacuated while a stream runs there")
{
  const auto script = [](bool aIsCut) {
    return [aIsCut](const ReceivedRequest& aRequest) {
      int after = 0;
      (void)absl::SimpleAtoi(
        std::string{ HeaderValue(aRequest.mRequest.mHeaders, "Last-Event-Id") }, &after);
      return Reply{ .mBytes = MakeStreamStart(aRequest) + MakeEventChunk(after + 1),
                    .mPause = Milliseconds{ 400 },
                    .mBytesAfterPause =
                      aIsCut ? "" : MakeEventChunk(after + 2) + std::string{ kLastChunk },
                    .mClose = aIsCut };
    };
  };
  const bool isCut = GENERATE(false, true);
  CAPTURE(isCut);
  const ScriptedServer inB{ script(isCut) };
  const ScriptedServer alsoInB{ script(isCut) };
  const ScriptedServer inA{ script(false) };
  Gateway gateway;
  gateway.AddServerIn("b", "e1", inB);
  gateway.AddServerIn("b", "e2", alsoInB);
  gateway.Publish();
  Client client = gateway.Connect();
  client.Send(MakeRequest("talk", "id-1"));
  REQUIRE(client.HasAnswerWithin(kTestTimeout));
  gateway.AddServerIn("a", "e3", inA);
  Evacuate(gateway, { kZoneB });
  const ReceivedAnswer answer = client.Read();
  THEN("it goes on to its end, or, if its server breaks off, on a server of another zone")
  {
    CHECK(answer.mComplete);
    CHECK(answer.mStatus == 200);
    CHECK(answer.mBody.starts_with("id: 1\ndata: d1\n\nid: 2\n"));
    CHECK(inB.ReceivedRequests().size() + alsoInB.ReceivedRequests().size() == 1);
    CHECK(inA.ReceivedRequests().size() == (isCut ? 1U : 0U));
  }
}

// Guards against requests that are written after the zone was closed, since their connections were
// still being opened then (EVACUATE).
SCENARIO("a zone is evacuated while a connection to one of its servers is opened")
{
  Poco::Net::ServerSocket carrier{ Poco::Net::SocketAddress{ "127.0.0.1", 0 } };
  Gateway gateway;
  // Nobody listens there, so that the server is reached by way of the carrier.
  gateway.AddServerAt("e1", FreeEndpoint());
  gateway.mCarriers = { { .mHost = HostId{ "host-2" },
                          .mEndpoint = { .mAddress = "127.0.0.1",
                                         .mPort = carrier.address().port() },
                          .mZone = kZoneA } };
  gateway.Publish();
  Client client = gateway.Connect();
  client.Send(MakeRequest("write", "id-1"));
  // One connection is for the request, one finds out whether the carrier reaches the server.
  std::vector<Poco::Net::StreamSocket> carried{ carrier.acceptConnection() };
  constexpr int kSecondConnectionUs = 200'000;
  if (carrier.poll(Poco::Timespan{ kSecondConnectionUs }, Poco::Net::Socket::SELECT_READ)) {
    carried.push_back(carrier.acceptConnection());
  }
  std::array<char, kMaxFrameBytes> buffer{};
  for (Poco::Net::StreamSocket& socket : carried) {
    REQUIRE(socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0);
  }
  Evacuate(gateway, { kZoneA });
  const std::string opened = EncodeFrame(RelayOpened{ .mStatus = RelayStatus::kConnected });
  for (Poco::Net::StreamSocket& socket : carried) {
    socket.sendBytes(opened.data(), static_cast<int>(opened.size()));
  }
  THEN("the request is not sent")
  {
    constexpr int kSilenceUs = 300'000;
    for (Poco::Net::StreamSocket& socket : carried) {
      CHECK((!socket.poll(Poco::Timespan{ kSilenceUs }, Poco::Net::Socket::SELECT_READ) ||
             socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) <= 0));
    }
    const ReceivedAnswer answer = client.Read();
    CHECK(answer.mStatus == 503);
    CHECK(answer.mBody == "zones_evacuated\n");
  }
}

} // namespace
} // namespace trefoil
