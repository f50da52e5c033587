#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const SteadyTime sStart = std::chrono::steady_clock::now();
std::mutex sRecordMutex;
std::ofstream sRecord;
std::string sTemporary;
std::mutex sChildrenMutex;
std::set<pid_t> sChildren;

constexpr double kLongestCase = 110;
// Segments as on an Ethernet. With those of the loopback device the kernel buffers megabytes.
constexpr int kSegmentBytes = 1400;

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), [](char aA, char aB) {
           return std::tolower(static_cast<unsigned char>(aA)) ==
                  std::tolower(static_cast<unsigned char>(aB));
         });
}

sockaddr_in AddressOf(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    Finish(kCouldNotRun, "cannot read " + aPath);
  }
  return { std::istreambuf_iterator<char>(file), {} };
}

// Returns the value of a quoted key of deploy/system.toml.
std::string DeployValue(const std::string& aKey)
{
  std::istringstream text(ReadFile("deploy/system.toml"));
  for (std::string line; std::getline(text, line);) {
    if (line.rfind(aKey + " = \"", 0) == 0) {
      const size_t start = aKey.size() + 4;
      return line.substr(start, line.find('"', start) - start);
    }
  }
  Finish(kCouldNotRun, "deploy/system.toml lacks " + aKey);
}

std::string PercentDecode(std::string_view aText)
{
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(std::string(aText.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

} // namespace

double Now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - sStart).count();
}

void SleepFor(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

void SleepUntil(double aTime)
{
  if (aTime > Now()) {
    SleepFor(aTime - Now());
  }
}

uint64_t UnixMs()
{
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count());
}

bool WithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return !value || std::string_view(value) != "0";
}

void Record(const std::string& aLine)
{
  const std::lock_guard lock(sRecordMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ", Now());
  sRecord << time << aLine << std::endl;
  std::cout << time << aLine << std::endl;
}

void Finish(int aCode, const std::string& aReason)
{
  Record(aReason);
  {
    const std::lock_guard lock(sChildrenMutex);
    for (const pid_t child : sChildren) {
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
    sChildren.clear();
  }
  if (!sTemporary.empty()) {
    const std::string command = "rm -rf '" + sTemporary + "'";
    if (std::system(command.c_str()) != 0) {
      std::cerr << "cannot remove the temporary folder\n";
    }
  }
  std::cout.flush();
  // Threads still run; destructors of static objects would race with them.
  std::_Exit(aCode);
}

void BeginCase(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: case FOLDER\n";
    std::_Exit(kCouldNotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  sRecord.open(std::string(aArguments[1]) + "/record.txt");
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!sRecord || !mkdtemp(pattern.data())) {
    std::cerr << "cannot create files\n";
    std::_Exit(kCouldNotRun);
  }
  sTemporary = pattern;
  std::thread([] {
    SleepUntil(kLongestCase);
    Finish(kCouldNotRun, "the case took too long");
  }).detach();
  Record(WithTrouble() ? "with the disruption" : "without the disruption");
}

std::string NewId()
{
  static std::mutex sMutex;
  static std::mt19937_64 sEngine{ std::random_device{}() };
  const std::lock_guard lock(sMutex);
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(sEngine()));
  return text;
}

uint16_t FreePort()
{
  static std::set<uint16_t> sUsed;
  for (;;) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = AddressOf(0);
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      Finish(kCouldNotRun, "no free port");
    }
    close(fd);
    const uint16_t port = ntohs(address.sin_port);
    if (sUsed.insert(port).second) {
      return port;
    }
  }
}

