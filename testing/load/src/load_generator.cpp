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

// A UUIDv7: 48 bits of wall time in ms, version, random bits.
std::string MakeUuid7(Random& aRandom)
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

void CountAt(std::vector<uint64_t>& aSeconds, steady_clock::duration aTime)
{
  const auto second = static_cast<size_t>(
    std::max<int64_t>(std::chrono::duration_cast<std::chrono::seconds>(aTime).count(), 0));
  if (aSeconds.size() <= second) {
    aSeconds.resize(second + 1);
  }
  ++aSeconds[second];
}

} // namespace

struct LoadGenerator::State : std::enable_shared_from_this<State>
{
  // A caller's request over its attempts.
  struct Request
  {
    size_t mFlow = 0;
    std::string mId;
    std::string mCaller;
    std::string mKey;
    std::string mBody;
    steady_clock::time_point mIntended;
    size_t mAttempts = 0;
    std::shared_ptr<Call> mCall;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Source
  {
    explicit Source(asio::io_context& aContext, uint64_t aSeed)
      : mTimer(aContext)
      , mRandom(aSeed)
    {
    }
    asio::steady_timer mTimer;
    Random mRandom; // one per flow, so that a flow's arrivals do not depend on the others
    steady_clock::time_point mNext;
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
      mSources.push_back(std::make_unique<Source>(aContext, HashCombine(mSettings.mSeed, i)));
      mReport.mFlows.emplace_back().mName = mSettings.mFlows[i].mName;
    }
  }

  void Start(std::function<void(const LoadReport&)> aDone)
  {
    mDone = std::move(aDone);
    mStart = steady_clock::now();
    mReport.mSeconds = std::chrono::duration<double>(mSettings.mDuration).count();
    mSending = mSources.size();
    for (size_t i = 0; i < mSources.size(); ++i) {
      const Flow& flow = mSettings.mFlows[i];
      Source& source = *mSources[i];
      const auto until =
        flow.mUntil.count() == 0 ? mSettings.mDuration : std::min(flow.mUntil, mSettings.mDuration);
      source.mNext = mStart + flow.mFrom + NextGap(i);
      source.mEnd = mStart + until;
      ScheduleNext(i);
    }
    FinishIfDone();
  }

  std::chrono::nanoseconds NextGap(size_t aFlow)
  {
    const double mean = 1e9 / mSettings.mFlows[aFlow].mRate;
    return std::chrono::nanoseconds(
      static_cast<int64_t>(-std::log(1 - mSources[aFlow]->mRandom.Uniform()) * mean));
  }

  void ScheduleNext(size_t aFlow)
  {
    Source& source = *mSources[aFlow];
    if (source.mNext >= source.mEnd) {
      --mSending;
      FinishIfDone();
      return;
    }
    source.mTimer.expires_at(source.mNext);
    source.mTimer.async_wait(
      [weak = weak_from_this(), aFlow](const boost::system::error_code& aError) {
        auto self = weak.lock();
        if (!aError && self) {
          self->SendDue(aFlow);
        }
      });
  }

  void SendDue(size_t aFlow)
  {
    Source& source = *mSources[aFlow];
    while (source.mNext <= steady_clock::now() && source.mNext < source.mEnd) {
      Begin(aFlow);
      source.mNext += NextGap(aFlow);
    }
    ScheduleNext(aFlow);
  }

  void Begin(size_t aFlow)
  {
    const Flow& flow = mSettings.mFlows[aFlow];
    Source& source = *mSources[aFlow];
    auto request = std::make_shared<Request>();
    request->mFlow = aFlow;
    request->mId =
      flow.mName + "-" + std::to_string(mSettings.mSeed) + "-" + std::to_string(source.mSent++);
    request->mCaller =
      flow.mName + "-" + std::to_string(source.mRandom.Below(std::max<size_t>(flow.mCallers, 1)));
    request->mIntended = source.mNext;
    if (flow.mKey) {
      request->mKey = MakeUuid7(source.mRandom);
    }
    if (flow.mMethod != "GET") {
      request->mBody = request->mId;
      request->mBody.resize(std::max(flow.mBodyBytes, request->mBody.size()), '.');
    }
    FlowReport& report = mReport.mFlows[aFlow];
    ++report.mOffered;
    CountAt(report.mOfferedPerSecond, request->mIntended - mStart);
    mReport.mMaxSendDelay =
      std::max(mReport.mMaxSendDelay, MillisecondsBetween(request->mIntended, steady_clock::now()));
    ++mInFlight;
    Attempt(request);
  }

