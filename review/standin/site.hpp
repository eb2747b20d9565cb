// Stand-ins for the review's scripts: the platform's store and API, backend servers and clients,
// and a wrapper that starts and stops gateways.
//
// One program per case uses them. Everything listens on loopback addresses and on free ports.
// Connections are served by one thread each. Errors of the set-up end the program with status 2.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

// Ends the program with the status "could not run".
[[noreturn]] void
GiveUp(const std::string& aReason);

// Ends the program, whose threads still run. 0: the rule held, 1: it was broken.
[[noreturn]] void
Finish(int aStatus);

// Whether the disruption is injected: not if the environment has TROUBLE=0.
bool
HasTrouble();

// Milliseconds since the start of the program.
double
Elapsed();

void
Sleep(Ms aTime);

// The lines of record.txt: what was sent, answered and run, each with its time.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  FILE* mFile;
};

struct Header
{
  std::string mName;
  std::string mValue;
};

struct Message
{
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  std::vector<Header> mHeaders;
  std::string mBody;
  // Whether the message arrived completely.
  bool mComplete = false;

  std::string Value(const std::string& aName) const;
};

// A TCP connection with blocking calls that have a deadline. Closed by its destructor.
class Connection
{
public:
  explicit Connection(int aSocket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns false if the peer has closed or the deadline has passed.
  bool Send(const std::string& aBytes, Time aDeadline = Time::max());
  // Reads a request by RFC 9112. Returns false if none arrives completely.
  bool ReadRequest(Message& aRequest, Time aDeadline = Time::max());
  // Reads an answer. mStatus is 0 if the connection ended before the head was complete.
  Message ReadAnswer(Time aDeadline);
  bool PeerHasClosed() const;
  void Close();
  int Socket() const { return mSocket; }

private:
  bool Fill(Time aDeadline);
  bool ReadLine(std::string& aLine, Time aDeadline);
  bool ReadHeaders(Message& aMessage, Time aDeadline);
  bool ReadBytes(std::string& aTo, std::size_t aCount, Time aDeadline);
  bool ReadBody(Message& aMessage, bool aIsAnswer, Time aDeadline);

  int mSocket;
  std::string mBuffer;
  bool mEnded = false;
};

// Returns nullptr if the connection is not accepted in time.
std::unique_ptr<Connection>
Connect(const std::string& aAddress, int aPort, Time aDeadline);

// Accepts connections on a free port and serves each with its own thread.
class Listener
{
public:
  using Handler = std::function<void(Connection&)>;

  Listener(std::string aAddress, Handler aHandler);
  // Resets the connections and stops listening, like a server that is killed.
  void Kill();
  std::string Endpoint() const;

private:
  struct State;
  std::shared_ptr<State> mState;
  std::string mAddress;
  int mPort = 0;
};

// A port of `aAddress` that is free now.
int
FreePort(const std::string& aAddress, int aType);

struct DutyCall
{
  double mAt = 0;
  std::string mTarget;
  std::string mHolder;
  std::string mFencing;
  std::string mBody;
};

// What the store does with a transaction.
enum class TxnFate
{
  kDone,
  // It is not answered, and is executed when LateTxns is called, if its condition holds then.
  kLate,
};

// The platform's store, and its API for duties.
class Platform
{
public:
  Platform(const std::string& aAddress, Record& aRecord);

  std::string Endpoint() const { return mListener->Endpoint(); }
  // Writes as the operator or a server.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::string Get(const std::string& aKey);
  std::vector<DutyCall> DutyCalls();
  // Decides about a transaction; called with the keys that it writes. Must be set before gateways
  // start.
  std::function<TxnFate(const std::vector<std::string>&)> mOnTxn;
  // Called after each read of one key.
  std::function<void(const std::string&)> mOnRead;
  // Executes the late transactions.
  void LateTxns();

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::uint64_t mLease = 0;
  };
  struct Change
  {
    std::string mKey;
    Item mItem;
    bool mRemoved = false;
  };
  struct Lease
  {
    Ms mTtl{ 0 };
    Time mEnd;
  };
  struct Answer
  {
    int mStatus = 200;
    std::string mBody;
    bool mSilent = false;
  };

  void Serve(Connection& aConnection);
  Answer Call(const Message& aRequest);
  Answer Watch(const std::string& aTarget);
  Answer Txn(const std::string& aBody, bool aMayBeLate);
  void PutLocked(const std::string& aKey, const std::string& aValue, std::uint64_t aLease);
  void RemoveLocked(const std::string& aKey);
  void ExpireLocked();
  std::string ItemJson(const std::string& aKey, const Item& aItem) const;

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<Change> mChanges;
  std::map<std::uint64_t, Lease> mLeases;
  std::int64_t mRevision = 100;
  std::uint64_t mLastLease = 1000;
  std::vector<DutyCall> mDutyCalls;
  std::vector<std::string> mLateTxns;
  std::unique_ptr<Listener> mListener;
};

// A backend server. Its handler is called with each request that it begins to run; requests that
// expect another server get 421.
class BackendServer
{
public:
  struct Options
  {
    std::string mId;
    std::string mAddress;
    std::string mService;
    std::string mZone = "zone-a";
    std::string mVersion = "v1";
  };
  using Handler = std::function<void(Connection&, const Message&)>;

  BackendServer(Options aOptions, Platform& aPlatform, Record& aRecord, Handler aHandler);
  void Register(const std::string& aState = "ready");
  // Ends it like a process that is killed.
  void Kill() { mListener->Kill(); }
  const Options& Details() const { return mOptions; }

private:
  Options mOptions;
  Platform& mPlatform;
  std::int64_t mBorn;
  std::unique_ptr<Listener> mListener;
};

// A complete answer with the seal.
std::string
SealedAnswer(int aStatus, const std::string& aRequestId, const std::string& aBody);

// Answers with `aEvents` events, one each `aInterval`, in chunks. Stops if the caller closes.
void
SendStream(Connection& aConnection, const std::string& aRequestId, int aEvents, Ms aInterval);

// A process of trefoil-gateway, started with the command of the deploy file and settings like those
// of the template.
class Gateway
{
public:
  struct Options
  {
    std::string mName;
    std::string mAddress;
    std::string mZone = "zone-a";
    // The limit of open descriptors; 0 leaves it.
    int mDescriptors = 0;
  };

  Gateway(Options aOptions, const Platform& aPlatform);
  ~Gateway();
  void Start();
  void Signal(int aSignal) const;
  // Whether the process has ended, and its wait status then.
  std::optional<int> Ended();
  // Kills the process if it still runs.
  void Kill();
  // Kills the process if it still runs, and removes its files.
  void End();
  // Asks for readiness once, as the platform does.
  bool AnswersReady() const;
  void WaitUntilReady();
  // Resident memory in MB, 0 if unknown.
  double MemoryMb() const;
  int Descriptors() const;
  const std::string& Address() const { return mOptions.mAddress; }
  int Port() const { return mPort; }
  const std::string& Name() const { return mOptions.mName; }

private:
  Options mOptions;
  std::string mDirectory;
  std::string mSettings;
  int mPort = 0;
  int mReadyPort = 0;
  pid_t mPid = 0;
  std::optional<int> mStatus;
};

// The head of a request of a client, up to the headers that frame the body.
std::string
RequestHead(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aRequestId,
            int aDeadlineMs,
            const std::string& aKey);

} // namespace review
