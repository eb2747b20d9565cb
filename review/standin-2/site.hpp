// A small site for one test: the platform's store and cloud API, engines and clients, all in the
// process of the test, and entry hosts as processes of their own. Everything is on loopback
// addresses and ports that the system chooses.
//
//   Site site{ "review/6" };
//   const std::string config = Manifest({ ... });
//   site.store.Put("op/config", config);
//   Gateway gateway{ site, 1 };
//   const Answer answer = Ask(gateway.front, { .path = "/read/a", .id = "r1" });
//
// Plain POSIX and the standard library only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

using Clock = std::chrono::steady_clock;

inline std::int64_t
NowMs()
{
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aMs });
}

// Whether the test causes the disruption; with TROUBLE=0 it does all but that.
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string{ value } != "0";
}

// What was sent, answered and run, in record.txt of the case.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : mFile{ aFile, std::ios::trunc }
  {
  }

  template<typename... Parts>
  void Line(const Parts&... aParts)
  {
    std::ostringstream text;
    text << NowMs() << " ms  ";
    (text << ... << aParts);
    const std::lock_guard lock{ mMutex };
    mFile << text.str() << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

// Ends the case when its own parts do not work.
[[noreturn]] inline void
Fail(const std::string& aReason)
{
  std::fprintf(stderr, "the case could not run: %s\n", aReason.c_str());
  std::fflush(stderr);
  std::_Exit(kCouldNotRun);
}

// Ends the case. The threads of the stand-ins are not waited for.
[[noreturn]] inline void
Finish(int aStatus)
{
  std::fflush(stdout);
  std::_Exit(aStatus);
}

struct Address
{
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a listening socket; a port of 0 is replaced by the one that the system chose.
inline int
Listen(Address& aAddress, int aBacklog = 1024)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = ToSockaddr(aAddress);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, aBacklog) != 0) {
    Fail("cannot listen on " + aAddress.Text());
  }
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  aAddress.port = ntohs(address.sin_port);
  return fd;
}

// Returns a port that is free for TCP and UDP now.
inline int
FreePort(const std::string& aIp)
{
  static std::set<int> taken;
  for (int attempt = 0; attempt < 100; ++attempt) {
    Address address{ .ip = aIp };
    const int tcp = Listen(address);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in local = ToSockaddr(address);
    const bool isFree = bind(udp, reinterpret_cast<sockaddr*>(&local), sizeof local) == 0;
    close(udp);
    close(tcp);
    if (isFree && taken.insert(address.port).second) {
      return address.port;
    }
  }
  Fail("no free port");
}

// Returns a connected socket, or -1.
inline int
Connect(const Address& aAddress, int aTimeoutMs = 1000)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  sockaddr_in address = ToSockaddr(aAddress);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    pollfd entry{ .fd = fd, .events = POLLOUT, .revents = 0 };
    int error = 0;
    socklen_t length = sizeof error;
    if (errno != EINPROGRESS || poll(&entry, 1, aTimeoutMs) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

enum class Receipt
{
  kBytes,
  kClosed,
  kTimeout,
};

// Appends what has arrived until `aUntilMs`, at least one byte unless the channel ends.
inline Receipt
Receive(int aFd, std::string& aBytes, std::int64_t aUntilMs)
{
  pollfd entry{ .fd = aFd, .events = POLLIN, .revents = 0 };
  const std::int64_t wait = aUntilMs - NowMs();
  if (poll(&entry, 1, static_cast<int>(wait < 0 ? 0 : wait)) != 1) {
    return Receipt::kTimeout;
  }
  char buffer[65536];
  const ssize_t count = recv(aFd, buffer, sizeof buffer, 0);
  if (count <= 0) {
    return Receipt::kClosed;
  }
  aBytes.append(buffer, static_cast<std::size_t>(count));
  return Receipt::kBytes;
}

inline std::string
Lower(std::string aText)
{
  for (char& character : aText) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return aText;
}

// The head of a message: its first line and its headers by lower-case names.
struct Head
{
  std::string line;
  std::map<std::string, std::string> headers;

  std::string Of(const std::string& aName) const
  {
    const auto found = headers.find(Lower(aName));
    return found == headers.end() ? std::string{} : found->second;
  }
};

inline Head
ParseHead(const std::string& aText)
{
  Head head;
  std::istringstream lines{ aText };
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (head.line.empty()) {
      head.line = line;
    } else if (colon != std::string::npos) {
      const std::size_t begin = line.find_first_not_of(' ', colon + 1);
      head.headers[Lower(line.substr(0, colon))] =
        begin == std::string::npos ? std::string{} : line.substr(begin);
    }
  }
  return head;
}

