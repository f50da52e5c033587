#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

namespace lab {

namespace {

std::mutex gRecordMutex;
std::ofstream gRecord;
const auto gStart = std::chrono::steady_clock::now();

sockaddr_in ToNative(const Address& aAddress)
{
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mIp.c_str(), &native.sin_addr);
  return native;
}

std::string ToBase64(const std::string& aBytes)
{
  static constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= aBytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string PercentDecode(const std::string& aText)
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

std::map<std::string, std::string> ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const size_t next = aTarget.find('&', at + 1);
    const std::string part =
      aTarget.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = PercentDecode(part.substr(equals + 1));
    }
    at = next;
  }
  return query;
}

std::string ResponseText(int aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Splits "METHOD target HTTP/1.1".
std::pair<std::string, std::string> RequestLine(const Message& aMessage)
{
  const size_t first = aMessage.mFirstLine.find(' ');
  const size_t second = aMessage.mFirstLine.rfind(' ');
  return { aMessage.mFirstLine.substr(0, first),
           aMessage.mFirstLine.substr(first + 1, second - first - 1) };
}

bool CanBind(const Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in native = ToNative(aAddress);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) == 0;
  close(fd);
  return bound;
}

} // namespace

int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               gStart)
    .count();
}

int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void SleepMs(int64_t aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

void OpenRecord(const std::string& aPath)
{
  gRecord.open(aPath, std::ios::trunc);
}

void Record(const std::string& aText)
{
  const std::lock_guard lock(gRecordMutex);
  gRecord << NowMs() << " ms " << aText << "\n";
  gRecord.flush();
}

Socket& Socket::operator=(Socket&& aOther) noexcept
{
  if (this != &aOther) {
    Close();
    mFd = std::exchange(aOther.mFd, -1);
  }
  return *this;
}

void Socket::Close()
{
  if (mFd >= 0) {
    close(std::exchange(mFd, -1));
  }
}

long Socket::Read(char* aBytes, size_t aMax, int64_t aTimeoutMs)
{
  pollfd input{ mFd, POLLIN, 0 };
  if (poll(&input, 1, static_cast<int>(std::max<int64_t>(aTimeoutMs, 0))) <= 0) {
    return -2;
  }
  return recv(mFd, aBytes, aMax, 0);
}

bool Socket::WriteAll(const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Socket::IsClosedByPeer() const
{
  char byte = 0;
  const ssize_t count = recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Socket Connect(const Address& aTo, const std::string& aFromIp, int aReceiveBytes, int aSegmentBytes)
{
  Socket made(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (aReceiveBytes > 0) {
    setsockopt(made.Fd(), SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  if (aSegmentBytes > 0) {
    setsockopt(made.Fd(), IPPROTO_TCP, TCP_MAXSEG, &aSegmentBytes, sizeof(aSegmentBytes));
  }
  const sockaddr_in from = ToNative({ aFromIp, 0 });
  const sockaddr_in to = ToNative(aTo);
  if (bind(made.Fd(), reinterpret_cast<const sockaddr*>(&from), sizeof(from)) != 0 ||
      connect(made.Fd(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    return {};
  }
  static constexpr int on = 1;
  setsockopt(made.Fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return made;
}

std::string Message::Field(const std::string& aName) const
{
  const auto found = mFields.find(aName);
  return found == mFields.end() ? "" : found->second;
}

int Message::Status() const
{
  const size_t space = mFirstLine.find(' ');
  return space == std::string::npos ? 0 : std::atoi(mFirstLine.c_str() + space + 1);
}

bool Reader::ReadMore(size_t aMax, int64_t aUntil)
{
  char chunk[16384];
  const long count = mSocket.Read(chunk, std::min(aMax, sizeof(chunk)), aUntil - NowMs());
  if (count <= 0) {
    return false;
  }
  mBytes.append(chunk, static_cast<size_t>(count));
  return true;
}

std::optional<Message> Reader::NextHead(int64_t aTimeoutMs)
{
  const int64_t until = NowMs() + aTimeoutMs;
  size_t end = mBytes.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(SIZE_MAX, until)) {
      return std::nullopt;
    }
    end = mBytes.find("\r\n\r\n");
  }
  Message message;
  size_t at = mBytes.find("\r\n");
  message.mFirstLine = mBytes.substr(0, at);
  while (at < end) {
    const size_t next = mBytes.find("\r\n", at + 2);
    const std::string line = mBytes.substr(at + 2, next - at - 2);
    if (const size_t colon = line.find(':'); colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char aByte) { return std::tolower(aByte); });
      const size_t value = line.find_first_not_of(" \t", colon + 1);
      message.mFields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    at = next;
  }
  mBytes.erase(0, end + 4);
  return message;
}

std::string Reader::ReadBody(size_t aBytes, int64_t aTimeoutMs, size_t aBytesPerSecond)
{
  const int64_t start = NowMs();
  while (mBytes.size() < aBytes) {
    size_t allowed = SIZE_MAX;
    if (aBytesPerSecond > 0) {
      const size_t due = aBytesPerSecond * static_cast<size_t>(NowMs() - start + 10) / 1000;
      if (due <= mBytes.size()) {
        SleepMs(5);
        continue;
      }
      allowed = due - mBytes.size();
    }
    if (!ReadMore(allowed, start + aTimeoutMs)) {
      break;
    }
  }
  const size_t count = std::min(aBytes, mBytes.size());
  std::string body = mBytes.substr(0, count);
  mBytes.erase(0, count);
  return body;
}

std::optional<Message> Reader::Next(int64_t aTimeoutMs)
{
  const int64_t until = NowMs() + aTimeoutMs;
  auto message = NextHead(aTimeoutMs);
  if (!message) {
    return std::nullopt;
  }
  const size_t bytes = std::strtoul(message->Field("content-length").c_str(), nullptr, 10);
  message->mBody = ReadBody(bytes, until - NowMs());
  return message->mBody.size() == bytes ? message : std::nullopt;
}

std::string Answer::Text() const
{
  return "status " + std::to_string(mStatus) + ", " + std::to_string(mBodyBytes) + " of " +
         std::to_string(mStatedBytes) + " bytes, " + mEnd + " after " + std::to_string(mTookMs) +
         " ms";
}

Answer ReadAnswer(Socket& aSocket, const ReadingPace& aPace, int64_t aTimeoutMs)
{
  const int64_t start = NowMs();
  Answer answer;
  std::string bytes;
  size_t headBytes = 0;
  int64_t paceFrom = 0;
  size_t bytesBefore = 0;
  std::vector<char> chunk(65536);
  while (answer.mEnd.empty()) {
    size_t allowed = chunk.size();
    if (aPace.mBytesPerSecond > 0 && paceFrom > 0) {
      const size_t due =
        bytesBefore + aPace.mBytesPerSecond * static_cast<size_t>(NowMs() - paceFrom) / 1000;
      if (due < bytes.size() + 4096) {
        SleepMs(5);
        continue;
      }
      allowed = std::min(allowed, due - bytes.size());
    }
    const long count = aSocket.Read(chunk.data(), allowed, start + aTimeoutMs - NowMs());
    if (count <= 0) {
      answer.mEnd = count == 0 ? "closed" : count == -1 ? "reset" : "timeout";
      break;
    }
    bytes.append(chunk.data(), static_cast<size_t>(count));
    if (headBytes == 0 && bytes.find("\r\n\r\n") != std::string::npos) {
      headBytes = bytes.find("\r\n\r\n") + 4;
      answer.mStatus = std::atoi(bytes.c_str() + 9);
      const size_t length = bytes.find("Content-Length: ");
      answer.mStatedBytes =
        length < headBytes ? std::strtoul(bytes.c_str() + length + 16, nullptr, 10) : 0;
    }
    if (headBytes > 0 && bytes.size() >= headBytes + answer.mStatedBytes) {
      answer.mEnd = "complete";
    } else if (paceFrom == 0) {
      SleepMs(aPace.mPauseMs);
      paceFrom = NowMs();
      bytesBefore = bytes.size();
    }
  }
  answer.mBody = bytes.substr(headBytes);
  answer.mBodyBytes = answer.mBody.size();
  answer.mTookMs = NowMs() - start;
  return answer;
}

Listener::Listener(const Address& aAddress,
                   std::function<void(Socket&, const std::atomic<bool>&)> aServe, int aReceiveBytes,
                   int aSegmentBytes)
  : mServe(std::move(aServe))
{
  mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  static constexpr int on = 1;
  setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (aReceiveBytes > 0) {
    setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  if (aSegmentBytes > 0) {
    setsockopt(mFd, IPPROTO_TCP, TCP_MAXSEG, &aSegmentBytes, sizeof(aSegmentBytes));
  }
  const sockaddr_in native = ToNative(aAddress);
  if (bind(mFd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 ||
      listen(mFd, 1024) != 0) {
    throw std::runtime_error("cannot listen at " + aAddress.Text());
  }
  mAccepting = std::thread([this] { Accept(); });
}

void Listener::Accept()
{
  while (!mStopping) {
    pollfd input{ mFd, POLLIN, 0 };
    if (poll(&input, 1, 50) <= 0) {
      continue;
    }
    const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      SleepMs(1);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mMutex);
    mConnections.insert(fd);
    mServing.emplace_back([this, fd] {
      Socket connection(fd);
      mServe(connection, mStopping);
      const std::lock_guard lockAtEnd(mMutex);
      mConnections.erase(fd);
      connection.Close();
    });
  }
}

void Listener::Crash()
{
  shutdown(mFd, SHUT_RDWR);
  mStopping = true;
  const std::lock_guard lock(mMutex);
  for (const int fd : mConnections) {
    shutdown(fd, SHUT_RDWR);
  }
}

Listener::~Listener()
{
  mStopping = true;
  mAccepting.join();
  close(mFd);
  std::vector<std::thread> serving;
  {
    const std::lock_guard lock(mMutex);
    serving.swap(mServing);
  }
  for (std::thread& thread : serving) {
    thread.join();
  }
}

// The store.

Store::Store(const Address& aAddress)
{
  mListener = std::make_unique<Listener>(
    aAddress,
    [this](Socket& aSocket, const std::atomic<bool>& aStopping) { Serve(aSocket, aStopping); });
}

void Store::PutAsOperator(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  ++mRevision;
  Write(aKey, Item{ ToBase64(aValue), 0, 0, 0 });
}

void Store::Serve(Socket& aSocket, const std::atomic<bool>& aStopping)
{
  Reader reader(aSocket);
  while (!aStopping) {
    char byte = 0;
    pollfd input{ aSocket.Fd(), POLLIN, 0 };
    if (poll(&input, 1, 50) <= 0) {
      continue;
    }
    if (recv(aSocket.Fd(), &byte, 1, MSG_PEEK) <= 0) {
      return;
    }
    const auto message = reader.Next(5000);
    if (!message) {
      return;
    }
    const auto [method, target] = RequestLine(*message);
    const auto [status, body] = Handle(method, target, message->mBody, aStopping);
    if (!aSocket.WriteAll(
          ResponseText(status, "Content-Type: application/json\r\n", body.dump()))) {
      return;
    }
  }
}

Json Store::ToJson(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.mValue },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreated },
           { "lease", aItem.mLease } };
}

// The caller has raised mRevision and holds the lock.
void Store::Write(const std::string& aKey, std::optional<Item> aItem)
{
  if (aItem) {
    const auto found = mItems.find(aKey);
    aItem->mRevision = mRevision;
    aItem->mCreated = found == mItems.end() ? mRevision : found->second.mCreated;
    mItems[aKey] = *aItem;
  } else {
    mItems.erase(aKey);
  }
  mHistory.push_back({ mRevision, aKey, std::move(aItem) });
  mChanged.notify_all();
}

void Store::ExpireLeases()
{
  const int64_t now = NowMs();
  for (auto lease = mLeases.begin(); lease != mLeases.end();) {
    if (lease->second.mEnds > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.mLease == lease->first) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++mRevision;
    }
    for (const std::string& key : keys) {
      Write(key, std::nullopt);
    }
    lease = mLeases.erase(lease);
  }
}

std::pair<int, Json> Store::Handle(const std::string& aMethod, const std::string& aTarget,
                                   const std::string& aBody, const std::atomic<bool>& aStopping)
{
  const std::string path = aTarget.substr(0, aTarget.find('?'));
  const auto query = ParseQuery(aTarget);
  const auto value = [&](const char* aName) {
    const auto found = query.find(aName);
    return found == query.end() ? std::string() : found->second;
  };
  if (path == "/kv-watch") {
    return Watch(query, aStopping);
  }
  const std::lock_guard lock(mMutex);
  ExpireLeases();
  if (path == "/kv-key") {
    const auto found = mItems.find(value("key"));
    if (found == mItems.end()) {
      return { 404, { { "store-revision", mRevision } } };
    }
    Json body = ToJson(found->first, found->second);
    body["store-revision"] = mRevision;
    return { 200, body };
  }
  if (path == "/kv-range") {
    Json items = Json::array();
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(value("prefix")) && key > value("after")) {
        items.push_back(ToJson(key, item));
      }
    }
    return { 200, { { "items", items }, { "has-more", false }, { "store-revision", mRevision } } };
  }
  if (path == "/kv-txn" && aMethod == "POST") {
    return Transact(Json::parse(aBody));
  }
  if (path == "/kv-lease" && aMethod == "POST") {
    const int64_t ttl = Json::parse(aBody).at("ttl-ms").get<int64_t>();
    const int64_t id = mNextLease++;
    mLeases[id] = { ttl, NowMs() + ttl };
    return { 200, { { "lease", id }, { "ttl-ms", ttl } } };
  }
  const size_t slash = path.rfind('/');
  const int64_t id = std::atoll(path.c_str() + slash + 1);
  const auto lease = mLeases.find(id);
  if (lease == mLeases.end()) {
    return { 404, Json::object() };
  }
  if (path.starts_with("/kv-keep/")) {
    lease->second.mEnds = NowMs() + lease->second.mTtl;
    return { 200, { { "ttl-ms", lease->second.mTtl } } };
  }
  lease->second.mEnds = 0;
  ExpireLeases();
  return { 200, Json::object() };
}

std::pair<int, Json> Store::Watch(const std::map<std::string, std::string>& aQuery,
                                  const std::atomic<bool>& aStopping)
{
  const std::string prefix = aQuery.at("prefix");
  const int64_t after = std::stoll(aQuery.at("after"));
  const int64_t until = NowMs() + std::stoll(aQuery.at("wait-ms"));
  std::unique_lock lock(mMutex);
  for (;;) {
    ExpireLeases();
    Json events = Json::array();
    for (const Change& change : mHistory) {
      if (change.mRevision <= after || !change.mKey.starts_with(prefix)) {
        continue;
      }
      if (change.mItem) {
        events.push_back(ToJson(change.mKey, *change.mItem));
      } else {
        events.push_back(
          { { "key", change.mKey }, { "revision", change.mRevision }, { "deleted", true } });
      }
    }
    if (!events.empty() || NowMs() >= until || aStopping) {
      return { 200, { { "events", events }, { "store-revision", mRevision } } };
    }
    mChanged.wait_for(lock, std::chrono::milliseconds(50));
  }
}

std::pair<int, Json> Store::Transact(const Json& aBody)
{
  Json current = Json::array();
  bool holds = true;
  for (const Json& expected : aBody.at("expect")) {
    const std::string key = expected.at("key").get<std::string>();
    const auto found = mItems.find(key);
    const int64_t revision = found == mItems.end() ? 0 : found->second.mRevision;
    holds = holds && revision == expected.at("revision").get<int64_t>();
    if (found != mItems.end()) {
      current.push_back(ToJson(key, found->second));
    }
  }
  if (!holds) {
    return { 412, { { "items", current } } };
  }
  for (const Json& put : aBody.at("puts")) {
    const int64_t lease = put.value("lease", int64_t{ 0 });
    if (lease != 0 && !mLeases.contains(lease)) {
      return { 404, Json::object() };
    }
  }
  ++mRevision;
  for (const Json& put : aBody.at("puts")) {
    Write(put.at("key").get<std::string>(),
          Item{ put.at("value").get<std::string>(), 0, 0, put.value("lease", int64_t{ 0 }) });
  }
  for (const Json& key : aBody.at("deletes")) {
    Write(key.get<std::string>(), std::nullopt);
  }
  return { 200, { { "revision", mRevision } } };
}

// An upstream.

Upstream::Upstream(std::string aId, std::string aService, std::string aZone, int aSlots,
                   const Address& aAddress, const Address& aControl,
                   const UpstreamOptions& aOptions)
  : mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mSlots(aSlots)
  , mAddress(aAddress)
  , mControl(aControl)
  , mOptions(aOptions)
{
  mBorn += aOptions.mClockAheadMs;
  Listen();
  mBeating = std::thread([this] { Beat(); });
}

void Upstream::Listen()
{
  mListener = std::make_unique<Listener>(
    mAddress,
    [this](Socket& aSocket, const std::atomic<bool>& aStopping) { Serve(aSocket, aStopping); },
    mOptions.mReceiveBytes, mOptions.mSegmentBytes);
}

// Runs in the thread of the heartbeats.
void Upstream::Restart()
{
  SleepMs(mOptions.mDownMs);
  mListener.reset();
  mBorn = WallMs();
  mSequence = 0;
  if (!mOptions.mKeepsId) {
    mId = mId.substr(0, mId.find('.')) + "." + std::to_string(mCrashes);
  }
  Listen();
  mIsDown = false;
  Record("upstream " + mId + " has started, born " + std::to_string(mBorn));
}

void Upstream::Crash()
{
  Record("upstream " + mId + " crashes");
  if (!mIsDown.exchange(true)) {
    ++mCrashes;
    mListener->Crash();
  }
}

int64_t Upstream::Leave()
{
  mIsLeaving = true;
  for (int i = 0; i < 200 && mLeaveAcknowledged == 0; ++i) {
    SleepMs(20);
  }
  return mLeaveAcknowledged;
}

void Upstream::Exit()
{
  mHasExited = true;
  Announce("deregister", "draining");
  Record("upstream " + mId + " exits");
  mListener->Crash();
}

Upstream::~Upstream()
{
  mStopping = true;
  mBeating.join();
  mFreed.notify_all();
  mListener.reset();
}

std::vector<Run> Upstream::Runs() const
{
  const std::lock_guard lock(mMutex);
  return mRuns;
}

void Upstream::Serve(Socket& aSocket, const std::atomic<bool>& aStopping)
{
  Reader reader(aSocket);
  while (!aStopping) {
    pollfd input{ aSocket.Fd(), POLLIN, 0 };
    if (poll(&input, 1, 50) <= 0) {
      continue;
    }
    if (aSocket.IsClosedByPeer()) {
      return;
    }
    const auto message = reader.NextHead(10'000);
    if (!message) {
      return;
    }
    const size_t bodyBytes = std::strtoul(message->Field("content-length").c_str(), nullptr, 10);
    const bool isEarly = mOptions.mAnswersAfterBytes > 0 && bodyBytes > mOptions.mAnswersAfterBytes;
    const size_t readFirst = isEarly ? mOptions.mAnswersAfterBytes : bodyBytes;
    std::string body = reader.ReadBody(readFirst, 20'000, mOptions.mBodyBytesPerSecond);
    if (body.size() < readFirst) {
      Record("upstream " + mId + " gets " + std::to_string(body.size()) + " of " +
             std::to_string(bodyBytes) + " bytes of " + message->Field("request-id"));
      return;
    }
    const auto [method, target] = RequestLine(*message);
    const std::string id = message->Field("request-id");
    const std::string expected = message->Field("expect-instance");
    std::string fields = "Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
    if (!expected.empty() && expected != mId) {
      fields += "Instance-Id: " + mId + "\r\n";
      if (!aSocket.WriteAll(ResponseText(421, fields, ""))) {
        return;
      }
      continue;
    }
    size_t run = 0;
    {
      std::unique_lock lock(mMutex);
      mFreed.wait(lock, [&] { return mRunning < mSlots || aStopping; });
      if (aSocket.IsClosedByPeer()) {
        return;
      }
      ++mRunning;
      run = mRuns.size();
      mRuns.push_back({ id, NowMs(), 0, false, bodyBytes, body.size(), true, target });
    }
    Record("upstream " + mId + " runs " + id + " " + method + " " + target + " Deadline-Ms " +
           message->Field("deadline-ms"));
    if (!mOptions.mCrashesOn.empty() && target.find(mOptions.mCrashesOn) != std::string::npos) {
      Crash();
      const std::lock_guard lock(mMutex);
      --mRunning;
      return;
    }
    const size_t work = target.rfind("/w");
    const int64_t workMs = std::atoll(target.c_str() + work + 2);
    const size_t size = target.find("-s", work);
    const size_t bytes = std::strtoul(target.c_str() + size + 2, nullptr, 10);
    const int64_t until = NowMs() + workMs;
    bool dropped = false;
    while (NowMs() < until && !dropped && !aStopping) {
      SleepMs(std::min<int64_t>(5, until - NowMs()));
      dropped = aSocket.IsClosedByPeer();
    }
    int running = 0;
    {
      const std::lock_guard lock(mMutex);
      running = --mRunning;
      mRuns[run].mEnded = NowMs();
      mRuns[run].mDropped = dropped;
    }
    mFreed.notify_all();
    Record("upstream " + mId + (dropped ? " drops " : " has done ") + id);
    if (dropped) {
      return;
    }
    fields += "Server-Stamp: stamp-" + id + "\r\nServer-Load: " + std::to_string(running) + ",0," +
              std::to_string(mSlots) + "\r\n";
    const bool isWritten = aSocket.WriteAll(ResponseText(200, fields, BodyFor(id, bytes)));
    if (isEarly && isWritten) {
      body += reader.ReadBody(bodyBytes - body.size(), 20'000, mOptions.mBodyBytesPerSecond);
    }
    const bool isIntact = body == BodyFor(id, bodyBytes).substr(0, body.size());
    if (bodyBytes > 0) {
      Record("upstream " + mId + " has read " + std::to_string(body.size()) + " of " +
             std::to_string(bodyBytes) + " bytes of the body of " + id +
             (isIntact ? "" : ", which is changed"));
    }
    {
      const std::lock_guard lock(mMutex);
      mRuns[run].mBodyRead = body.size();
      mRuns[run].mBodyIsIntact = isIntact;
    }
    if (!isWritten || body.size() < bodyBytes) {
      return;
    }
  }
}

bool Upstream::Announce(const std::string& aCall, const std::string& aState)
{
  const Json body = {
    { "address", mAddress.Text() },
    { "born", mBorn },
    { "info",
      { { "service", mService }, { "version", "v1" }, { "zone", mZone }, { "slots", mSlots } } },
    { "status", { { "state", aState }, { "sequence", ++mSequence }, { "cold-left-ms", 0 } } }
  };
  const std::string text = body.dump();
  Socket socket = Connect(mControl, mAddress.mIp);
  if (!socket.IsOpen()) {
    return false;
  }
  socket.WriteAll("POST /instances/" + mId + "/" + aCall + " HTTP/1.1\r\nHost: " + mControl.Text() +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(text.size()) + "\r\n\r\n" + text);
  Reader reader(socket);
  const auto answer = reader.Next(1000);
  return answer && answer->Status() == 200;
}

void Upstream::Beat()
{
  while (!mStopping && !mHasExited) {
    const bool isLeaving = mIsLeaving;
    const bool isAcknowledged = Announce("heartbeat", isLeaving ? "draining" : "ready");
    if (isLeaving && isAcknowledged && mLeaveAcknowledged == 0) {
      mLeaveAcknowledged = NowMs();
      Record("the leaving of upstream " + mId + " is acknowledged");
    }
    const int64_t next = NowMs() + (isAcknowledged ? 1500 : 200);
    while (NowMs() < next && !mStopping && !mIsDown && mIsLeaving == isLeaving) {
      SleepMs(10);
    }
    if (mIsDown) {
      Restart();
    }
  }
}

// A machine.

Machine::Machine(MachineSettings aSettings, const Address& aStore, const std::string& aDirectory)
  : mSettings(std::move(aSettings))
  , mStore(aStore)
  , mDirectory(aDirectory)
{
}

Machine::~Machine()
{
  mUpstream.reset();
  if (mPid != 0 && !ExitStatus()) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
}

void Machine::StartNode()
{
  // The fields of deploy/node.json as the platform fills them in.
  const Json settings = {
    { "node_id", mSettings.mName },
    { "service", mSettings.mService },
    { "data_centre", mSettings.mZone },
    { "region", "r" },
    { "caller_listen", At(kOutbound).Text() },
    { "ready_listen", At(kReady).Text() },
    { "peer_listen", At(kInternal).Text() },
    { "admin_listen", At(kAdmin).Text() },
    { "backend", At(kServer).Text() },
    { "store", Json::array({ mStore.Text() }) },
    { "log_format", "json" },
    { "log_level", "warning" },
    { "fleet_retry_ratio", 0.2 },
    { "fleet_retry_slack", 48 },
    { "platform",
      { { "announcements", At(kControl).Text() }, { "memory_mb", 260 }, { "grace_seconds", 6 } } }
  };
  const std::string path = mDirectory + "/" + mSettings.mName + ".json";
  std::ofstream(path) << settings.dump(2);
  const std::string log = mDirectory + "/" + mSettings.mName + ".log";
  const char* const named = std::getenv("NODE_PROGRAM");
  const std::string program = named ? named : "target/platform/balsammount-platformd";
  mExitStatus.reset();
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    setenv("BALSAMMOUNT_CONVERGENCE_MS", "2000", 1);
    setenv("BALSAMMOUNT_MAX_FDS", "4100", 1);
    setenv("BALSAMMOUNT_CONFIG", path.c_str(), 1);
    execl(program.c_str(), program.c_str(), "--settings", path.c_str(), nullptr);
    _exit(127);
  }
  if (!mUpstream) {
    mUpstream =
      std::make_unique<Upstream>("i-" + mSettings.mName, mSettings.mService, mSettings.mZone,
                                 mSettings.mSlots, At(kServer), At(kControl), mSettings.mUpstream);
  }
}

void Machine::Signal(int aSignal)
{
  if (mPid != 0 && !ExitStatus()) {
    kill(mPid, aSignal);
  }
}

std::optional<int> Machine::ExitStatus()
{
  int status = 0;
  if (!mExitStatus && mPid != 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
    mExitStatus = status;
  }
  return mExitStatus;
}

bool Machine::IsReady() const
{
  Socket socket = Connect(At(kReady), mSettings.mIp);
  if (!socket.IsOpen() || !socket.WriteAll("GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")) {
    return false;
  }
  Reader reader(socket);
  const auto answer = reader.Next(1000);
  return answer && answer->Status() == 200;
}

// A deployment.

std::string ConfigText(int aVersion, const std::vector<Route>& aRoutes)
{
  Json rows = Json::array();
  Json services = Json::array();
  std::map<std::string, bool> named;
  const auto addService = [&](const std::string& aName) {
    if (!std::exchange(named[aName], true)) {
      services.push_back({ aName, "/healthz", 424, "h1", false });
    }
  };
  for (const Route& route : aRoutes) {
    Json service = route.mService;
    Json split;
    if (route.mSplit.empty()) {
      addService(route.mService);
    } else {
      service = nullptr;
      split = Json::array();
      for (const auto& [name, weight] : route.mSplit) {
        addService(name);
        split.push_back({ { "service", name }, { "weight", weight } });
      }
    }
    rows.push_back({ route.mName, route.mHost, route.mPrefix, route.mKind, route.mTimeoutMs, 1500,
                     route.mPriority, service, 2, split });
  }
  const Json document = {
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
  };
  return document.dump();
}

Deployment::Deployment(const std::vector<MachineSettings>& aMachines,
                       const std::vector<Route>& aRoutes)
{
  mDirectory =
    (std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(getpid()))).string();
  std::filesystem::create_directories(mDirectory);
  std::random_device seed;
  std::string base;
  for (int attempt = 0; base.empty() && attempt < 50; ++attempt) {
    base = "127." + std::to_string(20 + seed() % 200) + "." + std::to_string(seed() % 250) + ".";
    for (size_t i = 0; i <= aMachines.size(); ++i) {
      for (const uint16_t port :
           { Machine::kServer, Machine::kReady, Machine::kOutbound, Machine::kControl,
             Machine::kInternal, Machine::kAdmin, Machine::kStore }) {
        base = !base.empty() && CanBind({ base + std::to_string(i + 1), port }) ? base : "";
      }
    }
  }
  if (base.empty()) {
    throw std::runtime_error("no free addresses");
  }
  const Address store{ base + "1", Machine::kStore };
  mStore = std::make_unique<Store>(store);
  mStore->PutAsOperator("op/config", ConfigText(7, aRoutes));
  for (size_t i = 0; i < aMachines.size(); ++i) {
    MachineSettings settings = aMachines[i];
    settings.mIp = base + std::to_string(i + 2);
    mMachines.push_back(std::make_unique<Machine>(settings, store, mDirectory));
  }
  for (const auto& machine : mMachines) {
    machine->StartNode();
  }
}

Deployment::~Deployment()
{
  mMachines.clear();
  mStore.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(mDirectory, ignored);
  }
}

void Deployment::WaitUntilReady(const std::vector<Route>& aRoutes)
{
  const int64_t until = NowMs() + 30'000;
  const auto serves = [](const Machine& aMachine, const Route& aRoute) {
    Socket socket = Connect(aMachine.Outbound(), aMachine.Ip());
    const std::string id = NewId();
    if (!socket.IsOpen() || !socket.WriteAll(RequestText("GET", aRoute, "w1-s10", id, 2000))) {
      return false;
    }
    Reader reader(socket);
    const auto answer = reader.Next(2000);
    return answer && answer->Status() == 200;
  };
  for (const auto& machine : mMachines) {
    for (const Route& route : aRoutes) {
      while (!machine->IsReady() || !serves(*machine, route)) {
        if (NowMs() > until) {
          throw std::runtime_error("the nodes are not ready");
        }
        SleepMs(100);
      }
    }
  }
  // Machines count as in touch once they have run for contact-ms.
  SleepMs(3500);
  Record("all nodes are ready");
}

bool HasTrouble()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int RunCase(int aCount, char** aArguments, const std::function<bool()>& aHolds)
{
  constexpr int kHolds = 0;
  constexpr int kBroken = 1;
  constexpr int kCouldNotRun = 2;
  if (aCount != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", aArguments[0]);
    return kCouldNotRun;
  }
  OpenRecord(aArguments[1]);
  Record(HasTrouble() ? "with the disruption" : "without the disruption");
  try {
    const bool holds = aHolds();
    Record(holds ? "the rule held" : "the rule was broken");
    return holds ? kHolds : kBroken;
  } catch (const std::exception& error) {
    Record(std::string("the case could not run: ") + error.what());
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}

std::string NewId()
{
  static std::atomic<uint64_t> sNext{ 1 };
  static const uint64_t sPrefix = std::random_device()();
  char text[32];
  std::snprintf(text, sizeof(text), "%08llx%08llx", static_cast<unsigned long long>(sPrefix),
                static_cast<unsigned long long>(sNext++));
  return text;
}

std::string BodyFor(const std::string& aId, size_t aBytes)
{
  std::string body(aBytes, '-');
  for (size_t i = 0; i + 32 <= body.size(); i += 32) {
    char text[40];
    std::snprintf(text, sizeof(text), "%s@%zu", aId.substr(0, 16).c_str(), i);
    body.replace(i, std::strlen(text), text);
  }
  return body;
}

std::string RequestText(const std::string& aMethod, const Route& aRoute, const std::string& aWork,
                        const std::string& aId, int aDeadlineMs, const std::string& aBody)
{
  std::string text = aMethod + " " + aRoute.mPrefix + aId + "/" + aWork +
                     " HTTP/1.1\r\nHost: " + aRoute.mHost + "\r\nRequest-Id: " + aId +
                     "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  if (!aBody.empty() || aMethod == "POST" || aMethod == "PUT") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

} // namespace lab
