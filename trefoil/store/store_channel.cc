#include "trefoil/store/store_channel.h"

#include <spdlog/spdlog.h>
#include <utility>

namespace trefoil {
namespace {

// A connection to the store is closed if the store acknowledges no data for this time. It is
// shorter than the shortest time limit for a configuration to come into force.
constexpr Milliseconds kStoreSilenceTimeout{ 1'500 };
constexpr Milliseconds kStoreConnectTimeout{ 1'000 };

} // namespace

StoreChannel::StoreChannel(EventLoop& aLoop, const Endpoint& aStore, StoreCodec aCodec)
  : mChannel(aLoop,
             aStore,
             { .mPeerTimeout = kStoreSilenceTimeout, .mConnectTimeout = kStoreConnectTimeout })
  , mCodec(aCodec)
{
}

void
StoreChannel::Call(const StoreCall& aCall, Instant aDeadline, Callback aCallback)
{
  if (mObserver) {
    mObserver(aCall);
  }
  mChannel.Send(mCodec.mEncode(aCall),
                aDeadline,
                [this, aCall, callback = std::move(aCallback), decode = mCodec.mDecode](
                  const HttpReply& aReply) {
                  if (aReply.mKind != HttpReplyKind::kAnswered) {
                    callback({ .mOutcome = aReply.mKind == HttpReplyKind::kNotSent
                                             ? StoreOutcome::kRefused
                                             : StoreOutcome::kUnknown });
                    return;
                  }
                  const auto answer = decode(aCall, aReply.mResponse);
                  if (!answer.ok()) {
                    spdlog::warn("event=store_answer_unreadable reason=\"{}\"",
                                 std::string{ answer.status().message() });
                    callback({ .mOutcome = StoreOutcome::kUnknown });
                    return;
                  }
                  if (answer->mEra != 0 && mOnEra && !mOnEra(answer->mEra)) {
                    callback({ .mOutcome = StoreOutcome::kUnknown });
                    return;
                  }
                  callback(*answer);
                });
}

} // namespace trefoil
