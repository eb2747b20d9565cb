// A gateway that has used up its descriptors must go on serving the requests that it has read.
#include "site.hpp"

#include <sys/resource.h>
#include <sys/wait.h>

using namespace review;

namespace {

constexpr const char* kAddress = "127.61.7.3";
// FileDescriptors of the machines. All but 200 are left for sockets.
constexpr int kDescriptors = 4100;
constexpr int kSockets = kDescriptors - 200;
// Channels that clients keep open. The gateway itself admits `most_connections` less 16.
constexpr int kKeptChannels = kSockets - 20;
constexpr int kKeptChannelsInCalm = 1000;
// What this program needs for its ends of the channels.
constexpr rlim_t kNeededDescriptors = 6'000;
// Streams that run at the same time; the servers have slots for all of them.
constexpr int kStreams = 240;
constexpr int kServers = 4;
constexpr int kOpeners = 8;
constexpr int kEvents = 30;
constexpr Ms kEventInterval{ 100 };
constexpr int kMostCutOff = 3;

std::string
Manifest()
{
  return R"({"Version":7,"Routes":[)"
         R"({"Name":"r-review","Host":"club.example","PathPrefix":"/review/","Kind":"stream",)"
         R"("TimeoutMs":10000,"GoalMs":800,"GapTargetMs":400,"Priority":1,"Service":"model",)"
         R"("Attempts":1,"AllowAnonymous":true,"SessionAffinity":false,"ResumeStreams":false}],)"
         R"("Services":[{"Name":"model","HealthCheckPath":"/health","ConnectionLimit":370}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000},"Tenants":[]})";
}

Message
Ask(Connection& aClient, const std::string& aTarget, const std::string& aId)
{
  const Time deadline = Clock::now() + Ms{ 11'000 };
  aClient.Send(RequestHead("POST", aTarget, aId, 10'000, "") + "Content-Length: 0\r\n\r\n",
               deadline);
  return aClient.ReadAnswer(deadline);
}

} // namespace

int
main(int, char** aArguments)
{
  // This program holds the other end of each channel.
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < kNeededDescriptors) {
    GiveUp("the limit of open descriptors is too low for the clients");
  }
  Record record{ aArguments[1] };
  Platform platform{ kAddress, record };
  platform.Put("op/config", Manifest());
  std::vector<std::unique_ptr<BackendServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    const std::string server = "i-" + std::to_string(i);
    servers.push_back(std::make_unique<BackendServer>(
      BackendServer::Options{ .mId = server, .mAddress = kAddress, .mService = "model" },
      platform,
      record,
      [&record, server](Connection& aConnection, const Message& aRequest) {
        const std::string id = aRequest.Value("Request-Id");
        const bool isShort = aRequest.mTarget == "/review/short";
        if (!isShort) {
          record.Line("ran id=" + id + " server=" + server);
        }
        SendStream(aConnection, id, isShort ? 1 : kEvents, isShort ? Ms{ 0 } : kEventInterval);
      }));
    servers.back()->Register();
  }
  Gateway gateway{ { .mName = "front-a-1", .mAddress = kAddress, .mDescriptors = kDescriptors },
                   platform };
  gateway.Start();
  gateway.WaitUntilReady();
  Sleep(Ms{ 3'500 });

  const int kept = HasTrouble() ? kKeptChannels : kKeptChannelsInCalm;
  std::vector<std::unique_ptr<Connection>> channels(static_cast<std::size_t>(kept));
  std::vector<std::thread> openers;
  for (int opener = 0; opener < kOpeners; ++opener) {
    openers.emplace_back([&, opener] {
      for (int i = opener; i < kept; i += kOpeners) {
        auto channel = Connect(gateway.Address(), gateway.Port(), Clock::now() + Ms{ 1'000 });
        if (!channel || !Ask(*channel, "/review/short", "first-" + std::to_string(i)).mComplete) {
          GiveUp("channel " + std::to_string(i) + " was not served");
        }
        channels[static_cast<std::size_t>(i)] = std::move(channel);
      }
    });
  }
  for (std::thread& opener : openers) {
    opener.join();
  }
  record.Line("kept channels: " + std::to_string(kept) +
              ", descriptors of the gateway: " + std::to_string(gateway.Descriptors()));

  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> cutOff = 0;
  std::vector<std::thread> streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.emplace_back([&, i] {
      const std::string id = "stream-" + std::to_string(i);
      record.Line("sent id=" + id);
      const Message answer = Ask(*channels[static_cast<std::size_t>(i)], "/review/long", id);
      record.Line("answered id=" + id + " status=" + std::to_string(answer.mStatus) +
                  " complete=" + std::to_string(answer.mComplete));
      ++(!answer.mComplete ? cutOff : answer.mStatus == 200 ? served : refused);
    });
    Sleep(Ms{ 2 });
  }
  Sleep(Ms{ 500 });
  record.Line("while the streams run, descriptors of the gateway: " +
              std::to_string(gateway.Descriptors()));
  // As the platform does once a second.
  for (int i = 0; i < 4 && !gateway.Ended().has_value(); ++i) {
    record.Line(std::string{ "readiness: " } + (gateway.AnswersReady() ? "200" : "no"));
    Sleep(Ms{ 1'000 });
  }
  for (std::thread& stream : streams) {
    stream.join();
  }
  Sleep(Ms{ 200 });
  const auto ended = gateway.Ended();
  if (ended.has_value()) {
    record.Line("the gateway has ended by itself, signal " +
                std::to_string(WIFSIGNALED(*ended) ? WTERMSIG(*ended) : 0));
  }
  record.Line("streams served " + std::to_string(served.load()) + ", refused " +
              std::to_string(refused.load()) + ", cut off " + std::to_string(cutOff.load()));
  gateway.End();
  Finish(ended.has_value() && cutOff > kMostCutOff ? 1 : 0);
}
