#pragma once

#include <functional>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** The event loop of a process, with its worker threads, timers and signal
 * handling.
 */
class ProcessRuntime
{
public:
  ProcessRuntime();
  ~ProcessRuntime();

  boost::asio::any_io_executor Executor();

  /** Calls aWork repeatedly, one call at a time, each aPeriod after the end of
   * the last, until Run ends. Thread safe. */
  void Every(Duration aPeriod, std::function<void()> aWork);

  /** Sets the handler of the first SIGTERM or SIGINT, a planned stop. A second
   * signal ends Run at once. */
  void OnStop(std::function<void()> aStop);

  /** Sets the handler of SIGHUP: the settings file may have changed. Without a
   * handler the signal is logged and ignored; it never ends the process. */
  void OnReload(std::function<void()> aReload);

  /** Runs the event loop on aThreads threads until Quit. */
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
