// Stand-ins of the platform for the cases of this review: the metadata store, application
// upstreams with heartbeats, node processes with the deploy file's command, and raw HTTP/1.1
// clients. Everything runs on loopback addresses and the real clock.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using Json = nlohmann::json;

// Milliseconds since the start of the program.
int64_t NowMs();
int64_t WallMs();
void SleepMs(int64_t aMilliseconds);

// Writes one line with the time to record.txt. Thread-safe.
void OpenRecord(const std::string& aPath);
void Record(const std::string& aText);

// A connected stream socket, closed by the destructor.
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aFd)
    : mFd(aFd)
  {
  }
  Socket(Socket&& aOther) noexcept
    : mFd(std::exchange(aOther.mFd, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept;
  ~Socket() { Close(); }

  bool IsOpen() const { return mFd >= 0; }
  int Fd() const { return mFd; }
  void Close();
  // Reads up to aMax bytes. Returns the count, 0 at the end of the stream, -1 after a reset and -2
  // after aTimeoutMs.
  long Read(char* aBytes, size_t aMax, int64_t aTimeoutMs);
  bool WriteAll(const std::string& aBytes);
  // Returns true once the peer has closed or reset the connection.
  bool IsClosedByPeer() const;

private:
  int mFd = -1;
};

struct Address
{
  std::string mIp;
  uint16_t mPort = 0;
  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

// A receive buffer of aReceiveBytes and segments of aSegmentBytes stand for a small window on an
// ordinary link; 0 leaves the defaults of loopback.
Socket Connect(const Address& aTo, const std::string& aFromIp, int aReceiveBytes = 0,
               int aSegmentBytes = 0);

// One HTTP/1.1 message: the first line, the header fields with names in lower case, the body.
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mFields;
  std::string mBody;
  std::string Field(const std::string& aName) const;
  int Status() const;
};

// Reads messages with a Content-Length from a socket.
class Reader
{
public:
  explicit Reader(Socket& aSocket)
    : mSocket(aSocket)
  {
  }
  // Returns nullopt if the connection ends or the time is over before the message is complete.
  std::optional<Message> Next(int64_t aTimeoutMs);
  // Reads the head of a message only.
  std::optional<Message> NextHead(int64_t aTimeoutMs);
  // Reads up to aBytes of a body, at most aBytesPerSecond if that is not 0. Returns what has come
  // before the connection ended or the time was over.
  std::string ReadBody(size_t aBytes, int64_t aTimeoutMs, size_t aBytesPerSecond = 0);

private:
  // Returns false at the end of the connection or of the time.
  bool ReadMore(size_t aMax, int64_t aUntil);

  Socket& mSocket;
  std::string mBytes;
};

// How a client reads an answer.
struct ReadingPace
{
  int64_t mPauseMs = 0;       // once, after the first bytes
  size_t mBytesPerSecond = 0; // 0: as fast as they come
};

// What a client got.
struct Answer
{
  int mStatus = 0; // 0: no head
  size_t mBodyBytes = 0;
  size_t mStatedBytes = 0;
  std::string mEnd; // complete, closed, reset or timeout
  int64_t mTookMs = 0;
  std::string mBody;
  bool IsComplete() const { return mEnd == "complete"; }
  std::string Text() const;
};

Answer ReadAnswer(Socket& aSocket, const ReadingPace& aPace, int64_t aTimeoutMs);

// Accepts connections and serves each in a thread of its own.
class Listener
{
public:
  // Accepted connections get the receive buffer and the segments, if they are not 0.
  Listener(const Address& aAddress, std::function<void(Socket&, const std::atomic<bool>&)> aServe,
           int aReceiveBytes = 0, int aSegmentBytes = 0);
  ~Listener();
  // Closes the listener and resets all connections at once, as the end of a process does.
  void Crash();

private:
  void Accept();

  int mFd = -1;
  std::atomic<bool> mStopping{ false };
  std::function<void(Socket&, const std::atomic<bool>&)> mServe;
  std::thread mAccepting;
  std::mutex mMutex;
  std::vector<std::thread> mServing;
  std::set<int> mConnections;
};

// The metadata store: one linearizable map with revisions, leases and long polls.
class Store
{
public:
  explicit Store(const Address& aAddress);
  void PutAsOperator(const std::string& aKey, const std::string& aValue);

private:
  struct Item
  {
    std::string mValue; // base64
    int64_t mRevision = 0;
    int64_t mCreated = 0;
    int64_t mLease = 0;
  };
  struct Change
  {
    int64_t mRevision = 0;
    std::string mKey;
    std::optional<Item> mItem;
  };

  void Serve(Socket& aSocket, const std::atomic<bool>& aStopping);
  std::pair<int, Json> Handle(const std::string& aMethod, const std::string& aTarget,
                              const std::string& aBody, const std::atomic<bool>& aStopping);
  std::pair<int, Json> Watch(const std::map<std::string, std::string>& aQuery,
                             const std::atomic<bool>& aStopping);
  std::pair<int, Json> Transact(const Json& aBody);
  void Write(const std::string& aKey, std::optional<Item> aItem);
  void ExpireLeases();
  Json ToJson(const std::string& aKey, const Item& aItem) const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<Change> mHistory;
  struct Lease
  {
    int64_t mTtl = 0;
    int64_t mEnds = 0;
  };
  std::map<int64_t, Lease> mLeases;
  int64_t mRevision = 100;
  int64_t mNextLease = 7000;
  std::unique_ptr<Listener> mListener;
};

// What an upstream saw of one request.
struct Run
{
  std::string mId;
  int64_t mStarted = 0;
  int64_t mEnded = 0;    // 0 while it runs
  bool mDropped = false; // its connection closed before it was done
  size_t mBodyBytes = 0; // stated by the request
  size_t mBodyRead = 0;
  bool mBodyIsIntact = true; // as far as it was read
  std::string mTarget;
};

struct UpstreamOptions
{
  int mReceiveBytes = 0; // receive buffer and segments of its connections; 0: the defaults
  int mSegmentBytes = 0;
  size_t mBodyBytesPerSecond = 0; // how fast it reads bodies; 0: as fast as they come
  // Answers a request with a body of more than this many bytes once it has read that many, keeps
  // the connection and reads on. 0: reads a body before it answers.
  size_t mAnswersAfterBytes = 0;
  // Crashes when it begins to run a request with this in its path, and is back as a new incarnation
  // after the time. Empty: never.
  std::string mCrashesOn;
  int64_t mDownMs = 2000;
  // Starts again under the id that it had.
  bool mKeepsId = false;
  // How far its time of day is ahead when it starts for the first time.
  int64_t mClockAheadMs = 0;
};

// An application upstream. The path says what a request costs: .../w<ms>-s<bytes>.
class Upstream
{
public:
  Upstream(std::string aId, std::string aService, std::string aZone, int aSlots,
           const Address& aAddress, const Address& aControl, const UpstreamOptions& aOptions);
  ~Upstream();
  std::vector<Run> Runs() const;
  size_t Crashes() const { return mCrashes; }
  // Crashes now, and is back after the time of the options.
  void Crash();
  // Reports that it is draining. Returns when that was acknowledged, or 0.
  int64_t Leave();
  // Deregisters and exits.
  void Exit();

private:
  void Listen();
  void Restart();
  void Serve(Socket& aSocket, const std::atomic<bool>& aStopping);
  void Beat();
  // Returns whether the call was acknowledged.
  bool Announce(const std::string& aCall, const std::string& aState);

  std::string mId;
  std::string mService;
  std::string mZone;
  int mSlots;
  Address mAddress;
  Address mControl;
  UpstreamOptions mOptions;
  int64_t mBorn = WallMs();
  std::atomic<size_t> mCrashes{ 0 };
  std::atomic<bool> mIsDown{ false };
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<int64_t> mLeaveAcknowledged{ 0 };
  std::atomic<bool> mHasExited{ false };
  int64_t mSequence = 0;
  mutable std::mutex mMutex;
  std::condition_variable mFreed;
  int mRunning = 0;
  std::vector<Run> mRuns;
  std::atomic<bool> mStopping{ false };
  std::unique_ptr<Listener> mListener;
  std::thread mBeating;
};

struct MachineSettings
{
  std::string mName;
  std::string mService;
  std::string mZone;
  std::string mIp;
  int mSlots = 54;
  UpstreamOptions mUpstream = {};
};

// One machine: the node's process and the upstream beside it.
class Machine
{
public:
  Machine(MachineSettings aSettings, const Address& aStore, const std::string& aDirectory);
  ~Machine();

  void StartNode();
  void Signal(int aSignal);
  // Returns the exit status as waitpid states it once the process has ended.
  std::optional<int> ExitStatus();
  bool IsReady() const;

  Address At(uint16_t aPort) const { return { mSettings.mIp, aPort }; }
  Address Outbound() const { return At(kOutbound); }
  const std::string& Ip() const { return mSettings.mIp; }
  Upstream& Server() { return *mUpstream; }

  static constexpr uint16_t kServer = 18301;
  static constexpr uint16_t kReady = 18302;
  static constexpr uint16_t kOutbound = 18304;
  static constexpr uint16_t kControl = 18306;
  static constexpr uint16_t kInternal = 17620;
  static constexpr uint16_t kAdmin = 17635;
  static constexpr uint16_t kStore = 18309;

private:
  MachineSettings mSettings;
  Address mStore;
  std::string mDirectory;
  int mPid = 0;
  std::optional<int> mExitStatus;
  std::unique_ptr<Upstream> mUpstream;
};

struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  std::string mKind; // idempotent or non_idempotent
  int mTimeoutMs = 5000;
  int mPriority = 1;
  std::string mService;
  // Weights by service; used instead of mService if it is not empty.
  std::vector<std::pair<std::string, int>> mSplit = {};
};

