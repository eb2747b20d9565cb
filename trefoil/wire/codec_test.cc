#include "trefoil/wire/codec.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

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

} // namespace
} // namespace trefoil
