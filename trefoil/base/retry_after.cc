#include "trefoil/base/retry_after.h"

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"

#include <string>

namespace trefoil {
namespace {

constexpr char kPayloadType[] = "trefoil/retry-after-seconds";

} // namespace

absl::Status
WithRetryAfter(absl::Status aStatus, std::int64_t aSeconds)
{
  aStatus.SetPayload(kPayloadType, absl::Cord{ std::to_string(aSeconds) });
  return aStatus;
}

std::optional<std::int64_t>
RetryAfterSeconds(const absl::Status& aStatus)
{
  const auto payload = aStatus.GetPayload(kPayloadType);
  std::int64_t seconds = 0;
  if (!payload.has_value() || !absl::SimpleAtoi(std::string{ *payload }, &seconds)) {
    return std::nullopt;
  }
  return seconds;
}

} // namespace trefoil
