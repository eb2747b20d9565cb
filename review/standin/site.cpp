#include "site.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const Time kStart = Clock::now();
constexpr const char* kProgram = "target/cmd/trefoil-gateway";

bool
SameName(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() && strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

std::string
Trim(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t\r");
  const auto last = aText.find_last_not_of(" \t\r");
  return first == std::string::npos ? "" : aText.substr(first, last - first + 1);
}

sockaddr_in
SocketAddress(const std::string& aAddress, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1) {
    GiveUp("bad address " + aAddress);
  }
  return address;
}

int
TimeLeftMs(Time aDeadline)
{
  if (aDeadline == Time::max()) {
    return -1;
  }
  const auto left = std::chrono::ceil<Ms>(aDeadline - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 1'000'000));
}

constexpr const char* kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
ToBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group =
        group << 8U | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size() ? '=' : kBase64[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
}

std::string
FromBase64(const std::string& aText)
{
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char letter : aText) {
    const char* found = std::strchr(kBase64, letter);
    if (letter == '=' || found == nullptr) {
      break;
    }
    group = group << 6U | static_cast<unsigned>(found - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
    }
  }
  return bytes;
}

std::string
Quote(const std::string& aText)
{
  std::string quoted = "\"";
  for (const char letter : aText) {
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter;
  }
  return quoted + "\"";
}

// A JSON value. Numbers are kept as their text.
struct Json
{
  std::string mText;
  std::vector<Json> mItems;
  std::map<std::string, Json> mFields;

  const Json& operator[](const std::string& aName) const
  {
    static const Json kNone;
    const auto found = mFields.find(aName);
    return found == mFields.end() ? kNone : found->second;
  }
  std::int64_t Number() const { return mText.empty() ? 0 : std::atoll(mText.c_str()); }
};

class JsonParser
{
public:
  explicit JsonParser(const std::string& aText)
    : mText(aText)
  {
  }

  Json Parse()
  {
    Json value;
    const char next = Peek();
    if (next == '{') {
      ++mPosition;
      while (Peek() != '}') {
        const std::string name = ParseString();
        Expect(':');
        value.mFields[name] = Parse();
        Skip(',');
      }
      ++mPosition;
    } else if (next == '[') {
      ++mPosition;
      while (Peek() != ']') {
        value.mItems.push_back(Parse());
        Skip(',');
      }
      ++mPosition;
    } else if (next == '"') {
      value.mText = ParseString();
    } else {
      while (mPosition < mText.size() && std::strchr(",]} \t\r\n", mText[mPosition]) == nullptr) {
        value.mText += mText[mPosition++];
      }
    }
    return value;
  }

private:
  char Peek()
  {
    while (mPosition < mText.size() && std::isspace(static_cast<unsigned char>(mText[mPosition]))) {
      ++mPosition;
    }
    if (mPosition >= mText.size()) {
      GiveUp("a gateway sent bad JSON: " + mText);
    }
    return mText[mPosition];
  }
  void Skip(char aLetter)
  {
    if (Peek() == aLetter) {
      ++mPosition;
    }
  }
  void Expect(char aLetter)
  {
    if (Peek() != aLetter) {
      GiveUp("a gateway sent bad JSON: " + mText);
    }
    ++mPosition;
  }
  std::string ParseString()
  {
    Expect('"');
    std::string text;
    while (mPosition < mText.size() && mText[mPosition] != '"') {
      if (mText[mPosition] == '\\') {
        ++mPosition;
      }
      text += mText[mPosition++];
    }
    ++mPosition;
    return text;
  }

  const std::string mText;
  std::size_t mPosition = 0;
};

// The decoded value of a query parameter; empty if there is none.
std::string
Query(const std::string& aTarget, const std::string& aName)
{
  std::istringstream pairs(
    aTarget.find('?') == std::string::npos ? "" : aTarget.substr(aTarget.find('?') + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) != aName || equals == std::string::npos) {
      continue;
    }
    std::string value;
    for (std::size_t i = equals + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += pair[i];
      }
    }
    return value;
  }
  return "";
}