// The operator's configuration with the limits that the pages show.
std::string ConfigText(int aVersion, const std::vector<Route>& aRoutes);

// A small deployment: a store, machines on loopback addresses of their own and a configuration.
class Deployment
{
public:
  Deployment(const std::vector<MachineSettings>& aMachines, const std::vector<Route>& aRoutes);
  ~Deployment();
  // Waits until every node is ready and serves every route. Throws if that takes too long.
  void WaitUntilReady(const std::vector<Route>& aRoutes);
  Machine& At(size_t aIndex) { return *mMachines[aIndex]; }
  size_t Size() const { return mMachines.size(); }

private:
  std::string mDirectory;
  std::unique_ptr<Store> mStore;
  std::vector<std::unique_ptr<Machine>> mMachines;
};

// Whether the case is to play its disruption.
bool HasTrouble();
// Runs the case with its record and returns the exit status of the program.
int RunCase(int aCount, char** aArguments, const std::function<bool()>& aHolds);

std::string NewId();
// The body of the request with this id, so that an upstream can tell whether it is unchanged.
std::string BodyFor(const std::string& aId, size_t aBytes);
std::string RequestText(const std::string& aMethod, const Route& aRoute, const std::string& aWork,
                        const std::string& aId, int aDeadlineMs, const std::string& aBody = "");

} // namespace lab
