// One part of a prompt crashes each engine that begins to answer on it. In prompts of many parts it
// is never found out, so that such requests go on ending engines and the sound requests there.
#include "site.hpp"

using namespace review;

namespace {

constexpr std::int64_t kContactMs = 3'000;
constexpr int kEngines = 8;
constexpr int kCrashesToCount = 5;
constexpr int kMostAfter = 3;
constexpr std::int64_t kDownMs = 2'500;
constexpr std::int64_t kPrefillMs = 100;
constexpr int kSeconds = 45;
constexpr int kTokensOfPart = 128;
const std::string kBadPart = "e4402b7d";

// The number of parts of a prompt that requests share: 13,300 tokens in blocks of 128.
int
SharedParts()
{
  const char* value = std::getenv("PARTS");
  return value == nullptr ? 104 : std::atoi(value);
}

std::string
PromptPrefix(int aParts, const std::string& aLastShared, int aNumber)
{
  std::string list;
  char entry[32];
  for (int part = 0; part + 1 < aParts; ++part) {
    std::snprintf(
      entry, sizeof entry, "%08x:%d,", 0x5c1e07a2U + 2'654'435'761U * part, kTokensOfPart);
    list += entry;
  }
  std::snprintf(entry, sizeof entry, ",%08x:250", 0x91bd3f06U + 40'503U * aNumber);
  return list + aLastShared + ":" + std::to_string(kTokensOfPart) + entry;
}

} // namespace

int
main()
{
  Site site{ "review/6" };
  std::mutex mutex;
  std::vector<std::int64_t> crashes;
  std::vector<std::int64_t> arrivals;
  std::atomic<int> cutOff{ 0 };
  const auto work = [&](Engine& aEngine, int aFd, const EngineRequest& aRequest) {
    const std::int64_t arrivedAt = NowMs();
    const bool isBad =
      aRequest.head.Of("Prompt-Prefix").find("," + kBadPart + ":") != std::string::npos;
    if (isBad) {
      const std::lock_guard lock{ mutex };
      arrivals.push_back(arrivedAt);
      site.record.Line(aEngine.id, " gets ", aRequest.id, " with the bad part");
    }
    SleepMs(kPrefillMs);
    if (isBad) {
      if (aEngine.Crash(kDownMs)) {
        const std::lock_guard lock{ mutex };
        crashes.push_back(NowMs());
        site.record.Line(aEngine.id, " crashes, the ", crashes.size(), ". crash");
      }
      return false;
    }
    bool isSent =
      SendAll(aFd,
              aEngine.AnswerHead(aRequest, "200 OK", "Content-Type: text/event-stream\r\n") +
                "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 10 && isSent; ++event) {
      const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      isSent = SendAll(aFd, size + text + "\r\n");
      SleepMs(50);
    }
    isSent = isSent && SendAll(aFd, "0\r\n\r\n");
    return isSent;
  };
  site.store.Put("op/config",
                 Manifest(1,
                          { { .name = "review",
                              .kind = "stream",
                              .service = "model",
                              .timeoutMs = 10'000,
                              .attempts = 1,
                              .hasPrompts = true } },
                          R"([{"Name":"club","ApiKeys":["key"]}])"));
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(site.record,
                                               site.store,
                                               "i-" + std::to_string(i),
                                               "model",
                                               i % 2 == 0 ? "zone-a" : "zone-b",
                                               work));
  }
  Gateway host{ site, 1 };
  host.AwaitReady();
  SleepMs(1'000);

  const int parts = SharedParts();
  std::vector<std::thread> clients;
  std::map<std::string, int> ends;
  const auto send = [&](const std::string& aId, const std::string& aLastShared, int aNumber) {
    clients.emplace_back([&, aId, aLastShared, aNumber] {
      const Answer answer =
        Ask(host.front,
            { .path = "/review/1",
              .id = aId,
              .method = "POST",
              .body = "{\"n\":" + std::to_string(aNumber) + "}",
              .headers = "Model: m\r\nToken-Counts: 13550,100\r\nPrompt-Prefix: " +
                         PromptPrefix(parts, aLastShared, aNumber) + "\r\n",
              .timeLimitMs = 10'000 });
      const std::lock_guard lock{ mutex };
      const bool isBad = aLastShared == kBadPart;
      const std::string kind = isBad ? "bad" : "sound";
      ++ends[kind + (answer.status == 200 && answer.isComplete ? " served"
                     : answer.status == 200                    ? " cut off"
                                            : " " + std::to_string(answer.status))];
    });
  };
  // Ten sound requests a second, on twelve subjects, and one with the bad part.
  for (int tick = 0; tick < kSeconds * 10; ++tick) {
    char subject[16];
    std::snprintf(subject, sizeof subject, "%08x", 0x77aa0000U + tick % 12);
    send("s" + std::to_string(tick), subject, tick);
    if (HasTrouble() && tick >= 50 && tick % 10 == 0) {
      send("b" + std::to_string(tick), kBadPart, 100'000 + tick);
    }
    SleepMs(100);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock{ mutex };
  int after = 0;
  if (crashes.size() >= kCrashesToCount) {
    const std::int64_t from = crashes[kCrashesToCount - 1] + kContactMs;
    after = static_cast<int>(std::count_if(
      arrivals.begin(), arrivals.end(), [&](std::int64_t aAt) { return aAt > from; }));
    site.record.Line("the fifth crash was at ",
                     crashes[kCrashesToCount - 1],
                     " ms; requests with the bad part that reached engines more than ",
                     kContactMs,
                     " ms later: ",
                     after);
  }
  for (const auto& [end, number] : ends) {
    site.record.Line(number, " requests: ", end);
  }
  std::printf(
    "%zu crashes, %d requests with the bad part later than allowed, %d sound ones cut off, "
    "%d with 502\n",
    crashes.size(),
    after,
    ends["sound cut off"],
    ends["sound 502"]);
  host.Kill();
  Finish(after > kMostAfter ? kBroken : kHeld);
}