std::string
AnswerBytes(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace

void
GiveUp(const std::string& aReason)
{
  std::fprintf(stderr, "the case could not run: %s\n", aReason.c_str());
  std::fflush(nullptr);
  // The exit code "could not run". The parent's death signal ends the gateways.
  _exit(2);
}

void
Finish(int aStatus)
{
  std::fflush(nullptr);
  _exit(aStatus);
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string{ trouble } != "0";
}

double
Elapsed()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count();
}

void
Sleep(Ms aTime)
{
  std::this_thread::sleep_for(aTime);
}

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    GiveUp("cannot write " + aPath);
  }
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock{ mMutex };
  std::fprintf(mFile, "%10.1f %s\n", Elapsed(), aText.c_str());
  std::fflush(mFile);
}

std::string
Message::Value(const std::string& aName) const
{
  for (const Header& header : mHeaders) {
    if (SameName(header.mName, aName)) {
      return header.mValue;
    }
  }
  return "";
}

Connection::Connection(int aSocket)
  : mSocket(aSocket)
{
  const int one = 1;
  setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

Connection::~Connection()
{
  Close();
}

void
Connection::Close()
{
  if (mSocket >= 0) {
    close(mSocket);
    mSocket = -1;
  }
}

bool
Connection::Send(const std::string& aBytes, Time aDeadline)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    pollfd ready{ .fd = mSocket, .events = POLLOUT, .revents = 0 };
    if (poll(&ready, 1, TimeLeftMs(aDeadline)) <= 0) {
      return false;
    }
    const auto count =
      send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN) {
      return false;
    }
    sent += count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  return true;
}

bool
Connection::Fill(Time aDeadline)
{
  pollfd ready{ .fd = mSocket, .events = POLLIN, .revents = 0 };
  if (mEnded || poll(&ready, 1, TimeLeftMs(aDeadline)) <= 0) {
    return false;
  }
  char bytes[65536];
  const auto count = recv(mSocket, bytes, sizeof bytes, 0);
  if (count <= 0) {
    mEnded = true;
    return false;
  }
  mBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool
Connection::ReadLine(std::string& aLine, Time aDeadline)
{
  std::size_t end = mBuffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aDeadline)) {
      return false;
    }
    end = mBuffer.find("\r\n");
  }
  aLine = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return true;
}

bool
Connection::ReadHeaders(Message& aMessage, Time aDeadline)
{
  std::string line;
  while (ReadLine(line, aDeadline)) {
    if (line.empty()) {
      return true;
    }
    const auto colon = line.find(':');
    aMessage.mHeaders.push_back(
      { line.substr(0, colon), colon == std::string::npos ? "" : Trim(line.substr(colon + 1)) });
  }
  return false;
}

bool
Connection::ReadBytes(std::string& aTo, std::size_t aCount, Time aDeadline)
{
  while (mBuffer.size() < aCount) {
    if (!Fill(aDeadline)) {
      aTo += mBuffer;
      mBuffer.clear();
      return false;
    }
  }
  aTo += mBuffer.substr(0, aCount);
  mBuffer.erase(0, aCount);
  return true;
}

bool
Connection::ReadBody(Message& aMessage, bool aIsAnswer, Time aDeadline)
{
  if (SameName(aMessage.Value("Transfer-Encoding"), "chunked")) {
    for (;;) {
      std::string line;
      if (!ReadLine(line, aDeadline)) {
        return false;
      }
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        Message trailers;
        return ReadHeaders(trailers, aDeadline);
      }
      if (!ReadBytes(aMessage.mBody, size, aDeadline) || !ReadLine(line, aDeadline)) {
        return false;
      }
    }
  }
  const std::string length = aMessage.Value("Content-Length");
  if (!length.empty()) {
    return ReadBytes(aMessage.mBody, std::strtoul(length.c_str(), nullptr, 10), aDeadline);
  }
  if (!aIsAnswer) {
    return true;
  }
  while (Fill(aDeadline)) {
  }
  aMessage.mBody = std::move(mBuffer);
  return mEnded;
}

bool
Connection::ReadRequest(Message& aRequest, Time aDeadline)
{
  std::string line;
  if (!ReadLine(line, aDeadline)) {
    return false;
  }
  std::istringstream words(line);
  words >> aRequest.mMethod >> aRequest.mTarget;
  aRequest.mComplete = ReadHeaders(aRequest, aDeadline) && ReadBody(aRequest, false, aDeadline);
  return aRequest.mComplete;
}

