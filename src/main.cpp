#include "platform/MakePlatformAdapter.h"
#include "src/cli/CommandLine.h"

int main(int aCount, char** aArguments)
{
  auto adapter = heatherplank::MakePlatformAdapter();
  return heatherplank::RunCommandLine(aCount, aArguments, *adapter);
}
