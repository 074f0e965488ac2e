#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "include/heatherplank/Error.h"

namespace heatherplank::lab {

/** A child process. It is killed when this object is destroyed, and when the
 * lab ends, even if the lab is killed. Not thread safe.
 */
class Process
{
public:
  /** Starts aArguments[0] and appends its output to the file aLog. System if it
   * can't be started. */
  static Result<std::unique_ptr<Process>> Start(
    const std::vector<std::string>& aArguments, const std::string& aLog);

  /** Kills the process if it runs, and waits for its end. */
  ~Process();

  /** Sends a signal; no effect after the process has ended. */
  void Signal(int aNumber);

  pid_t Pid() const { return mPid; }

  /** Returns the wait status if the process has ended; does not block. */
  std::optional<int> Poll();

private:
  explicit Process(pid_t aPid)
    : mPid(aPid)
  {
  }

  pid_t mPid;
  std::optional<int> mStatus;
};

} // namespace heatherplank::lab
