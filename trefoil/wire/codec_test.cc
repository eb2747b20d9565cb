#include "trefoil/wire/codec.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <new>
#include <rapidcheck.h>

namespace {

// The largest piece of memory that this thread asked for since it was last set to zero.
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

constexpr std::size_t kHeadBytes = 9;
constexpr std::size_t kChecksumBytes = 8;

// Returns a message of the bytes of a payload, with a right checksum.
std::string
Sealed(std::string_view aPayload)
{
  std::string bytes{ static_cast<char>(kProtocolVersion) };
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    bytes.push_back(static_cast<char>(Digest64(aPayload) >> (8 * i)));
  }
  return bytes.append(aPayload);
}

Message
MessageOfKind(int aKind)
{
  const Heartbeat heartbeat{ .mHost = HostId{ "h1" }, .mIncarnation = 300, .mSequence = 9 };
  switch (aKind) {
    case 0:
      return Gossip{ .mSender = heartbeat, .mBeats = { { .mHost = HostId{ "h2" } }, {} } };
    case 1:
      return ZoneGossip{ .mSender = heartbeat, .mZones = { { .mContacts = { heartbeat } } } };
    case 2:
      return ServerReports{ .mReports = { { .mServer = BackendServerId{ "engine-1" } } } };
    case 3:
      return DocumentsOffered{ .mDocuments = { { .mRevision = 1, .mText = "text" } } };
    default:
      return HeartbeatsWanted{ .mHosts = { HostId{ "h3" } } };
  }
}

TEST_CASE("Entry hosts understand each other's messages")
{
  const Heartbeat sent{ .mHost = HostId{ "h1" },
                        .mZone = AvailabilityZoneId{ "zone-a" },
                        .mPeerEndpoint = { .mAddress = "127.0.1.1", .mPort = 7000 },
                        .mIncarnation = 3,
                        .mSequence = 9,
                        .mLeaving = true,
                        .mConfigRevision = 12 };
  const std::string bytes = Encode(sent);

  SECTION("a message arrives as it was sent")
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
  SECTION("damaged bytes are refused")
  {
    SECTION("when any one byte is changed")
    {
      for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x40);
        CHECK_FALSE(Decode(damaged).ok());
      }
    }
    SECTION("when they are cut short")
    {
      for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(Decode(std::string_view{ bytes }.substr(0, length)).ok());
      }
    }
  }
}

TEST_CASE("A forged message that carries a right checksum does no harm")
{
  SECTION("when a length claims far more than is there")
  {
    // The kind DocumentsWanted, then a list of 2^40 items.
    const std::string forged = Sealed("\x0c\x80\x80\x80\x80\x80\x20");
    largestAllocation = 0;
    CHECK_FALSE(Decode(forged).ok());
    CHECK(largestAllocation < 4096);
  }
  SECTION("when bytes are changed, cut off or added at random")
  {
    const bool holds = rc::check([] {
      const Message message = MessageOfKind(*rc::gen::inRange(0, 5));
      std::string payload = Encode(message).substr(kHeadBytes);
      for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
        const auto place = *rc::gen::inRange<std::size_t>(0, payload.size());
        payload[place] = *rc::gen::arbitrary<char>();
      }
      payload.resize(*rc::gen::inRange<std::size_t>(0, payload.size() + 8));
      const std::string forged = Sealed(payload);
      largestAllocation = 0;
      Decode(forged).status().IgnoreError();
      RC_ASSERT(largestAllocation < 65'536U);
    });
    CHECK(holds);
  }
}

} // namespace
} // namespace trefoil
