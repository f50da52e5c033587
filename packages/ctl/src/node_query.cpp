#include "node_query.h"

#include "balsammount/endpoint.h"
#include "balsammount/http_client.h"

#include <boost/asio/io_context.hpp>

namespace balsammount::detail {

namespace {

using namespace std::chrono_literals;

constexpr auto kNodeTimeout = 5s;

Result<HttpResponse> SendRequest(const std::string& aNode, HttpRequest aRequest)
{
  const auto endpoint = ParseEndpoint(aNode);
  if (!endpoint) {
    return endpoint.error();
  }
  boost::asio::io_context context;
  HttpClient client(context, *endpoint);
  Result<HttpResponse> result = Failure{ TransportError::TimedOut, aNode };
  const auto call =
    client.Send(std::move(aRequest), kNodeTimeout, [&](Result<HttpResponse> aResponse) {
      result = std::move(aResponse);
      context.stop();
    });
  context.run();
  return result;
}

} // namespace

Result<Json> QueryNode(const std::string& aNode, HttpRequest aRequest)
{
  auto response = SendRequest(aNode, std::move(aRequest));
  if (!response) {
    return response.error();
  }
  auto body = Json::parse(response->mBody, nullptr, false);
  if (body.is_discarded()) {
    return Failure{ make_error_code(std::errc::protocol_error),
                    aNode + ": response is not JSON, status " + std::to_string(response->mStatus) };
  }
  if (response->mStatus >= 400) {
    return Failure{ make_error_code(std::errc::operation_not_permitted),
                    aNode + ": " + body.value("error", std::to_string(response->mStatus)) };
  }
  return body;
}

Result<std::map<uint64_t, uint64_t, std::greater<>>> CountRevisions(const std::string& aNode)
{
  HttpRequest request;
  request.mTarget = "/members";
  const auto members = QueryNode(aNode, std::move(request));
  if (!members) {
    return members.error();
  }
  std::map<uint64_t, uint64_t, std::greater<>> counts;
  for (const Json& member : *members) {
    ++counts[member.value("config_revision", uint64_t(0))];
  }
  return counts;
}

} // namespace balsammount::detail
