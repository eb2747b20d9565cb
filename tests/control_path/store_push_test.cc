// Subscribes many hosts to a control thread behind a link that holds a few datagrams.
#include "tests/control_path/test_host.h"
#include "trefoil/net/exclusive_bind.h"
#include "trefoil/wire/codec.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <atomic>
#include <fmt/format.h>
#include <thread>

namespace trefoil {
namespace {

constexpr int kRevision = 2;
constexpr int kChangedRevision = 3;
constexpr int kSubscribers = 40;
constexpr std::size_t kDocumentBytes = 20'000;
// The receive buffer holds about ten of the messages.
constexpr int kReceiveBufferBytes = 200'000;
// A message of this size takes longer than that on a slow link.
constexpr Milliseconds kReadInterval{ 5 };

// A store whose operators write a large key when told.
class DocumentStore
{
public:
  Reply Answer(const ReceivedRequest& aRequest)
  {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    if (path == "/trefoillb/kv-range") {
      return {
        .mBytes = MakeAnswer(
          aRequest, 200, "", fmt::format(R"({{"Items":[],"HasMore":false,"At":{}}})", kRevision))
      };
    }
    if (path != "/trefoillb/kv-watch") {
      return { .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
    }
    std::this_thread::sleep_for(kPollInterval);
    const bool isChanged = mIsChanged && QueryValue(target, "PathPrefix") == kOperatorPrefix &&
                           QueryValue(target, "After") == std::to_string(kRevision);
    const std::string events =
      isChanged ? ItemText("op/large", std::string(kDocumentBytes, 'x'), kChangedRevision) : "";
    return { .mBytes = MakeAnswer(aRequest,
                                  200,
                                  "",
                                  fmt::format(R"({{"events":[{}],"At":{}}})",
                                              events,
                                              mIsChanged ? kChangedRevision : kRevision)) };
  }

  void Change() { mIsChanged = true; }

private:
  std::atomic<bool> mIsChanged{ false };
};

// Hosts that share a socket. They do not query on their own, so that a message to them that is lost
// stays lost.
class SubscribedHosts
{
public:
  SubscribedHosts()
  {
    BindExclusively(mSocket, mEndpoint);
    mSocket.setReceiveBufferSize(kReceiveBufferBytes);
  }

  // Sends a query of each host.
  void Query(const Endpoint& aTo)
  {
    for (int i = 0; i < kSubscribers; ++i) {
      const std::string bytes = Encode(StoreQuery{ .mHost = HostId{ fmt::format("host-{}", i + 2) },
                                                   .mEndpoint = mEndpoint,
                                                   .mNumber = 1,
                                                   .mOperatorRevision = kRevision,
                                                   .mServerRevision = kRevision });
      mSocket.sendTo(bytes.data(),
                     static_cast<int>(bytes.size()),
                     Poco::Net::SocketAddress{ aTo.mAddress, aTo.mPort });
    }
  }

  // Reads the next message. Returns whether it contains the document, or std::nullopt if none
  // arrives in time.
  std::optional<bool> ReadMessage(Milliseconds aWait)
  {
    if (!mSocket.poll(Poco::Timespan{ aWait.count() * 1'000 }, Poco::Net::Socket::SELECT_READ)) {
      return std::nullopt;
    }
    std::array<char, 65'507> buffer{};
    const int count = mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    const auto message = Decode({ buffer.data(), static_cast<std::size_t>(count) });
    const auto* reply = message.ok() ? std::get_if<StoreReply>(&*message) : nullptr;
    return reply != nullptr && !reply->mOperators.mItems.empty();
  }

private:
  Endpoint mEndpoint = FreeEndpoint();
  Poco::Net::DatagramSocket mSocket;
};

// Guards against: a new configuration reaches only the first subscribers of a watcher, since the
// messages to the others are sent together and fill its link (CONFIG).
SCENARIO("a large document is pushed to many hosts")
{
  DocumentStore store;
  ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) {
    return store.Answer(aRequest);
  } };
  const TestHost host{ storeServer };
  SubscribedHosts subscribers;
  // A host replies with a revision once it has listed the keys.
  REQUIRE(AwaitGauge(host.OwnMetrics(), "trefoil_servers_ready 0"));
  subscribers.Query(host.PeerEndpoint());
  for (int i = 0; i < kSubscribers; ++i) {
    REQUIRE(subscribers.ReadMessage(kTestTimeout) == false);
  }
  const auto receivedDocuments = [&subscribers] {
    int received = 0;
    while (received < kSubscribers) {
      const auto hasDocument = subscribers.ReadMessage(Milliseconds{ 3'000 });
      if (!hasDocument.has_value()) {
        break;
      }
      received += *hasDocument ? 1 : 0;
      std::this_thread::sleep_for(kReadInterval);
    }
    return received;
  };
  WHEN("the link holds fewer messages than there are subscribers")
  {
    store.Change();
    THEN("all of them get it")
    {
      CHECK(receivedDocuments() == kSubscribers);
    }
  }
  WHEN("they query together when the first of them has been told")
  {
    store.Change();
    REQUIRE(subscribers.ReadMessage(kTestTimeout) == true);
    subscribers.Query(host.PeerEndpoint());
    THEN("all of them get it")
    {
      CHECK(receivedDocuments() == kSubscribers);
    }
  }
}

} // namespace
} // namespace trefoil
