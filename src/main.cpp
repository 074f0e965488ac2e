#include "src/cli/CommandLine.h"

int main(int aCount, char** aArguments)
{
  return heatherplank::RunCommandLine(aCount, aArguments);
}
