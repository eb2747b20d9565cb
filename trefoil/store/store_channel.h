// Sends store calls over a persistent connection on an event loop, encoded by a StoreCodec.
//
//   StoreChannel channel(loop, endpoint, codec);
//   channel.Call(ReadKey{ "key" }, deadline, [](const StoreAnswer& aAnswer) { ... });
//
// Not thread-safe: must be used on the loop's thread.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/http/http_channel.h"
#include "trefoil/store/store_call.h"

#include <functional>

namespace trefoil {

// Encodes calls to a particular store and decodes its answers.
struct StoreCodec
{
  // Returns the HTTP request for a call.
  HttpRequest (*mEncode)(const StoreCall& aCall) = nullptr;
  // Returns the answer to `aCall`, or DataLoss if it cannot be decoded.
  absl::StatusOr<StoreAnswer> (*mDecode)(const StoreCall& aCall,
                                         const HttpResponse& aAnswer) = nullptr;
};

class StoreChannel
{
public:
  using Callback = std::function<void(const StoreAnswer&)>;

  // Called with the era of each answer that states one, before the callback of the call. Returns
  // whether the answer is used; otherwise the outcome of the call is kUnknown.
  using EraCallback = std::function<bool(std::int64_t aEra)>;

  // Called with each call that is sent or fails to be sent.
  using CallObserver = std::function<void(const StoreCall&)>;

  StoreChannel(EventLoop& aLoop, const Endpoint& aStore, StoreCodec aCodec);

  // Must be called before the first call.
  void SetEraCallback(EraCallback aCallback) { mOnEra = std::move(aCallback); }
  void SetCallObserver(CallObserver aObserver) { mObserver = std::move(aObserver); }

  // Sends a call. The loop runs the callback once, at `aDeadline` at the latest, unless Reset() is
  // called before. The outcome is kRefused if the call was not sent, and kUnknown if no valid
  // answer arrived.
  void Call(const StoreCall& aCall, Instant aDeadline, Callback aCallback);
  // Drops all pending calls without running their callbacks, and closes the connection.
  void Reset() { mChannel.Reset(); }

private:
  HttpChannel mChannel;
  StoreCodec mCodec;
  EraCallback mOnEra;
  CallObserver mObserver;
};

} // namespace trefoil