Message
Connection::ReadAnswer(Time aDeadline)
{
  Message answer;
  std::string line;
  if (!ReadLine(line, aDeadline)) {
    return answer;
  }
  const int status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
  if (!ReadHeaders(answer, aDeadline)) {
    return answer;
  }
  answer.mStatus = status;
  answer.mComplete = ReadBody(answer, true, aDeadline);
  return answer;
}

bool
Connection::PeerHasClosed() const
{
  char byte = 0;
  return recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::unique_ptr<Connection>
Connect(const std::string& aAddress, int aPort, Time aDeadline)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (handle < 0) {
    GiveUp("no socket left");
  }
  auto connection = std::make_unique<Connection>(handle);
  const sockaddr_in address = SocketAddress(aAddress, aPort);
  if (connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    return nullptr;
  }
  pollfd ready{ .fd = handle, .events = POLLOUT, .revents = 0 };
  int error = 0;
  socklen_t size = sizeof error;
  if (poll(&ready, 1, TimeLeftMs(aDeadline)) <= 0 ||
      getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    return nullptr;
  }
  fcntl(handle, F_SETFL, fcntl(handle, F_GETFL) & ~O_NONBLOCK);
  return connection;
}

struct Listener::State
{
  std::mutex mMutex;
  int mSocket = -1;
  std::set<int> mOpen;
  std::atomic<bool> mKilled = false;
};

