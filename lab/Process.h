#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "include/heatherplank/Error.h"

namespace heatherplank::lab {

/** A child process, which ends with this object, and with the lab even if
 * that is killed. Not thread safe.
 */
class Process
{
public:
  /** Starts aArguments[0]; its outputs are appended to aLog. System if it
   * can't be started. */
  static Result<std::unique_ptr<Process>> Start(
    const std::vector<std::string>& aArguments, const std::string& aLog);

  /** Kills it if it runs, and waits for its end. */
  ~Process();

  /** Sends a signal; nothing happens once it has ended. */
  void Signal(int aNumber);

  pid_t Pid() const { return mPid; }

  /** The wait status once it has ended; does not block. */
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
