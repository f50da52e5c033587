#include "response_match.h"

namespace balsammount {

bool StatesNotRun(const HeaderNames& aNames, const HttpResponse& aResponse)
{
  return (!aNames.mNotExecuted.empty() && aResponse.mHeaders.Has(aNames.mNotExecuted)) ||
         (!aNames.mExpectedServer.empty() && aResponse.mStatus == 421);
}

ResponseMatch MatchResponse(const HeaderNames& aNames, std::string_view aRequestId,
                            const HttpResponse& aResponse)
{
  if (!aNames.mKeepRequestId) {
    return ResponseMatch::Own;
  }
  const std::string_view id = aResponse.mHeaders.Find(aNames.mRequestId);
  if (!id.empty() && id != aRequestId) {
    return ResponseMatch::Other;
  }
  const bool isSuccess = aResponse.mStatus / 100 == 2;
  if (isSuccess) {
    const bool hasStamp =
      aNames.mServerStamp.empty() || aResponse.mHeaders.Has(aNames.mServerStamp);
    return !id.empty() && hasStamp ? ResponseMatch::Own : ResponseMatch::Other;
  }
  // Without an id, a refusal may be the repetition of an earlier one while the server runs this
  // request.
  return id.empty() && StatesNotRun(aNames, aResponse) ? ResponseMatch::Ambiguous
                                                       : ResponseMatch::Own;
}

} // namespace balsammount
