#include "ownership_service.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;

TEST_GROUP(OwnershipService){
  static CallResult Replay(int aStatus, const std::string& aName, const std::string& aValue){
    return ReplayedCallResult({ aStatus, { { aName, aValue } }, "ok" },
                              RequestBudget::ForAttempts(1));
}
}
;

// Guards against a recorded response that is none: a node of an earlier version may have recorded
// one, and its records go on to other nodes.
TEST(OwnershipService, InvalidRecordIsNotReplayed)
{
  const CallResult valid = Replay(200, "Name", "value");
  CHECK(valid.mOutcome == AttemptOutcome::Complete);
  CHECK_EQUAL(200, valid.mResponse.mStatus);
  CHECK_EQUAL(std::string("ok"), valid.mResponse.mBody);
  for (const int status : { 0, 99, 100, 101, 199, 600, 999 }) {
    CHECK_TRUE_TEXT(Replay(status, "Name", "value").mOutcome == AttemptOutcome::Unknown,
                    std::to_string(status).c_str());
  }
  for (const char* name : { "", "Na me", "Na\x01me", "Name:", "Name\r\n" }) {
    CHECK_TRUE_TEXT(Replay(200, name, "value").mOutcome == AttemptOutcome::Unknown, name);
  }
  CHECK(Replay(200, "Name", "a\r\nOther: b").mOutcome == AttemptOutcome::Unknown);
}
