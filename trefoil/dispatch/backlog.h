// How much a backend server probably has to read still, from what all hosts said they sent it.
//
//   Add(backlog, tokens, rate, now);
//   double waiting = Left(backlog, rate, now);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <string>

namespace trefoil {

// Tells other hosts that a request was sent to a server.
struct DispatchNote
{
  BackendServerId mServer;
  // Names the shared parts of the prompt; empty for requests without.
  std::string mCacheKey;
  // Prompt tokens that the server has to read for it.
  double mTokens = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mCacheKey, mTokens);
  }
};

// Prompt tokens that waited at a server at a time.
struct Backlog
{
  double mTokens = 0;
  Instant mAt;
};

// `aRate` is what the server reads, in tokens a second.
void
Add(Backlog& aBacklog, double aTokens, double aRate, Instant aNow);

double
Left(const Backlog& aBacklog, double aRate, Instant aNow);

// What the servers of a service read a second, from how long they took for what waited there.
struct ReadRate
{
  double mTokens = 0;
  double mSeconds = 0;
};

void
NoteRead(ReadRate& aRate, double aTokens, std::chrono::nanoseconds aTook);

// Returns tokens a second.
double
RateOf(const ReadRate& aRate);

} // namespace trefoil