std::string Loopback(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// Messages and connections.

std::string Message::Header(std::string_view aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (EqualsIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

std::string Message::Method() const
{
  return mStartLine.substr(0, mStartLine.find(' '));
}

std::string Message::Target() const
{
  const size_t start = mStartLine.find(' ') + 1;
  return mStartLine.substr(start, mStartLine.find(' ', start) - start);
}

int Message::Status() const
{
  return std::atoi(mStartLine.substr(mStartLine.find(' ') + 1, 3).c_str());
}

std::unique_ptr<Connection> Connection::Open(uint16_t aPort, int aReceiveBuffer)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
  sockaddr_in address = AddressOf(aPort);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

bool Connection::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count = send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

ssize_t Connection::ReadSome(char* aBuffer, size_t aMost)
{
  if (!mBuffer.empty()) {
    const size_t count = std::min(aMost, mBuffer.size());
    std::memcpy(aBuffer, mBuffer.data(), count);
    mBuffer.erase(0, count);
    return static_cast<ssize_t>(count);
  }
  for (;;) {
    const ssize_t count = recv(mSocket, aBuffer, aMost, 0);
    if (count >= 0 || errno != EINTR) {
      return count;
    }
  }
}

bool Connection::Fill()
{
  char bytes[65536];
  for (;;) {
    const ssize_t count = recv(mSocket, bytes, sizeof(bytes), 0);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<size_t>(count));
    return true;
  }
}

bool Connection::ReadHead(Message& aMessage)
{
  aMessage = {};
  size_t end = 0;
  while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  std::istringstream head(mBuffer.substr(0, end + 2));
  mBuffer.erase(0, end + 4);
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (aMessage.mStartLine.empty()) {
      aMessage.mStartLine = line;
      continue;
    }
    const size_t colon = line.find(':');
    const size_t value = line.find_first_not_of(' ', colon + 1);
    aMessage.mHeaders.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
  }
  return true;
}

bool Connection::ReadBody(Message& aMessage, bool aKeep)
{
  size_t left = std::strtoull(aMessage.Header("Content-Length").c_str(), nullptr, 10);
  while (left > 0) {
    if (mBuffer.empty() && !Fill()) {
      return false;
    }
    const size_t count = std::min(left, mBuffer.size());
    if (aKeep) {
      aMessage.mBody.append(mBuffer, 0, count);
    }
    mBuffer.erase(0, count);
    left -= count;
  }
  return true;
}

void Connection::SetTimeout(double aSeconds)
{
  timeval time{};
  time.tv_sec = static_cast<time_t>(aSeconds);
  time.tv_usec = static_cast<suseconds_t>((aSeconds - static_cast<double>(time.tv_sec)) * 1e6);
  setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

void Connection::Close()
{
  if (mSocket >= 0) {
    close(mSocket);
    mSocket = -1;
  }
}

void Connection::Reset()
{
  const linger discard{ 1, 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  Close();
}

Listener::Listener(uint16_t aPort, ConnectionHandler aHandler, int aReceiveBuffer)
  : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (aReceiveBuffer > 0) {
    // Accepted connections inherit it.
    setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  setsockopt(mSocket, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
  sockaddr_in address = AddressOf(aPort);
  if (bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(mSocket, 1024) != 0) {
    Finish(kCouldNotRun, "cannot listen on port " + std::to_string(aPort));
  }
  mThread = std::thread([this, handler = std::move(aHandler)] {
    while (!mStopped) {
      const int fd = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) {
          continue;
        }
        return;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([handler, fd] {
        Connection connection(fd);
        handler(connection);
      }).detach();
    }
  });
}

Listener::~Listener()
{
  Stop();
}

void Listener::Stop()
{
  if (!mStopped.exchange(true)) {
    shutdown(mSocket, SHUT_RDWR);
    mThread.join();
    close(mSocket);
  }
}

std::string MakeResponse(int aStatus, const std::string& aBody,
                         const std::vector<std::pair<std::string, std::string>>& aHeaders)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string MakeRequest(const std::string& aMethod, const std::string& aTarget,
                        const std::vector<std::pair<std::string, std::string>>& aHeaders,
                        const std::string& aBody)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod == "POST" || aMethod == "PUT") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

// The store.

std::string EncodeBase64(std::string_view aBytes)
{
  static constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, aBytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (j < count ? static_cast<unsigned char>(aBytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

Store::Store(double aStaleness)
  : mStaleness(aStaleness)
  , mPort(FreePort())
{
  mListener =
    std::make_unique<Listener>(mPort, [this](Connection& aConnection) { Serve(aConnection); });
  std::thread([this] {
    for (;;) {
      SleepFor(0.02);
      ExpireLeases();
    }
  }).detach();
}

void Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  ++mRevision;
  Write(aKey, Item{ EncodeBase64(aValue), mRevision, mRevision, 0 });
}

// Records a change that has the current revision.
void Store::Write(const std::string& aKey, std::optional<Item> aItem)
{
  if (aItem) {
    mItems[aKey] = *aItem;
  } else {
    mItems.erase(aKey);
  }
  mEvents.push_back({ aKey, std::move(aItem), mRevision, Now() });
  mChanged.notify_all();
}

void Store::ExpireLeases()
{
  const std::lock_guard lock(mMutex);
  for (auto lease = mLeases.begin(); lease != mLeases.end();) {
    if (lease->second.mExpires > Now()) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.mLease == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      ++mRevision;
      Write(key, std::nullopt);
    }
    lease = mLeases.erase(lease);
  }
}

Json Store::ToJson(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", aItem.mValue },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreated },
           { "lease", aItem.mLease } };
}

void Store::Serve(Connection& aConnection)
{
  Message request;
  bool isLost = false;
  while (aConnection.Read(request)) {
    isLost = isLost || mSilent;
    if (isLost) {
      continue;
    }
    SleepFor(0.004);
    std::string answer;
    try {
      answer = Answer(request);
    } catch (const std::exception& error) {
      answer = MakeResponse(400, Json{ { "error", error.what() } }.dump());
    }
    // A response that is due while the store is silent is lost as well.
    isLost = mSilent;
    if (!isLost && !aConnection.Send(answer)) {
      return;
    }
  }
}

std::string Store::Answer(const Message& aRequest)
{
  const std::string target = aRequest.Target();
  const size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  Query query;
  if (mark != std::string::npos) {
    std::istringstream fields(target.substr(mark + 1));
    for (std::string field; std::getline(fields, field, '&');) {
      const size_t equals = field.find('=');
      query[field.substr(0, equals)] =
        equals == std::string::npos ? "" : PercentDecode(field.substr(equals + 1));
    }
  }
  if (path == "/kv-key") {
    return Get(query);
  }
  if (path == "/kv-range") {
    return Range(query);
  }
  if (path == "/kv-watch") {
    return Watch(query);
  }
  const Json body = aRequest.mBody.empty() ? Json::object() : Json::parse(aRequest.mBody);
  if (path == "/kv-txn") {
    return Transact(body);
  }
  if (path == "/kv-lease") {
    return Grant(body);
  }
  const std::lock_guard lock(mMutex);
  const auto lease = mLeases.find(std::atoll(path.substr(path.rfind('/') + 1).c_str()));
  if (lease == mLeases.end()) {
    return MakeResponse(404, "{}");
  }
  if (path.rfind("/kv-keep/", 0) == 0) {
    lease->second.mExpires = Now() + static_cast<double>(lease->second.mTtlMs) / 1000;
    return MakeResponse(200, Json{ { "ttl-ms", lease->second.mTtlMs } }.dump());
  }
  if (path.rfind("/kv-lease-end/", 0) == 0) {
    lease->second.mExpires = Now();
    return MakeResponse(200, "{}");
  }
  return MakeResponse(404, "{}");
}

std::string Store::Get(const Query& aQuery)
{
  const std::lock_guard lock(mMutex);
  const auto item = mItems.find(aQuery.at("key"));
  if (item == mItems.end()) {
    return MakeResponse(404, Json{ { "store-revision", mRevision } }.dump());
  }
  Json body = ToJson(item->first, item->second);
  body["store-revision"] = mRevision;
  return MakeResponse(200, body.dump());
}

std::string Store::Range(const Query& aQuery)
{
  const std::lock_guard lock(mMutex);
  Items items = mItems;
  int64_t revision = mRevision;
  if (mStaleness > 0 && aQuery.count("allow-stale") > 0) {
    items.clear();
    revision = 100;
    for (const Event& event : mEvents) {
      if (event.mAt > Now() - mStaleness) {
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
  const std::string& prefix = aQuery.at("prefix");
  const auto after = aQuery.find("after");
  Json list = Json::array();
  for (const auto& [key, item] : items) {
    if (key.rfind(prefix, 0) == 0 && (after == aQuery.end() || key > after->second)) {
      list.push_back(ToJson(key, item));
    }
  }
  return MakeResponse(
    200, Json{ { "items", list }, { "has-more", false }, { "store-revision", revision } }.dump());
}

std::string Store::Watch(const Query& aQuery)
{
  const std::string& prefix = aQuery.at("prefix");
  const int64_t after = std::stoll(aQuery.at("after"));
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(aQuery.at("wait-ms")));
  std::unique_lock lock(mMutex);
  for (;;) {
    Json events = Json::array();
    for (const Event& event : mEvents) {
      if (event.mRevision <= after || event.mKey.rfind(prefix, 0) != 0) {
        continue;
      }
      if (event.mItem) {
        events.push_back(ToJson(event.mKey, *event.mItem));
      } else {
        events.push_back(
          { { "key", event.mKey }, { "revision", event.mRevision }, { "deleted", true } });
      }
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      return MakeResponse(200,
                          Json{ { "events", events }, { "store-revision", mRevision } }.dump());
    }
    mChanged.wait_until(lock, end);
  }
}

std::string Store::Transact(const Json& aBody)
{
  const std::lock_guard lock(mMutex);
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : aBody.at("expect")) {
    const std::string key = row.at("key");
    const auto item = mItems.find(key);
    holds = holds && row.at("revision").get<int64_t>() ==
                       (item == mItems.end() ? 0 : item->second.mRevision);
    if (item != mItems.end()) {
      current.push_back(ToJson(key, item->second));
    }
  }
  if (!holds) {
    return MakeResponse(412, Json{ { "items", current } }.dump());
  }
  for (const Json& put : aBody.at("puts")) {
    const int64_t lease = put.value("lease", int64_t{ 0 });
    if (lease != 0 && mLeases.count(lease) == 0) {
      return MakeResponse(404, "{}");
    }
  }
  ++mRevision;
  for (const Json& put : aBody.at("puts")) {
    const std::string key = put.at("key");
    const auto old = mItems.find(key);
    const int64_t created = old == mItems.end() ? mRevision : old->second.mCreated;
    Write(key, Item{ put.at("value"), mRevision, created, put.value("lease", int64_t{ 0 }) });
  }
  for (const Json& key : aBody.at("deletes")) {
    Write(key, std::nullopt);
  }
  return MakeResponse(200, Json{ { "revision", mRevision } }.dump());
}

std::string Store::Grant(const Json& aBody)
{
  const std::lock_guard lock(mMutex);
  const int64_t id = mNextLease++;
  const int64_t ttl = aBody.at("ttl-ms");
  mLeases[id] = { ttl, Now() + static_cast<double>(ttl) / 1000 };
  return MakeResponse(200, Json{ { "lease", id }, { "ttl-ms", ttl } }.dump());
}

std::string MakeConfig(uint64_t aVersion, const std::vector<Route>& aRoutes,
                       const std::vector<std::string>& aServices)
{
  Json rows = Json::array();
  for (const Route& route : aRoutes) {
    rows.push_back({ route.mName, route.mHost, route.mPrefix,
                     route.mIdempotent ? "idempotent" : "non_idempotent", route.mTimeoutMs,
                     route.mTimeoutMs, 1, route.mService, route.mMaxAttempts, nullptr });
  }
  Json services = Json::array();
  for (const std::string& name : aServices) {
    services.push_back({ name, "/healthz", 424, "h1", false });
  }
  return Json{
    { "version", aVersion },
    { "routes",
      { { "columns",
          { "name", "host", "prefix", "kind", "timeout-ms", "target-latency-ms", "priority",
            "service", "max-attempts", "split" } },
        { "rows", rows } } },
    { "services",
      { { "columns", { "name", "health-path", "max-conns", "protocol", "tls" } },
        { "rows", services } } },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 67108864 },
        { "header-timeout-ms", 3000 },
        { "idle-timeout-ms", 15000 } } }
  }.dump();
}

