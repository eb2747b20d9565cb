// Where traffic threads ask the control thread and wait for its answer.
//
//   ControlDesk desk{ queue };
//   std::optional<AnswerClaim> decided = desk.Ask<AnswerClaim>(deadline, [&](std::uint64_t
//   aWaiter) {
//     return ClaimRequested{ .mWaiter = aWaiter, ... };
//   });
//
// The control thread answers by the effect's waiter. A thread that gave up has no answer any more,
// so at most one of both happens. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/idempotency/claim_table.h"
#include "trefoil/node/event_queue.h"
#include "trefoil/node/ticket_event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace trefoil {

using DeskAnswer = std::variant<AnswerClaim, TicketMinted, TicketDecided>;

class ControlDesk
{
public:
  explicit ControlDesk(EventQueue& aQueue)
    : mQueue(aQueue)
  {
  }

  // Sends the event that `aMakeEvent` makes for a waiter and blocks until the answer. Returns
  // nothing if it did not come before the deadline.
  template<typename Answer, typename MakeEvent>
  std::optional<Answer> Ask(Instant aDeadline, MakeEvent aMakeEvent)
  {
    const std::uint64_t waiter = Open();
    mQueue.Push(aMakeEvent(waiter));
    std::optional<DeskAnswer> answer = Await(waiter, aDeadline);
    if (!answer.has_value()) {
      return std::nullopt;
    }
    return std::get<Answer>(std::move(*answer));
  }

  // Tells the control thread something that has no answer.
  void Tell(ControlEvent aEvent) { mQueue.Push(std::move(aEvent)); }

  // Called by the control thread.
  void Answer(std::uint64_t aWaiter, DeskAnswer aAnswer);

private:
  std::uint64_t Open();
  std::optional<DeskAnswer> Await(std::uint64_t aWaiter, Instant aDeadline);

  EventQueue& mQueue;
  absl::Mutex mMutex;
  std::uint64_t mLastWaiter ABSL_GUARDED_BY(mMutex) = 0;
  // The requests that wait, with the answer once it has come.
  std::map<std::uint64_t, std::optional<DeskAnswer>> mWaiting ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
