#include "trefoil/wire/codec.h"

#include "trefoil/base/digest.h"
#include "trefoil/wire/crash_evidence_conversion.h"
#include "trefoil/wire/server_limit_conversion.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <limits>
#include <new>
#include <rapidcheck.h>

namespace {

// The size of the largest allocation on this thread since the variable was last set to 0.
thread_local std::size_t largestAllocation = 0;

} // namespace

[[gnu::noinline]] void*
operator new(std::size_t aSize)
{
  largestAllocation = std::max(largestAllocation, aSize);
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc{};
}

[[gnu::noinline]] void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace trefoil {
namespace {

constexpr std::size_t kHeaderBytes = 9;
constexpr std::size_t kChecksumBytes = 8;

// Returns an encoded message with the given payload and a correct checksum.
std::string
EncodePayload(std::string_view aPayload)
{
  std::string bytes{ static_cast<char>(kProtocolVersion) };
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    bytes.push_back(static_cast<char>(Digest64(aPayload) >> (8 * i)));
  }
  return bytes.append(aPayload);
}

Message
MakeMessage(int aIndex)
{
  const Heartbeat heartbeat{ .mHost = HostId{ "h1" }, .mIncarnation = 300, .mSequence = 9 };
  switch (aIndex) {
    case 0:
      return Gossip{ .mSender = heartbeat, .mMemberStatuses = { { .mHost = HostId{ "h2" } }, {} } };
    case 1:
      return ZoneGossip{ .mSender = heartbeat, .mZones = { { .mContacts = { heartbeat } } } };
    case 2:
      return ServerReports{ .mReports = { { .mServer = BackendServerId{ "engine-1" } } } };
    case 3:
      return DocumentsReply{ .mDocuments = { { .mRevision = 1, .mText = "text" } } };
    case 4:
      return CrashEvidenceMessage{ .mCrashes = { { .mServer = BackendServerId{ "engine-1" },
                                                   .mParts = { { .mPart = 7 } } } } };
    case 5:
      return ServerLimitMessage{ .mEntries = { { .mServer = BackendServerId{ "engine-1" },
                                                 .mLimited = true,
                                                 .mPerSecond = 1.5 } } };
    default:
      return HeartbeatsRequest{ .mHosts = { HostId{ "h3" } } };
  }
}

TEST_CASE("Messages between entry hosts are encoded and decoded")
{
  const Heartbeat sent{ .mHost = HostId{ "h1" },
                        .mZone = AvailabilityZoneId{ "zone-a" },
                        .mPeerEndpoint = { .mAddress = "127.0.1.1", .mPort = 7000 },
                        .mIncarnation = 3,
                        .mSequence = 9,
                        .mLeaving = true,
                        .mConfigRevision = 12 };
  const std::string bytes = Encode(sent);

  SECTION("a decoded message equals the encoded one")
  {
    const auto message = Decode(bytes);
    REQUIRE(message.ok());
    const auto& received = std::get<Heartbeat>(*message);
    CHECK(received.mHost == sent.mHost);
    CHECK(received.mPeerEndpoint == sent.mPeerEndpoint);
    CHECK(received.mSequence == sent.mSequence);
    CHECK(received.mLeaving);
    CHECK(received.mConfigRevision == sent.mConfigRevision);
  }
  SECTION("corrupted bytes are rejected")
  {
    SECTION("when any single byte is changed")
    {
      for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x40);
        CHECK_FALSE(Decode(damaged).ok());
      }
    }
    SECTION("when they are truncated")
    {
      for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(Decode(std::string_view{ bytes }.substr(0, length)).ok());
      }
    }
  }
}

