#include "balsammount/backoff.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(Backoff){};

// Guards against retries that are too early, too late or synchronized.
TEST(Backoff, DoublesWithinBoundsWithJitter)
{
  Random random(7);
  Backoff backoff(100ms, 1000ms);
  for (const Duration delay : { 100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms }) {
    const Duration next = backoff.Next(random);
    CHECK(next >= delay / 2);
    CHECK(next <= delay);
  }
  backoff.Reset();
  CHECK(backoff.Next(random) <= 100ms);
}