Listener::Listener(std::string aAddress, Handler aHandler)
  : mState(std::make_shared<State>())
  , mAddress(std::move(aAddress))
{
  mState->mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress(mAddress, 0);
  socklen_t size = sizeof address;
  if (bind(mState->mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(mState->mSocket, 1024) != 0 ||
      getsockname(mState->mSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    GiveUp("cannot listen on " + mAddress);
  }
  mPort = ntohs(address.sin_port);
  std::thread{
    [state = mState, handler = std::move(aHandler)] {
      while (!state->mKilled) {
        const int accepted = accept4(state->mSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        std::thread{
          [state, handler, accepted] {
            {
              const std::lock_guard lock{ state->mMutex };
              state->mOpen.insert(accepted);
            }
            Connection connection{ accepted };
            handler(connection);
            const std::lock_guard lock{ state->mMutex };
            state->mOpen.erase(accepted);
            connection.Close();
          }
        }.detach();
      }
    }
  }.detach();
}

void
Listener::Kill()
{
  mState->mKilled = true;
  const std::lock_guard lock{ mState->mMutex };
  shutdown(mState->mSocket, SHUT_RDWR);
  for (const int handle : mState->mOpen) {
    shutdown(handle, SHUT_RDWR);
  }
}

std::string
Listener::Endpoint() const
{
  return mAddress + ":" + std::to_string(mPort);
}

int
FreePort(const std::string& aAddress, int aType)
{
  const int handle = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress(aAddress, 0);
  socklen_t size = sizeof address;
  if (bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    GiveUp("no free port on " + aAddress);
  }
  close(handle);
  return ntohs(address.sin_port);
}

Platform::Platform(const std::string& aAddress, Record& aRecord)
  : mRecord(aRecord)
{
  mListener =
    std::make_unique<Listener>(aAddress, [this](Connection& aConnection) { Serve(aConnection); });
}

void
Platform::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.ReadRequest(request)) {
    const Answer answer = Call(request);
    if (answer.mSilent) {
      // Nothing further comes on a connection on which an answer was lost.
      while (!aConnection.PeerHasClosed()) {
        Sleep(Ms{ 20 });
      }
      return;
    }
    if (!aConnection.Send(AnswerBytes(answer.mStatus, answer.mBody))) {
      return;
    }
    request = {};
  }
}

Platform::Answer
Platform::Call(const Message& aRequest)
{
  const std::string path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  if (path == "/trefoillb/kv-watch") {
    return Watch(aRequest.mTarget);
  }
  if (path == "/trefoillb/kv-txn") {
    return Txn(aRequest.mBody, true);
  }
  std::unique_lock lock{ mMutex };
  ExpireLocked();
  const std::string at = ",\"At\":" + std::to_string(mRevision) + "}";
  if (path == "/trefoillb/kv-key") {
    const std::string key = Query(aRequest.mTarget, "Key");
    const auto found = mItems.find(key);
    Answer answer{ .mStatus = 404, .mBody = "{}" };
    if (found != mItems.end()) {
      std::string body = ItemJson(key, found->second);
      body.pop_back();
      answer = { .mStatus = 200, .mBody = body + at };
    }
    lock.unlock();
    if (mOnRead) {
      mOnRead(key);
    }
    return answer;
  }
  if (path == "/trefoillb/kv-range") {
    const std::string prefix = Query(aRequest.mTarget, "PathPrefix");
    std::string items;
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(prefix)) {
        items += (items.empty() ? "" : ",") + ItemJson(key, item);
      }
    }
    return { .mBody = "{\"Items\":[" + items + "],\"HasMore\":false" + at };
  }
  constexpr const char* kKeep = "/trefoillb/kv-keep/";
  constexpr const char* kEnd = "/trefoillb/kv-lease-end/";
  if (path == "/trefoillb/kv-lease") {
    const Ms ttl{ JsonParser{ aRequest.mBody }.Parse()["TtlMs"].Number() };
    mLeases[++mLastLease] = { .mTtl = ttl, .mEnd = Clock::now() + ttl };
    return { .mBody = "{\"Lease\":" + std::to_string(mLastLease) +
                      ",\"TtlMs\":" + std::to_string(ttl.count()) + "}" };
  }
  if (path.starts_with(kKeep)) {
    const auto lease = mLeases.find(std::stoull(path.substr(std::strlen(kKeep))));
    if (lease == mLeases.end()) {
      return { .mStatus = 404, .mBody = "{}" };
    }
    lease->second.mEnd = Clock::now() + lease->second.mTtl;
    return { .mBody = "{\"TtlMs\":" + std::to_string(lease->second.mTtl.count()) + "}" };
  }
  if (path.starts_with(kEnd)) {
    mLeases.erase(std::stoull(path.substr(std::strlen(kEnd))));
    ExpireLocked();
    return { .mBody = "{}" };
  }
  if (path == "/usage" || path == "/scale") {
    const DutyCall call{ .mAt = Elapsed(),
                         .mTarget = path,
                         .mHolder = aRequest.Value("Duty-Holder"),
                         .mFencing = aRequest.Value("Fencing-Token"),
                         .mBody = aRequest.mBody };
    mDutyCalls.push_back(call);
    mRecord.Line("duty " + path + " holder=" + call.mHolder + " fencing=" + call.mFencing + " " +
                 call.mBody);
    return { .mBody = "{}" };
  }
  return { .mStatus = 404, .mBody = "{}" };
}

Platform::Answer
Platform::Watch(const std::string& aTarget)
{
  const std::string prefix = Query(aTarget, "PathPrefix");
  const std::int64_t after = std::atoll(Query(aTarget, "After").c_str());
  const Time until = Clock::now() + Ms{ std::atoll(Query(aTarget, "WaitMs").c_str()) };
  std::unique_lock lock{ mMutex };
  for (;;) {
    ExpireLocked();
    std::string events;
    for (const Change& change : mChanges) {
      if (change.mItem.mRevision <= after || !change.mKey.starts_with(prefix)) {
        continue;
      }
      events += events.empty() ? "" : ",";
      events += change.mRemoved ? "{\"Key\":" + Quote(change.mKey) +
                                    ",\"Revision\":" + std::to_string(change.mItem.mRevision) +
                                    ",\"WasRemoved\":true}"
                                : ItemJson(change.mKey, change.mItem);
    }
    if (!events.empty() || Clock::now() >= until) {
      return { .mBody = "{\"events\":[" + events + "],\"At\":" + std::to_string(mRevision) + "}" };
    }
    mChanged.wait_until(lock, std::min(until, Clock::now() + Ms{ 100 }));
  }
}

