#include "trefoil/node/internal/guarded_step.h"

#include "trefoil/base/instant.h"

#include "absl/time/clock.h"
#include <Poco/Exception.h>
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

constexpr Milliseconds kFailurePause{ 100 };

} // namespace

bool
RunGuardedStep(std::string_view aThread, const std::function<void()>& aStep)
{
  try {
    aStep();
    return true;
  } catch (const Poco::Exception& error) {
    spdlog::error("internal error in the {} thread: {}", aThread, error.displayText());
  } catch (const std::exception& error) {
    spdlog::error("internal error in the {} thread: {}", aThread, error.what());
  }
  absl::SleepFor(absl::FromChrono(kFailurePause));
  return false;
}

} // namespace trefoil
