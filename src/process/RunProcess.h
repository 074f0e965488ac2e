#pragma once

#include <cstdio>
#include <string>

#include "src/base/Log.h"
#include "src/cli/ExitCodes.h"
#include "src/process/ProcessOptions.h"

namespace heatherplank {

/** Writes an error to standard error, one line with the remedy, and gives its
 * exit code. */
inline ExitCode ReportStartError(const Error& aError)
{
  std::fprintf(stderr, "heatherplank: %s\n", aError.Describe().c_str());
  return ToExitCode(aError);
}

/** Runs a Balancer or an Agent until it is told to stop: reads the settings,
 * opens everything, runs. Errors before that go to standard error. Not thread
 * safe; call once a process.
 */
template<typename Process, typename ReadSettings>
ExitCode RunProcess(const ProcessOptions& aOptions, ReadSettings aRead)
{
  if (aOptions.mSettingsFile.empty()) {
    return ReportStartError({ ErrorKind::InvalidInput,
                              "the process needs its settings",
                              "give --settings=FILE" });
  }
  auto settings = aRead(aOptions.mSettingsFile);
  if (!settings) {
    return ReportStartError(settings.error());
  }
  StartLog(settings->mName);
  auto process = Process::Make(*settings, aOptions.mFaultInjection);
  if (!process) {
    return ReportStartError(process.error());
  }
  (*process)->Run();
  return ExitCode::Ok;
}

} // namespace heatherplank
