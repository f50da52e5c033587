// Stand-ins for the cases of the review: the platform, its store, backend servers and clients, as
// far as the cases need them. They use blocking sockets on loopback and one thread per connection.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Bounds of the sites that the cases use, as the platform's settings state them.
inline constexpr int kHeartbeatMs = 1500;
inline constexpr int kDrainMs = 2000;
inline constexpr int kContactMs = 3000;
inline constexpr int kGraceSeconds = 6;
inline constexpr int kMemoryMb = 260;

// Seconds since the start of the case.
double Now();
void SleepFor(double aSeconds);
// Sleeps until Now() is aTime.
void SleepUntil(double aTime);
uint64_t UnixMs();
// False if the environment variable TROUBLE is 0: the case then runs without its disruption.
bool WithTrouble();

// Writes a line with the current time to record.txt and to standard output.
void Record(const std::string& aLine);

// Ends the case: kills the processes that it has started and exits.
[[noreturn]] void Finish(int aCode, const std::string& aReason);

// Starts a case whose folder is argv[1]. Ends it with kCouldNotRun after 110 s.
void BeginCase(int aCount, char** aArguments);

std::string NewId();
uint16_t FreePort();
std::string Loopback(uint16_t aPort);

struct Message
{
  std::string mStartLine;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Header(std::string_view aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// One TCP connection. Reading functions return false at the end of the connection.
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

  // Returns null if the connection cannot be established. A receive buffer of 0 is the default.
  static std::unique_ptr<Connection> Open(uint16_t aPort, int aReceiveBuffer = 0);

  bool Send(std::string_view aBytes);
  bool ReadHead(Message& aMessage);
  // Reads the body that the headers state. Keeps it only if aKeep.
  bool ReadBody(Message& aMessage, bool aKeep = true);
  bool Read(Message& aMessage) { return ReadHead(aMessage) && ReadBody(aMessage); }
  // Reads what is there, at most aMost bytes. Returns the number, 0 at an orderly end, -1 on error.
  ssize_t ReadSome(char* aBuffer, size_t aMost);
  // Limits the time of each read; 0: no limit.
  void SetTimeout(double aSeconds);
  void Close();
  // Ends the connection with a reset.
  void Reset();

private:
  bool Fill();

  int mSocket;
  std::string mBuffer;
};

using ConnectionHandler = std::function<void(Connection&)>;

// Accepts connections; each is handled in a thread of its own.
class Listener
{
public:
  // A receive buffer of 0 is the default.
  Listener(uint16_t aPort, ConnectionHandler aHandler, int aReceiveBuffer = 0);
  ~Listener();
  void Stop();

private:
  int mSocket;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

std::string MakeResponse(int aStatus, const std::string& aBody,
                         const std::vector<std::pair<std::string, std::string>>& aHeaders = {});
std::string MakeRequest(const std::string& aMethod, const std::string& aTarget,
                        const std::vector<std::pair<std::string, std::string>>& aHeaders,
                        const std::string& aBody = {});

// The platform's store, as PROTOCOL.md describes it.
class Store
{
public:
  // Reads with allow-stale are aStaleness old.
  explicit Store(double aStaleness = 0);

  uint16_t Port() const { return mPort; }
  // A write by the operator.
  void Put(const std::string& aKey, const std::string& aValue);
  // While the store is silent, requests that arrive get no response, and their connections return
  // nothing further.
  void SetSilent(bool aSilent) { mSilent = aSilent; }

private:
  struct Item
  {
    std::string mValue; // base64
    int64_t mRevision = 0;
    int64_t mCreated = 0;
    int64_t mLease = 0;
  };
  struct Event
  {
    std::string mKey;
    std::optional<Item> mItem; // empty: deleted
    int64_t mRevision = 0;
    double mAt = 0;
  };
  struct Lease
  {
    int64_t mTtlMs = 0;
    double mExpires = 0;
  };
  using Items = std::map<std::string, Item>;
  using Query = std::map<std::string, std::string>;

  void Serve(Connection& aConnection);
  std::string Answer(const Message& aRequest);
  std::string Get(const Query& aQuery);
  std::string Range(const Query& aQuery);
  std::string Watch(const Query& aQuery);
  std::string Transact(const Json& aBody);
  std::string Grant(const Json& aBody);
  void Write(const std::string& aKey, std::optional<Item> aItem);
  void ExpireLeases();
  static Json ToJson(const std::string& aKey, const Item& aItem);

