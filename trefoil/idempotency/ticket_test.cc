#include "trefoil/idempotency/ticket.h"
#include "trefoil/idempotency/ticket_codec.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const WallTime kStart = FromUnixMilliseconds(1'796'371'200'000);

TicketTable
TableOf(const std::string& aHost, std::uint64_t aIncarnation)
{
  return { .mIssuer = { .mZone = AvailabilityZoneId{ "zone-a" },
                        .mHost = HostId{ aHost },
                        .mEndpoint = { .mAddress = "127.0.1.1", .mPort = 8080 },
                        .mIncarnation = aIncarnation,
                        .mMaxUsed = 2 } };
}

TEST_CASE("A host mints a ticket")
{
  TicketTable table = TableOf("h1", 5);
  const Ticket ticket =
    NewTicket(table, ClientAccountId{ "directors" }, ServiceId{ "results" }, kStart);
  const auto use = [&table](const Ticket& aTicket, const std::string& aRequest, WallTime aNow) {
    return Use(table, aTicket, aRequest, aNow).mAction;
  };

  SECTION("its text can be read with the secret only")
  {
    const std::string text = EncodeTicket(ticket, "secret");
    CHECK(LooksLikeTicket(text));
    CHECK(*DecodeTicket(text, "secret") == ticket);
    CHECK_FALSE(DecodeTicket(text, "other").ok());
    std::string changed = text;
    changed[20] = changed[20] == 'A' ? 'B' : 'A';
    CHECK_FALSE(DecodeTicket(changed, "secret").ok());
  }
  SECTION("the host runs it")
  {
    CHECK(use(ticket, "one", kStart) == TicketAction::kDispatch);
    SECTION("and not again while it runs")
    {
      CHECK(use(ticket, "one", kStart) == TicketAction::kInProgress);
    }
    SECTION("and not again after its end")
    {
      End(table, ticket.mSerial, { .mStage = ClaimStage::kRan, .mHttpStatus = 201 });
      const TicketAnswer again = Use(table, ticket, "one", kStart);
      CHECK(again.mAction == TicketAction::kRecorded);
      CHECK(again.mOutcome.mHttpStatus == 201);
    }
    SECTION("but again when it did not run")
    {
      End(table, ticket.mSerial, { .mStage = ClaimStage::kNotRun });
      CHECK(use(ticket, "one", kStart) == TicketAction::kDispatch);
    }
    SECTION("not for another request")
    {
      CHECK(use(ticket, "two", kStart) == TicketAction::kOtherRequest);
    }
    SECTION("not once it has expired, also when the calendar is set back")
    {
      CHECK(use(ticket, "one", ticket.mExpiresAt) == TicketAction::kExpired);
      CHECK(table.mUsed.empty());
      CHECK(use(ticket, "one", kStart) == TicketAction::kExpired);
    }
  }
  SECTION("another host passes it on")
  {
    TicketTable other = TableOf("h2", 9);
    CHECK(Use(other, ticket, "one", kStart).mAction == TicketAction::kForward);
  }
  SECTION("after a restart the host does not know whether it ran")
  {
    TicketTable restarted = TableOf("h1", 6);
    CHECK(Use(restarted, ticket, "one", kStart).mAction == TicketAction::kGone);
  }
  SECTION("the used tickets that it remembers are bounded")
  {
    use(ticket, "one", kStart);
    for (int i = 0; i < 2; ++i) {
      const Ticket next =
        NewTicket(table, ClientAccountId{ "directors" }, ServiceId{ "results" }, kStart);
      CHECK(use(next, "one", kStart) == (i == 0 ? TicketAction::kDispatch : TicketAction::kFull));
    }
  }
}

} // namespace
} // namespace trefoil
