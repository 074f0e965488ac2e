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

/** Runs a process until it is told to stop: reads its settings with aRead,
 * opens everything with aMake, runs. Errors before that go to standard error.
 * Not thread safe; call once a process.
 */
template<typename ReadSettings, typename MakeProcess>
ExitCode RunProcess(const ProcessOptions& aOptions, ReadSettings aRead,
                    MakeProcess aMake)
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
