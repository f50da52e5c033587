// Stand-ins of the platform for the scripts of this review: the metadata store, backend servers,
// clients, and the control of node processes. Blocking sockets, one thread per connection; all
// addresses are loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline int64_t UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void Sleep(int64_t aMs)
{
  std::this_thread::sleep_for(milliseconds(aMs));
}

// Writes lines with the time since the start of the script.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
    , mStart(Clock::now())
  {
  }
  int64_t Now() const
  {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - mStart).count();
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    const int64_t now = Now();
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(now) / 1000);
    mFile << time << aText << "\n";
    mFile.flush();
  }

private:
  std::ofstream mFile;
  std::mutex mMutex;
  Clock::time_point mStart;
};

struct Endpoint
{
  std::string mIp;
  uint16_t mPort = 0;
  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
  sockaddr_in Address() const
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(mPort);
    inet_pton(AF_INET, mIp.c_str(), &address.sin_addr);
    return address;
  }
};

struct Message
{
  std::string mMethod; // of a request
  std::string mTarget;
  int mStatus = 0; // of a response
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Find(std::string_view aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (name.size() == aName.size() && strncasecmp(name.data(), aName.data(), name.size()) == 0) {
        return value;
      }
    }
    return {};
  }
};

// A TCP connection that is read in small steps.
class Connection
{
public:
  explicit Connection(int aSocket)
    : mSocket(aSocket)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
      mSocket = -1;
    }
  }
  // Closes with a reset, as a crash does.
  void Reset()
  {
    const linger option{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
  int Socket() const { return mSocket; }

  bool Write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t sent = send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }

  // Reads up to aMax bytes into the buffer. Returns false at the end of the connection, with the
  // error in mError (0 for an orderly close).
  bool Fill(size_t aMax = 65536)
  {
    std::string bytes(aMax, '\0');
    const ssize_t count = recv(mSocket, bytes.data(), aMax, 0);
    if (count <= 0) {
      mError = count == 0 ? 0 : errno;
      return false;
    }
    mBuffer.append(bytes, 0, static_cast<size_t>(count));
    return true;
  }

  // Reads the start line and the headers.
  bool ReadHead(Message& aMessage)
  {
    size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (mBuffer.size() > 256 * 1024 || !Fill()) {
        return false;
      }
    }
    std::istringstream head(mBuffer.substr(0, end + 2));
    mBuffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    std::string one;
    std::string two;
    first >> one >> two;
    if (one.starts_with("HTTP/")) {
      aMessage.mStatus = std::atoi(two.c_str());
    } else {
      aMessage.mMethod = one;
      aMessage.mTarget = two;
    }
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        aMessage.mHeaders.emplace_back(line.substr(0, colon),
                                       value == std::string::npos ? "" : line.substr(value));
      }
    }
    return true;
  }

  // Reads a body with a stated length.
  bool ReadBody(Message& aMessage)
  {
    const size_t length = std::strtoull(aMessage.Find("Content-Length").c_str(), nullptr, 10);
    while (mBuffer.size() < length) {
      if (!Fill()) {
        return false;
      }
    }
    aMessage.mBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return true;
  }

  // Whether the peer has closed the connection or reset it.
  bool PeerHasClosed() const
  {
    pollfd state{ mSocket, POLLIN | POLLRDHUP, 0 };
    if (poll(&state, 1, 0) <= 0) {
      return false;
    }
    return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  std::string mBuffer;
  int mError = 0;

private:
  int mSocket;
};

struct SocketOptions
{
  int mReceiveBuffer = 0;
  int mMaxSegment = 0;
  int mTimeoutMs = 0;
};

