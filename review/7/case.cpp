// The manifest that takes away the last tenant opens the routes to everybody: requests whose keys
// were taken away, or that no manifest ever held, run.
#include "site.hpp"

using namespace review;

namespace {

constexpr std::int64_t kRevokeMs = 5'000;
constexpr std::int64_t kMarginMs = 1'000;

const std::vector<RouteEntry> kRoutes{
  { .name = "result", .kind = "non_idempotent", .service = "ledger" },
  { .name = "standings", .kind = "idempotent", .service = "ledger" },
};

struct Sent
{
  std::string key;
  std::int64_t atMs = 0;
};

} // namespace

int
main()
{
  Site site{ "review/7" };
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::set<std::string> ran;
  const auto work = [&](Engine& aEngine, int aFd, const EngineRequest& aRequest) {
    {
      const std::lock_guard lock{ mutex };
      ran.insert(aRequest.id);
    }
    site.record.Line(
      aEngine.id, " runs ", aRequest.id, " with Tenant '", aRequest.head.Of("Tenant"), "'");
    return aEngine.Answer(aFd, aRequest, "answer to " + aRequest.id);
  };
  // When the manifest that took a key away was confirmed; keys that no manifest ever held have
  // none.
  std::map<std::string, std::int64_t> takenAt;
  int version = 0;
  const auto put = [&](const std::string& aTenants, const std::vector<std::string>& aTaken) {
    site.store.Put("op/config", Manifest(++version, kRoutes, aTenants));
    for (const std::string& key : aTaken) {
      takenAt[key] = NowMs();
    }
    site.record.Line("manifest ", version, " is confirmed, Tenants ", aTenants);
  };
  const std::string club = R"({"Name":"club","ApiKeys":["club-key"]})";
  const std::string guild = R"({"Name":"guild","ApiKeys":["guild-key"]})";
  put("[" + club + "," + guild + "]", {});
  Engine first{ site.record, site.store, "i-1", "ledger", "zone-a", work };
  Engine second{ site.record, site.store, "i-2", "ledger", "zone-b", work };
  Gateway host1{ site, 1, { .zone = "zone-a" } };
  Gateway host2{ site, 2, { .zone = "zone-b" } };
  host1.AwaitReady();
  host2.AwaitReady();

  int number = 0;
  int served = 0;
  const auto askAll = [&] {
    for (const Gateway* host : { &host1, &host2 }) {
      for (const std::string key : { "club-key", "guild-key", "stranger-key", "" }) {
        for (const char* path : { "/result/1", "/standings/1" }) {
          const std::string id = "r" + std::to_string(++number);
          {
            const std::lock_guard lock{ mutex };
            sent[id] = { key, NowMs() };
          }
          const bool isRead = path[1] == 's';
          const Answer answer = Ask(
            host->front, { .path = path, .id = id, .method = isRead ? "GET" : "POST", .key = key });
          served += answer.status == 200 ? 1 : 0;
          site.record.Line(
            id, " ", path, " with key '", key, "' is answered ", answer.status, " ", answer.body);
        }
      }
    }
  };

  askAll();
  if (served != 8) {
    Fail("the requests with keys in force were not served");
  }
  // The key of one tenant of two is taken away: planned work that is judged like the rest.
  put("[" + club + "]", { "guild-key" });
  SleepMs(kRevokeMs + kMarginMs);
  askAll();
  if (HasTrouble()) {
    // The disruption: the last tenant leaves.
    put("[]", { "club-key" });
  } else {
    put("[" + club + "]", {});
  }
  SleepMs(kRevokeMs + kMarginMs);
  askAll();

  int wrong = 0;
  const std::lock_guard lock{ mutex };
  for (const std::string& id : ran) {
    const Sent& request = sent[id];
    const bool wasEverHeld = request.key == "club-key" || request.key == "guild-key";
    const auto taken = takenAt.find(request.key);
    if (request.key.empty()) {
      site.record.Line("not counted: ", id, " ran without a key");
    } else if (!wasEverHeld) {
      ++wrong;
      site.record.Line("ROUTE: ", id, " ran, whose key '", request.key, "' no manifest ever held");
    } else if (taken != takenAt.end() && request.atMs > taken->second + kRevokeMs) {
      ++wrong;
      site.record.Line("CONFIG: ",
                       id,
                       " ran, sent ",
                       request.atMs - taken->second,
                       " ms after the confirmation that took '",
                       request.key,
                       "' away");
    }
  }
  site.record.Line(wrong, " of ", ran.size(), " requests that ran should not have run");
  std::printf("%d of %zu requests that ran should not have run\n", wrong, ran.size());
  host1.Kill();
  host2.Kill();
  Finish(wrong > 0 ? kBroken : kHeld);
}
