#include "balsammount/backend_standin.h"

#include "balsammount/hash.h"
#include "balsammount/http_client.h"
#include "balsammount/random.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <set>

namespace balsammount {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::steady_clock;

namespace {

// Used for requests without a deadline header.
constexpr std::chrono::milliseconds kDefaultDeadline{ 30'000 };
constexpr std::string_view kRequestIdHeader = "Balsam-Request-Id";
constexpr std::string_view kTestIdHeader = "X-Test-Id";
constexpr std::string_view kDeadlineHeader = "Balsam-Deadline-Ms";

std::chrono::milliseconds DeadlineOf(const HttpRequest& aRequest)
{
  const std::string_view text = aRequest.mHeaders.Find(kDeadlineHeader);
  int64_t value = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() ? std::chrono::milliseconds(value) : kDefaultDeadline;
}

std::string PathOf(const HttpRequest& aRequest)
{
  return aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
}

HttpResponse JsonResponse(unsigned aStatus, const Json& aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mBody = aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

} // namespace

struct BackendStandin::State : std::enable_shared_from_this<State>
{
  // A request from its arrival to its response.
  struct Execution
  {
    Execution(asio::io_context& aContext, std::shared_ptr<Exchange> aExchange)
      : mExchange(std::move(aExchange))
      , mDeadline(steady_clock::now() + DeadlineOf(mExchange->Request()))
      , mTimer(aContext)
    {
    }
    std::shared_ptr<Exchange> mExchange;
    steady_clock::time_point mDeadline;
    asio::steady_timer mTimer;
    std::shared_ptr<Call> mCall;
    Json mResponses = Json::array();
    bool mRunning = false;
    bool mFinished = false;
  };
  using ExecutionPtr = std::shared_ptr<Execution>;

  State(asio::io_context& aContext, BackendSettings aSettings)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mRandom(mSettings.mSeed)
    , mStart(steady_clock::now())
  {
    if (mSettings.mEgress) {
      mEgress = std::make_unique<HttpClient>(aContext, *mSettings.mEgress);
    }
  }

  void Handle(const std::shared_ptr<Exchange>& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    if (request.mTarget.starts_with("/standin/")) {
      aExchange->Respond(HandleControl(request));
      return;
    }
    ++mCounters.mReceived;
    if (!mCrashPath.empty() && PathOf(request) == mCrashPath) {
      Crash();
      return;
    }
    auto execution = std::make_shared<Execution>(mContext, aExchange);
    aExchange->OnCancel([weak = weak_from_this(), target = std::weak_ptr(execution)] {
      auto self = weak.lock();
      auto cancelled = target.lock();
      if (self && cancelled) {
        self->Cancel(cancelled);
      }
    });
    mQueue.push_back(std::move(execution));
    StartNext();
  }

  void Crash() const
  {
    if (mSettings.mOnCrash) {
      mSettings.mOnCrash();
      return;
    }
    std::_Exit(3);
  }

  void StartNext()
  {
    while (!mFrozen && mRunning.size() < mSettings.mSlots && !mQueue.empty()) {
      const ExecutionPtr execution = std::move(mQueue.front());
      mQueue.pop_front();
      if (steady_clock::now() >= execution->mDeadline) {
        ++mCounters.mExpired;
        execution->mFinished = true;
        execution->mExchange->Respond(JsonResponse(504, { { "error", "deadline exceeded" } }));
        continue;
      }
      Execute(execution);
    }
  }

  void Execute(const ExecutionPtr& aExecution)
  {
    const Headers& headers = aExecution->mExchange->Request().mHeaders;
    ++mCounters.mExecuted;
    if (headers.Has("Idempotency-Key")) {
      ++mExecutionsByKey[std::string(headers.Find("Idempotency-Key"))];
    }
    if (headers.Has(kTestIdHeader)) {
      ++mExecutionsById[std::string(headers.Find(kTestIdHeader))];
    }
    aExecution->mRunning = true;
    mRunning.insert(aExecution);
    aExecution->mTimer.expires_after(ServiceTime());
    aExecution->mTimer.async_wait(
      [weak = weak_from_this(), aExecution](const boost::system::error_code& aError) {
        auto self = weak.lock();
        if (!aError && self) {
          self->ContinueExecution(aExecution);
        }
      });
  }

  std::chrono::nanoseconds ServiceTime()
  {
    double factor = mServiceTimeFactor;
    const auto age = steady_clock::now() - mStart;
    if (age < mSettings.mColdStart) {
      const double progress = std::chrono::duration<double>(age) / mSettings.mColdStart;
      factor *= kColdStartFactor - (kColdStartFactor - 1) * progress;
    }
    if (mSettings.mDistribution == Distribution::Exponential) {
      factor *= -std::log(1 - mRandom.Uniform());
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(mSettings.mServiceTime * factor);
  }

  // Starts the next outgoing call of an execution, or completes the execution.
  void ContinueExecution(const ExecutionPtr& aExecution)
  {
    if (aExecution->mFinished) {
      return;
    }
    if (mFrozen) {
      mPaused.push_back(aExecution);
      return;
    }
    if (!mEgress || aExecution->mResponses.size() == mSettings.mCalls.size()) {
      ++mCounters.mCompleted;
      Finish(aExecution, JsonResponse(200, ResponseBody(*aExecution)));
      return;
    }
    CallNext(aExecution);
  }

  void CallNext(const ExecutionPtr& aExecution)
  {
    const HttpRequest& request = aExecution->mExchange->Request();
    const std::string& path = mSettings.mCalls[aExecution->mResponses.size()];
    HttpRequest call;
    call.mTarget = path;
    for (const std::string_view name : { kRequestIdHeader, kTestIdHeader }) {
      if (request.mHeaders.Has(name)) {
        call.mHeaders.Set(name, request.mHeaders.Find(name));
      }
    }
    const auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(aExecution->mDeadline - steady_clock::now());
    call.mHeaders.Set(kDeadlineHeader, std::to_string(std::max<int64_t>(remaining.count(), 1)));
    aExecution->mCall = mEgress->Send(
      std::move(call), std::max(remaining, std::chrono::milliseconds(1)),
      [weak = weak_from_this(), aExecution, path](const Result<HttpResponse>& aResult) {
        if (auto self = weak.lock()) {
          self->OnResponse(aExecution, path, aResult);
        }
      });
  }

  void OnResponse(const ExecutionPtr& aExecution, const std::string& aPath,
                  const Result<HttpResponse>& aResult)
  {
    aExecution->mCall = nullptr;
    const unsigned status = aResult ? aResult->mStatus : 0;
    if (status < 200 || status > 299) {
      ++mCounters.mFailedCalls;
      const std::string_view outcome =
        aResult ? aResult->mHeaders.Find("Balsam-Outcome") : std::string_view();
      Finish(aExecution,
             JsonResponse(502, { { "name", mSettings.mName },
                                 { "error", aResult ? "call refused" : Describe(aResult.error()) },
                                 { "call", aPath },
                                 { "status", status },
                                 { "outcome", outcome } }));
      return;
    }
    Json response = Json::parse(aResult->mBody, nullptr, false);
    aExecution->mResponses.push_back(
      { { "path", aPath }, { "status", status }, { "answer", std::move(response) } });
    ContinueExecution(aExecution);
  }

  Json ResponseBody(const Execution& aExecution) const
  {
    const HttpRequest& request = aExecution.mExchange->Request();
    return { { "name", mSettings.mName },       { "method", request.mMethod },
             { "path", request.mTarget },       { "id", request.mHeaders.Find(kTestIdHeader) },
             { "hash", Hash64(request.mBody) }, { "calls", aExecution.mResponses } };
  }

  void Finish(const ExecutionPtr& aExecution, HttpResponse aResponse)
  {
    aExecution->mFinished = true;
    mRunning.erase(aExecution);
    aExecution->mExchange->Respond(std::move(aResponse));
    StartNext();
  }

  void Cancel(const ExecutionPtr& aExecution)
  {
    if (std::exchange(aExecution->mFinished, true)) {
      return;
    }
    ++mCounters.mCancelled;
    aExecution->mTimer.cancel();
    if (aExecution->mCall) {
      aExecution->mCall->Cancel();
    }
    std::erase(mQueue, aExecution);
    mRunning.erase(aExecution);
    StartNext();
  }

  HttpResponse HandleControl(const HttpRequest& aRequest)
  {
    if (aRequest.mMethod == "GET" && aRequest.mTarget == "/standin/executions") {
      Json report = CountersJson();
      report["keys"] = mExecutionsByKey;
      report["ids"] = mExecutionsById;
      return JsonResponse(200, report);
    }
    if (aRequest.mMethod == "GET" && aRequest.mTarget == "/standin/counters") {
      return JsonResponse(200, CountersJson());
    }
    if (aRequest.mMethod != "POST" || aRequest.mTarget != "/standin/faults") {
      return JsonResponse(404, { { "error", "no such control" } });
    }
    try {
      return SetFaults(Json::parse(aRequest.mBody));
    } catch (const Json::exception& error) {
      return JsonResponse(400, { { "error", error.what() } });
    }
  }

  HttpResponse SetFaults(const Json& aFaults)
  {
    const double factor = aFaults.value("service_time_factor", mServiceTimeFactor);
    const std::string crashPath = aFaults.value("crash_on_path", mCrashPath);
    const bool frozen = aFaults.value("freeze", mFrozen);
    mServiceTimeFactor = std::max(factor, 0.0);
    mCrashPath = crashPath;
    if (std::exchange(mFrozen, frozen) && !frozen) {
      for (const ExecutionPtr& paused : std::exchange(mPaused, {})) {
        ContinueExecution(paused);
      }
      StartNext();
    }
    return JsonResponse(200, { { "service_time_factor", mServiceTimeFactor },
                               { "crash_on_path", mCrashPath },
                               { "freeze", mFrozen } });
  }

  Json CountersJson() const
  {
    uint64_t repeated = 0;
    for (const auto& [key, count] : mExecutionsByKey) {
      repeated += count > 1 ? 1 : 0;
    }
    return { { "name", mSettings.mName },
             { "received", mCounters.mReceived },
             { "executed", mCounters.mExecuted },
             { "completed", mCounters.mCompleted },
             { "failed_calls", mCounters.mFailedCalls },
             { "expired", mCounters.mExpired },
             { "cancelled", mCounters.mCancelled },
             { "running", mRunning.size() },
             { "queued", mQueue.size() },
             { "keys_executed", mExecutionsByKey.size() },
             { "keys_executed_again", repeated } };
  }

  asio::io_context& mContext;
  BackendSettings mSettings;
  Random mRandom;
  steady_clock::time_point mStart;
  std::unique_ptr<HttpClient> mEgress;
  std::unique_ptr<HttpServer> mServer;
  std::deque<ExecutionPtr> mQueue;
  std::set<ExecutionPtr> mRunning;
  std::vector<ExecutionPtr> mPaused; // their service time elapsed while frozen
  BackendCounters mCounters;
  std::map<std::string, uint64_t> mExecutionsByKey;
  std::map<std::string, uint64_t> mExecutionsById;
  double mServiceTimeFactor = 1;
  std::string mCrashPath;
  bool mFrozen = false;
};

BackendStandin::BackendStandin(asio::io_context& aContext, BackendSettings aSettings)
  : mState(std::make_shared<State>(aContext, std::move(aSettings)))
{
  mState->mServer = std::make_unique<HttpServer>(
    aContext, mState->mSettings.mListen, HttpServerLimits{},
    [weak = std::weak_ptr(mState)](const std::shared_ptr<Exchange>& aExchange) {
      if (auto state = weak.lock()) {
        state->Handle(aExchange);
      }
    });
}

BackendStandin::~BackendStandin()
{
  Stop();
  for (const auto& execution : mState->mRunning) {
    execution->mTimer.cancel();
    if (execution->mCall) {
      execution->mCall->Cancel();
    }
  }
}

Result<void> BackendStandin::Start()
{
  return mState->mServer->Start();
}

void BackendStandin::Stop()
{
  mState->mServer->Stop();
}

uint16_t BackendStandin::Port() const
{
  return mState->mServer->Port();
}

const BackendCounters& BackendStandin::Counters() const
{
  return mState->mCounters;
}

uint64_t BackendStandin::ExecutionsOfKey(const std::string& aKey) const
{
  const auto found = mState->mExecutionsByKey.find(aKey);
  return found == mState->mExecutionsByKey.end() ? 0 : found->second;
}

uint64_t BackendStandin::ExecutionsOfId(const std::string& aId) const
{
  const auto found = mState->mExecutionsById.find(aId);
  return found == mState->mExecutionsById.end() ? 0 : found->second;
}

} // namespace balsammount
