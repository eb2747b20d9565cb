#include "trefoil/node/internal/stream_source.h"

#include "trefoil/node/internal/shared_request_state.h"
#include "trefoil/wire/peer_link.h"

#include <algorithm>
#include <map>
#include <vector>

namespace trefoil {
namespace {

// Time that a host may take to answer beyond the requested wait.
constexpr Milliseconds kPeerResponseGrace{ 1000 };
// Number of hosts to which a stream may have been handed over.
constexpr std::size_t kMaxHandOverHosts = 3;
// Maximum number of hand-overs that one read follows.
constexpr int kMaxHops = 4;

absl::StatusOr<SourceUpdate>
ToSourceUpdate(StreamReadReply&& aTokens)
{
  const auto form = ValueOf(kCompletionPaths, aTokens.mPath);
  const auto state = ValueOf(kStreamStateNames, aTokens.mState);
  if (!aTokens.mFound || !form.has_value() || !state.has_value()) {
    return absl::NotFoundError("the host does not know the request");
  }
  return SourceUpdate{ .mService = aTokens.mService,
                       .mAccount = aTokens.mAccount,
                       .mApi = *form,
                       .mBody = std::move(aTokens.mBody),
                       .mUpdate = {
                         .mFrom = aTokens.mFrom,
                         .mTokens = std::move(aTokens.mTokens),
                         .mState = *state,
                         .mFinishReason = aTokens.mFinishReason,
                         .mFailure = { .mVerdict = Verdict::kMayHaveRun,
                                       .mStatus = absl::UnavailableError(aTokens.mError) },
                         .mHandedTo = aTokens.mHandedTo } };
}

absl::StatusOr<SourceUpdate>
ReadFromPeer(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  const auto snapshot = aSource.mContext.mSnapshots->Read();
  const auto member = snapshot->mMembers.mByHost.find(aSource.mHost);
  if (member == snapshot->mMembers.mByHost.end()) {
    return absl::NotFoundError("the host is gone");
  }
  auto reply = CallPeer(member->second.mHeartbeat.mPeerEndpoint,
                        StreamRead{ .mRequest = aSource.mRequest,
                                    .mFrom = aFrom,
                                    .mWaitMilliseconds = Remaining(aDeadline, Now()).count(),
                                    .mWithBody = aSource.mWithBody,
                                    .mRelay = aSource.mRelay },
                        aDeadline + kPeerResponseGrace);
  if (!reply.ok()) {
    return reply.status();
  }
  if (auto* tokens = std::get_if<StreamReadReply>(&*reply)) {
    return ToSourceUpdate(std::move(*tokens));
  }
  return absl::NotFoundError("the host answered something else");
}

void
SelectHost(StreamSource& aSource, const HostId& aHost)
{
  aSource.mRelay = false;
  aSource.mHost = aHost;
  aSource.mRecord = aHost == aSource.mContext.mHost
                      ? aSource.mContext.mRequestState->mStreams.Find(aSource.mRequest)
                      : nullptr;
}

absl::StatusOr<SourceUpdate>
ReadFromSelectedHost(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  if (aSource.mRecord != nullptr) {
    return ReadRecord(*aSource.mRecord, aFrom, aDeadline);
  }
  if (aSource.mHost.Empty() || aSource.mHost == aSource.mContext.mHost) {
    return absl::NotFoundError("the host does not know the request");
  }
  return ReadFromPeer(aSource, aFrom, aDeadline);
}

// Returns the hosts that may have the stream, the likeliest first: this host, the host that issued
// the request id, and the hosts to which a stream with this id may have been handed over.
std::vector<HostId>
LikelyHosts(const StreamSource& aSource)
{
  std::vector<HostId> likely{ aSource.mContext.mHost };
  std::vector<HostId> others;
  const auto snapshot = aSource.mContext.mSnapshots->Read();
  for (const auto& [host, member] : snapshot->mMembers.mByHost) {
    if (IsIssuedBy(aSource.mRequest, host)) {
      likely.push_back(host);
    } else {
      others.push_back(host);
    }
  }
  const auto handOverHosts = HandOverHostsFor(aSource.mRequest, others, kMaxHandOverHosts);
  likely.insert(likely.end(), handOverHosts.begin(), handOverHosts.end());
  return likely;
}

// Returns one live host of each other zone.
std::vector<HostId>
RelayHosts(const StreamSource& aSource)
{
  std::map<AvailabilityZoneId, HostId> byZone;
  const auto snapshot = aSource.mContext.mSnapshots->Read();
  for (const auto& [host, member] : snapshot->mMembers.mByHost) {
    if (IsAlive(member) && member.mHeartbeat.mZone != aSource.mContext.mZone) {
      byZone.emplace(member.mHeartbeat.mZone, host);
    }
  }
  std::vector<HostId> hosts;
  for (const auto& [zone, host] : byZone) {
    hosts.push_back(host);
  }
  return hosts;
}

// Reads the stream, and continues on the next host if the stream was handed over and the current
// host has no more tokens.
absl::StatusOr<SourceUpdate>
FollowHandOver(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  absl::StatusOr<SourceUpdate> update = ReadFromSelectedHost(aSource, aFrom, aDeadline);
  for (int hop = 0; hop < kMaxHops && update.ok(); ++hop) {
    const bool handedOver = update->mUpdate.mState == StreamState::kHandedOver;
    if (!handedOver || !update->mUpdate.mTokens.empty()) {
      return update;
    }
    const HostId next = update->mUpdate.mHandedTo;
    SelectHost(aSource, next);
    update = ReadFromSelectedHost(aSource, aFrom, aDeadline);
  }
  return update;
}

} // namespace

SourceUpdate
ReadRecord(StreamRecord& aRecord, std::int64_t aFrom, Instant aDeadline)
{
  aRecord.RecordReader(Now());
  const StreamIdentity& identity = aRecord.Identity();
  return { .mService = identity.mService,
           .mAccount = identity.mAccount,
           .mApi = identity.mApi,
           .mBody = identity.mBody,
           .mUpdate = aRecord.Read(aFrom, aDeadline) };
}

absl::StatusOr<SourceUpdate>
ReadUpdate(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  if (aSource.mRecord != nullptr || !aSource.mHost.Empty()) {
    auto update = FollowHandOver(aSource, aFrom, aDeadline);
    if (update.ok()) {
      return update;
    }
  }
  for (const HostId& host : LikelyHosts(aSource)) {
    SelectHost(aSource, host);
    auto update = FollowHandOver(aSource, aFrom, aDeadline);
    if (update.ok()) {
      return update;
    }
  }
  for (const HostId& host : aSource.mMayRelay ? RelayHosts(aSource) : std::vector<HostId>{}) {
    SelectHost(aSource, host);
    aSource.mRelay = true;
    auto update = ReadFromSelectedHost(aSource, aFrom, aDeadline);
    if (update.ok()) {
      return update;
    }
  }
  return absl::NotFoundError("no entry host that answers knows this request");
}

} // namespace trefoil
