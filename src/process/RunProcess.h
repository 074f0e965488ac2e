#pragma once

#include <cstdio>
#include <string>

#include "src/base/Log.h"
#include "src/process/ExitCodes.h"
#include "src/process/ProcessOptions.h"

namespace heatherplank {

/** Writes an error and its remedy to standard error, on one line, and returns
 * its exit code. */
inline ExitCode ReportStartError(const Error& aError)
{
  std::fprintf(stderr, "heatherplank: %s\n", aError.Describe().c_str());
  return ToExitCode(aError);
}

/** Reads the settings with aRead, creates the process with aMake and runs it
 * until it stops. Errors before the run go to standard error. Not thread safe;
 * call once per process.
 */
template<typename ReadSettings, typename MakeProcess>
ExitCode RunProcess(const ProcessOptions& aOptions, ReadSettings aRead,
                    MakeProcess aMake)
{
  if (aOptions.mSettingsFile.empty()) {
    return ReportStartError({ ErrorKind::InvalidInput,
                              "no settings file was given",
                              "pass --settings=FILE" });
  }
  auto settings = aRead(aOptions.mSettingsFile);
  if (!settings) {
    return ReportStartError(settings.error());
  }
  StartLog(settings->mName, settings->mLogFlows);
  auto process = aMake(*settings);
  if (!process) {
    return ReportStartError(process.error());
  }
  (*process)->Run();
  FlushLog();
  return ExitCode::Ok;
}

} // namespace heatherplank