struct Message
{
  Head head;
  std::string body;
  bool hasHead = false;
  bool isComplete = false;
};

// Reads one message with a length, in chunks or without a body. What follows it stays in `aBytes`.
inline Message
ReadMessage(int aFd, std::string& aBytes, std::int64_t aUntilMs, bool aIsAnswer)
{
  Message message;
  std::size_t end = 0;
  while ((end = aBytes.find("\r\n\r\n")) == std::string::npos) {
    if (Receive(aFd, aBytes, aUntilMs) != Receipt::kBytes) {
      return message;
    }
  }
  message.head = ParseHead(aBytes.substr(0, end));
  message.hasHead = true;
  aBytes.erase(0, end + 4);
  if (Lower(message.head.Of("Transfer-Encoding")) == "chunked") {
    for (;;) {
      std::size_t lineEnd = 0;
      while ((lineEnd = aBytes.find("\r\n")) == std::string::npos) {
        if (Receive(aFd, aBytes, aUntilMs) != Receipt::kBytes) {
          return message;
        }
      }
      const std::size_t size = std::strtoul(aBytes.c_str(), nullptr, 16);
      while (aBytes.size() < lineEnd + 2 + size + 2) {
        if (Receive(aFd, aBytes, aUntilMs) != Receipt::kBytes) {
          return message;
        }
      }
      message.body.append(aBytes, lineEnd + 2, size);
      aBytes.erase(0, lineEnd + 2 + size + 2);
      if (size == 0) {
        message.isComplete = true;
        return message;
      }
    }
  }
  const std::string length = message.head.Of("Content-Length");
  if (length.empty() && aIsAnswer) {
    while (Receive(aFd, aBytes, aUntilMs) == Receipt::kBytes) {
    }
    message.body = std::exchange(aBytes, {});
    message.isComplete = true;
    return message;
  }
  const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  while (aBytes.size() < size) {
    if (Receive(aFd, aBytes, aUntilMs) != Receipt::kBytes) {
      return message;
    }
  }
  message.body = aBytes.substr(0, size);
  aBytes.erase(0, size);
  message.isComplete = true;
  return message;
}

// Accepts connections and serves each with a thread of its own.
class Server
{
public:
  using Handler = std::function<void(int aFd)>;

  Server(Address aAddress, Handler aHandler)
    : address{ std::move(aAddress) }
    , mHandler{ std::move(aHandler) }
    , mListener{ Listen(address, 4096) }
  {
    std::thread{ [this] { Run(); } }.detach();
  }

  // Stops to listen and ends the channels.
  void Close()
  {
    const std::lock_guard lock{ mMutex };
    mIsClosed = true;
    shutdown(mListener, SHUT_RDWR);
    for (const int fd : mOpen) {
      shutdown(fd, SHUT_RDWR);
    }
  }

  Address address;

private:
  void Run()
  {
    for (;;) {
      const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        const std::lock_guard lock{ mMutex };
        if (mIsClosed) {
          close(mListener);
          return;
        }
        SleepMs(5);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock{ mMutex };
        mOpen.insert(fd);
      }
      std::thread{
        [this, fd] {
          mHandler(fd);
          const std::lock_guard lock{ mMutex };
          mOpen.erase(fd);
          close(fd);
        }
      }.detach();
    }
  }

  Handler mHandler;
  int mListener;
  std::mutex mMutex;
  std::set<int> mOpen;
  bool mIsClosed = false;
};