// Nodes.

Node::Node(std::string aName, std::string aService, std::string aZone, uint16_t aStorePort)
  : mName(std::move(aName))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mStorePort(aStorePort)
  , mSettings(sTemporary + "/" + mName + ".json")
{
  const std::map<std::string, std::string> values = {
    { "node-id|json", Json(mName).dump() },
    { "service|json", Json(mService).dump() },
    { "zone|json", Json(mZone).dump() },
    { "region|json", "\"kr-central\"" },
    { "listen.outbound|json", Json(Loopback(mOutbound)).dump() },
    { "listen.inbound|json", Json(Loopback(mInbound)).dump() },
    { "listen.ready|json", Json(Loopback(mReady)).dump() },
    { "listen.control|json", Json(Loopback(mControl)).dump() },
    { "ip", "127.0.0.1" },
    { "internal-port-range.0", std::to_string(mInternalFirst) },
    { "internal-port-range.1", std::to_string(mInternalLast) },
    { "app-addr|json", Json(Loopback(mApp)).dump() },
    { "platform.address|json", Json(Loopback(mStorePort)).dump() },
    { "bounds.budget-ratio|json", "0.2" },
    { "bounds.budget-slack|json", "48" },
    { "bounds.grace-s|json", std::to_string(kGraceSeconds) },
    { "limits.memory-mb|json", std::to_string(kMemoryMb) },
  };
  std::string text = ReadFile(DeployValue("template"));
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (size_t at = 0; (at = text.find(placeholder, at)) != std::string::npos;) {
      text.replace(at, placeholder.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos) {
    Finish(kCouldNotRun, "the template has an unknown placeholder");
  }
  std::ofstream(mSettings) << text;
}

void Node::Start()
{
  std::istringstream command(DeployValue("run"));
  std::vector<std::string> words;
  for (std::string word; command >> word;) {
    words.push_back(word == "/etc/balsammount/boot.yaml" ? mSettings : word);
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  if (access(arguments[0], X_OK) != 0) {
    Finish(kCouldNotRun, "the program is not built: " + words[0]);
  }
  const std::string log = sTemporary + "/" + mName + ".log";
  const pid_t parent = getpid();
  const std::lock_guard lock(sChildrenMutex);
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(kCouldNotRun);
    }
    if (!std::freopen(log.c_str(), "a", stdout) || dup2(fileno(stdout), STDERR_FILENO) < 0) {
      _exit(kCouldNotRun);
    }
    setenv("BALSAMMOUNT_CONFIG", mSettings.c_str(), 1);
    std::signal(SIGPIPE, SIG_DFL);
    execv(arguments[0], arguments.data());
    _exit(kCouldNotRun);
  }
  sChildren.insert(mPid);
}

