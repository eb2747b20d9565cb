// Sends requests of three kinds to entry hosts for a given time and prints the outcome of each.
// The soak test (tests/soak/soak.sh) compares the output with the executions on the servers.
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/http/message_reader.h"

#include "absl/synchronization/mutex.h"
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace trefoil;

constexpr const char* kUsage = R"(soak-client, sends requests to trefoil-gateway for the soak test.

Usage:
  soak-client --seconds=N --seed=N HOST...

Prints a line for each request: id, kind, status (0: the connection ended without an answer), whether the answer was
complete, and whether its body and request id were correct.
)";
constexpr int kCallers = 8;
constexpr int kDeadlineMs = 3'000;
constexpr int kMaxRequestsPerConnection = 6;
constexpr std::array<const char*, 3> kKinds{ "write", "read", "talk" };
// The number of events in each stream of the stand-in server.
constexpr int kStreamEvents = 10;

struct Outcome
{
  int mStatus = 0;
  bool mComplete = false;
  bool mCorrect = false;
};

// Returns the body that the stand-in server sends for a request of this kind.
std::string
ExpectedBody(const std::string& aKind, const std::string& aId)
{
  if (aKind != "talk") {
    return "answer to " + aId;
  }
  std::string body;
  for (int event = 1; event <= kStreamEvents; ++event) {
    body += fmt::format("id: {}\ndata: {}\n\n", event, event);
  }
  return body;
}

// Sends one request after the other, over a connection to a random host. Its random numbers depend
// on the seed and its number only.
class Caller
{
public:
  Caller(std::vector<Endpoint> aHosts, std::uint32_t aSeed, int aNumber)
    : mHosts(std::move(aHosts))
    , mRandom(aSeed * kCallers + static_cast<std::uint32_t>(aNumber))
    , mNumber(aNumber)
  {
  }

  // Sends requests until the deadline.
  void Run(Instant aDeadline)
  {
    for (int request = 0; !HasPassed(aDeadline, Now()); ++request) {
      const std::string kind = kKinds[mRandom() % kKinds.size()];
      const std::string id = fmt::format("{}-{}", mNumber, request);
      const Outcome outcome = Send(kind, id);
      fmt::print(
        "{} {} {} {} {}\n", id, kind, outcome.mStatus, outcome.mComplete, outcome.mCorrect);
      std::this_thread::sleep_for(Milliseconds{ 5 + mRandom() % 30 });
    }
  }

private:
  // Sends a request and reads its answer. Opens a new connection if there is none, or after
  // kMaxRequestsPerConnection requests.
  Outcome Send(const std::string& aKind, const std::string& aId)
  {
    try {
      if (!mSocket || mRequestsOnConnection >= kMaxRequestsPerConnection) {
        const Endpoint& host = mHosts[mRandom() % mHosts.size()];
        mSocket = std::make_unique<Poco::Net::StreamSocket>();
        mSocket->connect(Poco::Net::SocketAddress{ host.mAddress, host.mPort },
                         Poco::Timespan{ 1, 0 });
        mSocket->setReceiveTimeout(Poco::Timespan{ 5, 0 });
        mRequestsOnConnection = 0;
      }
      ++mRequestsOnConnection;
      const std::string bytes = fmt::format(
        "POST /{}/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {}\r\nAuthorization: Token "
        "key\r\nDeadline-Milliseconds: {}\r\nContent-Length: {}\r\n\r\n{}",
        aKind,
        aId,
        kDeadlineMs,
        aId.size(),
        aId);
      mSocket->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      return Read(aKind, aId);
    } catch (const Poco::Exception&) {
      mSocket.reset();
      return {};
    }
  }

  Outcome Read(const std::string& aKind, const std::string& aId)
  {
    MessageReader reader = MessageReader::ForResponse({});
    std::string received;
    MessageReadState state = MessageReadState::kHead;
    while (state == MessageReadState::kHead || state == MessageReadState::kBody) {
      std::array<char, 4096> buffer{};
      const int count = mSocket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (count <= 0) {
        break;
      }
      received.append(buffer.data(), static_cast<std::size_t>(count));
      state = reader.Consume(received);
    }
    Outcome outcome{ .mComplete = state == MessageReadState::kComplete };
    if (reader.IsHeadComplete()) {
      outcome.mStatus = reader.Response().mStatus;
      outcome.mCorrect = reader.Body() == ExpectedBody(aKind, aId) &&
                         HeaderValue(reader.Response().mHeaders, "Request-Id") == aId;
    }
    if (!outcome.mComplete || !reader.KeepsAlive()) {
      mSocket.reset();
    }
    return outcome;
  }

  std::vector<Endpoint> mHosts;
  std::mt19937 mRandom;
  int mNumber;
  std::unique_ptr<Poco::Net::StreamSocket> mSocket;
  int mRequestsOnConnection = 0;
};

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line =
    ParseCommandLine({ .mUsage = kUsage, .mVersion = "soak-client 0.1.0" }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  std::vector<Endpoint> hosts;
  for (const std::string& text : line.mArguments.at("HOST").asStringList()) {
    const auto host = ParseEndpoint(text);
    if (!host.ok()) {
      fmt::print(stderr, "{}: {}\n", text, std::string{ host.status().message() });
      return kExitBadInput;
    }
    hosts.push_back(*host);
  }
  const auto seed = static_cast<std::uint32_t>(std::stoul(line.mArguments.at("--seed").asString()));
  const Instant deadline =
    Now() + std::chrono::seconds{ std::stol(line.mArguments.at("--seconds").asString()) };
  std::vector<std::thread> callers;
  for (int number = 0; number < kCallers; ++number) {
    callers.emplace_back([&hosts, seed, number, deadline] {
      Caller{ hosts, seed, number }.Run(deadline);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return 0;
}
