// Passes requests of traffic threads to the control thread and its replies back.
//
//   ControlRequestBroker broker{ queue };
//   const auto makeEvent = [&](std::uint64_t aWaiter) {
//     return ClaimRequested{ .mWaiter = aWaiter, ... };
//   };
//   std::optional<AnswerClaim> reply = broker.PostAndWait<AnswerClaim>(deadline, makeEvent);
//
// Each request has a waiter number, which the control thread repeats in the reply. A reply that
// arrives after the thread has timed out is dropped, so a request either gets its reply or times
// out. Thread-safe.
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

using ControlReply = std::variant<AnswerClaim, AnswerTicketRequest, AnswerTicketUse>;

class ControlRequestBroker
{
public:
  explicit ControlRequestBroker(EventQueue& aQueue)
    : mQueue(aQueue)
  {
  }

  // Posts the event that `aMakeEvent` returns for a waiter number and blocks until the reply.
  // Returns std::nullopt if no reply arrived before the deadline. `ReplyType` must be the type with
  // which the control thread replies to the event.
  template<typename ReplyType, typename MakeEvent>
  std::optional<ReplyType> PostAndWait(Instant aDeadline, MakeEvent aMakeEvent)
  {
    const std::uint64_t waiter = AddWaiter();
    mQueue.Push(aMakeEvent(waiter));
    std::optional<ControlReply> answer = AwaitReply(waiter, aDeadline);
    if (!answer.has_value()) {
      return std::nullopt;
    }
    return std::get<ReplyType>(std::move(*answer));
  }

  // Posts an event that has no reply to the control thread.
  void Post(ControlEvent aEvent) { mQueue.Push(std::move(aEvent)); }

  // Delivers the reply to a waiter. Must be called by the control thread.
  void DeliverReply(std::uint64_t aWaiter, ControlReply aAnswer);

private:
  std::uint64_t AddWaiter();
  std::optional<ControlReply> AwaitReply(std::uint64_t aWaiter, Instant aDeadline);

  EventQueue& mQueue;
  absl::Mutex mMutex;
  std::uint64_t mLastWaiter ABSL_GUARDED_BY(mMutex) = 0;
  // The waiters, each with its reply once that has arrived.
  std::map<std::uint64_t, std::optional<ControlReply>> mReplies ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
