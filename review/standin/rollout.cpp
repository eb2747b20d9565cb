// Orders a move of a service to another version, and checks what the versions get.
//
//   rollout RECORD restart    all gateways are killed after a move to a good version
//   rollout RECORD holder     a claim on the duty is written late; then a bad version comes
#include "site.hpp"

#include <csignal>
#include <cstring>

using namespace review;

namespace {

constexpr const char* kAddress = "127.61.7.4";
constexpr const char* kStatusKey = "status/rollout/model";
constexpr int kClientsPerGateway = 12;
constexpr Ms kClientInterval{ 80 };
constexpr Ms kWork{ 20 };
// DurationS of the orders.
constexpr int kMoveS = 30;
constexpr int kShortMoveS = 12;
constexpr int kServersPerVersion = 4;
// Bounds of the installations' sheet.
constexpr double kRollbackMs = 5'000;
constexpr double kRecoveryMs = 12'000;
constexpr int kBadAnswers = 50;
// The bench drains the new servers about this long after `rolled_back`.
constexpr Ms kDrainDelay{ 3'000 };
// Three status report intervals.
constexpr Ms kEntryLapse{ 3'600 };

struct RouteShare
{
  const char* mPath;
  const char* mMethod;
  int mPercent;
};

// The mix of the sheet: history-review 26.6, pairing-explain 12.2, rules-query 40.3 a second.
constexpr RouteShare kRoutes[] = { { "/review/1", "POST", 34 },
                                   { "/explain/1", "POST", 15 },
                                   { "/rules/1", "POST", 51 } };

std::string
Manifest()
{
  std::string routes;
  const char* names[] = { "review", "explain", "rules" };
  const int attempts[] = { 1, 2, 1 };
  for (int i = 0; i < 3; ++i) {
    const std::string name = names[i];
    routes +=
      (i == 0 ? "" : ",") + std::string{ R"({"Name":"r-)" } + name +
      R"(","Host":"club.example","PathPrefix":"/)" + name +
      R"(/","Kind":"idempotent","TimeoutMs":5000,"GoalMs":600,"Priority":1,"Service":"model",)" +
      R"("Attempts":)" + std::to_string(attempts[i]) +
      R"(,"AllowAnonymous":true,"SessionAffinity":false,"ResumeStreams":false})";
  }
  return R"({"Version":7,"Routes":[)" + routes +
         R"(],"Services":[{"Name":"model","HealthCheckPath":"/health","ConnectionLimit":370}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000},"Tenants":[]})";
}

struct Counts
{
  std::mutex mMutex;
  // By second: requests sent and served.
  std::map<int, std::pair<int, int>> mBySecond;
  // The times of the new version's failures, and when requests that reached it were sent.
  std::vector<double> mBadAnswers;
  std::vector<double> mSentToNew;
  std::map<std::string, double> mSentAt;
};

class Site
{
public:
  Site(const std::string& aRecord, int aGateways)
    : mRecord(aRecord)
    , mPlatform(kAddress, mRecord)
  {
    mPlatform.Put("op/config", Manifest());
    // front-a-1 has the first rank among the candidates for the duty, the others much later ones.
    const char* names[] = { "front-a-1", "front-a-4", "front-a-5" };
    const char* addresses[] = { "127.61.7.5", "127.61.7.6", "127.61.7.7" };
    for (int i = 0; i < aGateways; ++i) {
      mGateways.push_back(std::make_unique<Gateway>(
        Gateway::Options{ .mName = names[i], .mAddress = addresses[i] }, mPlatform));
    }
  }

  // Starts the servers of a version, which fail `aFailPercent` of their requests.
  void AddServers(const std::string& aVersion, int aFailPercent)
  {
    for (int i = 0; i < kServersPerVersion; ++i) {
      const std::string id = "i-" + aVersion + "-" + std::to_string(i);
      auto server = std::make_unique<BackendServer>(
        BackendServer::Options{
          .mId = id, .mAddress = kAddress, .mService = "model", .mVersion = aVersion },
        mPlatform,
        mRecord,
        [this, aVersion, aFailPercent, id, draw = std::make_shared<std::atomic<int>>()](
          Connection& aConnection, const Message& aRequest) {
          const std::string request = aRequest.Value("Request-Id");
          const bool fails = (*draw)++ * 37 % 100 < aFailPercent;
          if (aVersion == "v2") {
            const std::lock_guard lock{ mCounts.mMutex };
            mCounts.mSentToNew.push_back(mCounts.mSentAt[request]);
            if (fails) {
              mCounts.mBadAnswers.push_back(Elapsed());
            }
          }
          Sleep(kWork);
          mRecord.Line("ran id=" + request + " server=" + id + " " + aRequest.mTarget +
                       (fails ? " failed" : ""));
          aConnection.Send(SealedAnswer(fails ? 500 : 200, request, fails ? "failed" : "answer"));
        });
      server->Register();
      mServers[aVersion].push_back(std::move(server));
    }
  }

  // Ends a version's servers at once.
  void StopServers(const std::string& aVersion)
  {
    mRecord.Line("the platform stops the servers of " + aVersion);
    for (const auto& server : mServers[aVersion]) {
      server->Kill();
    }
    std::thread{
      [this, aVersion] {
        Sleep(kEntryLapse);
        for (const auto& server : mServers[aVersion]) {
          mPlatform.Remove("servers/" + server->Details().mId);
        }
      }
    }.detach();
  }

  void DrainServers(const std::string& aVersion)
  {
    for (const auto& server : mServers[aVersion]) {
      server->Register("draining");
    }
  }

  // Follows the status of the move as the platform does.
  void FollowStatus()
  {
    std::thread{
      [this] {
        for (;;) {
          const std::string status = mPlatform.Get(kStatusKey);
          if (status.find("completed") != std::string::npos) {
            StopServers("v1");
            return;
          }
          if (status.find("rolled_back") != std::string::npos) {
            Sleep(kDrainDelay);
            DrainServers("v2");
            return;
          }
          Sleep(Ms{ 20 });
        }
      }
    }.detach();
  }

  void Order(int aSeconds)
  {
    mPlatform.Put("op/rollout/model",
                  R"({"Service":"model","Target":"v2","DurationS":)" + std::to_string(aSeconds) +
                    "}");
    FollowStatus();
  }

  void StartGateways()
  {
    for (const auto& gateway : mGateways) {
      gateway->Start();
    }
    for (const auto& gateway : mGateways) {
      gateway->WaitUntilReady();
    }
  }

  void StartClients()
  {
    for (const auto& gateway : mGateways) {
      for (int i = 0; i < kClientsPerGateway; ++i) {
        std::thread{ [this, &gateway = *gateway, i] { RunClient(gateway, i); } }.detach();
      }
    }
  }

  // The share of the requests served that were sent within the span, and their number.
  std::pair<double, int> ServedShare(double aFrom, double aTo)
  {
    const std::lock_guard lock{ mCounts.mMutex };
    int sent = 0;
    int served = 0;
    for (const auto& [second, counts] : mCounts.mBySecond) {
      if (second * 1000.0 >= aFrom && second * 1000.0 + 1000 <= aTo) {
        sent += counts.first;
        served += counts.second;
      }
    }
    return { sent == 0 ? 0 : static_cast<double>(served) / sent, sent };
  }

  // Requests that reached the new version and were sent later than kRollbackMs after its 50th bad
  // answer.
  int SentTooLate()
  {
    const std::lock_guard lock{ mCounts.mMutex };
    mRecord.Line("bad answers of v2: " + std::to_string(mCounts.mBadAnswers.size()) +
                 ", requests that reached it: " + std::to_string(mCounts.mSentToNew.size()));
    if (mCounts.mBadAnswers.size() < kBadAnswers) {
      return 0;
    }
    const double bound = mCounts.mBadAnswers[kBadAnswers - 1] + kRollbackMs;
    int late = 0;
    for (const double sent : mCounts.mSentToNew) {
      late += sent > bound ? 1 : 0;
    }
    mRecord.Line(
      "the 50th bad answer came at " + std::to_string(bound - kRollbackMs) +
      ", requests that were sent over 5 s later and reached v2: " + std::to_string(late));
    return late;
  }

  void End()
  {
    mRecord.Line("status of the move at the end: " + mPlatform.Get(kStatusKey));
    for (const auto& gateway : mGateways) {
      gateway->End();
    }
  }

  Record mRecord;
  Platform mPlatform;
  std::vector<std::unique_ptr<Gateway>> mGateways;
  std::map<std::string, std::vector<std::unique_ptr<BackendServer>>> mServers;
  Counts mCounts;
  std::atomic<int> mRequests = 0;

private:
  void RunClient(Gateway& aGateway, int aNumber)
  {
    std::unique_ptr<Connection> connection;
    Time next = Clock::now() + kClientInterval * aNumber / kClientsPerGateway;
    for (;;) {
      std::this_thread::sleep_until(next);
      next += kClientInterval;
      const Time deadline = Clock::now() + Ms{ 6'000 };
      const int number = mRequests++;
      const std::string id = "q" + std::to_string(number);
      const RouteShare* route = &kRoutes[0];
      for (int draw = number * 61 % 100; draw >= route->mPercent; ++route) {
        draw -= route->mPercent;
      }
      const int second = static_cast<int>(Elapsed() / 1000);
      {
        const std::lock_guard lock{ mCounts.mMutex };
        mCounts.mSentAt[id] = Elapsed();
        ++mCounts.mBySecond[second].first;
      }
      if (!connection) {
        connection = Connect(aGateway.Address(), aGateway.Port(), Clock::now() + Ms{ 1'000 });
      }
      Message answer;
      if (connection) {
        connection->Send(RequestHead(route->mMethod, route->mPath, id, 5'000, "") +
                           "Content-Length: 2\r\n\r\n{}",
                         deadline);
        answer = connection->ReadAnswer(deadline);
      }
      if (!answer.mComplete || answer.Value("Connection") == "close") {
        connection.reset();
      }
      const bool served = answer.mComplete && answer.mStatus == 200;
      if (!served) {
        mRecord.Line("not served id=" + id + " gateway=" + aGateway.Name() +
                     " status=" + std::to_string(answer.mStatus) + " " +
                     answer.mBody.substr(0, answer.mBody.find('\n')));
      }
      const std::lock_guard lock{ mCounts.mMutex };
      mCounts.mBySecond[second].second += served ? 1 : 0;
    }
  }
};

// The first write of the claim on the duty is not answered, and is executed right after the holder
// has read that there is no claim, about 1.5 s later.
int
RunHolder(Site& aSite)
{
  std::atomic<bool> late = false;
  std::atomic<bool> executed = false;
  aSite.mPlatform.mOnTxn = [&](const std::vector<std::string>& aKeys) {
    if (HasTrouble() && aKeys.size() == 1 && aKeys[0] == "duties/fleet" && !late.exchange(true)) {
      aSite.mRecord.Line("the first write of duties/fleet is not answered");
      return TxnFate::kLate;
    }
    return TxnFate::kDone;
  };
  aSite.mPlatform.mOnRead = [&](const std::string& aKey) {
    if (late && aKey == "duties/fleet" && !executed.exchange(true)) {
      std::thread{
        [&] {
          Sleep(Ms{ 10 });
          aSite.mPlatform.LateTxns();
        }
      }.detach();
    }
  };
  aSite.AddServers("v1", 0);
  aSite.StartGateways();
  Sleep(Ms{ 14'000 });
  aSite.StartClients();
  Sleep(Ms{ 4'000 });
  aSite.AddServers("v2", 50);
  aSite.Order(kShortMoveS);
  Sleep(Ms{ 24'000 });
  const int sentTooLate = aSite.SentTooLate();
  aSite.mRecord.Line("calls of duties: " + std::to_string(aSite.mPlatform.DutyCalls().size()));
  aSite.End();
  return sentTooLate > 0 ? 1 : 0;
}

bool
IsCompleted(Site& aSite)
{
  return aSite.mPlatform.Get(kStatusKey).find("completed") != std::string::npos;
}

int
RunRestart(Site& aSite)
{
  aSite.AddServers("v1", 0);
  aSite.StartGateways();
  Sleep(Ms{ 6'000 });
  aSite.StartClients();
  Sleep(Ms{ 4'000 });
  aSite.AddServers("v2", 0);
  aSite.Order(kMoveS);
  for (int i = 0; i < 400 && !IsCompleted(aSite); ++i) {
    Sleep(Ms{ 100 });
  }
  if (!IsCompleted(aSite)) {
    GiveUp("the move did not complete");
  }
  Sleep(Ms{ 5'000 });
  const double faultAt = Elapsed();
  const auto before = aSite.ServedShare(faultAt - 5'000, faultAt);
  if (HasTrouble()) {
    aSite.mRecord.Line("all gateways are killed");
    for (const auto& gateway : aSite.mGateways) {
      gateway->Kill();
    }
    Sleep(Ms{ 1'000 });
    aSite.StartGateways();
  }
  const double back = Elapsed();
  aSite.mRecord.Line("all gateways are back");
  Sleep(Ms{ static_cast<int>(kRecoveryMs) + 8'000 });
  const auto after = aSite.ServedShare(back + kRecoveryMs, Elapsed() - 1'000);
  aSite.mRecord.Line("share served before: " + std::to_string(before.first) + " of " +
                     std::to_string(before.second) + ", later than RecoveryS: " +
                     std::to_string(after.first) + " of " + std::to_string(after.second));
  aSite.End();
  if (before.first < 0.25) {
    GiveUp("less than a quarter was served before the fault");
  }
  return after.first < 0.25 ? 1 : 0;
}

} // namespace

int
main(int, char** aArguments)
{
  const std::string what = aArguments[2];
  // Never destroyed, since its threads run until the end.
  Site& site = *new Site{ aArguments[1], 3 };
  Finish(what == "holder" ? RunHolder(site) : RunRestart(site));
}
