// A new manifest allows requests without a key on a route. Clients go on sending their keys there,
// but engines no longer learn whose requests they are.
#include "site.hpp"

using namespace review;

namespace {

constexpr std::int64_t kConfigApplyMs = 2'000;

RouteEntry
Standings(bool aIsAnonymous)
{
  return {
    .name = "standings", .kind = "idempotent", .service = "ledger", .isAnonymous = aIsAnonymous
  };
}

RouteEntry
Result(bool aIsAnonymous)
{
  return {
    .name = "result", .kind = "non_idempotent", .service = "ledger", .isAnonymous = aIsAnonymous
  };
}

} // namespace

int
main()
{
  Site site{ "review/10" };
  std::mutex mutex;
  // The tenant that holds the key of each request, and the one that the engine got with it.
  std::map<std::string, std::string> holders;
  std::map<std::string, std::string> told;
  const auto work = [&](Engine& aEngine, int aFd, const EngineRequest& aRequest) {
    const std::string tenant = aRequest.head.Of("Tenant");
    {
      const std::lock_guard lock{ mutex };
      told[aRequest.id] = tenant;
    }
    site.record.Line(aEngine.id, " runs ", aRequest.id, " with Tenant '", tenant, "'");
    // What the application shows depends on whose request it is.
    return aEngine.Answer(
      aFd, aRequest, tenant.empty() ? "the public page" : "the page of " + tenant);
  };
  const std::string tenants =
    R"([{"Name":"club","ApiKeys":["club-key"]},{"Name":"guild","ApiKeys":["guild-key"]}])";
  site.store.Put("op/config", Manifest(1, { Standings(false), Result(false) }, tenants));
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
      for (const std::string tenant : { "club", "guild" }) {
        for (const char* path : { "/standings/1", "/result/1" }) {
          const std::string id = "r" + std::to_string(++number);
          {
            const std::lock_guard lock{ mutex };
            holders[id] = tenant;
          }
          const Answer answer = Ask(host->front,
                                    { .path = path,
                                      .id = id,
                                      .method = path[1] == 's' ? "GET" : "POST",
                                      .key = tenant + "-key" });
          served += answer.status == 200 ? 1 : 0;
          site.record.Line(
            id, " ", path, " of ", tenant, " is answered ", answer.status, " ", answer.body);
        }
      }
    }
  };
  askAll();
  if (served != number) {
    Fail("the requests were not served before the change");
  }
  const bool isAnonymous = HasTrouble();
  site.store.Put("op/config",
                 Manifest(2, { Standings(isAnonymous), Result(isAnonymous) }, tenants));
  site.record.Line("manifest 2 is confirmed, AllowAnonymous ", isAnonymous ? "true" : "false");
  SleepMs(kConfigApplyMs + 1'000);
  askAll();

  int wrong = 0;
  const std::lock_guard lock{ mutex };
  for (const auto& [id, tenant] : told) {
    if (tenant != holders[id]) {
      ++wrong;
      site.record.Line(
        "UNASKED: ", id, " ran with Tenant '", tenant, "', its key is held by ", holders[id]);
    }
  }
  std::printf(
    "%d of %zu requests ran with a Tenant that does not hold their key\n", wrong, told.size());
  host1.Kill();
  host2.Kill();
  Finish(wrong > 0 ? kBroken : kHeld);
}
