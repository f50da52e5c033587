// balsammountd: the node that runs beside a backend server.

#include "balsammount/node_program.h"

int main(int aCount, char** aArguments)
{
  balsammount::NodeProgram program;
  program.mName = "balsammountd";
  return balsammount::RunNodeProgram(program, aCount, aArguments);
}
