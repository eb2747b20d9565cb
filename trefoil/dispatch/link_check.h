// Decides whether the end of a connection to a backend server was the loss of this host's link to
// it, by asking another entry host that may carry connections.
//
//   LinkCheck check = BeginLinkCheck(lostAt);
//   // At check.mAskAt a carrier is asked to connect to the server.
//   LinkCheckStep step = RecordCarrierOutcome(check, isReached, now);
//   // kConnect: this host connects to the server itself.
//   step = RecordOwnOutcome(isConnected, hasHealthCheck);
//   // kAskHealth: the server's health is asked for by way of the carrier.
//   step = RecordCarrierAnswer(check, isAnswered, now);
//   // kTryHealth: it is asked for directly. If that is not answered, the link is lost.
//
// This host always tries after the carrier: a server that has crashed and restarted meanwhile is
// reached by both hosts then, and one that is down by neither. So is a proxy that outlives its
// server. Pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <optional>

namespace trefoil {

struct LinkCheck
{
  Instant mLostAt;
  // When the next carrier is asked.
  Instant mAskAt;
  // The number of carriers that were asked.
  int mAsked = 0;
  // When a carrier last reached the server.
  std::optional<Instant> mReachedAt;
};

enum class LinkCheckStep
{
  // Another carrier is asked at LinkCheck::mAskAt.
  kAsk,
  // This host connects to the server itself. A connection that was begun earlier shows nothing.
  kConnect,
  // Both hosts are connected; the server is asked for its health by way of the carrier.
  kAskHealth,
  // It has answered, and is asked directly.
  kTryHealth,
  kLost,
  // It is not found out.
  kGiveUp,
};

inline constexpr NameTable<LinkCheckStep, 6> kLinkCheckStepNames{ {
  { LinkCheckStep::kAsk, "ask" },
  { LinkCheckStep::kConnect, "connect" },
  { LinkCheckStep::kAskHealth, "ask_health" },
  { LinkCheckStep::kTryHealth, "try_health" },
  { LinkCheckStep::kLost, "lost" },
  { LinkCheckStep::kGiveUp, "give_up" },
} };

// Begins a check of the link to a server whose connection ended at `aLostAt`.
LinkCheck
BeginLinkCheck(Instant aLostAt);

// Records whether a carrier has connected to the server, and returns what follows.
LinkCheckStep
RecordCarrierOutcome(LinkCheck& aCheck, bool aIsReached, Instant aNow);

// Records whether this host has connected to the server afterwards, and returns what follows.
// `aHasHealthCheck` is whether the server can be asked for its health.
LinkCheckStep
RecordOwnOutcome(bool aIsConnected, bool aHasHealthCheck);

// Records whether the server has answered by way of the carrier, and returns what follows.
LinkCheckStep
RecordCarrierAnswer(LinkCheck& aCheck, bool aIsAnswered, Instant aNow);

} // namespace trefoil
