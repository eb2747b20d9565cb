#include "trefoil/audit/author.h"
#include "trefoil/audit/recorder.h"
#include "trefoil/audit/trail_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace trefoil {
namespace {

const ServiceId kService{ "results" };
const WallTime kAt = FromUnixMilliseconds(1'796'371'200'123);

AuditRecord
Accepted(std::uint64_t aRevision)
{
  return { .mKind = AuditKind::kAccepted, .mRevision = aRevision, .mWho = "ana", .mAt = kAt };
}

TEST_CASE("A trail grows in pieces of bounded size")
{
  const AuditOptions options{ .mMaxRecords = 2 };
  AuditPiece head;

  SECTION("records go to the head")
  {
    head = PlanAppend(options, head, { Accepted(1), Accepted(2) })->mHead;
    CHECK(head.mRecords.size() == 2);
    SECTION("once")
    {
      CHECK_FALSE(PlanAppend(options, head, { Accepted(2) }).has_value());
    }
    SECTION("a full head is copied and the next piece begins")
    {
      const auto plan = PlanAppend(options, head, { Accepted(2), Accepted(3) });
      CHECK(plan->mSealed == head);
      CHECK(plan->mHead.mNumber == head.mNumber + 1);
      CHECK(plan->mHead.mRecords == std::vector<AuditRecord>{ Accepted(3) });
    }
  }
  SECTION("a piece can be read back")
  {
    AuditRecord record = Accepted(7);
    record.mText = "a \"quoted\" reason\nin two lines";
    const AuditPiece piece{ .mNumber = 3, .mRecords = { record } };
    CHECK(*DecodePiece(EncodePiece(piece)) == piece);
    CHECK(*DecodePiece("") == AuditPiece{});
    CHECK_FALSE(DecodePiece("[]").ok());
  }
  SECTION("an operator reads a record as a line")
  {
    CHECK(RenderRecord(Accepted(7)) == "2026-12-04T08:00:00.123000Z revision 7 accepted by ana");
  }
}

TEST_CASE("A document says who put it")
{
  const Author ana{ .mName = "ana@club", .mNonce = "n1", .mAt = kAt };
  const std::string text = WithAuthor(ana, "service = \"rules\"\n");
  CHECK(AuthorOf(text) == ana);
  SECTION("the next author takes the place of the one before")
  {
    const Author ben{ .mName = "ben", .mNonce = "n2", .mAt = kAt };
    CHECK(WithAuthor(ben, text) == WithAuthor(ben, "service = \"rules\"\n"));
  }
  SECTION("a text without it has none")
  {
    CHECK(AuthorOf("service = \"rules\"\n") == std::nullopt);
    CHECK(AuthorOf("# put-by ana x n1\n") == std::nullopt);
  }
  SECTION("a name that could break the line is refused")
  {
    CHECK(IsAuthorName("ana.b_c@d-1"));
    CHECK_FALSE(IsAuthorName(""));
    CHECK_FALSE(IsAuthorName("ana b"));
    CHECK_FALSE(IsAuthorName("ana\n"));
  }
}

// A store for the trails of one service.
struct Pieces
{
  std::map<std::string, StoredPiece> mByKey;
  std::uint64_t mRevision = 0;

  bool Write(const std::string& aKey, const PieceWriteWanted& aWrite)
  {
    StoredPiece& standing = mByKey[aKey];
    if (standing.mRevision != aWrite.mExpected) {
      return false;
    }
    standing = { .mPiece = aWrite.mPiece, .mRevision = ++mRevision };
    return true;
  }
};

// Carries out one effect. A draw decides whether the call is lost before or after it took effect.
AuditEvent
CarryOut(Pieces& aPieces, const AuditOptions& aOptions, const AuditEffect& aEffect, unsigned aDraw)
{
  const bool lostBefore = aDraw % 8 == 0;
  const bool lostAfter = aDraw % 8 == 1;
  const auto read = [&](const std::string& aKey) {
    PieceReadEnded ended;
    if (!lostBefore) {
      ended.mStored = aPieces.mByKey[aKey];
    }
    return ended;
  };
  if (const auto* head = std::get_if<HeadReadWanted>(&aEffect)) {
    return read(HeadKeyOf(head->mService));
  }
  if (const auto* sealed = std::get_if<SealedReadWanted>(&aEffect)) {
    return read(SealedKeyOf(aOptions, sealed->mService, sealed->mNumber));
  }
  const auto& write = std::get<PieceWriteWanted>(aEffect);
  const std::string key = write.mSealed
                            ? SealedKeyOf(aOptions, write.mService, write.mPiece.mNumber)
                            : HeadKeyOf(write.mService);
  const bool written = !lostBefore && aPieces.Write(key, write);
  return PieceWriteEnded{ .mWritten = written && !lostAfter };
}

TEST_CASE("Two hosts write one trail while calls are lost")
{
  std::minstd_rand random{ 7 };
  Pieces pieces;
  std::vector<AuditRecorder> recorders(2);
  std::vector<std::vector<AuditEffect>> calls(2);
  Instant now;
  const auto step = [&](std::size_t aHost, const AuditEvent& aEvent) {
    const auto effects = Step(recorders[aHost], aEvent, now);
    calls[aHost].insert(calls[aHost].end(), effects.begin(), effects.end());
  };
  const auto endCall = [&](std::size_t aHost) {
    if (!calls[aHost].empty()) {
      const AuditEffect call = calls[aHost].front();
      calls[aHost].clear();
      step(aHost, CarryOut(pieces, recorders[aHost].mOptions, call, random()));
    }
  };
  constexpr std::uint64_t kRecords = 200;
  for (auto& recorder : recorders) {
    recorder.mOptions.mMaxRecords = 8;
  }
  for (std::uint64_t revision = 1; revision <= kRecords; ++revision) {
    step(revision % 2, RecordWanted{ .mService = kService, .mRecord = Accepted(revision) });
    endCall(random() % 2);
    now += Milliseconds{ 300 };
  }
  while (!recorders[0].mWaiting.empty() || !recorders[1].mWaiting.empty()) {
    now += Milliseconds{ 300 };
    for (std::size_t host = 0; host < 2; ++host) {
      const auto effects = Tick(recorders[host], now);
      calls[host].insert(calls[host].end(), effects.begin(), effects.end());
      endCall(host);
    }
  }

  SECTION("every record is in the trail, and no piece is over its bound")
  {
    std::map<std::uint64_t, int> seen;
    for (const auto& [key, stored] : pieces.mByKey) {
      CHECK(stored.mPiece.mRecords.size() <= 8);
      for (const AuditRecord& record : stored.mPiece.mRecords) {
        ++seen[record.mRevision];
      }
    }
    CHECK(seen.size() == kRecords);
  }
}

TEST_CASE("Records wait while the store is out, up to a bound")
{
  AuditRecorder recorder;
  recorder.mMaxWaiting = 3;
  const Instant now{};
  for (std::uint64_t revision = 1; revision <= 5; ++revision) {
    Step(recorder, RecordWanted{ .mService = kService, .mRecord = Accepted(revision) }, now);
  }
  CHECK(recorder.mWaiting[kService].size() == 3);
  CHECK(recorder.mWaiting[kService].front().mRevision == 3);
  CHECK(recorder.mDropped == 2);
  SECTION("and a call that failed is repeated after a pause")
  {
    CHECK(Step(recorder, PieceReadEnded{}, now).empty());
    CHECK(NextTimer(recorder, now + Milliseconds{ 60'000 }) > now);
  }
}

} // namespace
} // namespace trefoil
