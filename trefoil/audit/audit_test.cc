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
  return { .mKind = AuditKind::kAccepted, .mRevision = aRevision, .mActor = "ana", .mAt = kAt };
}

TEST_CASE("A trail is stored in segments of bounded size")
{
  const AuditOptions options{ .mMaxRecords = 2 };
  AuditSegment head;

  SECTION("records are appended to the head segment")
  {
    head = PlanAppend(options, head, { Accepted(1), Accepted(2) })->mHead;
    CHECK(head.mRecords.size() == 2);
    SECTION("a record that it contains is not appended again")
    {
      CHECK_FALSE(PlanAppend(options, head, { Accepted(2) }).has_value());
    }
    SECTION("a full head segment is sealed and the next one begins")
    {
      const auto plan = PlanAppend(options, head, { Accepted(2), Accepted(3) });
      CHECK(plan->mSealed == head);
      CHECK(plan->mHead.mNumber == head.mNumber + 1);
      CHECK(plan->mHead.mRecords == std::vector<AuditRecord>{ Accepted(3) });
    }
  }
  SECTION("an encoded segment decodes to the same segment")
  {
    AuditRecord record = Accepted(7);
    record.mText = "a \"quoted\" reason\nin two lines";
    const AuditSegment segment{ .mNumber = 3, .mRecords = { record } };
    CHECK(*DecodeSegment(EncodeSegment(segment)) == segment);
    CHECK(*DecodeSegment("") == AuditSegment{});
    CHECK_FALSE(DecodeSegment("[]").ok());
  }
  SECTION("a record is rendered as a line of text")
  {
    CHECK(RenderRecord(Accepted(7)) == "2026-12-04T08:00:00.123000Z revision 7 accepted by ana");
  }
}

TEST_CASE("The text of a document contains its author")
{
  const Author ana{ .mName = "ana@club", .mNonce = "n1", .mAt = kAt };
  const std::string text = WithAuthor(ana, "service = \"rules\"\n");
  CHECK(ParseAuthor(text) == ana);
  SECTION("the next author replaces the former one")
  {
    const Author ben{ .mName = "ben", .mNonce = "n2", .mAt = kAt };
    CHECK(WithAuthor(ben, text) == WithAuthor(ben, "service = \"rules\"\n"));
  }
  SECTION("a text without a valid comment has no author")
  {
    CHECK(ParseAuthor("service = \"rules\"\n") == std::nullopt);
    CHECK(ParseAuthor("# put-by ana x n1\n") == std::nullopt);
  }
  SECTION("a name that would break the comment is refused")
  {
    CHECK(IsValidAuthorName("ana.b_c@d-1"));
    CHECK_FALSE(IsValidAuthorName(""));
    CHECK_FALSE(IsValidAuthorName("ana b"));
    CHECK_FALSE(IsValidAuthorName("ana\n"));
  }
}

// A fake of the store with the trail of one service.
struct FakeStore
{
  std::map<std::string, StoredSegment> mByKey;
  std::uint64_t mRevision = 0;

  bool Write(const std::string& aKey, const WriteSegment& aWrite)
  {
    StoredSegment& current = mByKey[aKey];
    if (current.mRevision != aWrite.mExpected) {
      return false;
    }
    current = { .mSegment = aWrite.mSegment, .mRevision = ++mRevision };
    return true;
  }
};

// Carries out one effect. With a probability of 1/8 each, the call is lost before or after it takes
// effect, as determined by the random number `aRandom`.
AuditEvent
ExecuteEffect(FakeStore& aStore,
              const AuditOptions& aOptions,
              const AuditEffect& aEffect,
              unsigned aRandom)
{
  const bool lostBefore = aRandom % 8 == 0;
  const bool lostAfter = aRandom % 8 == 1;
  const auto read = [&](const std::string& aKey) {
    SegmentReadCompleted ended;
    if (!lostBefore) {
      ended.mStored = aStore.mByKey[aKey];
    }
    return ended;
  };
  if (const auto* head = std::get_if<ReadHeadSegment>(&aEffect)) {
    return read(HeadSegmentKey(head->mService));
  }
  if (const auto* sealed = std::get_if<ReadSealedSegment>(&aEffect)) {
    return read(SealedSegmentKey(aOptions, sealed->mService, sealed->mNumber));
  }
  const auto& write = std::get<WriteSegment>(aEffect);
  const std::string key = write.mSealed
                            ? SealedSegmentKey(aOptions, write.mService, write.mSegment.mNumber)
                            : HeadSegmentKey(write.mService);
  const bool written = !lostBefore && aStore.Write(key, write);
  return SegmentWriteCompleted{ .mWritten = written && !lostAfter };
}

TEST_CASE("Two hosts append to one trail while calls are lost")
{
  std::minstd_rand random{ 7 };
  FakeStore store;
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
      step(aHost, ExecuteEffect(store, recorders[aHost].mOptions, call, random()));
    }
  };
  constexpr std::uint64_t kRecords = 200;
  for (auto& recorder : recorders) {
    recorder.mOptions.mMaxRecords = 8;
  }
  for (std::uint64_t revision = 1; revision <= kRecords; ++revision) {
    step(revision % 2, AppendRequested{ .mService = kService, .mRecord = Accepted(revision) });
    endCall(random() % 2);
    now += Milliseconds{ 300 };
  }
  while (!recorders[0].mPendingRecords.empty() || !recorders[1].mPendingRecords.empty()) {
    now += Milliseconds{ 300 };
    for (std::size_t host = 0; host < 2; ++host) {
      const auto effects = Tick(recorders[host], now);
      calls[host].insert(calls[host].end(), effects.begin(), effects.end());
      endCall(host);
    }
  }

  SECTION("the trail contains every record, and no segment exceeds its bound")
  {
    std::map<std::uint64_t, int> recordsByRevision;
    for (const auto& [key, stored] : store.mByKey) {
      CHECK(stored.mSegment.mRecords.size() <= 8);
      for (const AuditRecord& record : stored.mSegment.mRecords) {
        ++recordsByRevision[record.mRevision];
      }
    }
    CHECK(recordsByRevision.size() == kRecords);
  }
}

TEST_CASE("A bounded number of records is kept during an outage of the store")
{
  AuditRecorder recorder;
  recorder.mMaxPending = 3;
  const Instant now{};
  for (std::uint64_t revision = 1; revision <= 5; ++revision) {
    Step(recorder, AppendRequested{ .mService = kService, .mRecord = Accepted(revision) }, now);
  }
  CHECK(recorder.mPendingRecords[kService].size() == 3);
  CHECK(recorder.mPendingRecords[kService].front().mRevision == 3);
  CHECK(recorder.mDroppedRecords == 2);
  SECTION("and a failed call is repeated after a delay")
  {
    CHECK(Step(recorder, SegmentReadCompleted{}, now).empty());
    CHECK(NextTimer(recorder, now + Milliseconds{ 60'000 }) > now);
  }
}

} // namespace
} // namespace trefoil
