#include "trefoil/node/internal/admission_request.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr double kBytesPerToken = 4;
// Work of processing a prompt token relative to generating a token.
constexpr double kPromptTokenWork = 0.05;
constexpr double kExpectedResponseTokens = 256;

// Returns the priority that a request names in its header, but none above `aAccountPriority`.
absl::StatusOr<Priority>
RequestedPriority(const HttpRequest& aRequest, Priority aAccountPriority)
{
  const std::string_view text = HeaderValue(aRequest.mHeaders, kPriorityHeader);
  if (text.empty()) {
    return aAccountPriority;
  }
  const auto requested = ValueOf(kPriorityNames, text);
  if (!requested.has_value()) {
    return absl::InvalidArgumentError(
      fmt::format("{} must be urgent, normal or deferrable", kPriorityHeader));
  }
  // Lower priorities come later in the enumeration.
  return std::max(aAccountPriority, *requested);
}

} // namespace

absl::StatusOr<RequestArrived>
MakeArrival(const Caller& aCaller, const HttpRequest& aRequest, double aWork)
{
  const auto& accounts = aCaller.mDocument->mAccounts;
  const auto account = std::ranges::find(accounts, aCaller.mAccount, &AccountSpec::mAccount);
  const AccountSpec spec = account == accounts.end() ? AccountSpec{} : *account;
  const auto priority = RequestedPriority(aRequest, spec.mPriority);
  if (!priority.ok()) {
    return priority.status();
  }
  return RequestArrived{ .mAccount = aCaller.mAccount,
                         .mAccountWeight = spec.mWeight,
                         .mAccountLimit = static_cast<double>(spec.mRequestsPerSecond),
                         .mPriority = *priority,
                         .mDeadline = aCaller.mDeadline,
                         .mWork = aWork };
}

double
ExpectedWork(const CompletionRequest& aRequest)
{
  const double prompt = static_cast<double>(aRequest.mPrompt.size()) / kBytesPerToken;
  return prompt * kPromptTokenWork + kExpectedResponseTokens;
}

absl::StatusOr<ScopedAdmission>
Admit(const TrafficContext& aContext,
      const Caller& aCaller,
      const HttpRequest& aRequest,
      double aWork)
{
  const auto arrival = MakeArrival(aCaller, aRequest, aWork);
  if (!arrival.ok()) {
    return arrival.status();
  }
  return aContext.mAdmissionController->WaitForAdmission(*aCaller.mDocument, *arrival);
}

HostView
MakeHostView(const Snapshot& aSnapshot, const AvailabilityZoneId& aZone, Instant aNow)
{
  HostView view;
  for (const auto& [host, member] : aSnapshot.mMembers.mByHost) {
    if (member.mHeartbeat.mZone != aZone) {
      continue;
    }
    if (member.mState == MemberState::kLeaving) {
      view.mLeaving.insert(host);
    } else if (member.mState == MemberState::kAlive) {
      view.mAlive.insert(host);
    }
  }
  for (const auto& [zone, zoneView] : aSnapshot.mZones) {
    if (!HasPassed(zoneView.mStaleAt, aNow)) {
      view.mOtherZones[zone] = zoneView.mDigest.mLiveHosts;
    }
  }
  return view;
}

} // namespace trefoil
