// Sends store calls over a kept connection from an event loop, in the encoding of an adapter.
//
//   StoreChannel channel(loop, endpoint, codec);
//   channel.Call(ReadKey{ "key" }, deadline, [](const StoreAnswer& aAnswer) { ... });
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/http/http_channel.h"
#include "trefoil/store/store_call.h"

#include <functional>

namespace trefoil {

// How a particular store writes calls and answers.
struct StoreCodec
{
  HttpRequest (*mEncode)(const StoreCall& aCall) = nullptr;
  // Returns DataLoss for an answer that makes no sense.
  absl::StatusOr<StoreAnswer> (*mDecode)(const StoreCall& aCall,
                                         const HttpAnswer& aAnswer) = nullptr;
};

class StoreChannel
{
public:
  using Callback = std::function<void(const StoreAnswer&)>;

  StoreChannel(EventLoop& aLoop, const Endpoint& aStore, StoreCodec aCodec);

  // Sends a call. The callback comes once, from the loop, at `aDeadline` at the latest.
  void Call(const StoreCall& aCall, Instant aDeadline, Callback aCallback);
  void Reset() { mChannel.Reset(); }

private:
  HttpChannel mChannel;
  StoreCodec mCodec;
};

} // namespace trefoil
