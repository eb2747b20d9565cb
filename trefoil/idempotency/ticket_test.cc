#include "trefoil/idempotency/ticket.h"
#include "trefoil/idempotency/ticket_codec.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const WallTime kStart = FromUnixMilliseconds(1'796'371'200'000);

TicketTable
MakeTable(const std::string& aHost, std::uint64_t aIncarnation)
{
  return { .mIssuer = { .mZone = AvailabilityZoneId{ "zone-a" },
                        .mHost = HostId{ aHost },
                        .mEndpoint = { .mAddress = "127.0.1.1", .mPort = 8080 },
                        .mIncarnation = aIncarnation,
                        .mMaxUsedTickets = 2 } };
}

TEST_CASE("A host issues a ticket")
{
  TicketTable table = MakeTable("h1", 5);
  const Ticket ticket =
    IssueTicket(table, ClientAccountId{ "directors" }, ServiceId{ "results" }, kStart);
  const auto use = [&table](const Ticket& aTicket, const std::string& aRequest, WallTime aNow) {
    return UseTicket(table, aTicket, aRequest, aNow).mDecision;
  };

  SECTION("its text can be decoded only with the secret")
  {
    const std::string text = EncodeTicket(ticket, "secret");
    CHECK(LooksLikeTicket(text));
    CHECK(*DecodeTicket(text, "secret") == ticket);
    CHECK_FALSE(DecodeTicket(text, "other").ok());
    std::string changed = text;
    changed[20] = changed[20] == 'A' ? 'B' : 'A';
    CHECK_FALSE(DecodeTicket(changed, "secret").ok());
  }
  SECTION("the host dispatches its request")
  {
    CHECK(use(ticket, "one", kStart) == TicketDecision::kDispatch);
    SECTION("but not again while it runs")
    {
      CHECK(use(ticket, "one", kStart) == TicketDecision::kInProgress);
    }
    SECTION("but not again after it ran")
    {
      RecordTicketOutcome(
        table, ticket.mSerial, { .mStage = ClaimStage::kRan, .mHttpStatus = 201 });
      const TicketAnswer again = UseTicket(table, ticket, "one", kStart);
      CHECK(again.mDecision == TicketDecision::kRecorded);
      CHECK(again.mOutcome.mHttpStatus == 201);
    }
    SECTION("and again if it did not run")
    {
      RecordTicketOutcome(table, ticket.mSerial, { .mStage = ClaimStage::kNotRun });
      CHECK(use(ticket, "one", kStart) == TicketDecision::kDispatch);
    }
    SECTION("but not a different request with the ticket")
    {
      CHECK(use(ticket, "two", kStart) == TicketDecision::kOtherRequest);
    }
    SECTION("but not after the ticket has expired, even if the wall clock is set back")
    {
      CHECK(use(ticket, "one", ticket.mExpiresAt) == TicketDecision::kExpired);
      CHECK(table.mUsedTickets.empty());
      CHECK(use(ticket, "one", kStart) == TicketDecision::kExpired);
    }
  }
  SECTION("another host forwards its request")
  {
    TicketTable other = MakeTable("h2", 9);
    CHECK(UseTicket(other, ticket, "one", kStart).mDecision == TicketDecision::kForward);
  }
  SECTION("after a restart the host cannot determine whether its request ran")
  {
    TicketTable restarted = MakeTable("h1", 6);
    CHECK(UseTicket(restarted, ticket, "one", kStart).mDecision == TicketDecision::kIssuerGone);
  }
  SECTION("the number of used tickets is limited")
  {
    use(ticket, "one", kStart);
    for (int i = 0; i < 2; ++i) {
      const Ticket next =
        IssueTicket(table, ClientAccountId{ "directors" }, ServiceId{ "results" }, kStart);
      CHECK(use(next, "one", kStart) ==
            (i == 0 ? TicketDecision::kDispatch : TicketDecision::kFull));
    }
  }
}

} // namespace
} // namespace trefoil
