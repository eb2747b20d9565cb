// Gossip messages: the state of entry hosts and availability zones, and the document revisions
// that the hosts have.
//
//   MemberStatus status{ .mHost = HostId{ "h2" }, .mSequence = 7 };
//   Gossip gossip{ .mSender = self, .mMemberStatuses = { status } };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// Announces that an entry host is alive, with its addresses and current state.
struct Heartbeat
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  // The address for client requests.
  Endpoint mListen;
  // Increases with each start of the process.
  std::uint64_t mIncarnation = 0;
  // Increases with each heartbeat of the same incarnation.
  std::uint64_t mSequence = 0;
  // Whether the host is shutting down.
  bool mLeaving = false;
  // The store revision of the newest document that the host has received. It has received all
  // older ones too.
  std::uint64_t mConfigRevision = 0;
  // A hash of the document revisions in force on the host.
  std::uint32_t mConfigDigest = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mZone, mPeerEndpoint, mListen, mIncarnation, mSequence, mLeaving);
    aArchive(mConfigRevision, mConfigDigest);
  }
};

enum class MemberState : std::uint8_t
{
  kAlive,
  // No newer heartbeat arrived in time.
  kSuspect,
  // The host announced that it is shutting down.
  kLeaving,
  // The host was suspect and still no newer heartbeat arrived in time.
  kDead,
};

inline constexpr NameTable<MemberState, 4> kMemberStateNames{ {
  { MemberState::kAlive, "alive" },
  { MemberState::kSuspect, "suspect" },
  { MemberState::kLeaving, "leaving" },
  { MemberState::kDead, "dead" },
} };

// The sender's view of one host in its zone: the fields of the host's last heartbeat that change,
// and the state that the sender derives.
struct MemberStatus
{
  HostId mHost;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  MemberState mState = MemberState::kAlive;
  std::uint64_t mConfigRevision = 0;
  std::uint32_t mConfigDigest = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mIncarnation, mSequence, mState, mConfigRevision, mConfigDigest);
  }
};

// A summary of an availability zone for the hosts of other zones.
struct ZoneDigest
{
  AvailabilityZoneId mZone;
  // Increases with each new digest of the zone.
  std::uint64_t mVersion = 0;
  // Alive and suspect hosts.
  std::uint32_t mLiveHosts = 0;
  std::uint32_t mSuspectHosts = 0;
  // The lowest mConfigRevision of the zone's live hosts, and a host that has it.
  std::uint64_t mLowestRevision = 0;
  HostId mLowestHost;
  // The heartbeats of some live hosts of the zone, so that hosts of other zones can reach it.
  std::vector<Heartbeat> mContacts;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mVersion, mLiveHosts, mSuspectHosts, mLowestRevision, mLowestHost, mContacts);
  }
};

// The sender's view of the hosts in its own zone.
struct Gossip
{
  Heartbeat mSender;
  // Whether the receiver should reply with its own view immediately.
  bool mWantsAnswer = false;
  std::vector<MemberStatus> mMemberStatuses;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSender, mWantsAnswer, mMemberStatuses);
  }
};

// The sender's view of all zones.
struct ZoneGossip
{
  Heartbeat mSender;
  std::vector<ZoneDigest> mZones;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSender, mZones);
  }
};

// Requests the full heartbeats of hosts for which the sender has received only the changing fields.
struct HeartbeatsRequest
{
  Endpoint mReplyTo;
  std::vector<HostId> mHosts;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReplyTo, mHosts);
  }
};

// The reply to HeartbeatsRequest.
struct HeartbeatsReply
{
  std::vector<Heartbeat> mHeartbeats;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHeartbeats);
  }
};

} // namespace trefoil
