// One request on the server side and the way to answer it, and the errors of the client side.
#pragma once

#include "balsammount/error.h"
#include "balsammount/http_message.h"

#include <functional>
#include <memory>

namespace balsammount {

enum class TransportError
{
  ConnectFailed = 1, // nothing was sent
  NotProcessed,      // the peer stated that it did not process the request
  ConnectionLost,    // sent, and the connection ended before the whole answer arrived
  TimedOut,          // sent, and no whole answer arrived in time
  Cancelled,
  TooLarge,
  ListenFailed,
  BadAddress,
};

std::error_code make_error_code(TransportError aError);

// True when the failure proves that the other side did not start to process the request.
bool ProvesNotRun(const std::error_code& aError);

class Exchange
{
public:
  virtual ~Exchange() = default;
  virtual const HttpRequest& Request() const = 0;
  virtual const std::string& RemoteAddress() const = 0;

  // Sends the answer. A second call, or a call after the other side went away, has no effect.
  virtual void Respond(HttpResponse aResponse) = 0;

  // Called once if the other side goes away before the answer.
  virtual void OnCancel(std::function<void()> aCallback) = 0;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;
using ResponseCallback = std::function<void(Result<HttpResponse>)>;

// A request under way on the client side. The callback is called exactly once unless cancelled.
class Call
{
public:
  virtual ~Call() = default;
  virtual void Cancel() = 0;
};

// The handle of a call that has been answered already; cancelling it has no effect.
std::shared_ptr<Call> FinishedCall();

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::TransportError> : std::true_type
{
};