inline std::string
ToBase64(const std::string& aBytes)
{
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

// Returns the string or number in the field `aName` of flat JSON text, from `aFrom` on.
inline std::string
JsonField(const std::string& aText, const std::string& aName, std::size_t aFrom = 0)
{
  std::size_t at = aText.find("\"" + aName + "\"", aFrom);
  if (at == std::string::npos) {
    return {};
  }
  at = aText.find(':', at + aName.size() + 2);
  at = aText.find_first_not_of(" :", at);
  std::string value;
  if (aText[at] == '"') {
    for (++at; at < aText.size() && aText[at] != '"'; ++at) {
      if (aText[at] == '\\') {
        ++at;
      }
      value += aText[at];
    }
    return value;
  }
  while (at < aText.size() && std::string{ ",}] \n" }.find(aText[at]) == std::string::npos) {
    value += aText[at++];
  }
  return value;
}

// The platform's metadata store and, on the same address, its cloud API. It loses nothing and
// answers at once.
class Store
{
public:
  Store(Record& aRecord, Address aAddress)
    : mRecord{ aRecord }
    , mServer{ std::move(aAddress), [this](int aFd) { Serve(aFd); } }
  {
  }

  const Address& At() const { return mServer.address; }

  // Serves on a further address from now on.
  Address OpenAnotherAddress()
  {
    mSecond =
      std::make_unique<Server>(Address{ .ip = "127.0.0.1" }, [this](int aFd) { Serve(aFd); });
    return mSecond->address;
  }

  // Leaves the first address.
  void CloseFirstAddress() { mServer.Close(); }

  // Writes like an operator or an engine. Returns when the write is confirmed.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock{ mMutex };
    Write(aKey, ToBase64(aValue), 0);
  }

  void Remove(const std::string& aKey)
  {
    const std::lock_guard lock{ mMutex };
    Erase(aKey);
  }

private:
  struct Item
  {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change
  {
    std::string key;
    Item item;
    bool isRemoved = false;
  };
  struct Lease
  {
    std::int64_t ttlMs = 0;
    std::int64_t endsAt = 0;
  };
  struct Reply
  {
    int status = 200;
    std::string body;
  };

  void Write(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
  {
    Item& item = mItems[aKey];
    item.revision = ++mRevision;
    item.created = item.created == 0 ? mRevision : item.created;
    item.value = aValue;
    item.lease = aLease;
    mChanges.push_back({ aKey, item, false });
    mChanged.notify_all();
  }

  void Erase(const std::string& aKey)
  {
    if (mItems.erase(aKey) > 0) {
      mChanges.push_back({ aKey, { .revision = ++mRevision }, true });
      mChanged.notify_all();
    }
  }

  void Expire()
  {
    std::set<std::int64_t> ended;
    for (const auto& [id, lease] : mLeases) {
      if (lease.endsAt <= NowMs()) {
        ended.insert(id);
      }
    }
    for (const std::int64_t id : ended) {
      EndLease(id);
    }
  }

  void EndLease(std::int64_t aId)
  {
    mLeases.erase(aId);
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.lease == aId) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
  }

  static std::string Unescape(const std::string& aText)
  {
    std::string text;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        text += aText[i];
      }
    }
    return text;
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t end = std::min(aTarget.find('&', at + 1), aTarget.size());
      const std::string part = aTarget.substr(at + 1, end - at - 1);
      if (part.rfind(aName + "=", 0) == 0) {
        return Unescape(part.substr(aName.size() + 1));
      }
      at = end == aTarget.size() ? std::string::npos : end;
    }
    return {};
  }

  static std::int64_t Number(const std::string& aText)
  {
    return aText.empty() ? 0 : std::stoll(aText);
  }

  static std::string Render(const std::string& aKey, const Item& aItem)
  {
    return "{\"Key\":\"" + aKey + "\",\"Value\":\"" + aItem.value +
           "\",\"Revision\":" + std::to_string(aItem.revision) +
           ",\"Created\":" + std::to_string(aItem.created) +
           ",\"Lease\":" + std::to_string(aItem.lease) + "}";
  }

  Reply Range(const std::string& aPrefix)
  {
    std::string items;
    for (const auto& [key, item] : mItems) {
      if (key.rfind(aPrefix, 0) == 0) {
        items += (items.empty() ? "" : ",") + Render(key, item);
      }
    }
    return {
      200, "{\"Items\":[" + items + "],\"HasMore\":false,\"At\":" + std::to_string(mRevision) + "}"
    };
  }

  Reply Watch(std::unique_lock<std::mutex>& aLock, const std::string& aTarget)
  {
    const std::string prefix = Query(aTarget, "PathPrefix");
    const std::int64_t after = Number(Query(aTarget, "After"));
    const std::int64_t until = NowMs() + Number(Query(aTarget, "WaitMs"));
    for (;;) {
      Expire();
      std::string events;
      for (const Change& change : mChanges) {
        if (change.item.revision <= after || change.key.rfind(prefix, 0) != 0) {
          continue;
        }
        events += events.empty() ? "" : ",";
        events += change.isRemoved ? "{\"Key\":\"" + change.key +
                                       "\",\"Revision\":" + std::to_string(change.item.revision) +
                                       ",\"WasRemoved\":true}"
                                   : Render(change.key, change.item);
      }
      if (!events.empty() || NowMs() >= until) {
        return { 200, "{\"events\":[" + events + "],\"At\":" + std::to_string(mRevision) + "}" };
      }
      mChanged.wait_for(aLock,
                        std::chrono::milliseconds{ std::min<std::int64_t>(50, until - NowMs()) });
    }
  }

  // Returns the objects of the array in the field `aName`.
  static std::vector<std::string> Rows(const std::string& aText, const std::string& aName)
  {
    std::vector<std::string> rows;
    std::size_t at = aText.find("\"" + aName + "\"");
    if (at == std::string::npos) {
      return rows;
    }
    at = aText.find('[', at);
    const std::size_t end = aText.find(']', at);
    for (at = aText.find('{', at); at < end; at = aText.find('{', at + 1)) {
      rows.push_back(aText.substr(at, aText.find('}', at) - at + 1));
    }
    return rows;
  }

  Reply Commit(const std::string& aBody)
  {
    std::string items;
    bool matches = true;
    for (const std::string& row : Rows(aBody, "ExpectedRevision")) {
      const std::string key = JsonField(row, "Key");
      const auto found = mItems.find(key);
      const std::int64_t revision = found == mItems.end() ? 0 : found->second.revision;
      matches = matches && revision == Number(JsonField(row, "Revision"));
      if (found != mItems.end()) {
        items += (items.empty() ? "" : ",") + Render(key, found->second);
      }
    }
    if (!matches) {
      return { 412, "{\"Items\":[" + items + "]}" };
    }
    const auto writes = Rows(aBody, "Writes");
    for (const std::string& row : writes) {
      const std::int64_t lease = Number(JsonField(row, "Lease"));
      if (lease != 0 && mLeases.count(lease) == 0) {
        return { 404, "{}" };
      }
    }
    for (const std::string& row : writes) {
      Write(JsonField(row, "Key"), JsonField(row, "Value"), Number(JsonField(row, "Lease")));
    }
    return { 200, "{\"Revision\":" + std::to_string(mRevision) + "}" };
  }

  Reply Call(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
  {
    std::unique_lock lock{ mMutex };
    Expire();
    const std::string path = aTarget.substr(0, aTarget.find('?'));
    const std::string keep = "/trefoillb/kv-keep/";
    const std::string end = "/trefoillb/kv-lease-end/";
    if (path == "/trefoillb/kv-key") {
      const auto found = mItems.find(Query(aTarget, "Key"));
      if (found == mItems.end()) {
        return { 404, "{}" };
      }
      std::string body = Render(found->first, found->second);
      body.back() = ',';
      return { 200, body + "\"At\":" + std::to_string(mRevision) + "}" };
    }
    if (path == "/trefoillb/kv-range") {
      return Range(Query(aTarget, "PathPrefix"));
    }
    if (path == "/trefoillb/kv-watch") {
      return Watch(lock, aTarget);
    }
    if (path == "/trefoillb/kv-txn") {
      return Commit(aBody);
    }
    if (path == "/trefoillb/kv-lease") {
      const std::int64_t ttl = Number(JsonField(aBody, "TtlMs"));
      mLeases[++mLastLease] = { ttl, NowMs() + ttl };
      return {
        200, "{\"Lease\":" + std::to_string(mLastLease) + ",\"TtlMs\":" + std::to_string(ttl) + "}"
      };
    }
    if (path.rfind(keep, 0) == 0) {
      const auto lease = mLeases.find(Number(path.substr(keep.size())));
      if (lease == mLeases.end()) {
        return { 404, "{}" };
      }
      lease->second.endsAt = NowMs() + lease->second.ttlMs;
      return { 200, "{\"TtlMs\":" + std::to_string(lease->second.ttlMs) + "}" };
    }
    if (path.rfind(end, 0) == 0 && aMethod == "DELETE") {
      EndLease(Number(path.substr(end.size())));
      return { 200, "{}" };
    }
    if (path == "/usage" || path == "/scale") {
      mRecord.Line("the platform gets ", path, " ", aBody);
      return { 200, "{}" };
    }
    return { 404, "{}" };
  }

  void Serve(int aFd)
  {
    std::string bytes;
    for (;;) {
      const Message request = ReadMessage(aFd, bytes, NowMs() + 60'000, false);
      if (!request.isComplete) {
        return;
      }
      std::istringstream line{ request.head.line };
      std::string method;
      std::string target;
      line >> method >> target;
      const Reply reply = Call(method, target, request.body);
      if (!SendAll(aFd,
                   "HTTP/1.1 " + std::to_string(reply.status) +
                     " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body)) {
        return;
      }
    }
  }

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<Change> mChanges;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mRevision = 0;
  std::int64_t mLastLease = 0;
  Server mServer;
  std::unique_ptr<Server> mSecond;
};

// A request as an engine gets it.
struct EngineRequest
{
  std::string method;
  std::string target;
  Head head;
  std::string body;
  std::string id;
};

// An engine that is registered in the store. `aWork` works on a request and returns whether the
// channel is kept; it is called only for requests that expect this engine.
class Engine
{
public:
  using Work = std::function<bool(Engine& aEngine, int aFd, const EngineRequest& aRequest)>;

  Engine(Record& aRecord,
         Store& aStore,
         std::string aId,
         std::string aService,
         std::string aZone,
         Work aWork)
    : id{ std::move(aId) }
    , service{ std::move(aService) }
    , zone{ std::move(aZone) }
    , mRecord{ aRecord }
    , mStore{ aStore }
    , mWork{ std::move(aWork) }
  {
    Open(Address{ .ip = "127.0.0.1" });
    Register("ready");
    std::thread{
      [this] {
        for (;;) {
          SleepMs(kBeatMs);
          const std::lock_guard lock{ mMutex };
          if (!mIsDown) {
            Register("ready");
          }
        }
      }
    }.detach();
  }

  // Ends all channels. The engine is back after `aDownMs`, in a new lifetime. Returns whether it
  // was up.
  bool Crash(std::int64_t aDownMs)
  {
    const std::lock_guard lock{ mMutex };
    if (std::exchange(mIsDown, true)) {
      return false;
    }
    mServers.back()->Close();
    std::thread{
      [this, aDownMs] {
        SleepMs(aDownMs);
        const std::lock_guard upLock{ mMutex };
        mBorn = UnixMs();
        mSeq = 0;
        Open(mServers.back()->address);
        Register("ready");
        mIsDown = false;
      }
    }.detach();
    return true;
  }

  const Address& At() const { return mServers.back()->address; }

  // Writes the engine's entry, as it does about every HeartbeatIntervalMs.
  void Register(const std::string& aState)
  {
    mStore.Put("servers/" + id,
               "{\"Service\":\"" + service + "\",\"Address\":\"" + mServers.back()->address.Text() +
                 "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"" +
                 aState + "\",\"ColdRemainingMs\":0,\"Seq\":" + std::to_string(++mSeq) +
                 ",\"born\":" + std::to_string(mBorn) + "}");
  }

  // The usual head of an answer.
  std::string AnswerHead(const EngineRequest& aRequest,
                         const std::string& aStatus = "200 OK",
                         const std::string& aMore = {}) const
  {
    return "HTTP/1.1 " + aStatus + "\r\nRequest-Id: " + aRequest.id + "\r\nResponse-Seal: seal-" +
           aRequest.id + "\r\n" + aMore;
  }

  bool Answer(int aFd, const EngineRequest& aRequest, const std::string& aBody) const
  {
    return SendAll(aFd,
                   AnswerHead(aRequest) + "Content-Length: " + std::to_string(aBody.size()) +
                     "\r\n\r\n" + aBody);
  }

  std::string id;
  std::string service;
  std::string zone;
  std::atomic<int> runs{ 0 };

private:
  static constexpr std::int64_t kBeatMs = 1'200;

  static std::int64_t UnixMs()
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  }

  void Open(const Address& aAddress)
  {
    mServers.push_back(std::make_unique<Server>(aAddress, [this](int aFd) { Serve(aFd); }));
  }

  void Serve(int aFd)
  {
    std::string bytes;
    for (;;) {
      const Message message = ReadMessage(aFd, bytes, NowMs() + 120'000, false);
      if (!message.isComplete) {
        return;
      }
      EngineRequest request{ .head = message.head, .body = message.body };
      std::istringstream line{ message.head.line };
      line >> request.method >> request.target;
      request.id = message.head.Of("Request-Id");
      if (request.target == "/health") {
        SendAll(aFd, "HTTP/1.1 200 OK\r\nInstance: " + id + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (message.head.Of("Expected-Instance") != id) {
        SendAll(aFd,
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.id +
                  "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      ++runs;
      if (!mWork(*this, aFd, request)) {
        return;
      }
    }
  }

  Record& mRecord;
  Store& mStore;
  Work mWork;
  int mSeq = 0;
  std::int64_t mBorn = UnixMs();
  std::mutex mMutex;
  bool mIsDown = false;
  // One for each lifetime; those of the former ones are closed.
  std::vector<std::unique_ptr<Server>> mServers;
};

// The temporary folder (made and removed by run.sh), the record and the store of a case.
class Site
{
public:
  explicit Site(const std::string& aCase)
    : record{ aCase + "/record.txt" }
    , store{ record, Address{ .ip = "127.0.0.1" } }
  {
    const char* path = std::getenv("REVIEW_FOLDER");
    if (path == nullptr) {
      Fail("REVIEW_FOLDER names no temporary folder");
    }
    folder = path;
  }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  std::string folder;
  Record record;
  Store store;
};

// What of the settings a case sets. The defaults are those of a small site's machine.
struct GatewayOptions
{
  std::string zone = "zone-a";
  int fileDescriptors = 4100;
  int memoryMb = 260;
  // Limits what the process may open, 0 for no limit of its own.
  int openLimit = 0;
  Address store;
};

// An entry host: the gateway's program of the deploy file, with settings as the template gives
// them.
class Gateway
{
public:
  Gateway(Site& aSite, int aNumber, GatewayOptions aOptions = {})
    : mSite{ aSite }
    , mNumber{ aNumber }
    , mOptions{ std::move(aOptions) }
  {
    const std::string ip = "127.0.0.1";
    front = { ip, FreePort(ip) };
    ready = { ip, FreePort(ip) };
    peer = { ip, FreePort(ip) };
    mMetrics = { ip, FreePort(ip) };
    mSettings = mSite.folder + "/host-" + std::to_string(aNumber) + ".toml";
    WriteSettings(mOptions.store.port == 0 ? mSite.store.At() : mOptions.store);
    Start();
  }
  ~Gateway() { Kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Writes the settings file as the platform does from the template. The platform's store and cloud
  // API have one address here.
  void WriteSettings(const Address& aPlatform) const
  {
    std::ofstream file{ mSettings + ".new" };
    file << "host = \"host-" << mNumber << "\"\navailability_zone = \"" << mOptions.zone
         << "\"\navailability_zones = [\"zone-a\",\"zone-b\"]\n"
         << "zone_regions = [\"zone-a=r\",\"zone-b=r\"]\nregion = \"r\"\nlisten = \""
         << front.Text() << "\"\nreadiness_listen = \"" << ready.Text() << "\"\npeer_listen = \""
         << peer.Text() << "\"\nmetrics_listen = \"" << mMetrics.Text() << "\"\nstore = \""
         << aPlatform.Text() << "\"\ncloud = \"" << aPlatform.Text()
         << "\"\nreport_usage = true\norder_servers = true\nmost_connections = "
         << mOptions.fileDescriptors << "\nmemory_mb = " << mOptions.memoryMb
         << "\nstop_notice_s = 8\nrevoke_within_ms = 5000\ndrain_within_ms = 2000\n"
         << "settle_within_ms = 3000\nretry_ratio = 0.2\nretry_slack = 58\nretry_window_s = 10\n"
         << "quota_overage = 0.1\nquota_slack = 190000\nusage_window_s = 5\n"
         << "usage_late_after_s = 10\n";
    file.close();
    std::rename((mSettings + ".new").c_str(), mSettings.c_str());
  }

  void Start()
  {
    const std::string program = "target/cmd/trefoil-gateway";
    const std::string log = mSite.folder + "/host-" + std::to_string(mNumber) + ".log";
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(file, 1);
      dup2(file, 2);
      close(file);
      if (mOptions.openLimit > 0) {
        const rlimit limit{ static_cast<rlim_t>(mOptions.openLimit),
                            static_cast<rlim_t>(mOptions.openLimit) };
        setrlimit(RLIMIT_NOFILE, &limit);
      }
      execl(program.c_str(), program.c_str(), mSettings.c_str(), nullptr);
      std::_Exit(127);
    }
    mSite.record.Line("host-", mNumber, " starts as process ", pid);
  }

  // Waits until the host says that it is ready.
  void AwaitReady(std::int64_t aWithinMs = 15'000)
  {
    const std::int64_t until = NowMs() + aWithinMs;
    while (NowMs() < until) {
      if (IsReady()) {
        mSite.record.Line("host-", mNumber, " is ready");
        return;
      }
      SleepMs(50);
    }
    Fail("the entry host is not ready");
  }

  bool IsReady() const
  {
    const int fd = Connect(ready, 500);
    std::string bytes;
    const bool isReady =
      fd >= 0 && SendAll(fd, kReadinessRequest) &&
      ReadMessage(fd, bytes, NowMs() + 500, true).head.line.find(" 200") != std::string::npos;
    if (fd >= 0) {
      close(fd);
    }
    return isReady;
  }

  void Signal(int aSignal)
  {
    if (pid > 0) {
      mSite.record.Line("host-", mNumber, " gets ", strsignal(aSignal));
      kill(pid, aSignal);
    }
  }

  bool IsRunning() const { return pid > 0 && waitpid(pid, nullptr, WNOHANG) == 0; }

  void Kill()
  {
    if (pid > 0) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
      pid = -1;
    }
  }

  // Returns the resident memory in bytes.
  std::int64_t Memory() const
  {
    std::ifstream file{ "/proc/" + std::to_string(pid) + "/status" };
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return std::stoll(line.substr(6)) * 1024;
      }
    }
    return 0;
  }

  int OpenFiles() const
  {
    int count = 0;
    DIR* folder = opendir(("/proc/" + std::to_string(pid) + "/fd").c_str());
    while (folder != nullptr && readdir(folder) != nullptr) {
      ++count;
    }
    if (folder != nullptr) {
      closedir(folder);
    }
    return count - 2;
  }

  static constexpr const char* kReadinessRequest =
    "GET /trefoillb/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";

  Address front;
  Address ready;
  Address peer;
  pid_t pid = -1;

private:
  Site& mSite;
  int mNumber;
  GatewayOptions mOptions;
  Address mMetrics;
  std::string mSettings;
};

struct RouteEntry
{
  std::string name;
  std::string kind;
  std::string service;
  bool isResumed = false;
  int timeoutMs = 5000;
  int attempts = 3;
  bool isAnonymous = false;
  bool hasPrompts = false;
};

inline std::string
RenderRoute(const RouteEntry& aRoute)
{
  const auto flag = [](bool aValue) { return std::string{ aValue ? "true" : "false" }; };
  return "{\"Name\":\"" + aRoute.name + "\",\"Host\":\"site.example\",\"PathPrefix\":\"/" +
         aRoute.name + "/\",\"Kind\":\"" + aRoute.kind +
         "\",\"TimeoutMs\":" + std::to_string(aRoute.timeoutMs) +
         ",\"GoalMs\":500,\"Priority\":1,\"Service\":\"" + aRoute.service +
         "\",\"Attempts\":" + std::to_string(aRoute.attempts) +
         ",\"AllowAnonymous\":" + flag(aRoute.isAnonymous) +
         ",\"SessionAffinity\":" + flag(aRoute.hasPrompts) +
         ",\"ResumeStreams\":" + flag(aRoute.isResumed) + ",\"GapTargetMs\":400}";
}

// Returns a manifest; `aTenants` is the JSON text of the list of tenants.
inline std::string
Manifest(int aVersion, const std::vector<RouteEntry>& aRoutes, const std::string& aTenants)
{
  std::string routes;
  std::set<std::string> names;
  for (const RouteEntry& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + RenderRoute(route);
    names.insert(route.service);
  }
  std::string services;
  for (const std::string& name : names) {
    services += (services.empty() ? "" : ",") + ("{\"Name\":\"" + name) +
                "\",\"HealthCheckPath\":\"/health\",\"ConnectionLimit\":4000,\"Protocol\":\"h1\","
                "\"Tls\":false}";
  }
  return "{\"Version\":" + std::to_string(aVersion) + ",\"Routes\":[" + routes +
         "],\"Services\":[" + services +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":" +
         aTenants + "}";
}

// A request as a client sends it.
struct ClientRequest
{
  std::string path;
  std::string id;
  std::string method = "GET";
  std::string key = "key";
  std::string body;
  // Further header lines, each with its line end.
  std::string headers;
  int timeLimitMs = 3000;
};

inline std::string
RenderRequest(const ClientRequest& aRequest)
{
  std::string bytes = aRequest.method + " " + aRequest.path +
                      " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + aRequest.id +
                      "\r\nDeadline-Milliseconds: " + std::to_string(aRequest.timeLimitMs) +
                      "\r\n" + aRequest.headers;
  if (!aRequest.key.empty()) {
    bytes += "Authorization: Token " + aRequest.key + "\r\n";
  }
  if (!aRequest.body.empty() || aRequest.method == "POST") {
    bytes += "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n";
  }
  return bytes + "\r\n" + aRequest.body;
}

// What a client got: the status, 0 for none, and the whole or incomplete body.
struct Answer
{
  int status = 0;
  Head head;
  std::string body;
  bool isComplete = false;
};

inline Answer
ReadAnswer(int aFd, std::string& aBytes, std::int64_t aUntilMs)
{
  const Message message = ReadMessage(aFd, aBytes, aUntilMs, true);
  Answer answer{ .head = message.head, .body = message.body, .isComplete = message.isComplete };
  if (message.hasHead && message.head.line.size() > 12) {
    answer.status = std::atoi(message.head.line.substr(9, 3).c_str());
  }
  return answer;
}

// Sends one request on a channel of its own.
inline Answer
Ask(const Address& aFront, const ClientRequest& aRequest)
{
  Answer answer;
  const std::int64_t until = NowMs() + aRequest.timeLimitMs + 500;
  const int fd = Connect(aFront, 1000);
  if (fd < 0) {
    return answer;
  }
  std::string bytes;
  if (SendAll(fd, RenderRequest(aRequest))) {
    answer = ReadAnswer(fd, bytes, until);
  }
  close(fd);
  return answer;
}

} // namespace review