Platform::Answer
Platform::Txn(const std::string& aBody, bool aMayBeLate)
{
  const Json txn = JsonParser{ aBody }.Parse();
  if (aMayBeLate && mOnTxn) {
    std::vector<std::string> keys;
    for (const Json& write : txn["Writes"].mItems) {
      keys.push_back(write["Key"].mText);
    }
    if (mOnTxn(keys) == TxnFate::kLate) {
      const std::lock_guard lock{ mMutex };
      mLateTxns.push_back(aBody);
      return { .mBody = "", .mSilent = true };
    }
  }
  const std::lock_guard lock{ mMutex };
  ExpireLocked();
  std::string current;
  bool holds = true;
  for (const Json& row : txn["ExpectedRevision"].mItems) {
    const auto found = mItems.find(row["Key"].mText);
    holds =
      holds && (found == mItems.end() ? 0 : found->second.mRevision) == row["Revision"].Number();
    if (found != mItems.end()) {
      current += (current.empty() ? "" : ",") + ItemJson(found->first, found->second);
    }
  }
  if (!holds) {
    return { .mStatus = 412, .mBody = "{\"Items\":[" + current + "]}" };
  }
  for (const Json& write : txn["Writes"].mItems) {
    const auto lease = static_cast<std::uint64_t>(write["Lease"].Number());
    if (lease != 0 && !mLeases.contains(lease)) {
      return { .mStatus = 404, .mBody = "{}" };
    }
  }
  for (const Json& write : txn["Writes"].mItems) {
    PutLocked(write["Key"].mText,
              FromBase64(write["Value"].mText),
              static_cast<std::uint64_t>(write["Lease"].Number()));
  }
  for (const Json& key : txn["Remove"].mItems) {
    RemoveLocked(key.mText);
  }
  return { .mBody = "{\"Revision\":" + std::to_string(mRevision) + "}" };
}

void
Platform::LateTxns()
{
  std::vector<std::string> late;
  {
    const std::lock_guard lock{ mMutex };
    late.swap(mLateTxns);
  }
  for (const std::string& body : late) {
    const Answer answer = Txn(body, false);
    mRecord.Line("late transaction executed: status=" + std::to_string(answer.mStatus));
  }
}

void
Platform::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock{ mMutex };
  PutLocked(aKey, aValue, 0);
  mRecord.Line("put " + aKey + " " + aValue.substr(0, 200));
}

void
Platform::Remove(const std::string& aKey)
{
  const std::lock_guard lock{ mMutex };
  RemoveLocked(aKey);
  mRecord.Line("removed " + aKey);
}

std::string
Platform::Get(const std::string& aKey)
{
  const std::lock_guard lock{ mMutex };
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? "" : found->second.mValue;
}

std::vector<DutyCall>
Platform::DutyCalls()
{
  const std::lock_guard lock{ mMutex };
  return mDutyCalls;
}

void
Platform::PutLocked(const std::string& aKey, const std::string& aValue, std::uint64_t aLease)
{
  const Item item{ .mValue = aValue, .mRevision = ++mRevision, .mLease = aLease };
  mItems[aKey] = item;
  mChanges.push_back({ .mKey = aKey, .mItem = item });
  if (aKey.starts_with("status/") || aKey.starts_with("duties/")) {
    mRecord.Line("stored " + aKey + " revision=" + std::to_string(mRevision) +
                 " lease=" + std::to_string(aLease) + " " + aValue);
  }
  mChanged.notify_all();
}

void
Platform::RemoveLocked(const std::string& aKey)
{
  if (mItems.erase(aKey) > 0) {
    mChanges.push_back(
      { .mKey = aKey, .mItem = { .mValue = "", .mRevision = ++mRevision }, .mRemoved = true });
    mChanged.notify_all();
  }
}

void
Platform::ExpireLocked()
{
  const Time now = Clock::now();
  std::erase_if(mLeases, [now](const auto& aItem) { return aItem.second.mEnd <= now; });
  std::vector<std::string> expired;
  for (const auto& [key, item] : mItems) {
    if (item.mLease != 0 && !mLeases.contains(item.mLease)) {
      expired.push_back(key);
    }
  }
  for (const std::string& key : expired) {
    RemoveLocked(key);
  }
}

