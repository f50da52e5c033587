#include "balsammount/ctl.h"
#include "balsammount/log.h"

#include <iostream>

int main(int aCount, char** aArguments)
{
  using namespace balsammount;
  LogToStandardError();
  CtlEnvironment environment{ std::cout, std::cerr, OpenStore,
                              [] { return SystemClock().WallNow(); } };
  try {
    return static_cast<int>(RunCtl({ aArguments + 1, aArguments + aCount }, environment));
  } catch (const std::exception& error) {
    std::cerr << "balsamctl: " << error.what() << '\n';
    return static_cast<int>(ExitCode::Failed);
  }
}
