#include "response_match.h"

#include "samples.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;

namespace {

HttpResponse Response(unsigned aStatus, const char* aId,
                      std::initializer_list<const char*> aHeaders)
{
  HttpResponse response;
  response.mStatus = aStatus;
  if (aId) {
    response.mHeaders.Set("Id", aId);
  }
  for (const char* name : aHeaders) {
    response.mHeaders.Set(name, "1");
  }
  return response;
}

} // namespace

TEST_GROUP(ResponseMatch)
{
  HeaderNames mNames = NamesWithRequestId();

  ResponseMatch Match(const HttpResponse& aResponse)
  {
    return MatchResponse(mNames, "mine", aResponse);
  }
};

// Guards against a request that runs twice: the server repeated its refusal of an earlier request
// while it ran this one, which was then sent to another server.
TEST(ResponseMatch, RefusalOfAnotherRequestIsDropped)
{
  CHECK(Match(Response(503, "other", { "Not-Run" })) == ResponseMatch::Other);
  CHECK(Match(Response(429, "other", { "Not-Run" })) == ResponseMatch::Other);
  CHECK(Match(Response(421, "other", {})) == ResponseMatch::Other);
  CHECK(Match(Response(503, "mine", { "Not-Run" })) == ResponseMatch::Own);
  CHECK(Match(Response(421, "mine", {})) == ResponseMatch::Own);
}

// Guards against the same fault with a refusal that bears no id.
TEST(ResponseMatch, RefusalWithoutIdProvesNothing)
{
  CHECK(Match(Response(503, nullptr, { "Not-Run" })) == ResponseMatch::Ambiguous);
  CHECK(Match(Response(400, nullptr, { "Not-Run" })) == ResponseMatch::Ambiguous);
  CHECK(Match(Response(421, nullptr, {})) == ResponseMatch::Ambiguous);
}

// Guards against a caller that gets the answer to another request.
TEST(ResponseMatch, AnswerOfAnotherRequestIsDropped)
{
  CHECK(Match(Response(200, "mine", { "Stamp" })) == ResponseMatch::Own);
  CHECK(Match(Response(200, "other", { "Stamp" })) == ResponseMatch::Other);
  CHECK(Match(Response(200, nullptr, { "Stamp" })) == ResponseMatch::Other);
  CHECK(Match(Response(200, "mine", {})) == ResponseMatch::Other);
  CHECK(Match(Response(500, "other", { "Stamp" })) == ResponseMatch::Other);
  CHECK(Match(Response(500, "mine", { "Stamp" })) == ResponseMatch::Own);
  CHECK(Match(Response(500, nullptr, {})) == ResponseMatch::Own);
}

TEST(ResponseMatch, EveryResponseMatchesWithoutRequestIds)
{
  mNames.mKeepRequestId = false;
  CHECK(Match(Response(503, nullptr, { "Not-Run" })) == ResponseMatch::Own);
  CHECK(Match(Response(200, "other", {})) == ResponseMatch::Own);
}
