#include "trefoil/routing/routing_state.h"

#include "absl/container/inlined_vector.h"
#include "trefoil/base/digest.h"

#include <algorithm>

namespace trefoil {
namespace {

// Servers drawn at random for a choice, near ones and any.
constexpr std::size_t kNearDraws = 8;
constexpr std::size_t kAnyDraws = 8;
// Probable holders of the prefix that are scored.
constexpr std::size_t kMaxHolders = 8;

using Slots = absl::InlinedVector<ServerSlot, kScoreAllServers>;

// A sequence of numbers from one (SplitMix64: Steele, Lea and Flood, "Fast Splittable Pseudorandom
// Number Generators", 2014).
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
MayTake(const RoutingState& aState, const RoutingRequest& aRequest, ServerSlot aSlot)
{
  return aState.mServers[aSlot].mSpec.mAvailable &&
         std::ranges::find(aRequest.mExcluded, aSlot) == aRequest.mExcluded.end();
}

void
AddOnce(Slots& aSlots, ServerSlot aSlot)
{
  if (std::ranges::find(aSlots, aSlot) == aSlots.end()) {
    aSlots.push_back(aSlot);
  }
}

// Adds the servers that may take the request, in order from a random place, `aMax` at most.
void
AddInOrder(const RoutingState& aState,
           const RoutingRequest& aRequest,
           const std::vector<ServerSlot>& aFrom,
           std::size_t aMax,
           std::uint64_t aRandom,
           Slots& aSlots)
{
  for (std::size_t step = 0; step < aFrom.size() && aSlots.size() < aMax; ++step) {
    const ServerSlot slot = aFrom[(aRandom + step) % aFrom.size()];
    if (MayTake(aState, aRequest, slot)) {
      aSlots.push_back(slot);
    }
  }
}

void
AddDrawn(const RoutingState& aState,
         const RoutingRequest& aRequest,
         const std::vector<ServerSlot>& aFrom,
         std::size_t aDraws,
         RandomSequence& aRandom,
         Slots& aSlots)
{
  for (std::size_t draw = 0; draw < aDraws && !aFrom.empty(); ++draw) {
    const ServerSlot slot = aFrom[aRandom.Next() % aFrom.size()];
    if (MayTake(aState, aRequest, slot)) {
      AddOnce(aSlots, slot);
    }
  }
}

void
AddHolders(const RoutingState& aState,
           const RoutingRequest& aRequest,
           const VersionId& aVersion,
           Slots& aSlots)
{
  if (aRequest.mMarks == nullptr) {
    return;
  }
  for (auto mark = aRequest.mMarks->rbegin(); mark != aRequest.mMarks->rend(); ++mark) {
    const PrefixEntry* entry = FindPrefix(aState.mPrefixes, mark->mDigest);
    for (std::size_t i = 0; entry != nullptr && i < entry->mHolderCount; ++i) {
      const ServerSlot slot = entry->mHolders[i].mSlot;
      if (aState.mServers[slot].mSpec.mVersion == aVersion && MayTake(aState, aRequest, slot)) {
        AddOnce(aSlots, slot);
      }
    }
    if (aSlots.size() >= kMaxHolders) {
      return;
    }
  }
}

// Returns the servers of a version that are compared.
Slots
Gather(const RoutingState& aState,
       RoutingPolicy aPolicy,
       const RoutingRequest& aRequest,
       const VersionServers& aVersion,
       RandomSequence& aRandom)
{
  Slots slots;
  const bool all =
    aVersion.mSlots.size() <= kScoreAllServers || aPolicy == RoutingPolicy::kLeastInFlight;
  if (all) {
    AddInOrder(aState, aRequest, aVersion.mSlots, aVersion.mSlots.size(), 0, slots);
    return slots;
  }
  if (aPolicy == RoutingPolicy::kScored) {
    AddHolders(aState, aRequest, aVersion.mVersion, slots);
    AddDrawn(aState, aRequest, aVersion.mNear, kNearDraws, aRandom, slots);
  }
  AddDrawn(aState, aRequest, aVersion.mSlots, kAnyDraws, aRandom, slots);
  if (slots.empty()) {
    AddInOrder(aState, aRequest, aVersion.mSlots, kScoreAllServers, aRandom.Next(), slots);
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
  if (aRequest.mMarks == nullptr) {
    return tokens;
  }
  return std::max(0.0,
                  tokens - ExpectedCachedTokens(aState.mPrefixes, *aRequest.mMarks, aSlot, aNow));
}

// Returns the part of a score by which hosts without news agree on a server for a prefix.
double
AgreementMs(const ScoreWeights& aWeights,
            const RoutingRequest& aRequest,
            const RoutedServer& aServer)
{
  if (aRequest.mMarks == nullptr || aRequest.mMarks->empty()) {
    return 0;
  }
  // A mark in the middle is less likely to contain what is particular to the request.
  const std::uint64_t digest = (*aRequest.mMarks)[aRequest.mMarks->size() / 2].mDigest;
  RandomSequence sequence{ .mState = digest ^ aServer.mDigest };
  const double place = static_cast<double>(sequence.Next()) / static_cast<double>(UINT64_MAX);
  const double prefillMs =
    static_cast<double>(aRequest.mPromptTokens) / aWeights.mPrefillTokensPerMs;
  return aWeights.mAgreementWeight * place * prefillMs;
}

double
ScoreOf(const RoutingState& aState, const RoutingRequest& aRequest, ServerSlot aSlot, Instant aNow)
{
  const ScoreWeights& weights = aState.mOptions.mWeights;
  const RoutedServer& server = aState.mServers[aSlot];
  return AgreementMs(weights, aRequest, server) +
         Score(weights,
               { .mUncachedTokens = UncachedTokens(aState, aRequest, aSlot, aNow),
                 .mExpectedTokens = static_cast<double>(aRequest.mExpectedTokens) },
               { .mLoad = EstimateLoad(server.mLoad, weights.mPrefillTokensPerMs, aNow),
                 .mDistanceMs = server.mSpec.mDistanceMs,
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
  absl::InlinedVector<Candidate, kScoreAllServers> candidates;
  for (const ServerSlot slot : Gather(aState, aPolicy, aRequest, aVersion, aRandom)) {
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

// Draws a version by weight and takes it out of `aLeft`. Returns null if none has a weight.
const VersionServers*
DrawVersion(const RoutingRequest& aRequest,
            std::vector<const VersionServers*>& aLeft,
            std::uint64_t aRandom)
{
  double total = 0;
  for (const VersionServers* version : aLeft) {
    total += WeightOf(aRequest, *version);
  }
  if (total <= 0) {
    return nullptr;
  }
  constexpr unsigned kUnusedBits = 11;
  constexpr double kOneOverTwoTo53 = 1.0 / 9007199254740992.0;
  double point = static_cast<double>(aRandom >> kUnusedBits) * kOneOverTwoTo53 * total;
  auto drawn = aLeft.end();
  for (auto entry = aLeft.begin(); entry != aLeft.end() && point >= 0; ++entry) {
    const double weight = WeightOf(aRequest, **entry);
    if (weight > 0) {
      drawn = entry;
      point -= weight;
    }
  }
  const VersionServers* version = *drawn;
  aLeft.erase(drawn);
  return version;
}

ServerSlot
SlotFor(RoutingState& aState, const BackendServerId& aServer)
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
  if (aServer.mNear) {
    version->mNear.push_back(aSlot);
  }
}

// Frees the slots of servers that are no longer listed. Their requests in flight still end there,
// so that a slot is free only once it has none.
void
ForgetUnlisted(RoutingState& aState, const std::vector<bool>& aListed)
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
  state.mPrefixes = MakePrefixIndex(aOptions.mMaxPrefixMarks);
  return state;
}

void
SetServers(RoutingState& aState, std::span<const RoutableServer> aServers)
{
  aState.mVersions.clear();
  std::vector<bool> listed(aState.mServers.size() + aServers.size());
  for (const RoutableServer& server : aServers) {
    const ServerSlot slot = SlotFor(aState, server.mServer);
    aState.mServers[slot].mSpec = server;
    aState.mServers[slot].mDigest = Digest64(server.mServer.Value());
    listed[slot] = true;
    AddToVersion(aState, server, slot);
  }
  ForgetUnlisted(aState, listed);
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
  std::vector<const VersionServers*> left;
  for (const VersionServers& version : aState.mVersions) {
    left.push_back(&version);
  }
  while (const VersionServers* version = DrawVersion(aRequest, left, random.Next())) {
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
  if (aRequest.mMarks != nullptr) {
    Hold(aState.mPrefixes,
         *aRequest.mMarks,
         { .mSlot = aSlot, .mSource = PrefixSource::kOwnRouting },
         aNow);
  }
}

} // namespace trefoil