void Node::Signal(int aSignal)
{
  if (mPid > 0) {
    kill(mPid, aSignal);
  }
}

void Node::Kill()
{
  const std::lock_guard lock(sChildrenMutex);
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    sChildren.erase(mPid);
    mPid = 0;
  }
}

bool Node::HasEnded(std::string* aHow)
{
  const std::lock_guard lock(sChildrenMutex);
  int status = 0;
  if (mPid <= 0) {
    return true;
  }
  if (waitpid(mPid, &status, WNOHANG) != mPid) {
    return false;
  }
  sChildren.erase(mPid);
  mPid = 0;
  if (aHow) {
    *aHow = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit code " + std::to_string(WEXITSTATUS(status));
  }
  return true;
}

bool Node::IsReady() const
{
  const auto connection = Connection::Open(mReady);
  if (!connection) {
    return false;
  }
  connection->SetTimeout(1);
  Message answer;
  return connection->Send(MakeRequest("GET", "/ready", { { "Host", "ready" } })) &&
         connection->Read(answer) && answer.Status() == 200;
}

void Node::WaitUntilReady(double aTimeout)
{
  const double end = Now() + aTimeout;
  while (!IsReady()) {
    if (Now() > end) {
      Finish(kCouldNotRun, mName + " did not become ready");
    }
    SleepFor(0.05);
  }
}

