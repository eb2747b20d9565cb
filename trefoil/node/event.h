// What reaches the control thread, and what it asks the other threads to do.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/node/snapshot.h"
#include "trefoil/platform/store_client.h"
#include "trefoil/wire/message.h"

#include <memory>
#include <variant>
#include <vector>

namespace trefoil {

// Documents were read from the store.
struct DocumentsRead
{
  StoreListing mListing;
};

// The store did not answer.
struct StoreUnreachable
{};

// A message of another entry host arrived.
struct MessageArrived
{
  Message mMessage;
};

// The process was told to stop.
struct StopAnnounced
{};

// The deadline that the control state asked for has passed.
struct TimerFired
{};

using ControlEvent =
  std::variant<DocumentsRead, StoreUnreachable, MessageArrived, StopAnnounced, TimerFired>;

// Show this snapshot to the traffic threads.
struct PublishSnapshot
{
  std::shared_ptr<const Snapshot> mSnapshot;
};

// Send a datagram to another entry host.
struct SendMessage
{
  Endpoint mTo;
  Message mMessage;
};

using ControlEffect = std::variant<PublishSnapshot, SendMessage>;
using ControlEffects = std::vector<ControlEffect>;

} // namespace trefoil
