// balsammountd: runs a node beside a backend server.

#include "balsammount/node_program.h"

int main(int aArgc, char** aArgv)
{
  balsammount::NodeProgram program;
  program.mName = "balsammountd";
  return balsammount::RunNodeProgram(program, aArgc, aArgv);
}
