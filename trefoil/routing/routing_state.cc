#include "trefoil/routing/routing_state.h"

#include "absl/container/inlined_vector.h"
#include "trefoil/base/digest.h"

#include <algorithm>

namespace trefoil {
namespace {

// Number of servers drawn at random for a choice, from this host's zone and from all zones.
constexpr std::size_t kSameZoneDraws = 8;
constexpr std::size_t kAnyZoneDraws = 8;
// Holders of a request's longest prefixes are compared until there are at least this many.
constexpr std::size_t kTargetHolders = 8;

using Slots = absl::InlinedVector<ServerSlot, kMaxServersForFullScan>;

// A pseudorandom sequence that starts from one number (SplitMix64: Steele, Lea and Flood, "Fast
// Splittable Pseudorandom Number Generators", 2014).
struct RandomSequence
{
  std::uint64_t mState = 0;

  std::uint64_t Next()
  {
    mState += 0x9e3779b97f4a7c15;
    std::uint64_t mixed = (mState ^ (mState >> 30U)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31U);
  }
};

bool
IsSelectable(const RoutingState& aState, const RoutingRequest& aRequest, ServerSlot aSlot)
{
  return aState.mServers[aSlot].mSpec.mAvailable &&
         std::ranges::find(aRequest.mExcluded, aSlot) == aRequest.mExcluded.end();
}

void
AddUnique(Slots& aSlots, ServerSlot aSlot)
{
  if (std::ranges::find(aSlots, aSlot) == aSlots.end()) {
    aSlots.push_back(aSlot);
  }
}

// Adds selectable servers in order, starting at a random position, until `aSlots` has `aMax`
// entries.
void
AddFromOffset(const RoutingState& aState,
              const RoutingRequest& aRequest,
              const std::vector<ServerSlot>& aPool,
              std::size_t aMax,
              std::uint64_t aRandom,
              Slots& aSlots)
{
  for (std::size_t step = 0; step < aPool.size() && aSlots.size() < aMax; ++step) {
    const ServerSlot slot = aPool[(aRandom + step) % aPool.size()];
    if (IsSelectable(aState, aRequest, slot)) {
      aSlots.push_back(slot);
    }
  }
}

void
AddRandom(const RoutingState& aState,
          const RoutingRequest& aRequest,
          const std::vector<ServerSlot>& aPool,
          std::size_t aDraws,
          RandomSequence& aRandom,
          Slots& aSlots)
{
  for (std::size_t draw = 0; draw < aDraws && !aPool.empty(); ++draw) {
    const ServerSlot slot = aPool[aRandom.Next() % aPool.size()];
    if (IsSelectable(aState, aRequest, slot)) {
      AddUnique(aSlots, slot);
    }
  }
}

void
AddHolders(const RoutingState& aState,
           const RoutingRequest& aRequest,
           const VersionId& aVersion,
           Slots& aSlots)
{
  if (aRequest.mPrefixDigests == nullptr) {
    return;
  }
  for (auto prefix = aRequest.mPrefixDigests->rbegin(); prefix != aRequest.mPrefixDigests->rend();
       ++prefix) {
    const PrefixEntry* entry = FindPrefix(aState.mPrefixes, prefix->mDigest);
    for (std::size_t i = 0; entry != nullptr && i < entry->mHolderCount; ++i) {
      const ServerSlot slot = entry->mHolders[i].mSlot;
      if (aState.mServers[slot].mSpec.mVersion == aVersion &&
          IsSelectable(aState, aRequest, slot)) {
        AddUnique(aSlots, slot);
      }
    }
    if (aSlots.size() >= kTargetHolders) {
      return;
    }
  }
}

// Returns the servers of a version that are compared for a request.
Slots
GatherCandidates(const RoutingState& aState,
                 RoutingPolicy aPolicy,
                 const RoutingRequest& aRequest,
                 const VersionServers& aVersion,
                 RandomSequence& aRandom)
{
  Slots slots;
  const bool all =
    aVersion.mSlots.size() <= kMaxServersForFullScan || aPolicy == RoutingPolicy::kLeastInFlight;
  if (all) {
    AddFromOffset(aState, aRequest, aVersion.mSlots, aVersion.mSlots.size(), 0, slots);
    return slots;
  }
  if (aPolicy == RoutingPolicy::kScored) {
    AddHolders(aState, aRequest, aVersion.mVersion, slots);
    AddRandom(aState, aRequest, aVersion.mSameZoneSlots, kSameZoneDraws, aRandom, slots);
  }
  AddRandom(aState, aRequest, aVersion.mSlots, kAnyZoneDraws, aRandom, slots);
  if (slots.empty()) {
    AddFromOffset(aState, aRequest, aVersion.mSlots, kMaxServersForFullScan, aRandom.Next(), slots);
  }
  return slots;
}

double
UncachedTokens(const RoutingState& aState,
               const RoutingRequest& aRequest,
               ServerSlot aSlot,
               Instant aNow)
{
  const auto tokens = static_cast<double>(aRequest.mPromptTokens);
  if (aRequest.mPrefixDigests == nullptr) {
    return tokens;
  }
  return std::max(
    0.0, tokens - ExpectedCachedTokens(aState.mPrefixes, *aRequest.mPrefixDigests, aSlot, aNow));
}

// Returns the part of a score that makes hosts without information about a prefix prefer the
// same server for it (rendezvous hashing).
double
RendezvousMs(const ScoreWeights& aWeights,
             const RoutingRequest& aRequest,
             const RoutedServer& aServer)
{
  if (aRequest.mPrefixDigests == nullptr || aRequest.mPrefixDigests->empty()) {
    return 0;
  }
  // The middle prefix is less likely than the longest one to contain text that is specific to
  // this request.
  const std::uint64_t digest =
    (*aRequest.mPrefixDigests)[aRequest.mPrefixDigests->size() / 2].mDigest;
  RandomSequence sequence{ .mState = digest ^ aServer.mDigest };
  const double fraction = static_cast<double>(sequence.Next()) / static_cast<double>(UINT64_MAX);
  const double prefillMs =
    static_cast<double>(aRequest.mPromptTokens) / aWeights.mPrefillTokensPerMs;
  return aWeights.mRendezvousWeight * fraction * prefillMs;
}

double
ScoreOf(const RoutingState& aState, const RoutingRequest& aRequest, ServerSlot aSlot, Instant aNow)
{
  const ScoreWeights& weights = aState.mOptions.mWeights;
  const RoutedServer& server = aState.mServers[aSlot];
  return RendezvousMs(weights, aRequest, server) +
         Score(weights,
               { .mUncachedTokens = UncachedTokens(aState, aRequest, aSlot, aNow),
                 .mExpectedTokens = static_cast<double>(aRequest.mExpectedTokens) },
               { .mLoad = EstimateLoad(server.mLoad, weights.mPrefillTokensPerMs, aNow),
                 .mRoundTripMs = server.mSpec.mRoundTripMs,
                 .mPrice = server.mSpec.mPrice,
                 .mReclaimsPerHour = server.mSpec.mReclaimsPerHour });
}

std::optional<ServerSlot>
ChooseInVersion(const RoutingState& aState,
                RoutingPolicy aPolicy,
                const RoutingRequest& aRequest,
                const VersionServers& aVersion,
                RandomSequence& aRandom,
                Instant aNow)
{
  absl::InlinedVector<Candidate, kMaxServersForFullScan> candidates;
  for (const ServerSlot slot : GatherCandidates(aState, aPolicy, aRequest, aVersion, aRandom)) {
    candidates.push_back({ .mSlot = slot, .mInFlight = aState.mServers[slot].mLoad.mOwnInFlight });
    if (aPolicy == RoutingPolicy::kScored) {
      candidates.back().mScore = ScoreOf(aState, aRequest, slot, aNow);
    }
  }
  const auto index = Choose(aPolicy, candidates, aRandom.Next());
  if (!index.has_value()) {
    return std::nullopt;
  }
  return candidates[*index].mSlot;
}

double
WeightOf(const RoutingRequest& aRequest, const VersionServers& aVersion)
{
  if (aRequest.mVersions.empty()) {
    return static_cast<double>(aVersion.mSlots.size());
  }
  const auto found =
    std::ranges::find(aRequest.mVersions, aVersion.mVersion, &VersionWeight::mVersion);
  return found == aRequest.mVersions.end() ? 0 : found->mWeight;
}

// Draws a version by weight and removes it from `aRemaining`. Returns null if no remaining
// version has a weight.
const VersionServers*
DrawVersion(const RoutingRequest& aRequest,
            std::vector<const VersionServers*>& aRemaining,
            std::uint64_t aRandom)
{
  double total = 0;
  for (const VersionServers* version : aRemaining) {
    total += WeightOf(aRequest, *version);
  }
  if (total <= 0) {
    return nullptr;
  }
  constexpr unsigned kUnusedBits = 11;
  constexpr double kOneOverTwoTo53 = 1.0 / 9007199254740992.0;
  double point = static_cast<double>(aRandom >> kUnusedBits) * kOneOverTwoTo53 * total;
  auto drawn = aRemaining.end();
  for (auto entry = aRemaining.begin(); entry != aRemaining.end() && point >= 0; ++entry) {
    const double weight = WeightOf(aRequest, **entry);
    if (weight > 0) {
      drawn = entry;
      point -= weight;
    }
  }
  const VersionServers* version = *drawn;
  aRemaining.erase(drawn);
  return version;
}

ServerSlot
FindOrAddSlot(RoutingState& aState, const BackendServerId& aServer)
{
  const auto [entry, added] = aState.mSlots.try_emplace(aServer, 0);
  if (!added) {
    return entry->second;
  }
  if (aState.mFreeSlots.empty()) {
    entry->second = static_cast<ServerSlot>(aState.mServers.size());
    aState.mServers.emplace_back();
  } else {
    entry->second = aState.mFreeSlots.back();
    aState.mFreeSlots.pop_back();
    aState.mServers[entry->second] = {};
  }
  return entry->second;
}

void
AddToVersion(RoutingState& aState, const RoutableServer& aServer, ServerSlot aSlot)
{
  auto version = std::ranges::find(aState.mVersions, aServer.mVersion, &VersionServers::mVersion);
  if (version == aState.mVersions.end()) {
    aState.mVersions.push_back({ .mVersion = aServer.mVersion });
    version = std::prev(aState.mVersions.end());
  }
  version->mSlots.push_back(aSlot);
  if (aServer.mSameZone) {
    version->mSameZoneSlots.push_back(aSlot);
  }
}

// Frees the slots of servers that are no longer listed. A server with requests in flight keeps
// its slot until a later call, because their ends are still recorded there.
void
RemoveUnlisted(RoutingState& aState, const std::vector<bool>& aListed)
{
  absl::erase_if(aState.mSlots, [&aState, &aListed](const auto& aEntry) {
    RoutedServer& server = aState.mServers[aEntry.second];
    if (aListed[aEntry.second]) {
      return false;
    }
    server.mSpec.mAvailable = false;
    if (server.mLoad.mOwnInFlight > 0) {
      return false;
    }
    aState.mFreeSlots.push_back(aEntry.second);
    return true;
  });
}

} // namespace

RoutingState
MakeRoutingState(RoutingOptions aOptions)
{
  RoutingState state;
  state.mOptions = aOptions;
  state.mPrefixes = MakePrefixIndex(aOptions.mMaxPrefixDigests);
  return state;
}

void
SetServers(RoutingState& aState, std::span<const RoutableServer> aServers)
{
  aState.mVersions.clear();
  std::vector<bool> listed(aState.mServers.size() + aServers.size());
  for (const RoutableServer& server : aServers) {
    const ServerSlot slot = FindOrAddSlot(aState, server.mServer);
    aState.mServers[slot].mSpec = server;
    aState.mServers[slot].mDigest = Digest64(server.mServer.Value());
    listed[slot] = true;
    AddToVersion(aState, server, slot);
  }
  RemoveUnlisted(aState, listed);
}

std::optional<ServerSlot>
FindSlot(const RoutingState& aState, const BackendServerId& aServer)
{
  const auto entry = aState.mSlots.find(aServer);
  return entry == aState.mSlots.end() ? std::nullopt : std::optional{ entry->second };
}

std::optional<ServerSlot>
ChooseServer(const RoutingState& aState,
             RoutingPolicy aPolicy,
             const RoutingRequest& aRequest,
             std::uint64_t aRandom,
             Instant aNow)
{
  RandomSequence random{ .mState = aRandom };
  std::vector<const VersionServers*> remaining;
  for (const VersionServers& version : aState.mVersions) {
    remaining.push_back(&version);
  }
  while (const VersionServers* version = DrawVersion(aRequest, remaining, random.Next())) {
    const auto slot = ChooseInVersion(aState, aPolicy, aRequest, *version, random, aNow);
    if (slot.has_value()) {
      return slot;
    }
  }
  return std::nullopt;
}

void
RecordPlacement(RoutingState& aState,
                ServerSlot aSlot,
                const RoutingRequest& aRequest,
                Instant aNow)
{
  const double tokens = UncachedTokens(aState, aRequest, aSlot, aNow);
  RecordOwnQueued(aState.mServers[aSlot].mLoad, static_cast<std::int64_t>(tokens), aNow);
  if (aRequest.mPrefixDigests != nullptr) {
    AddPrefixHolder(aState.mPrefixes,
                    *aRequest.mPrefixDigests,
                    { .mSlot = aSlot, .mSource = PrefixSource::kOwnRouting },
                    aNow);
  }
}

} // namespace trefoil
