#pragma once

#include <functional>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** The event loop of a process, its worker threads, its timers and the signals
 * that stop it.
 */
class ProcessRuntime
{
public:
  ProcessRuntime();
  ~ProcessRuntime();

  boost::asio::any_io_executor Executor();

  /** Calls aWork every aPeriod, one call at a time, until the process ends.
   * Thread safe. */
  void Every(Duration aPeriod, std::function<void()> aWork);

  /** Called once at the first SIGTERM or SIGINT: a planned stop. A second one
   * ends the process at once. */
  void OnStop(std::function<void()> aStop);

  /** Called at each SIGHUP: the settings file may have changed. Without it the
   * signal is logged and ignored; it never ends the process. */
  void OnReload(std::function<void()> aReload);

  /** Runs with aThreads threads until Quit. */
  void Run(std::uint32_t aThreads);

  /** Ends Run. Thread safe. */
  void Quit();

private:
  void WaitForSignal();
  void Stop(int aSignal);
  void Reload();

  boost::asio::io_context mContext;
  boost::asio::signal_set mSignals;
  std::function<void()> mStop;
  std::function<void()> mReload;
  std::vector<std::thread> mThreads;
};

} // namespace heatherplank
