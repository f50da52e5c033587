#include <CppUTest/CommandLineTestRunner.h>

int main(int aCount, char** aArguments)
{
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
