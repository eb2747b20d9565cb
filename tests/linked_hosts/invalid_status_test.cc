// Sends requests by way of another host to a server whose answers have a status that HTTP does not
// know.
#include "tests/linked_hosts/linked_site.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against an answer of a broken server that is passed on if another host carries the
// connection.
SCENARIO("a server that is reached by way of another host answers with status 600")
{
  Site site{ 2, 1, [](int /*aServer*/, const ReceivedRequest& aRequest) {
              Reply reply = AnswerSuccess(aRequest);
              reply.mBytes.replace(reply.mBytes.find("200"), 3, "600");
              return reply;
            } };
  site.Cut(0, LinkCut::kReset, 1);
  THEN("the request may have run")
  {
    CHECK(site.Host(0).Ask("write", "id-1").mStatus == 502);
    CHECK(site.RelayOutcomes(0, "connected") >= 1);
  }
}

} // namespace
} // namespace trefoil