uint64_t Node::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(mPid) + "/statm");
  uint64_t total = 0;
  uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

// Backend servers.

namespace {

bool Post(uint16_t aPort, const std::string& aTarget, const Json& aBody)
{
  const auto connection = Connection::Open(aPort);
  if (!connection) {
    return false;
  }
  connection->SetTimeout(1);
  Message answer;
  return connection->Send(MakeRequest(
           "POST", aTarget, { { "Host", "control" }, { "Content-Type", "application/json" } },
           aBody.dump())) &&
         connection->Read(answer) && answer.Status() / 100 == 2;
}

} // namespace

bool SendHeartbeat(uint16_t aControlPort, const Heartbeat& aHeartbeat)
{
  return Post(aControlPort, "/instances/" + aHeartbeat.mId + "/heartbeat",
              { { "address", aHeartbeat.mAddress },
                { "born", aHeartbeat.mBorn },
                { "info",
                  { { "service", aHeartbeat.mService },
                    { "version", "v1" },
                    { "zone", aHeartbeat.mZone },
                    { "slots", aHeartbeat.mSlots } } },
                { "status",
                  { { "state", aHeartbeat.mState },
                    { "sequence", aHeartbeat.mSequence },
                    { "cold-left-ms", 0 } } } });
}

bool SendDeregister(uint16_t aControlPort, const std::string& aId, uint64_t aBorn)
{
  return Post(aControlPort, "/instances/" + aId + "/deregister", { { "born", aBorn } });
}

