#include "trefoil/steering/prefix_watch.h"

#include "trefoil/http/message_reader.h"
#include "trefoil/http/status_code.h"
#include "trefoil/reactor/byte_stream.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>
#include <future>
#include <memory>
#include <new>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace trefoil {
namespace {

constexpr Milliseconds kTestTimeout{ 10'000 };
constexpr Milliseconds kSomeTime{ 700 };
constexpr std::int64_t kFirstRevision = 10;
constexpr int kManyThrows = 1'000;
// More lists than fit into the time of a test with a backoff that grows.
constexpr int kManyLists = 20;
constexpr const char* kKey = "servers/a";

HttpRequest
EncodeCall(const StoreCall& aCall)
{
  const auto* watch = std::get_if<WatchKeys>(&aCall);
  return { .mTarget = watch == nullptr ? "/list" : fmt::format("/{}", watch->mAfterRevision) };
}

// The body of an answer is the revision of the only key.
absl::StatusOr<StoreAnswer>
DecodeAnswer(const StoreCall& aCall, const HttpResponse& aAnswer)
{
  StoreAnswer answer{ .mOutcome = StoreOutcome::kDone, .mRevision = std::stoll(aAnswer.mBody) };
  const auto* watch = std::get_if<WatchKeys>(&aCall);
  if (aAnswer.mStatus == kGone) {
    answer.mOutcome = StoreOutcome::kCompacted;
  } else if (watch == nullptr || watch->mAfterRevision < answer.mRevision) {
    answer.mItems.push_back({ .mKey = kKey, .mRevision = answer.mRevision });
  }
  return answer;
}

// A store with one key, on the loop of the watch. It answers lists at once, and holds a watch open
// until the key changes.
class TestStore
{
public:
  explicit TestStore(EventLoop& aLoop)
    : mLoop(aLoop)
    , mListener(Poco::Net::SocketAddress{ "127.0.0.1", 0 })
  {
    mLoop.Watch(mListener, kReadable, [this](unsigned /*aReady*/) { Accept(); });
  }
  ~TestStore() { CloseConnection(); }
  TestStore(const TestStore&) = delete;
  TestStore& operator=(const TestStore&) = delete;

  Endpoint ListenEndpoint() const
  {
    return { .mAddress = "127.0.0.1", .mPort = mListener.address().port() };
  }

  void Change()
  {
    ++mRevision;
    if (mHeld.has_value() && *mHeld < mRevision) {
      mHeld.reset();
      Answer();
    }
  }

  // Changes the key, and lets watches that are held open wait for later changes.
  void ChangeSilently()
  {
    ++mRevision;
    mHeld.reset();
  }

  // Forgets all changes up to now: only a list shows them to those that lack them.
  void DropHistory() { mHistorySince = mRevision; }

  void CloseConnection()
  {
    if (mStream) {
      mStream->Close();
    }
    mHeld.reset();
  }

  int mLists = 0;
  // Whether the store forgets each change at once.
  bool mHasNoHistory = false;

private:
  void Accept()
  {
    CloseConnection();
    mStream = ByteStream::Adopt(mLoop, mListener.acceptConnection(), {});
    mStream->SetCallbacks({ .mOnBytes = [this] { OnBytes(); } });
  }

  void OnBytes()
  {
    MessageReader reader = MessageReader::ForRequest({});
    if (reader.Consume(mStream->Received()) != MessageReadState::kComplete) {
      return;
    }
    const std::string target = reader.Request().mTarget;
    if (target == "/list") {
      ++mLists;
      Answer();
    } else if (mHasNoHistory || std::stoll(target.substr(1)) < mHistorySince) {
      Answer(kGone);
    } else if (std::stoll(target.substr(1)) < mRevision) {
      Answer();
    } else {
      mHeld = std::stoll(target.substr(1));
    }
  }

  void Answer(int aStatus = 200)
  {
    const std::string body = std::to_string(mRevision);
    mStream->Send(
      fmt::format("HTTP/1.1 {} Text\r\nContent-Length: {}\r\n\r\n{}", aStatus, body.size(), body));
  }

  EventLoop& mLoop;
  Poco::Net::ServerSocket mListener;
  std::shared_ptr<ByteStream> mStream;
  std::int64_t mRevision = kFirstRevision;
  // Watches after a lower revision are answered that the history is gone.
  std::int64_t mHistorySince = 0;
  // The revision after which a watch that is held open waits for changes.
  std::optional<std::int64_t> mHeld;
};

// A watch of the store on a thread of its own, and what it has called back. While the thread runs,
// all members are used only there.
struct WatchedStore
{
  WatchedStore()
  {
    mLoop.SetFailureHandler([this](std::string_view aReason) { mFailures.emplace_back(aReason); });
    mLoop.Post([this] { mWatch.Start(); });
    mThread = std::thread{ [this] { mLoop.Run(); } };
  }
  ~WatchedStore()
  {
    mLoop.Stop();
    mThread.join();
  }
  WatchedStore(const WatchedStore&) = delete;
  WatchedStore& operator=(const WatchedStore&) = delete;

  PrefixWatchCallbacks Callbacks()
  {
    return { .mOnList = [this](const std::vector<StoreItem>& aItems,
                               std::int64_t /*aRevision*/) { Apply(aItems); },
             .mOnChanges = [this](const std::vector<StoreItem>& aItems) { Apply(aItems); },
             .mOnConfirmed = [this](Instant aWhen) { mConfirmedAt = aWhen; },
             .mOnStoreLost =
               [this](StoreOutcome /*aOutcome*/, Milliseconds /*aPending*/) {
                 if (mThrowsOnLoss) {
                   throw std::runtime_error{ "lost" };
                 }
               },
             .mOnStoreRegained =
               [this](Instant /*aSentAt*/, Milliseconds /*aLostFor*/) {
                 if (mThrowsOnLoss) {
                   throw std::runtime_error{ "regained" };
                 }
               } };
  }

  void Apply(const std::vector<StoreItem>& aItems)
  {
    if (mThrows > 0) {
      --mThrows;
      throw std::bad_alloc{};
    }
    for (const StoreItem& item : aItems) {
      mApplied = item.mRevision;
    }
  }

  // Calls the function on the thread of the loop. Passes on its exception.
  template<typename Function>
  auto OnLoop(Function aFunction)
  {
    std::packaged_task<decltype(aFunction())()> task{ std::move(aFunction) };
    auto result = task.get_future();
    mLoop.Post([&task] { task(); });
    return result.get();
  }

  // Returns whether the condition holds within the time, on the thread of the loop.
  bool Becomes(const std::function<bool()>& aCondition, Milliseconds aTime = kTestTimeout)
  {
    const Instant deadline = SuspendAwareNow() + aTime;
    while (!HasPassed(deadline, SuspendAwareNow())) {
      if (OnLoop(aCondition)) {
        return true;
      }
      std::this_thread::sleep_for(Milliseconds{ 5 });
    }
    return false;
  }

  // Returns whether the revision is applied within the time.
  bool Reaches(std::int64_t aRevision)
  {
    return Becomes([this, aRevision] { return mApplied == aRevision; });
  }

  // Changes the key in the store, and lets the next calls about it throw. Returns the time.
  Instant ChangeThatThrows(int aThrows)
  {
    return OnLoop([this, aThrows] {
      mThrows = aThrows;
      mStore.Change();
      return SuspendAwareNow();
    });
  }

  EventLoop mLoop;
  std::vector<std::string> mFailures;
  // How many of the next calls of mOnList and mOnChanges throw.
  int mThrows = 0;
  bool mThrowsOnLoss = false;
  std::int64_t mApplied = 0;
  Instant mConfirmedAt;
  TestStore mStore{ mLoop };
  PrefixWatch mWatch{ mLoop,
                      mStore.ListenEndpoint(),
                      { .mEncode = EncodeCall, .mDecode = DecodeAnswer },
                      { .mPrefix = "servers/", .mWait = Milliseconds{ 1'000 } },
                      Callbacks() };
  std::thread mThread;
};

// Guards against: a host goes on with keys, quotas or servers that have changed, while it believes
// that they are current, or follows the store no longer.
SCENARIO("a change of the store cannot be applied")
{
  WatchedStore test;
  REQUIRE(test.Reaches(kFirstRevision));
  WHEN("handling it throws once")
  {
    test.ChangeThatThrows(1);
    THEN("the prefix is listed again, and the change is applied")
    {
      CHECK(test.Reaches(kFirstRevision + 1));
      CHECK(test.OnLoop([&] { return test.mStore.mLists; }) == 2);
      CHECK(test.OnLoop([&] { return test.mFailures.size(); }) == 1);
      AND_THEN("further changes are watched")
      {
        test.ChangeThatThrows(0);
        CHECK(test.Reaches(kFirstRevision + 2));
        CHECK(test.OnLoop([&] { return test.mStore.mLists; }) == 2);
      }
    }
  }
  WHEN("handling it and the lists after it throws")
  {
    const Instant changedAt = test.ChangeThatThrows(kManyThrows);
    REQUIRE(test.Becomes([&] { return test.mThrows <= kManyThrows - 3; }));
    THEN("the record is not confirmed, and the lists become rarer")
    {
      std::this_thread::sleep_for(kSomeTime);
      CHECK(test.OnLoop([&] { return test.mConfirmedAt; }) <= changedAt);
      CHECK(test.OnLoop([&] { return test.mStore.mLists; }) < kManyLists);
      AND_WHEN("another host relays that nothing has changed since")
      {
        test.OnLoop([&] {
          const std::int64_t revision = kFirstRevision + 1;
          test.mWatch.ApplyUpdate(
            { .mRevision = revision, .mLastChange = revision, .mConfirmedAt = SuspendAwareNow() });
          return true;
        });
        THEN("it is not confirmed either")
        {
          CHECK(test.OnLoop([&] { return test.mConfirmedAt; }) <= changedAt);
        }
      }
      AND_WHEN("the exceptions end")
      {
        test.OnLoop([&] { return test.mThrows = 0; });
        THEN("the change is applied and the record confirmed")
        {
          CHECK(test.Reaches(kFirstRevision + 1));
          CHECK(test.Becomes([&] { return test.mConfirmedAt > changedAt; }));
        }
      }
    }
  }
}

// Guards against the same for a change that another host relays.
SCENARIO("a relayed change cannot be applied")
{
  WatchedStore test;
  REQUIRE(test.Reaches(kFirstRevision));
  const Instant updatedAt = test.OnLoop([&] {
    test.mThrows = 1;
    test.mStore.ChangeSilently();
    test.mWatch.ApplyUpdate({ .mRevision = kFirstRevision + 1,
                              .mLastChange = kFirstRevision + 1,
                              .mItemsSince = kFirstRevision,
                              .mItems = { { .mKey = kKey, .mRevision = kFirstRevision + 1 } },
                              .mConfirmedAt = SuspendAwareNow() });
    return SuspendAwareNow();
  });
  THEN("it is read from the store, and the record is not confirmed before")
  {
    CHECK(test.OnLoop(
      [&] { return test.mApplied == kFirstRevision + 1 || test.mConfirmedAt < updatedAt; }));
    CHECK(test.Reaches(kFirstRevision + 1));
    CHECK(test.Becomes([&] { return test.mConfirmedAt > updatedAt; }));
  }
}

// Guards against: a host never calls the store again after it was lost.
SCENARIO("the callbacks about the loss and the return of the store throw")
{
  WatchedStore test;
  REQUIRE(test.Reaches(kFirstRevision));
  test.OnLoop([&] {
    test.mThrowsOnLoss = true;
    test.mStore.CloseConnection();
    return true;
  });
  REQUIRE(test.Becomes([&] { return !test.mFailures.empty(); }));
  test.ChangeThatThrows(0);
  THEN("the store is called again, and its changes are applied")
  {
    CHECK(test.Reaches(kFirstRevision + 1));
    CHECK(test.OnLoop([&] { return test.mFailures.size(); }) == 2);
  }
}

// Returns whether a host to which others relay applies the revision, while their updates show that
// it lacks changes, without these, more often than a list may be due.
bool
ReachesDespiteUpdates(WatchedStore& aTest, std::int64_t aRevision)
{
  return aTest.Becomes([&aTest, aRevision] {
    aTest.mWatch.ApplyUpdate(
      { .mRevision = aRevision, .mLastChange = aRevision, .mConfirmedAt = SuspendAwareNow() });
    return aTest.mApplied == aRevision;
  });
}

// Guards against: a host handles requests by an old configuration without end, since each update
// that shows its lack replaces the list that is due by a watch that the store cannot answer
// (CONFIG).
SCENARIO("the store has dropped changes that a host lacks, and others relay their updates to it")
{
  WatchedStore test;
  REQUIRE(test.Reaches(kFirstRevision));
  const auto loseChange = [&test] {
    test.OnLoop([&test] {
      test.mStore.ChangeSilently();
      test.mStore.DropHistory();
      return true;
    });
  };
  test.OnLoop([&test] {
    test.mWatch.SetRelayed(true);
    return true;
  });
  WHEN("it lacks a change")
  {
    loseChange();
    THEN("it lists the keys, and the change is applied")
    {
      CHECK(ReachesDespiteUpdates(test, kFirstRevision + 1));
      CHECK(test.OnLoop([&] { return test.mStore.mLists; }) == 2);
    }
    AND_WHEN("it lacks another one after that list, which no watch has followed")
    {
      REQUIRE(ReachesDespiteUpdates(test, kFirstRevision + 1));
      loseChange();
      THEN("it lists the keys again, once")
      {
        CHECK(ReachesDespiteUpdates(test, kFirstRevision + 2));
        CHECK(test.OnLoop([&] { return test.mStore.mLists; }) == 3);
      }
    }
  }
}

// Guards against: all hosts list the keys without end, the dearest call (issue 26).
SCENARIO("the store has no history at all")
{
  WatchedStore test;
  test.OnLoop([&test] { return test.mStore.mHasNoHistory = true; });
  THEN("the lists become rarer, and changes are applied")
  {
    std::this_thread::sleep_for(kSomeTime);
    CHECK(test.OnLoop([&] { return test.mStore.mLists; }) < kManyLists);
    test.OnLoop([&test] {
      test.mStore.ChangeSilently();
      return true;
    });
    CHECK(test.Reaches(kFirstRevision + 1));
  }
}

// Guards against requests to servers that have said they leave: a watch whose answer is lost alone,
// so that no other call shows it, must end early enough (DRAIN).
SCENARIO("a watch is bounded by how soon changes must be known")
{
  const PrefixWatchOptions options{ .mPrefix = "servers/",
                                    .mWait = Milliseconds{ 5'000 },
                                    .mBatchDelay = Milliseconds{ 500 } };
  WHEN("changes must be known within 5 s")
  {
    const Milliseconds wait = BoundedWait(options, Milliseconds{ 5'000 });
    THEN("a lost watch has ended and was repeated before that")
    {
      CHECK(wait + options.mAnswerMargin + options.mBatchDelay < Milliseconds{ 5'000 });
      CHECK(wait >= Milliseconds{ 1'000 });
    }
  }
  WHEN("changes may be known much later")
  {
    THEN("the store holds the watch open as long as configured")
    {
      CHECK(BoundedWait(options, Milliseconds{ 60'000 }) == options.mWait);
    }
  }
  WHEN("changes must be known sooner than a call can time out")
  {
    THEN("the store still waits a little, so that calls do not follow each other immediately")
    {
      CHECK(BoundedWait(options, Milliseconds{ 500 }) > Milliseconds{ 0 });
    }
  }
}

} // namespace
} // namespace trefoil