  double mStaleness;
  std::atomic<bool> mSilent{ false };
  std::mutex mMutex;
  std::condition_variable mChanged;
  Items mItems;
  std::vector<Event> mEvents;
  std::map<int64_t, Lease> mLeases;
  int64_t mRevision = 100;
  int64_t mNextLease = 1;
  uint16_t mPort;
  std::unique_ptr<Listener> mListener;
};

std::string EncodeBase64(std::string_view aBytes);

// A route or service of the operator's configuration.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  bool mIdempotent = true;
  int mTimeoutMs = 5000;
  std::string mService;
  int mMaxAttempts = 2;
};

std::string MakeConfig(uint64_t aVersion, const std::vector<Route>& aRoutes,
                       const std::vector<std::string>& aServices);

// A process of the project beside one backend server, started with the command of
// deploy/system.toml and settings from the template of its role.
class Node
{
public:
  Node(std::string aName, std::string aService, std::string aZone, uint16_t aStorePort);

  void Start();
  void Signal(int aSignal);
  // Kills the process and waits for its end.
  void Kill();
  // Waits until the process answers /ready with 200.
  void WaitUntilReady(double aTimeout = 15);
  bool IsReady() const;
  // Returns whether the process has ended, and how.
  bool HasEnded(std::string* aHow = nullptr);
  // Resident memory in bytes, as the platform counts it.
  uint64_t ResidentBytes() const;

  const std::string& Name() const { return mName; }
  const std::string& Service() const { return mService; }
  const std::string& Zone() const { return mZone; }
  uint16_t OutboundPort() const { return mOutbound; }
  uint16_t ControlPort() const { return mControl; }
  uint16_t AppPort() const { return mApp; }
  pid_t Pid() const { return mPid; }

private:
  std::string mName;
  std::string mService;
  std::string mZone;
  uint16_t mStorePort;
  uint16_t mInbound = FreePort();
  uint16_t mOutbound = FreePort();
  uint16_t mReady = FreePort();
  uint16_t mControl = FreePort();
  uint16_t mApp = FreePort();
  uint16_t mInternalFirst = FreePort();
  uint16_t mInternalLast = FreePort();
  std::string mSettings;
  pid_t mPid = 0;
};

// What a backend server says of itself.
struct Heartbeat
{
  std::string mId;
  std::string mService;
  std::string mAddress;
  std::string mZone;
  uint64_t mBorn = 0;
  uint64_t mSequence = 0;
  int mSlots = 20;
  std::string mState = "ready";
};

// Sends a heartbeat to a control address. Returns whether it was acknowledged within a second.
bool SendHeartbeat(uint16_t aControlPort, const Heartbeat& aHeartbeat);
bool SendDeregister(uint16_t aControlPort, const std::string& aId, uint64_t aBorn);

// A backend server beside a node. Requests that name another instance get 421 and do not run. The
// handler answers all others on their connection; it returns false to close the connection.
class Server
{
public:
  using Handler = std::function<bool(Server&, Connection&, Message&)>;

  Server(Node& aNode, std::string aId, int aSlots, Handler aHandler, int aReceiveBuffer = 0);
  ~Server();

  // Sends heartbeats until StopHeartbeats.
  void StartHeartbeats();
  void StopHeartbeats() { mBeating = false; }
  Heartbeat NextHeartbeat();
  const std::string& Id() const { return mId; }
  uint64_t Born() const { return mBorn; }
  // If false, the handler reads the body itself.
  bool mReadBodies = true;

private:
  void Serve(Connection& aConnection);

  Node& mNode;
  std::string mId;
  int mSlots;
  uint64_t mBorn = UnixMs();
  Handler mHandler;
  std::atomic<uint64_t> mSequence{ 0 };
  std::atomic<bool> mBeating{ false };
  std::unique_ptr<Listener> mListener;
};

// Headers of a server's answer to a request.
std::vector<std::pair<std::string, std::string>> AnswerHeaders(const Message& aRequest,
                                                               const std::string& aBody);

// Sends one request of a client on a new connection and returns the answer, or nullopt.
std::optional<Message> Call(uint16_t aOutboundPort, const std::string& aMethod,
                            const std::string& aHost, const std::string& aTarget,
                            const std::string& aId, int aDeadlineMs, const std::string& aBody = {});

} // namespace review
