#include "balsammount/load_generator.h"

#include "balsammount/hash.h"
#include "balsammount/http_client.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cmath>

namespace balsammount {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::steady_clock;

namespace {

float MillisecondsBetween(steady_clock::time_point aFrom, steady_clock::time_point aTo)
{
  return std::chrono::duration<float, std::milli>(aTo - aFrom).count();
}

// A UUIDv7 consists of 48 bits of wall time in ms, the version and random bits.
std::string MakeUuidV7(Random& aRandom)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto time =
    static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  const uint64_t high = time << 16 | 0x7000 | (aRandom.Next() & 0x0fff);
  const uint64_t low = 0x8000000000000000 | aRandom.Next() >> 2;
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx",
                static_cast<unsigned>(high >> 32), static_cast<unsigned>(high >> 16 & 0xffff),
                static_cast<unsigned>(high & 0xffff), static_cast<unsigned>(low >> 48),
                static_cast<unsigned long long>(low & 0xffffffffffff));
  return text.data();
}

void CountInSecond(std::vector<uint64_t>& aCounts, steady_clock::duration aTime)
{
  const auto second = static_cast<size_t>(
    std::max<int64_t>(std::chrono::duration_cast<std::chrono::seconds>(aTime).count(), 0));
  if (aCounts.size() <= second) {
    aCounts.resize(second + 1);
  }
  ++aCounts[second];
}

} // namespace

struct LoadGenerator::State : std::enable_shared_from_this<State>
{
  // A caller's request with all its attempts.
  struct Request
  {
    size_t mFlow = 0;
    std::string mId;
    std::string mCaller;
    std::string mKey;
    std::string mBody;
    steady_clock::time_point mIntendedSendTime;
    size_t mAttempts = 0;
    std::shared_ptr<Call> mCall;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct FlowSender
  {
    explicit FlowSender(asio::io_context& aContext, uint64_t aSeed)
      : mTimer(aContext)
      , mRandom(aSeed)
    {
    }
    asio::steady_timer mTimer;
    Random mRandom; // one per flow, so that arrivals are independent of other flows
    steady_clock::time_point mNextSend;
    steady_clock::time_point mEnd;
    uint64_t mSent = 0;
  };

  State(asio::io_context& aContext, LoadSettings aSettings)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mRandom(mSettings.mSeed)
  {
    for (const auto& target : mSettings.mTargets) {
      mClients.push_back(std::make_unique<HttpClient>(aContext, target));
    }
    for (size_t i = 0; i < mSettings.mFlows.size(); ++i) {
      mSenders.push_back(std::make_unique<FlowSender>(aContext, HashCombine(mSettings.mSeed, i)));
      mReport.mFlows.emplace_back().mName = mSettings.mFlows[i].mName;
    }
  }

  void Start(std::function<void(const LoadReport&)> aDone)
  {
    mDone = std::move(aDone);
    mStart = steady_clock::now();
    mReport.mDurationSeconds = std::chrono::duration<double>(mSettings.mDuration).count();
    mActiveFlows = mSenders.size();
    for (size_t i = 0; i < mSenders.size(); ++i) {
      const Flow& flow = mSettings.mFlows[i];
      FlowSender& sender = *mSenders[i];
      const auto until =
        flow.mUntil.count() == 0 ? mSettings.mDuration : std::min(flow.mUntil, mSettings.mDuration);
      sender.mNextSend = mStart + flow.mFrom + NextInterarrival(i);
      sender.mEnd = mStart + until;
      ScheduleNext(i);
    }
    FinishIfDone();
  }

  std::chrono::nanoseconds NextInterarrival(size_t aFlow)
  {
    const double mean = 1e9 / mSettings.mFlows[aFlow].mRate;
    return std::chrono::nanoseconds(
      static_cast<int64_t>(-std::log(1 - mSenders[aFlow]->mRandom.Uniform()) * mean));
  }

  void ScheduleNext(size_t aFlow)
  {
    FlowSender& sender = *mSenders[aFlow];
    if (sender.mNextSend >= sender.mEnd) {
      --mActiveFlows;
      FinishIfDone();
      return;
    }
    sender.mTimer.expires_at(sender.mNextSend);
    sender.mTimer.async_wait(
      [weak = weak_from_this(), aFlow](const boost::system::error_code& aError) {
        auto self = weak.lock();
        if (!aError && self) {
          self->SendDue(aFlow);
        }
      });
  }

  void SendDue(size_t aFlow)
  {
    FlowSender& sender = *mSenders[aFlow];
    while (sender.mNextSend <= steady_clock::now() && sender.mNextSend < sender.mEnd) {
      SendRequest(aFlow);
      sender.mNextSend += NextInterarrival(aFlow);
    }
    ScheduleNext(aFlow);
  }

  void SendRequest(size_t aFlow)
  {
    const Flow& flow = mSettings.mFlows[aFlow];
    FlowSender& sender = *mSenders[aFlow];
    auto request = std::make_shared<Request>();
    request->mFlow = aFlow;
    request->mId =
      flow.mName + "-" + std::to_string(mSettings.mSeed) + "-" + std::to_string(sender.mSent++);
    request->mCaller =
      flow.mName + "-" + std::to_string(sender.mRandom.Below(std::max<size_t>(flow.mCallers, 1)));
    request->mIntendedSendTime = sender.mNextSend;
    if (flow.mKey) {
      request->mKey = MakeUuidV7(sender.mRandom);
    }
    if (flow.mMethod != "GET") {
      request->mBody = request->mId;
      request->mBody.resize(std::max(flow.mBodyBytes, request->mBody.size()), '.');
    }
    FlowReport& report = mReport.mFlows[aFlow];
    ++report.mOffered;
    CountInSecond(report.mOfferedPerSecond, request->mIntendedSendTime - mStart);
    mReport.mMaxSendDelay = std::max(
      mReport.mMaxSendDelay, MillisecondsBetween(request->mIntendedSendTime, steady_clock::now()));
    ++mInFlight;
    SendAttempt(request);
  }

