#include "src/agent/AgentProcess.h"

#include <cstdio>

#include "src/agent/Agent.h"
#include "src/base/Log.h"

namespace heatherplank {

namespace {

ExitCode Report(const Error& aError)
{
  std::fprintf(stderr, "heatherplank: %s\n", aError.Describe().c_str());
  return ToExitCode(aError);
}

} // namespace

ExitCode RunAgentProcess(const ProcessOptions& aOptions)
{
  if (aOptions.mSettingsFile.empty()) {
    return Report({ ErrorKind::InvalidInput, "agent needs its settings",
                    "give --settings=FILE" });
  }
  auto settings = ReadAgentSettings(aOptions.mSettingsFile);
  if (!settings) {
    return Report(settings.error());
  }
  StartLog(settings->mName);
  auto agent = Agent::Make(*settings, aOptions.mFaultInjection);
  if (!agent) {
    return Report(agent.error());
  }
  (*agent)->Run();
  return ExitCode::Ok;
}

} // namespace heatherplank