TEST_CASE("Evidence about prompts that crash servers is sent to another host")
{
  const Instant sentAt{ std::chrono::hours{ 5 } };
  const Instant receivedAt{ std::chrono::hours{ 9 } };
  const CrashEvidence evidence{
    .mCrashes = { { .mServer = BackendServerId{ "e1" },
                    .mIds = { 5, 6 },
                    .mAt = sentAt - Milliseconds{ 700 },
                    .mParts = { { 7, SuspectStanding::kNeverAnswered },
                                { 8, SuspectStanding::kAnsweredAfter } },
                    .mRequests = { { 8, SuspectStanding::kNeverAnswered },
                                   { 9, SuspectStanding::kAnsweredBefore },
                                   { 10, SuspectStanding::kAnsweredAfter } },
                    .mDisproved = true } },
    .mRefusals = { { 7,
                     { .mUntil = sentAt + Milliseconds{ 9'000 },
                       .mGeneration = 3,
                       .mLevel = 2,
                       .mAnswered = true } } }
  };
  CrashEvidenceMessage message = ToCrashEvidenceMessage(HostId{ "h1" }, evidence, sentAt);

  SECTION("it means the same there, relative to the clock of the receiver")
  {
    const auto decoded = Decode(Encode(message));
    REQUIRE(decoded.ok());
    const CrashEvidence received =
      ToCrashEvidence(std::get<CrashEvidenceMessage>(*decoded), receivedAt);
    REQUIRE(received.mCrashes.size() == 1);
    CHECK(received.mCrashes[0].mServer == evidence.mCrashes[0].mServer);
    CHECK(received.mCrashes[0].mAt == receivedAt - Milliseconds{ 700 });
    CHECK(received.mCrashes[0].mParts == evidence.mCrashes[0].mParts);
    CHECK(received.mCrashes[0].mRequests == evidence.mCrashes[0].mRequests);
    CHECK(received.mCrashes[0].mDisproved);
    CHECK(received.mCrashes[0].mIds == evidence.mCrashes[0].mIds);
    const Refusal& refusal = received.mRefusals.at(7);
    CHECK(refusal.mUntil == receivedAt + Milliseconds{ 9'000 });
    CHECK(refusal.mGeneration == 3);
    CHECK(refusal.mLevel == 2);
    CHECK(refusal.mAnswered);
  }
  // Guards against: a list that was cut counts as a complete one at the receiver.
  SECTION("a list that was cut is marked")
  {
    CHECK_FALSE(ToCrashEvidence(message, receivedAt).mCrashes[0].mPartsCut);
    CrashEvidence cut = evidence;
    cut.mCrashes[0].mPartsCut = true;
    const auto decoded = Decode(Encode(ToCrashEvidenceMessage(HostId{ "h1" }, cut, sentAt)));
    REQUIRE(decoded.ok());
    const CrashEvidence received =
      ToCrashEvidence(std::get<CrashEvidenceMessage>(*decoded), receivedAt);
    CHECK(received.mCrashes[0].mPartsCut);
    CHECK(received.mCrashes[0].mParts == evidence.mCrashes[0].mParts);
  }
  // Guards against: a report of long prompts is larger than a datagram and never arrives.
  SECTION("the longest report fits into a datagram")
  {
    CrashTracker tracker;
    const Instant now = sentAt + std::chrono::seconds{ 40 };
    std::uint64_t lastKey = ~std::uint64_t{ 0 };
    const auto newKey = [&lastKey] { return --lastKey; };
    for (int i = 0; i < 40; ++i) {
      for (int request = 0; request < 64; ++request) {
        CrashSuspects suspects{ .mRequest = newKey() };
        std::generate_n(std::back_inserter(suspects.mParts), 200, newKey);
        RecordCrash(tracker,
                    BackendServerId{ "i-0123456789abcdef0123456789abcdef" },
                    suspects,
                    newKey(),
                    sentAt + i * std::chrono::seconds{ 1 });
      }
    }
    for (ServerCrash& crash : tracker.mCrashes) {
      crash.mChangedAt = now;
    }
    while (tracker.mRefusals.size() < 256) {
      tracker.mRefusals[newKey()] = {
        .mUntil = now + std::chrono::minutes{ 10 }, .mGeneration = 9, .mLevel = 9, .mChangedAt = now
      };
    }
    const std::string bytes =
      Encode(ToCrashEvidenceMessage(HostId{ "h1" }, EvidenceToReport(tracker, now), now));
    INFO("bytes: " << bytes.size());
    CHECK(bytes.size() > 20'000);
    CHECK(bytes.size() <= 65'507);
  }
  SECTION("values out of range are limited")
  {
    message.mCrashes[0].mAgeMilliseconds = std::numeric_limits<std::int64_t>::max();
    message.mCrashes[0].mParts[0].mStanding = 200;
    message.mRefusals[0].mRemainingMilliseconds = std::numeric_limits<std::int64_t>::max();
    const CrashEvidence received = ToCrashEvidence(message, receivedAt);
    CHECK(received.mCrashes[0].mAt < receivedAt);
    CHECK(received.mCrashes[0].mParts.at(7) == SuspectStanding::kAnsweredAfter);
    CHECK(received.mRefusals.at(7).mUntil > receivedAt);
  }
}

TEST_CASE("The limit of a server is sent to another host")
{
  const Instant sentAt{ std::chrono::hours{ 5 } };
  const Instant receivedAt{ std::chrono::hours{ 9 } };
  ServerLimitMessage message =
    ToServerLimitMessage(HostId{ "h1" },
                         RelayStage::kOtherZones,
                         { { .mServer = BackendServerId{ "e1" },
                             .mIncarnation = 12,
                             .mStated = { .mKind = LimitStatement::kLimited, .mPerSecond = 1.5 },
                             .mStatedAt = sentAt - Milliseconds{ 700 } } },
                         sentAt);

  SECTION("it means the same there, relative to the clock of the receiver")
  {
    const auto decoded = Decode(Encode(message));
    REQUIRE(decoded.ok());
    const auto& received = std::get<ServerLimitMessage>(*decoded);
    CHECK(received.mStage == RelayStage::kOtherZones);
    const auto reports = ToLimitReports(received, receivedAt);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].mServer == BackendServerId{ "e1" });
    CHECK(reports[0].mIncarnation == 12);
    CHECK(reports[0].mStated == StatedLimit{ LimitStatement::kLimited, 1.5 });
    CHECK(reports[0].mStatedAt == receivedAt - Milliseconds{ 700 });
  }
  SECTION("values out of range are limited or left out")
  {
    message.mEntries[0].mAgeMilliseconds = std::numeric_limits<std::int64_t>::min();
    CHECK(ToLimitReports(message, receivedAt).at(0).mStatedAt == receivedAt);
    for (const double limit : { -1.0,
                                std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::quiet_NaN() }) {
      message.mEntries[0].mPerSecond = limit;
      CHECK(ToLimitReports(message, receivedAt).empty());
    }
  }
}

TEST_CASE("A forged message with a correct checksum causes no large allocation")
{
  SECTION("when a length exceeds the remaining bytes by far")
  {
    // The variant index 6 of DocumentsRequest, zigzag encoded as 12, and a list of 2^40 items.
    const std::string forged = EncodePayload("\x0c\x80\x80\x80\x80\x80\x20");
    largestAllocation = 0;
    CHECK_FALSE(Decode(forged).ok());
    CHECK(largestAllocation < 4096);
  }
  SECTION("when bytes are changed, removed or appended at random")
  {
    const bool passed = rc::check([] {
      const Message message = MakeMessage(*rc::gen::inRange(0, 7));
      std::string payload = Encode(message).substr(kHeaderBytes);
      for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, payload.size());
        payload[position] = *rc::gen::arbitrary<char>();
      }
      payload.resize(*rc::gen::inRange<std::size_t>(0, payload.size() + 8));
      const std::string forged = EncodePayload(payload);
      largestAllocation = 0;
      Decode(forged).status().IgnoreError();
      RC_ASSERT(largestAllocation < 65'536U);
    });
    CHECK(passed);
  }
}

} // namespace
} // namespace trefoil