  // Each attempt gets the full deadline, as a caller that retries would set it again.
  void SendAttempt(const RequestPtr& aRequest)
  {
    const Flow& flow = mSettings.mFlows[aRequest->mFlow];
    HttpRequest httpRequest;
    httpRequest.mMethod = flow.mMethod;
    httpRequest.mTarget = flow.mPath;
    httpRequest.mBody = aRequest->mBody;
    httpRequest.mHeaders.Set("X-Test-Id", aRequest->mId);
    httpRequest.mHeaders.Set("Balsam-Caller", aRequest->mCaller);
    httpRequest.mHeaders.Set("Balsam-Deadline-Ms", std::to_string(flow.mDeadline.count()));
    if (flow.mKey) {
      httpRequest.mHeaders.Set("Idempotency-Key", aRequest->mKey);
    }
    ++aRequest->mAttempts;
    ++mReport.mFlows[aRequest->mFlow].mAttempts;
    HttpClient& client = *mClients[mRandom.Below(mClients.size())];
    aRequest->mCall =
      client.Send(std::move(httpRequest), flow.mDeadline,
                  [weak = weak_from_this(), aRequest](const Result<HttpResponse>& aResult) {
                    if (auto self = weak.lock()) {
                      self->OnResponse(aRequest, aResult);
                    }
                  });
  }

  void OnResponse(const RequestPtr& aRequest, const Result<HttpResponse>& aResult)
  {
    aRequest->mCall = nullptr;
    const Flow& flow = mSettings.mFlows[aRequest->mFlow];
    const Outcome outcome = OutcomeOf(*aRequest, aResult);
    // A request that may have been executed is retried only if it is idempotent.
    const bool canRetry = flow.mKey || flow.mMethod == "GET" || outcome == Outcome::NotRun;
    const bool isFinal = outcome == Outcome::Success || outcome == Outcome::WrongResponse;
    if (isFinal || !canRetry || aRequest->mAttempts > flow.mRetries) {
      Finish(*aRequest, outcome);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(mContext, flow.mBackoff);
    timer->async_wait(
      [weak = weak_from_this(), timer, aRequest](const boost::system::error_code& aError) {
        auto self = weak.lock();
        if (!aError && self) {
          self->SendAttempt(aRequest);
        }
      });
  }

  Outcome OutcomeOf(const Request& aRequest, const Result<HttpResponse>& aResult) const
  {
    if (!aResult) {
      const std::error_code code = aResult.error().mCode;
      if (ProvesNotRun(code)) {
        return Outcome::NotRun;
      }
      return code == TransportError::TimedOut ? Outcome::TimedOut : Outcome::Unknown;
    }
    const std::string_view reportedOutcome = aResult->mHeaders.Find("Balsam-Outcome");
    if (reportedOutcome == "not-run") {
      return Outcome::NotRun;
    }
    if (reportedOutcome == "unknown") {
      return Outcome::Unknown;
    }
    if (aResult->mStatus != 200) {
      return Outcome::Error;
    }
    return IsExpectedResponse(aRequest, aResult->mBody) ? Outcome::Success : Outcome::WrongResponse;
  }

  bool IsExpectedResponse(const Request& aRequest, const std::string& aBody) const
  {
    const Json response = Json::parse(aBody, nullptr, false);
    return response.is_object() && response.value("id", Json()) == aRequest.mId &&
           response.value("path", Json()) == mSettings.mFlows[aRequest.mFlow].mPath &&
           response.value("hash", Json()) == Hash64(aRequest.mBody);
  }

  void Finish(const Request& aRequest, Outcome aOutcome)
  {
    FlowReport& report = mReport.mFlows[aRequest.mFlow];
    ++report.mOutcomes[static_cast<size_t>(aOutcome)];
    if (aOutcome == Outcome::Success) {
      const auto now = steady_clock::now();
      report.mLatencies.push_back(MillisecondsBetween(aRequest.mIntendedSendTime, now));
      CountInSecond(report.mGoodputPerSecond, now - mStart);
    }
    --mInFlight;
    FinishIfDone();
  }

  void FinishIfDone()
  {
    if (mActiveFlows > 0 || mInFlight > 0) {
      return;
    }
    if (auto done = std::exchange(mDone, nullptr)) {
      done(mReport);
    }
  }

  asio::io_context& mContext;
  LoadSettings mSettings;
  Random mRandom;
  std::vector<std::unique_ptr<HttpClient>> mClients;
  std::vector<std::unique_ptr<FlowSender>> mSenders;
  LoadReport mReport;
  std::function<void(const LoadReport&)> mDone;
  steady_clock::time_point mStart;
  size_t mActiveFlows = 0;
  size_t mInFlight = 0;
};

LoadGenerator::LoadGenerator(asio::io_context& aContext, LoadSettings aSettings)
  : mState(std::make_shared<State>(aContext, std::move(aSettings)))
{
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start(std::function<void(const LoadReport&)> aDone)
{
  mState->Start(std::move(aDone));
}

const LoadReport& LoadGenerator::Report() const
{
  return mState->mReport;
}

} // namespace balsammount
