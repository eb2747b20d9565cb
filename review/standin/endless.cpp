// A server whose answer never ends must not use up the memory of the gateway, whose end would cut
// off the requests of all other clients.
#include "site.hpp"

#include <csignal>

using namespace review;

namespace {

constexpr const char* kAddress = "127.61.7.2";
// MemoryMb of the machines: a process that exceeds it is killed.
constexpr double kMemoryMb = 260;
// LinkMbps of the machines, 1,000, in bytes in each pause of the sender.
constexpr std::size_t kBytesPerPause = 1'250'000;
constexpr Ms kPause{ 10 };
constexpr int kClients = 8;
// The time that the sound server works on a request.
constexpr Ms kWork{ 800 };
constexpr int kMostCutOff = 3;

std::string
Manifest()
{
  return R"({"Version":7,"Routes":[)"
         R"({"Name":"r-review","Host":"club.example","PathPrefix":"/review/","Kind":"stream",)"
         R"("TimeoutMs":10000,"GoalMs":800,"GapTargetMs":400,"Priority":1,"Service":"model",)"
         R"("Attempts":1,"AllowAnonymous":true,"SessionAffinity":false,"ResumeStreams":false},)"
         R"({"Name":"r-record","Host":"club.example","PathPrefix":"/record/",)"
         R"("Kind":"non_idempotent","TimeoutMs":3000,"GoalMs":1000,"Priority":2,"Service":"ledger",)"
         R"("Attempts":1,"AllowAnonymous":true,"SessionAffinity":false,"ResumeStreams":false}],)"
         R"("Services":[{"Name":"model","HealthCheckPath":"/health","ConnectionLimit":370},)"
         R"({"Name":"ledger","HealthCheckPath":"/health","ConnectionLimit":110}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000},"Tenants":[]})";
}

// Sends a chunk whose size line does not end, at the rate of a machine's link.
void
SendWithoutEnd(Connection& aConnection, const std::string& aRequestId, Record& aRecord)
{
  aConnection.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + aRequestId + "\r\nResponse-Seal: seal-" +
                   aRequestId +
                   "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string bytes(kBytesPerPause, '0');
  std::size_t sent = 0;
  Time next = Clock::now();
  while (aConnection.Send(bytes, Clock::now() + Ms{ 5000 })) {
    sent += bytes.size();
    next += kPause;
    std::this_thread::sleep_until(next);
  }
  aRecord.Line("the faulty server's caller closed after " + std::to_string(sent) + " bytes");
}

} // namespace

int
main(int, char** aArguments)
{
  Record record{ aArguments[1] };
  Platform platform{ kAddress, record };
  platform.Put("op/config", Manifest());
  BackendServer sound{ { .mId = "i-sound", .mAddress = kAddress, .mService = "ledger" },
                       platform,
                       record,
                       [&](Connection& aConnection, const Message& aRequest) {
                         const std::string id = aRequest.Value("Request-Id");
                         record.Line("ran id=" + id + " server=i-sound");
                         Sleep(kWork);
                         aConnection.Send(SealedAnswer(200, id, "recorded"));
                       } };
  BackendServer faulty{ { .mId = "i-faulty", .mAddress = kAddress, .mService = "model" },
                        platform,
                        record,
                        [&](Connection& aConnection, const Message& aRequest) {
                          const std::string id = aRequest.Value("Request-Id");
                          record.Line("ran id=" + id + " server=i-faulty");
                          if (HasTrouble()) {
                            SendWithoutEnd(aConnection, id, record);
                          } else {
                            SendStream(aConnection, id, 10, Ms{ 100 });
                          }
                        } };
  sound.Register();
  faulty.Register();
  Gateway gateway{ { .mName = "front-a-1", .mAddress = kAddress }, platform };
  gateway.Start();
  gateway.WaitUntilReady();
  Sleep(Ms{ 3500 });

  std::atomic<bool> ended = false;
  std::atomic<int> answered = 0;
  std::atomic<int> cutOff = 0;
  const auto ask =
    [&](Connection& aClient, const std::string& aTarget, const std::string& aId, int aDeadlineMs) {
      const Time deadline = Clock::now() + Ms{ aDeadlineMs + 1'000 };
      record.Line("sent id=" + aId + " " + aTarget);
      aClient.Send(RequestHead("POST", aTarget, aId, aDeadlineMs, "") + "Content-Length: 0\r\n\r\n",
                   deadline);
      const Message answer = aClient.ReadAnswer(deadline);
      record.Line("answered id=" + aId + " status=" + std::to_string(answer.mStatus) +
                  " complete=" + std::to_string(answer.mComplete));
      return answer.mComplete;
    };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      auto client = Connect(gateway.Address(), gateway.Port(), Clock::now() + Ms{ 1000 });
      if (!client) {
        GiveUp("the gateway does not accept connections");
      }
      for (int number = 0; !ended; ++number) {
        const std::string id = "record-" + std::to_string(i) + "-" + std::to_string(number);
        if (!ask(*client, "/record/1", id, 3'000)) {
          ++cutOff;
          return;
        }
        ++answered;
      }
    });
  }
  Sleep(Ms{ 2'000 });
  std::thread{
    [&] {
      auto client = Connect(gateway.Address(), gateway.Port(), Clock::now() + Ms{ 1000 });
      if (client) {
        ask(*client, "/review/1", "to-faulty", 10'000);
      }
    }
  }.detach();

  double highest = 0;
  bool exceeded = false;
  const Time until = Clock::now() + Ms{ 11'000 };
  while (Clock::now() < until && !exceeded) {
    const double memory = gateway.MemoryMb();
    highest = std::max(highest, memory);
    // The platform does so (DEPLOY, "Memory and descriptors").
    exceeded = memory > kMemoryMb;
    Sleep(Ms{ 10 });
  }
  record.Line("highest memory of the gateway: " + std::to_string(highest) + " MB of " +
              std::to_string(kMemoryMb));
  if (exceeded) {
    record.Line("the platform kills the gateway, which exceeds its memory");
    gateway.Kill();
  }
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("requests to the sound server: answered " + std::to_string(answered.load()) +
              ", read from kept channels and cut off " + std::to_string(cutOff.load()));
  gateway.End();
  Finish(exceeded && cutOff > kMostCutOff ? 1 : 0);
}
