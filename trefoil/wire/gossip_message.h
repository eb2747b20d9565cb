// Messages about hosts, zones, backend servers and documents that entry hosts spread.
//
//   Gossip gossip{ .mSender = self, .mBeats = { { .mHost = HostId{ "h2" }, .mSequence = 7 } } };
//
// Plain structs: only the codec knows their bytes.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// Says that an entry host is alive, and what it is doing.
struct Heartbeat
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  // Where callers connect.
  Endpoint mListen;
  // Rises with each start of the process.
  std::uint64_t mIncarnation = 0;
  // Rises with each heartbeat of an incarnation.
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
  // The store revision of the newest document that the host has seen. It has seen all older ones.
  std::uint64_t mConfigRevision = 0;
  // A hash of the revisions in force on the host.
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
  // Not heard of in time.
  kSuspect,
  // It said that it will stop.
  kLeaving,
  // A suspect that was not heard of in time either.
  kDead,
};

inline constexpr NameTable<MemberState, 4> kMemberStateNames{ {
  { MemberState::kAlive, "alive" },
  { MemberState::kSuspect, "suspect" },
  { MemberState::kLeaving, "leaving" },
  { MemberState::kDead, "dead" },
} };

// What the sender knows of one host of its zone: the part of a heartbeat that changes.
struct Beat
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

// What hosts of other zones are told of an availability zone.
struct ZoneDigest
{
  AvailabilityZoneId mZone;
  // Rises with each digest of the zone.
  std::uint64_t mVersion = 0;
  std::uint32_t mLiveHosts = 0;
  std::uint32_t mSuspectHosts = 0;
  // The lowest document revision of a live host, and which host has it.
  std::uint64_t mLowestRevision = 0;
  HostId mLowestHost;
  // Some live hosts of the zone.
  std::vector<Heartbeat> mContacts;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mVersion, mLiveHosts, mSuspectHosts, mLowestRevision, mLowestHost, mContacts);
  }
};

// The sender's view of its own zone.
struct Gossip
{
  Heartbeat mSender;
  // Whether the receiver is asked to send its view back at once.
  bool mWantsAnswer = false;
  std::vector<Beat> mBeats;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSender, mWantsAnswer, mBeats);
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

// Asks for the heartbeats of hosts that the sender has only beats of.
struct HeartbeatsWanted
{
  Endpoint mReplyTo;
  std::vector<HostId> mHosts;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReplyTo, mHosts);
  }
};

// Answers HeartbeatsWanted.
struct Heartbeats
{
  std::vector<Heartbeat> mHeartbeats;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHeartbeats);
  }
};

} // namespace trefoil