inline std::unique_ptr<Connection> Connect(const Endpoint& aTo, const SocketOptions& aOptions = {})
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aOptions.mReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aOptions.mReceiveBuffer, sizeof(int));
  }
  if (aOptions.mMaxSegment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &aOptions.mMaxSegment, sizeof(int));
  }
  if (aOptions.mTimeoutMs > 0) {
    const timeval time{ aOptions.mTimeoutMs / 1000, aOptions.mTimeoutMs % 1000 * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = aTo.Address();
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

inline std::string FormatRequest(const Message& aRequest)
{
  std::string text = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.mHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aRequest.mBody.empty() || aRequest.mMethod == "POST" || aRequest.mMethod == "PUT") {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  return text + "\r\n" + aRequest.mBody;
}

inline std::string FormatResponse(int aStatus, const std::string& aBody,
                                  const std::vector<std::pair<std::string, std::string>>& aHeaders)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string FormatJson(int aStatus, const Json& aBody)
{
  return FormatResponse(aStatus, aBody.dump(), { { "Content-Type", "application/json" } });
}

// Sends one request on a connection of its own.
inline std::optional<Message> Call(const Endpoint& aTo, const Message& aRequest,
                                   int aTimeoutMs = 1000)
{
  const auto connection = Connect(aTo, { 0, 0, aTimeoutMs });
  Message response;
  if (!connection || !connection->Write(FormatRequest(aRequest)) ||
      !connection->ReadHead(response) || !connection->ReadBody(response)) {
    return std::nullopt;
  }
  return response;
}

// Accepts connections and runs aServe for each in a thread. Threads end with the process.
class Listener
{
public:
  Listener(const Endpoint& aAt, std::function<void(Connection&)> aServe, int aReceiveBuffer = 0)
    : mServe(std::move(aServe))
  {
    mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (aReceiveBuffer > 0) {
      setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(int));
    }
    const sockaddr_in address = aAt.Address();
    if (bind(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(mSocket, 512) != 0) {
      std::fprintf(stderr, "cannot listen on %s\n", aAt.Text().c_str());
      std::exit(2);
    }
    std::thread([this] {
      for (;;) {
        const int fd = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        const int nodelay = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
        {
          const std::lock_guard lock(mMutex);
          mOpen.insert(fd);
        }
        std::thread([this, fd] {
          Connection connection(fd);
          mServe(connection);
          const std::lock_guard lock(mMutex);
          mOpen.erase(fd);
          connection.Close();
        }).detach();
      }
    }).detach();
  }

  // Ends the listening socket and all connections, as the end of the process does. The object has
  // to stay, because its threads still use it.
  void End()
  {
    shutdown(mSocket, SHUT_RDWR);
    close(mSocket);
    const std::lock_guard lock(mMutex);
    for (const int fd : mOpen) {
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  std::mutex mMutex;
  std::set<int> mOpen;
  std::function<void(Connection&)> mServe;
  int mSocket;
};

inline std::string Decode(const std::string& aText)
{
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

inline std::string Query(const std::string& aTarget, const std::string& aName)
{
  size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const size_t end = aTarget.find('&', at + 1);
    const std::string part = aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.starts_with(aName + "=")) {
      return Decode(part.substr(aName.size() + 1));
    }
    at = end;
  }
  return {};
}

inline std::string Base64(std::string_view aBytes)
{
  static constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      bits = bits << 8 | (i + j < aBytes.size() ? static_cast<uint8_t>(aBytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= aBytes.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

// The platform's metadata store, without faults of its own except stale reads.
class Store
{
public:
  explicit Store(const Endpoint& aAt)
    : mListener(aAt, [this](Connection& aConnection) { Serve(aConnection); })
  {
    std::thread([this] {
      for (;;) {
        Sleep(50);
        ExpireLeases();
      }
    }).detach();
  }

  // A write of the operator. Returns once it is in force, which is its acknowledgement.
  void Put(const std::string& aKey, const std::string& aBytes)
  {
    const std::lock_guard lock(mMutex);
    Change(aKey, Item{ Base64(aBytes), 0, 0, 0 });
  }

  // How old the state is that reads with allow-stale return.
  void SetStaleness(int64_t aMs) { mStaleMs = aMs; }

  // The longest time since a renewal of a lease that lives, in milliseconds.
  int64_t OldestRenewal()
  {
    const std::lock_guard lock(mMutex);
    int64_t oldest = 0;
    for (const auto& [id, lease] : mLeases) {
      const auto age = Clock::now() - (lease.mEnd - lease.mTtl);
      oldest = std::max<int64_t>(oldest, std::chrono::duration_cast<milliseconds>(age).count());
    }
    return oldest;
  }

  // Calls that arrive until then get no response, and their connections return nothing further.
  void SetSilent(int64_t aMs)
  {
    const std::lock_guard lock(mMutex);
    mSilentUntil = Clock::now() + milliseconds(aMs);
  }

private:
  struct Item
  {
    std::string mValue;
    int64_t mRevision = 0;
    int64_t mCreated = 0;
    int64_t mLease = 0;
  };
  struct Event
  {
    Clock::time_point mAt;
    int64_t mRevision;
    std::string mKey;
    std::optional<Item> mItem;
  };
  struct Lease
  {
    milliseconds mTtl;
    Clock::time_point mEnd;
  };

  static Json ToJson(const std::string& aKey, const Item& aItem)
  {
    return { { "key", aKey },
             { "value", aItem.mValue },
             { "revision", aItem.mRevision },
             { "created", aItem.mCreated },
             { "lease", aItem.mLease } };
  }

  void Change(const std::string& aKey, std::optional<Item> aItem, bool aSameRevision = false)
  {
    mRevision += aSameRevision ? 0 : 1;
    if (aItem) {
      const auto found = mItems.find(aKey);
      aItem->mRevision = mRevision;
      aItem->mCreated = found == mItems.end() ? mRevision : found->second.mCreated;
      mItems[aKey] = *aItem;
    } else {
      mItems.erase(aKey);
    }
    mEvents.push_back({ Clock::now(), mRevision, aKey, std::move(aItem) });
    mChanged.notify_all();
  }

  void EndLease(int64_t aLease)
  {
    mLeases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.mLease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Change(key, std::nullopt);
    }
  }

  void ExpireLeases()
  {
    const std::lock_guard lock(mMutex);
    std::vector<int64_t> ended;
    for (const auto& [id, lease] : mLeases) {
      if (lease.mEnd <= Clock::now()) {
        ended.push_back(id);
      }
    }
    for (const int64_t id : ended) {
      EndLease(id);
    }
  }

  void Serve(Connection& aConnection)
  {
    for (;;) {
      Message request;
      if (!aConnection.ReadHead(request) || !aConnection.ReadBody(request)) {
        return;
      }
      if (IsSilent()) {
        while (aConnection.Fill()) {
        }
        return;
      }
      Sleep(4);
      if (!aConnection.Write(Handle(request))) {
        return;
      }
    }
  }

  bool IsSilent()
  {
    const std::lock_guard lock(mMutex);
    return Clock::now() < mSilentUntil;
  }

  std::string Handle(const Message& aRequest)
  {
    const std::string path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
    const Json body = Json::parse(aRequest.mBody, nullptr, false);
    std::unique_lock lock(mMutex);
    if (path == "/kv-key") {
      const auto found = mItems.find(Query(aRequest.mTarget, "key"));
      if (found == mItems.end()) {
        return FormatJson(404, { { "store-revision", mRevision } });
      }
      Json item = ToJson(found->first, found->second);
      item["store-revision"] = mRevision;
      return FormatJson(200, item);
    }
    if (path == "/kv-range") {
      return Range(Query(aRequest.mTarget, "prefix"), Query(aRequest.mTarget, "after"),
                   Query(aRequest.mTarget, "allow-stale") == "1");
    }
    if (path == "/kv-watch") {
      return Watch(lock, Query(aRequest.mTarget, "prefix"),
                   std::atoll(Query(aRequest.mTarget, "after").c_str()),
                   std::atoll(Query(aRequest.mTarget, "wait-ms").c_str()));
    }
    if (path == "/kv-txn") {
      return Transact(body);
    }
    if (path == "/kv-lease") {
      const int64_t id = ++mLastLease;
      const milliseconds ttl(body["ttl-ms"].get<int64_t>());
      mLeases[id] = { ttl, Clock::now() + ttl };
      return FormatJson(200, { { "lease", id }, { "ttl-ms", ttl.count() } });
    }
    const int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto lease = mLeases.find(id);
    if (lease == mLeases.end()) {
      return FormatJson(404, Json::object());
    }
    if (path.starts_with("/kv-keep/")) {
      lease->second.mEnd = Clock::now() + lease->second.mTtl;
      return FormatJson(200, { { "ttl-ms", lease->second.mTtl.count() } });
    }
    EndLease(id);
    return FormatJson(200, Json::object());
  }

  std::string Range(const std::string& aPrefix, const std::string& aAfter, bool aStale)
  {
    int64_t revision = mRevision;
    std::map<std::string, Item> items = mItems;
    if (aStale && mStaleMs > 0) {
      items.clear();
      revision = 0;
      for (const Event& event : mEvents) {
        if (event.mAt > Clock::now() - milliseconds(mStaleMs)) {
          break;
        }
        revision = event.mRevision;
        if (event.mItem) {
          items[event.mKey] = *event.mItem;
        } else {
          items.erase(event.mKey);
        }
      }
    }
    Json rows = Json::array();
    for (const auto& [key, item] : items) {
      if (key.starts_with(aPrefix) && key > aAfter) {
        rows.push_back(ToJson(key, item));
      }
    }
    return FormatJson(200,
                      { { "items", rows }, { "has-more", false }, { "store-revision", revision } });
  }

  std::string Watch(std::unique_lock<std::mutex>& aLock, const std::string& aPrefix, int64_t aAfter,
                    int64_t aWaitMs)
  {
    Json rows = Json::array();
    const auto end = Clock::now() + milliseconds(std::min<int64_t>(aWaitMs, 30000));
    for (;;) {
      for (const Event& event : mEvents) {
        if (event.mRevision > aAfter && event.mKey.starts_with(aPrefix)) {
          rows.push_back(event.mItem
                           ? ToJson(event.mKey, *event.mItem)
                           : Json{ { "key", event.mKey },
                                   { "revision", event.mRevision },
                                   { "deleted", true } });
        }
      }
      if (!rows.empty() || Clock::now() >= end) {
        return FormatJson(200, { { "events", rows }, { "store-revision", mRevision } });
      }
      mChanged.wait_until(aLock, end);
    }
  }

  std::string Transact(const Json& aBody)
  {
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : aBody["expect"]) {
      const auto found = mItems.find(row["key"].get<std::string>());
      const int64_t revision = found == mItems.end() ? 0 : found->second.mRevision;
      holds = holds && revision == row["revision"].get<int64_t>();
      if (found != mItems.end()) {
        current.push_back(ToJson(found->first, found->second));
      }
    }
    if (!holds) {
      return FormatJson(412, { { "items", current }, { "store-revision", mRevision } });
    }
    for (const Json& put : aBody["puts"]) {
      const int64_t lease = put.value("lease", int64_t{ 0 });
      if (lease != 0 && !mLeases.contains(lease)) {
        return FormatJson(404, Json::object());
      }
    }
    bool same = false;
    for (const Json& put : aBody["puts"]) {
      Change(put["key"], Item{ put["value"], 0, 0, put.value("lease", int64_t{ 0 }) },
             std::exchange(same, true));
    }
    for (const Json& key : aBody["deletes"]) {
      Change(key, std::nullopt, std::exchange(same, true));
    }
    return FormatJson(200, { { "revision", mRevision } });
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  int64_t mRevision = 100;
  std::map<std::string, Item> mItems;
  std::vector<Event> mEvents;
  std::map<int64_t, Lease> mLeases;
  int64_t mLastLease = 7000;
  std::atomic<int64_t> mStaleMs = 0;
  Clock::time_point mSilentUntil{};
  Listener mListener;
};

struct Machine
{
  std::string mName;
  std::string mIp;
  std::string mService;
  std::string mZone = "daejeon-a";
  int mMemoryMb = 260;
  pid_t mProcess = 0;
  int mStarts = 0;
};

// The small deployment of a script: addresses, the store, and the node processes.
class Deployment
{
public:
  Deployment(std::string aRoot, std::string aFolder, Record& aRecord)
    : mRoot(std::move(aRoot))
    , mFolder(std::move(aFolder))
    , mRecord(aRecord)
    , mRandom(std::random_device()())
  {
    signal(SIGPIPE, SIG_IGN);
    const int second = 1 + static_cast<int>(mRandom() % 250);
    const int third = static_cast<int>(mRandom() % 250);
    mNet = "127." + std::to_string(second) + "." + std::to_string(third) + ".";
    for (int attempt = 0; attempt < 200; ++attempt) {
      mBase = static_cast<uint16_t>(20000 + mRandom() % 12000);
      if (PortsAreFree()) {
        break;
      }
    }
    mStore = std::make_unique<Store>(StoreAddress());
  }

  ~Deployment() { StopAll(); }

  Endpoint StoreAddress() const { return { mNet + "250", static_cast<uint16_t>(mBase + 9) }; }
  Endpoint Inbound(const Machine& aMachine) const { return At(aMachine, 0); }
  Endpoint App(const Machine& aMachine) const { return At(aMachine, 1); }
  Endpoint Ready(const Machine& aMachine) const { return At(aMachine, 2); }
  Endpoint Outbound(const Machine& aMachine) const { return At(aMachine, 4); }
  Endpoint Control(const Machine& aMachine) const { return At(aMachine, 6); }
  Store& Kv() { return *mStore; }

  Machine& Add(const std::string& aName, const std::string& aService, int aMemoryMb = 260)
  {
    mMachines.push_back(std::make_unique<Machine>());
    Machine& machine = *mMachines.back();
    machine.mName = aName;
    machine.mService = aService;
    machine.mMemoryMb = aMemoryMb;
    machine.mIp = mNet + std::to_string(mMachines.size());
    return machine;
  }
  const std::vector<std::unique_ptr<Machine>>& Machines() const { return mMachines; }

  // Starts the node with the command and the template of the deploy file.
  void Start(Machine& aMachine)
  {
    const std::string settings =
      mFolder + "/" + aMachine.mName + ".json";
    std::ofstream(settings) << Fill(aMachine);
    const std::string log = mFolder + "/" + aMachine.mName + ".log";
    const char* const program = "target/platform/balsammount-platformd";
    const pid_t process = fork();
    if (process == 0) {
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (chdir(mRoot.c_str()) != 0) {
        _exit(127);
      }
      const std::string config = "BALSAMMOUNT_CONFIG=" + settings;
      const char* const environment[] = { "LANG=C", config.c_str(), nullptr };
      execle(program, program, "--settings", settings.c_str(), nullptr, environment);
      _exit(127);
    }
    aMachine.mProcess = process;
    ++aMachine.mStarts;
    mRecord.Line("platform: started the node of " + aMachine.mName + " (" + aMachine.mService + ")");
  }

  void Signal(Machine& aMachine, int aSignal)
  {
    kill(aMachine.mProcess, aSignal);
    mRecord.Line("platform: sent signal " + std::to_string(aSignal) + " to the node of " +
                 aMachine.mName);
  }

  // Waits for the end of the process. Returns its wait status, or nullopt if it still runs.
  std::optional<int> Wait(Machine& aMachine, int64_t aMs)
  {
    const auto end = Clock::now() + milliseconds(aMs);
    for (;;) {
      int status = 0;
      if (waitpid(aMachine.mProcess, &status, WNOHANG) == aMachine.mProcess) {
        aMachine.mProcess = 0;
        mRecord.Line("platform: the node of " + aMachine.mName + " has ended, " +
                     (WIFEXITED(status) ? "exit code " + std::to_string(WEXITSTATUS(status))
                                        : "signal " + std::to_string(WTERMSIG(status))));
        return status;
      }
      if (Clock::now() >= end) {
        return std::nullopt;
      }
      Sleep(5);
    }
  }

  bool IsReady(const Machine& aMachine) const
  {
    const auto response = Call(Ready(aMachine), { "GET", "/ready", 0, { { "Host", "ready" } }, {} });
    return response && response->mStatus == 200;
  }

  // Waits until all nodes answer that they are ready.
  bool WaitReady(int64_t aMs)
  {
    const auto end = Clock::now() + milliseconds(aMs);
    for (;;) {
      const bool ready = std::all_of(mMachines.begin(), mMachines.end(),
                                     [this](const auto& aOne) { return IsReady(*aOne); });
      if (ready) {
        mRecord.Line("platform: all nodes are ready");
        return true;
      }
      if (Clock::now() >= end) {
        return false;
      }
      Sleep(100);
    }
  }

  // Resident memory in bytes.
  static int64_t Memory(const Machine& aMachine)
  {
    std::ifstream file("/proc/" + std::to_string(aMachine.mProcess) + "/statm");
    int64_t total = 0;
    int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
  }

  void StopAll()
  {
    for (const auto& machine : mMachines) {
      if (machine->mProcess > 0) {
        kill(machine->mProcess, SIGKILL);
        waitpid(machine->mProcess, nullptr, 0);
        machine->mProcess = 0;
      }
    }
  }

private:
  Endpoint At(const Machine& aMachine, int aOffset) const
  {
    return { aMachine.mIp, static_cast<uint16_t>(mBase + aOffset) };
  }

  bool PortsAreFree() const
  {
    for (int offset = 0; offset < 40; ++offset) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in address =
        Endpoint{ "0.0.0.0", static_cast<uint16_t>(mBase + offset) }.Address();
      const bool free =
        bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
      close(fd);
      if (!free) {
        return false;
      }
    }
    return true;
  }

  Json Settings(const Machine& aMachine) const
  {
    Json document;
    document["node-id"] = "sidecar-" + aMachine.mName;
    document["service"] = aMachine.mService;
    document["zone"] = aMachine.mZone;
    document["region"] = "kr-central";
    document["ip"] = aMachine.mIp;
    document["listen"] = { { "inbound", Inbound(aMachine).Text() },
                           { "outbound", Outbound(aMachine).Text() },
                           { "ready", Ready(aMachine).Text() },
                           { "control", Control(aMachine).Text() } };
    document["internal-port-range"] = { mBase + 20, mBase + 35 };
    document["app-addr"] = App(aMachine).Text();
    document["platform"] = { { "address", StoreAddress().Text() } };
    document["limits"] = { { "memory-mb", aMachine.mMemoryMb } };
    document["bounds"] = { { "budget-ratio", 0.2 }, { "budget-slack", 48 }, { "grace-s", 6 } };
    return document;
  }

  // Fills in deploy/node.json.
  std::string Fill(const Machine& aMachine) const
  {
    std::ifstream file(mRoot + "/deploy/node.json");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const Json settings = Settings(aMachine);
    size_t at = 0;
    while ((at = text.find("{{", at)) != std::string::npos) {
      const size_t end = text.find("}}", at);
      std::string name = text.substr(at + 2, end - at - 2);
      const bool asJson = name.ends_with("|json");
      if (asJson) {
        name.resize(name.size() - 5);
      }
      const Json* value = &settings;
      std::istringstream parts(name);
      std::string part;
      while (std::getline(parts, part, '.')) {
        value = value->is_array() ? &value->at(std::stoul(part)) : &value->at(part);
      }
      const std::string filled =
        !asJson && value->is_string() ? value->get<std::string>() : value->dump();
      text.replace(at, end + 2 - at, filled);
      at += filled.size();
    }
    return text;
  }

  std::string mRoot;
  std::string mFolder;
  Record& mRecord;
  std::mt19937 mRandom;
  std::string mNet;
  uint16_t mBase = 0;
  std::unique_ptr<Store> mStore;
  std::vector<std::unique_ptr<Machine>> mMachines;
};

// A backend server: sends heartbeats to its node and runs requests with a function of the script.
class Server
{
public:
  using Run = std::function<void(Connection&, const Message&)>;

  Server(Deployment& aDeployment, const Machine& aMachine, std::string aId, Record& aRecord,
         Run aRun, int aSlots = 54, int64_t aFirstBeatMs = 0)
    : mControl(aDeployment.Control(aMachine))
    , mAddress(aDeployment.App(aMachine).Text())
    , mService(aMachine.mService)
    , mZone(aMachine.mZone)
    , mId(std::move(aId))
    , mBorn(UnixMs())
    , mSlots(aSlots)
    , mRecord(aRecord)
    , mRun(std::move(aRun))
    , mListener(aDeployment.App(aMachine), [this](Connection& aConnection) { Serve(aConnection); })
  {
    std::thread([this, aFirstBeatMs] {
      Sleep(aFirstBeatMs);
      for (; !mSilent;) {
        Beat();
        Sleep(1500);
      }
    }).detach();
  }

  const std::string& Id() const { return mId; }
  std::string BeatBody(const std::string& aState)
  {
    return Json{ { "address", mAddress },
                 { "born", mBorn },
                 { "info",
                   { { "service", mService },
                     { "version", "v1" },
                     { "zone", mZone },
                     { "slots", mSlots } } },
                 { "status",
                   { { "state", aState }, { "sequence", ++mSequence }, { "cold-left-ms", 0 } } } }
      .dump();
  }
  bool Post(const std::string& aCall, const std::string& aBody)
  {
    const auto response =
      Call(mControl, { "POST",
                       "/instances/" + mId + "/" + aCall,
                       0,
                       { { "Host", mControl.Text() }, { "Content-Type", "application/json" } },
                       aBody });
    return response && response->mStatus / 100 == 2;
  }
  void Beat() { Post("heartbeat", BeatBody("ready")); }
  // Ends the heartbeats, as a server that deregisters does.
  void StopBeats() { mSilent = true; }
  // Ends the server without notice. The object has to stay.
  void End()
  {
    mSilent = true;
    mListener.End();
  }
  int64_t Born() const { return mBorn; }

  // Refuses a request for another server. Returns whether it did.
  bool RefuseForeign(Connection& aConnection, const Message& aRequest)
  {
    const std::string expected = aRequest.Find("Expect-Instance");
    if (expected.empty() || expected == mId) {
      return false;
    }
    aConnection.Write(FormatResponse(421, "", { { "Not-Executed", "1" },
                                                { "Request-Id", aRequest.Find("Request-Id") },
                                                { "Instance-Id", mId } }));
    return true;
  }

private:
  void Serve(Connection& aConnection)
  {
    for (;;) {
      Message request;
      if (!aConnection.ReadHead(request)) {
        return;
      }
      if (request.mTarget == "/healthz") {
        aConnection.Write(FormatResponse(200, "", { { "Instance-Id", mId } }));
        continue;
      }
      if (RefuseForeign(aConnection, request)) {
        return;
      }
      mRun(aConnection, request);
      if (aConnection.Socket() < 0) {
        return;
      }
    }
  }

  Endpoint mControl;
  std::string mAddress;
  std::string mService;
  std::string mZone;
  std::string mId;
  int64_t mBorn;
  int mSlots;
  Record& mRecord;
  Run mRun;
  std::atomic<int64_t> mSequence = 0;
  std::atomic<bool> mSilent = false;
  Listener mListener;
};

inline std::string Stamp(const std::string& aId)
{
  return "stamp." + aId;
}

inline std::string NewId()
{
  static std::mutex sMutex;
  static std::mt19937_64 sRandom{ std::random_device()() };
  const std::lock_guard lock(sMutex);
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(sRandom()));
  return text;
}

struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  std::string mKind;
  int mTimeoutMs;
  int mTargetMs;
  int mPriority;
  std::string mService;
};

// The operator's configuration, as it lies under op/config.
inline std::string OperatorConfig(int aVersion, const std::vector<Route>& aRoutes,
                                  const std::vector<std::string>& aServices)
{
  Json routes = Json::array();
  for (const Route& route : aRoutes) {
    routes.push_back({ route.mName, route.mHost, route.mPrefix, route.mKind, route.mTimeoutMs,
                       route.mTargetMs, route.mPriority, route.mService, 2, nullptr });
  }
  Json services = Json::array();
  for (const std::string& service : aServices) {
    services.push_back({ service, "/healthz", 424, "h1", false });
  }
  return Json{ { "version", aVersion },
               { "routes",
                 { { "columns",
                     { "name", "host", "prefix", "kind", "timeout-ms", "target-latency-ms",
                       "priority", "service", "max-attempts", "split" } },
                   { "rows", routes } } },
               { "services",
                 { { "columns", { "name", "health-path", "max-conns", "protocol", "tls" } },
                   { "rows", services } } },
               { "limits",
                 { { "max-header-bytes", 16384 },
                   { "max-body-bytes", 67108864 },
                   { "header-timeout-ms", 3000 },
                   { "idle-timeout-ms", 15000 } } } }
    .dump();
}

struct Arguments
{
  std::string mRoot;
  std::string mCase;
  std::string mFolder;
  bool mTrouble = true;
};

// Usage: PROGRAM ROOT CASE_FOLDER TEMPORARY_FOLDER
inline Arguments ReadArguments(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::fprintf(stderr, "usage: %s ROOT CASE_FOLDER TEMPORARY_FOLDER\n", aArguments[0]);
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  return { aArguments[1], aArguments[2], aArguments[3], !trouble || std::string(trouble) != "0" };
}

} // namespace standin
