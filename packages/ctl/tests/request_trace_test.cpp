#include "balsammount/request_trace.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace balsammount;

TEST_GROUP(RequestTrace)
{
  RequestTrace mTrace;

  void Read(const char* aFile, const std::string& aText)
  {
    std::istringstream log(aText);
    ReadLog(log, aFile, "7-1", mTrace);
  }
};

// Guards against records out of order or without the name of their node.
TEST(RequestTrace, SortsLinesOfSeveralNodesByTime)
{
  Read(
    "entry.log",
    R"({"time":"2026-12-04T10:00:00.000Z","part":"node","event":"start","node":"entry-1"})"
    "\n"
    R"({"time":"2026-12-04T10:00:02.000Z","part":"entry","event":"refused","request":"7-1","reason":"overload","elapsed_ms":5.5})"
    "\n"
    R"({"time":"2026-12-04T10:00:02.000Z","part":"entry","event":"refused","request":"7-2","reason":"overload"})"
    "\n");
  Read(
    "orders.log",
    "  1.02 orders-2 "
    R"({"time":"2026-12-04T10:00:01.000Z","part":"backend","event":"server-refused","request":"7-1","status":503})"
    "\n");
  SortByTime(mTrace);
  CHECK_EQUAL(2, mTrace.mRecords.size());
  STRCMP_EQUAL("orders-2", mTrace.mRecords[0].mNode.c_str());
  STRCMP_EQUAL("status=503", mTrace.mRecords[0].mDetails.c_str());
  STRCMP_EQUAL("entry-1", mTrace.mRecords[1].mNode.c_str());
  STRCMP_EQUAL("reason=overload elapsed_ms=5.5", mTrace.mRecords[1].mDetails.c_str());
  CHECK(Explain(mTrace.mRecords[1]).starts_with("refused, not run: no upstream had room"));
}

// Guards against dropped lines that are not counted, and against malformed input.
TEST(RequestTrace, CountsDroppedAndMalformedLines)
{
  Read("entry.log", "{\"part\":\"entry\",\n"
                    "plain text\n"
                    "{\"part\":\"store\",\"event\":\"lost\",\"dropped\":7}\n"
                    "{\"part\":1,\"request\":[\"7-1\"]}\n");
  CHECK_EQUAL(0, mTrace.mRecords.size());
  CHECK_EQUAL(1, mTrace.mUnreadable);
  CHECK_EQUAL(7, mTrace.mDropped);
}

// Guards against an outcome of a request that has no explanation.
TEST(RequestTrace, EveryOutcomeIsExplained)
{
  for (const char* event : { "refused", "unknown", "server-error", "throttled", "rejected" }) {
    LogRecord record;
    record.mPart = "entry";
    record.mEvent = event;
    CHECK_FALSE(Explain(record).empty());
  }
}
