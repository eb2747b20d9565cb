#include "trefoil/node/internal/stream_source.h"

#include "trefoil/node/internal/request_life.h"
#include "trefoil/wire/peer_link.h"

#include <algorithm>
#include <map>
#include <vector>

namespace trefoil {
namespace {

// How long a host may take to answer beyond the wait that it was asked for.
constexpr Milliseconds kPeerLimit{ 1000 };
// How many hosts may hold a stream that was handed over.
constexpr std::size_t kMaxHosts = 3;
// How often a stream is followed from host to host in one read.
constexpr int kMaxHops = 4;

absl::StatusOr<SourceUpdate>
NewsOf(StreamTokens&& aTokens)
{
  const auto form = ValueOf(kCompletionPaths, aTokens.mPath);
  const auto state = ValueOf(kStreamStateNames, aTokens.mState);
  if (!aTokens.mFound || !form.has_value() || !state.has_value()) {
    return absl::NotFoundError("the host does not know the request");
  }
  return SourceUpdate{ .mService = aTokens.mService,
                       .mAccount = aTokens.mAccount,
                       .mForm = *form,
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
ReadThere(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  const auto snapshot = aSource.mContext.mSnapshots->Read();
  const auto member = snapshot->mMembers.mByHost.find(aSource.mHost);
  if (member == snapshot->mMembers.mByHost.end()) {
    return absl::NotFoundError("the host is gone");
  }
  auto reply = AskPeer(member->second.mHeartbeat.mPeerEndpoint,
                       StreamRead{ .mRequest = aSource.mRequest,
                                   .mFrom = aFrom,
                                   .mWaitMilliseconds = Remaining(aDeadline, Now()).count(),
                                   .mWithBody = aSource.mWithBody,
                                   .mRelay = aSource.mRelay },
                       aDeadline + kPeerLimit);
  if (!reply.ok()) {
    return reply.status();
  }
  if (auto* tokens = std::get_if<StreamTokens>(&*reply)) {
    return NewsOf(std::move(*tokens));
  }
  return absl::NotFoundError("the host answered something else");
}

void
PointTo(StreamSource& aSource, const HostId& aHost)
{
  aSource.mRelay = false;
  aSource.mHost = aHost;
  aSource.mRecord = aHost == aSource.mContext.mHost
                      ? aSource.mContext.mLife->mStreams.Find(aSource.mRequest)
                      : nullptr;
}

absl::StatusOr<SourceUpdate>
ReadFrom(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  if (aSource.mRecord != nullptr) {
    return ReadRecord(*aSource.mRecord, aFrom, aDeadline);
  }
  if (aSource.mHost.Empty() || aSource.mHost == aSource.mContext.mHost) {
    return absl::NotFoundError("the host does not know the request");
  }
  return ReadThere(aSource, aFrom, aDeadline);
}

// Returns the hosts that may hold the stream, the likeliest first.
std::vector<HostId>
LikelyHosts(const StreamSource& aSource)
{
  std::vector<HostId> likely{ aSource.mContext.mHost };
  std::vector<HostId> others;
  for (const auto& [host, member] : aSource.mContext.mSnapshots->Read()->mMembers.mByHost) {
    if (IsIssuedBy(aSource.mRequest, host)) {
      likely.push_back(host);
    } else {
      others.push_back(host);
    }
  }
  const auto heirs = HandOverHostsFor(aSource.mRequest, others, kMaxHosts);
  likely.insert(likely.end(), heirs.begin(), heirs.end());
  return likely;
}

// Returns one live host of each other zone.
std::vector<HostId>
RelayHosts(const StreamSource& aSource)
{
  std::map<AvailabilityZoneId, HostId> byZone;
  for (const auto& [host, member] : aSource.mContext.mSnapshots->Read()->mMembers.mByHost) {
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

// Follows a stream that was handed over from host to host.
absl::StatusOr<SourceUpdate>
FollowHandOver(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  absl::StatusOr<SourceUpdate> news = ReadFrom(aSource, aFrom, aDeadline);
  for (int hop = 0; hop < kMaxHops && news.ok(); ++hop) {
    const bool moved = news->mUpdate.mState == StreamState::kHandedOver;
    if (!moved || !news->mUpdate.mTokens.empty()) {
      return news;
    }
    const HostId next = news->mUpdate.mHandedTo;
    PointTo(aSource, next);
    news = ReadFrom(aSource, aFrom, aDeadline);
  }
  return news;
}

} // namespace

SourceUpdate
ReadRecord(StreamRecord& aRecord, std::int64_t aFrom, Instant aDeadline)
{
  aRecord.Want(Now());
  const StreamIdentity& identity = aRecord.Identity();
  return { .mService = identity.mService,
           .mAccount = identity.mAccount,
           .mForm = identity.mForm,
           .mBody = identity.mBody,
           .mUpdate = aRecord.Read(aFrom, aDeadline) };
}

absl::StatusOr<SourceUpdate>
ReadNews(StreamSource& aSource, std::int64_t aFrom, Instant aDeadline)
{
  if (aSource.mRecord != nullptr || !aSource.mHost.Empty()) {
    auto news = FollowHandOver(aSource, aFrom, aDeadline);
    if (news.ok()) {
      return news;
    }
  }
  for (const HostId& host : LikelyHosts(aSource)) {
    PointTo(aSource, host);
    auto news = FollowHandOver(aSource, aFrom, aDeadline);
    if (news.ok()) {
      return news;
    }
  }
  for (const HostId& host : aSource.mMayRelay ? RelayHosts(aSource) : std::vector<HostId>{}) {
    PointTo(aSource, host);
    aSource.mRelay = true;
    auto news = ReadFrom(aSource, aFrom, aDeadline);
    if (news.ok()) {
      return news;
    }
  }
  return absl::NotFoundError("no entry host that answers knows this request");
}

} // namespace trefoil
