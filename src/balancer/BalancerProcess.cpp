#include "src/balancer/BalancerProcess.h"

#include <cstdio>

#include "src/balancer/Balancer.h"
#include "src/base/Log.h"

namespace heatherplank {

namespace {

ExitCode Report(const Error& aError)
{
  std::fprintf(stderr, "heatherplank: %s\n", aError.Describe().c_str());
  return ToExitCode(aError);
}

} // namespace

ExitCode RunBalancerProcess(const ProcessOptions& aOptions)
{
  if (aOptions.mSettingsFile.empty()) {
    return Report({ ErrorKind::InvalidInput, "balancer needs its settings",
                    "give --settings=FILE" });
  }
  auto settings = ReadBalancerSettings(aOptions.mSettingsFile);
  if (!settings) {
    return Report(settings.error());
  }
  StartLog(settings->mName);
  auto balancer = Balancer::Make(*settings, aOptions.mFaultInjection);
  if (!balancer) {
    return Report(balancer.error());
  }
  (*balancer)->Run();
  return ExitCode::Ok;
}

} // namespace heatherplank
