// review_cases CASE PROGRAM ROOT FOLDER RECORD TROUBLE
#include <cstdio>
#include <map>
#include <string>

#include "review/standins/Cases.h"

int main(int aArgc, char** aArgv)
{
  using namespace heatherplank::review;
  using Case = Verdict (*)(const Deployment::Options&, Record&, bool);
  const std::map<std::string, Case> cases{
    { "foreign-ping-reset", RunForeignPingReset },
    { "foreign-ping-drain", RunForeignPingDrain },
    { "roll-after-route-change", RunRollAfterRouteChange },
  };
  constexpr int kArguments = 7;
  auto it = aArgc == kArguments ? cases.find(aArgv[1]) : cases.end();
  if (it == cases.end()) {
    std::fprintf(stderr,
                 "usage: review_cases CASE PROGRAM ROOT FOLDER RECORD 0|1\n");
    return static_cast<int>(Verdict::CouldNotRun);
  }
  Record record(aArgv[5]);
  if (!record.IsOpen()) {
    std::fprintf(stderr, "cannot write %s\n", aArgv[5]);
    return static_cast<int>(Verdict::CouldNotRun);
  }
  Deployment::Options options;
  options.mProgram = aArgv[2];
  options.mRoot = aArgv[3];
  options.mFolder = aArgv[4];
  bool trouble = std::string(aArgv[6]) != "0";
  record.Line(std::string(aArgv[1]) +
              (trouble ? " with the disruption" : " without the disruption"));
  Verdict verdict = it->second(options, record, trouble);
  record.Line("exit " + std::to_string(static_cast<int>(verdict)));
  std::printf("%s: exit %d\n", aArgv[1], static_cast<int>(verdict));
  return static_cast<int>(verdict);
}
