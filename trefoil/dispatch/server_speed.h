// Estimates how slow a backend server is in comparison with the others of its service.
//
//   RecordEvents(speed, { .mEvents = 12, .mSeconds = 0.6 }, now);
//   const EventTotals service = SumOf(speeds, now);
//   double factor = Slowness(speed, service, now);   // 2: takes twice as long as the others
//
// The servers of a service differ in speed. The time between the events of the streams that a
// server generates shows its speed, whatever the length of prompts and answers. The hosts exchange
// their observations, since each one sees few streams of each server. Plain data and pure
// functions.
#pragma once

#include "trefoil/base/instant.h"

namespace trefoil {

// Events of streams, and the time that passed between them.
struct EventTotals
{
  double mEvents = 0;
  double mSeconds = 0;

  friend bool operator==(const EventTotals&, const EventTotals&) = default;
};

// The observations of one server. Older ones count less.
struct ServerSpeed
{
  EventTotals mTotals;
  Instant mDecayedAt;
};

// Adds observations of this host or of others.
void
RecordEvents(ServerSpeed& aSpeed, const EventTotals& aAdded, Instant aNow);

// Returns what is left of the observations at `aNow`.
EventTotals
Decayed(const ServerSpeed& aSpeed, Instant aNow);

// Returns the time that the server takes for an event, divided by the mean time that the servers of
// its service take, from 1/4 to 4; near 1 while little has been observed. `aService` is the sum of
// the decayed observations of all servers of the service.
double
Slowness(const ServerSpeed& aSpeed, const EventTotals& aService, Instant aNow);

} // namespace trefoil