Server::Server(Node& aNode, std::string aId, int aSlots, Handler aHandler, int aReceiveBuffer)
  : mNode(aNode)
  , mId(std::move(aId))
  , mSlots(aSlots)
  , mHandler(std::move(aHandler))
{
  mListener = std::make_unique<Listener>(
    aNode.AppPort(), [this](Connection& aConnection) { Serve(aConnection); }, aReceiveBuffer);
}

Server::~Server()
{
  mBeating = false;
  mListener->Stop();
}

Heartbeat Server::NextHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.mId = mId;
  heartbeat.mService = mNode.Service();
  heartbeat.mAddress = Loopback(mNode.AppPort());
  heartbeat.mZone = mNode.Zone();
  heartbeat.mBorn = mBorn;
  heartbeat.mSequence = ++mSequence;
  heartbeat.mSlots = mSlots;
  return heartbeat;
}

void Server::StartHeartbeats()
{
  mBeating = true;
  std::thread([this] {
    while (mBeating) {
      SendHeartbeat(mNode.ControlPort(), NextHeartbeat());
      SleepFor(kHeartbeatMs / 1000.0);
    }
  }).detach();
}

void Server::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.ReadHead(request)) {
    if (mReadBodies && !aConnection.ReadBody(request)) {
      return;
    }
    const std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != mId) {
      if (!aConnection.Send(MakeResponse(
            421, "", { { "Instance-Id", mId }, { "Request-Id", request.Header("Request-Id") } }))) {
        return;
      }
      continue;
    }
    if (!mHandler(*this, aConnection, request)) {
      return;
    }
  }
}

std::vector<std::pair<std::string, std::string>> AnswerHeaders(const Message& aRequest,
                                                               const std::string& aBody)
{
  const std::string id = aRequest.Header("Request-Id");
  return { { "Request-Id", id },
           { "Server-Stamp", std::to_string(std::hash<std::string>()(id + aBody)) },
           { "Keep-Alive", "timeout=10" } };
}

std::optional<Message> Call(uint16_t aOutboundPort, const std::string& aMethod,
                            const std::string& aHost, const std::string& aTarget,
                            const std::string& aId, int aDeadlineMs, const std::string& aBody)
{
  const auto connection = Connection::Open(aOutboundPort);
  if (!connection) {
    return std::nullopt;
  }
  connection->SetTimeout(aDeadlineMs / 1000.0);
  Message answer;
  if (!connection->Send(MakeRequest(aMethod, aTarget,
                                    { { "Host", aHost },
                                      { "Request-Id", aId },
                                      { "Deadline-Ms", std::to_string(aDeadlineMs) } },
                                    aBody)) ||
      !connection->Read(answer)) {
    return std::nullopt;
  }
  return answer;
}

} // namespace review