  // Each attempt has the whole deadline, as callers that resend in good faith have.
  void Attempt(const RequestPtr& aRequest)
  {
    const Flow& flow = mSettings.mFlows[aRequest->mFlow];
    HttpRequest message;
    message.mMethod = flow.mMethod;
    message.mTarget = flow.mPath;
    message.mBody = aRequest->mBody;
    message.mHeaders.Set("X-Test-Id", aRequest->mId);
    message.mHeaders.Set("Balsam-Caller", aRequest->mCaller);
    message.mHeaders.Set("Balsam-Deadline-Ms", std::to_string(flow.mDeadline.count()));
    if (flow.mKey) {
      message.mHeaders.Set("Idempotency-Key", aRequest->mKey);
    }
    ++aRequest->mAttempts;
    ++mReport.mFlows[aRequest->mFlow].mAttempts;
    HttpClient& client = *mClients[mRandom.Below(mClients.size())];
    aRequest->mCall =
      client.Send(std::move(message), flow.mDeadline,
                  [weak = weak_from_this(), aRequest](const Result<HttpResponse>& aResult) {
                    if (auto self = weak.lock()) {
                      self->OnAnswer(aRequest, aResult);
                    }
                  });
  }

  void OnAnswer(const RequestPtr& aRequest, const Result<HttpResponse>& aResult)
  {
    aRequest->mCall = nullptr;
    const Flow& flow = mSettings.mFlows[aRequest->mFlow];
    const Outcome outcome = OutcomeOf(*aRequest, aResult);
    // What may have run is sent again only when running it twice does no harm.
    const bool isSafe = flow.mKey || flow.mMethod == "GET" || outcome == Outcome::NotRun;
    const bool isFinal = outcome == Outcome::Good || outcome == Outcome::Wrong;
    if (isFinal || !isSafe || aRequest->mAttempts > flow.mRetries) {
      Finish(*aRequest, outcome);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(mContext, flow.mBackoff);
    timer->async_wait(
      [weak = weak_from_this(), timer, aRequest](const boost::system::error_code& aError) {
        auto self = weak.lock();
        if (!aError && self) {
          self->Attempt(aRequest);
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
    const std::string_view stated = aResult->mHeaders.Find("Balsam-Outcome");
    if (stated == "not-run") {
      return Outcome::NotRun;
    }
    if (stated == "unknown") {
      return Outcome::Unknown;
    }
    if (aResult->mStatus != 200) {
      return Outcome::Error;
    }
    return IsRight(aRequest, aResult->mBody) ? Outcome::Good : Outcome::Wrong;
  }

  bool IsRight(const Request& aRequest, const std::string& aBody) const
  {
    const Json answer = Json::parse(aBody, nullptr, false);
    return answer.is_object() && answer.value("id", Json()) == aRequest.mId &&
           answer.value("path", Json()) == mSettings.mFlows[aRequest.mFlow].mPath &&
           answer.value("hash", Json()) == Hash64(aRequest.mBody);
  }

  void Finish(const Request& aRequest, Outcome aOutcome)
  {
    FlowReport& report = mReport.mFlows[aRequest.mFlow];
    ++report.mOutcomes[static_cast<size_t>(aOutcome)];
    if (aOutcome == Outcome::Good) {
      const auto now = steady_clock::now();
      report.mLatencies.push_back(MillisecondsBetween(aRequest.mIntended, now));
      CountAt(report.mGoodPerSecond, now - mStart);
    }
    --mInFlight;
    FinishIfDone();
  }

  void FinishIfDone()
  {
    if (mSending > 0 || mInFlight > 0) {
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
  std::vector<std::unique_ptr<Source>> mSources;
  LoadReport mReport;
  std::function<void(const LoadReport&)> mDone;
  steady_clock::time_point mStart;
  size_t mSending = 0;
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