std::string
Platform::ItemJson(const std::string& aKey, const Item& aItem) const
{
  return "{\"Key\":" + Quote(aKey) + ",\"Value\":\"" + ToBase64(aItem.mValue) +
         "\",\"Revision\":" + std::to_string(aItem.mRevision) +
         ",\"Lease\":" + std::to_string(aItem.mLease) + "}";
}

BackendServer::BackendServer(Options aOptions,
                             Platform& aPlatform,
                             Record& aRecord,
                             Handler aHandler)
  : mOptions(std::move(aOptions))
  , mPlatform(aPlatform)
  , mBorn(
      std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
{
  mListener = std::make_unique<Listener>(
    mOptions.mAddress,
    [options = mOptions, handler = std::move(aHandler), &aRecord](Connection& aConnection) {
      Message request;
      while (aConnection.ReadRequest(request)) {
        const std::string expected = request.Value("Expected-Instance");
        if (!expected.empty() && expected != options.mId) {
          aRecord.Line("421 server=" + options.mId + " id=" + request.Value("Request-Id"));
          if (!aConnection.Send("HTTP/1.1 421 Misdirected Request\r\nInstance: " + options.mId +
                                "\r\nContent-Length: 0\r\n\r\n")) {
            return;
          }
        } else {
          handler(aConnection, request);
        }
        request = {};
      }
    });
}

void
BackendServer::Register(const std::string& aState)
{
  mPlatform.Put(
    "servers/" + mOptions.mId,
    "{\"Service\":" + Quote(mOptions.mService) + ",\"Address\":" + Quote(mListener->Endpoint()) +
      ",\"Zone\":" + Quote(mOptions.mZone) + ",\"Version\":" + Quote(mOptions.mVersion) +
      ",\"Slots\":64,\"State\":" + Quote(aState) +
      ",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":" + std::to_string(mBorn) + "}");
}

std::string
SealedAnswer(int aStatus, const std::string& aRequestId, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nRequest-Id: " + aRequestId +
         "\r\nResponse-Seal: seal-" + aRequestId +
         "\r\nKeep-Alive: timeout=60\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

void
SendStream(Connection& aConnection, const std::string& aRequestId, int aEvents, Ms aInterval)
{
  if (!aConnection.Send(
        "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequestId + "\r\nResponse-Seal: seal-" + aRequestId +
        "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return;
  }
  for (int event = 1; event <= aEvents; ++event) {
    Sleep(aInterval);
    const std::string text =
      "id: " + std::to_string(event) + "\ndata: event " + std::to_string(event) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    if (!aConnection.Send(size + text + "\r\n")) {
      return;
    }
  }
  aConnection.Send("0\r\n\r\n");
}

Gateway::Gateway(Options aOptions, const Platform& aPlatform)
  : mOptions(std::move(aOptions))
{
  const char* temporary = std::getenv("TMPDIR");
  mDirectory = std::string{ temporary == nullptr ? "/tmp" : temporary } + "/trefoil-review-XXXXXX";
  if (mkdtemp(mDirectory.data()) == nullptr) {
    GiveUp("no temporary folder");
  }
  mSettings = mDirectory + "/settings.toml";
  mPort = FreePort(mOptions.mAddress, SOCK_STREAM);
  mReadyPort = FreePort(mOptions.mAddress, SOCK_STREAM);
  const auto endpoint = [this](int aPort) {
    return Quote(mOptions.mAddress + ":" + std::to_string(aPort));
  };
  std::ostringstream text;
  text << "host = " << Quote(mOptions.mName) << "\navailability_zone = " << Quote(mOptions.mZone)
       << "\navailability_zones = [\"zone-a\",\"zone-b\",\"zone-c\"]\nlisten = " << endpoint(mPort)
       << "\nreadiness_listen = " << endpoint(mReadyPort)
       << "\npeer_listen = " << endpoint(FreePort(mOptions.mAddress, SOCK_DGRAM))
       << "\nmetrics_listen = " << endpoint(FreePort(mOptions.mAddress, SOCK_STREAM))
       << "\nstore = " << Quote(aPlatform.Endpoint()) << "\ncloud = " << Quote(aPlatform.Endpoint())
       << "\nreport_usage = true\norder_servers = true\nmost_connections = 4100\n"
          "stop_notice_s = 8\nrevoke_within_ms = 5000\ndrain_within_ms = 2000\n"
          "settle_within_ms = 3000\nretry_ratio = 0.2\nretry_slack = 58\nretry_window_s = 10\n"
          "quota_overage = 0.1\nquota_slack = 190000\nusage_window_s = 5\n"
          "usage_late_after_s = 10\n";
  FILE* file = std::fopen(mSettings.c_str(), "w");
  if (file == nullptr) {
    GiveUp("cannot write " + mSettings);
  }
  std::fputs(text.str().c_str(), file);
  std::fclose(file);
  if (access(kProgram, X_OK) != 0) {
    GiveUp(std::string{ kProgram } + " is missing: run the build of the deploy file");
  }
}

Gateway::~Gateway()
{
  End();
}

void
Gateway::End()
{
  Kill();
  unlink(mSettings.c_str());
  unlink((mDirectory + "/log").c_str());
  rmdir(mDirectory.c_str());
}

void
Gateway::Start()
{
  mStatus.reset();
  mPid = fork();
  if (mPid < 0) {
    GiveUp("cannot start a process");
  }
  if (mPid == 0) {
    // The gateway ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (mOptions.mDescriptors > 0) {
      const rlimit limit{ static_cast<rlim_t>(mOptions.mDescriptors),
                          static_cast<rlim_t>(mOptions.mDescriptors) };
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    const char* keep = std::getenv("GATEWAY_LOGS");
    const std::string log =
      keep == nullptr ? mDirectory + "/log" : std::string{ keep } + "/" + mOptions.mName + ".log";
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(kProgram, kProgram, mSettings.c_str(), nullptr);
    _exit(127);
  }
}

void
Gateway::Signal(int aSignal) const
{
  if (mPid > 0 && !mStatus.has_value()) {
    kill(mPid, aSignal);
  }
}

std::optional<int>
Gateway::Ended()
{
  int status = 0;
  if (!mStatus.has_value() && mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
    mStatus = status;
  }
  return mStatus;
}

void
Gateway::Kill()
{
  int status = 0;
  if (mPid > 0 && !Ended().has_value()) {
    kill(mPid, SIGKILL);
    waitpid(mPid, &status, 0);
    mStatus = status;
  }
}

bool
Gateway::AnswersReady() const
{
  const Time deadline = Clock::now() + Ms{ 500 };
  auto connection = Connect(mOptions.mAddress, mReadyPort, deadline);
  return connection &&
         connection->Send("GET /trefoillb/readiness HTTP/1.1\r\nHost: platform\r\n\r\n",
                          deadline) &&
         connection->ReadAnswer(deadline).mStatus == 200;
}

void
Gateway::WaitUntilReady()
{
  for (int i = 0; i < 300; ++i) {
    if (AnswersReady()) {
      return;
    }
    if (Ended().has_value()) {
      GiveUp(mOptions.mName + " ended at its start");
    }
    Sleep(Ms{ 50 });
  }
  GiveUp(mOptions.mName + " is not ready");
}

double
Gateway::MemoryMb() const
{
  FILE* file = std::fopen(("/proc/" + std::to_string(mPid) + "/statm").c_str(), "r");
  if (file == nullptr) {
    return 0;
  }
  long total = 0;
  long resident = 0;
  const int read = std::fscanf(file, "%ld %ld", &total, &resident);
  std::fclose(file);
  return read == 2 ? static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
                       (1024.0 * 1024.0)
                   : 0;
}

int
Gateway::Descriptors() const
{
  DIR* directory = opendir(("/proc/" + std::to_string(mPid) + "/fd").c_str());
  int count = 0;
  while (directory != nullptr && readdir(directory) != nullptr) {
    ++count;
  }
  if (directory != nullptr) {
    closedir(directory);
  }
  return std::max(0, count - 2);
}

std::string
RequestHead(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aRequestId,
            int aDeadlineMs,
            const std::string& aKey)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: club.example\r\nRequest-Id: " + aRequestId +
         "\r\nDeadline-Milliseconds: " + std::to_string(aDeadlineMs) + "\r\n" +
         (aKey.empty() ? "" : "Authorization: Token " + aKey + "\r\n");
}

} // namespace review
