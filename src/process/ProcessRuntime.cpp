#include "src/process/ProcessRuntime.h"

#include <csignal>

#include <memory>

#include <boost/asio/strand.hpp>

#include "src/base/Log.h"

namespace heatherplank {

namespace asio = boost::asio;

namespace {

/** A repeating timer. The handler of its pending wait owns it. */
class Repeater : public std::enable_shared_from_this<Repeater>
{
public:
  Repeater(asio::io_context& aContext, Duration aPeriod,
           std::function<void()> aWork)
    : mTimer(asio::make_strand(aContext))
    , mPeriod(aPeriod)
    , mWork(std::move(aWork))
  {
  }

  void Wait()
  {
    mTimer.expires_after(mPeriod);
    mTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aEc) {
        if (!aEc) {
          self->mWork();
          self->Wait();
        }
      });
  }

private:
  asio::steady_timer mTimer;
  Duration mPeriod;
  std::function<void()> mWork;
};

} // namespace

ProcessRuntime::ProcessRuntime()
  : mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
{
  WaitForSignal();
}

ProcessRuntime::~ProcessRuntime() = default;

asio::any_io_executor ProcessRuntime::Executor()
{
  return mContext.get_executor();
}

void ProcessRuntime::Every(Duration aPeriod, std::function<void()> aWork)
{
  std::make_shared<Repeater>(mContext, aPeriod, std::move(aWork))->Wait();
}

void ProcessRuntime::OnStop(std::function<void()> aStop)
{
  mStop = std::move(aStop);
}

void ProcessRuntime::WaitForSignal()
{
  mSignals.async_wait([this](boost::system::error_code aEc, int aSignal) {
    if (aEc) {
      return;
    }
    WaitForSignal();
    if (aSignal == SIGHUP) {
      Reload();
    } else {
      Stop(aSignal);
    }
  });
}

void ProcessRuntime::Stop(int aSignal)
{
  if (!mStop) {
    Quit();
    return;
  }
  LogEvent(LogLevel::Info, "stop_requested", { { "signal", aSignal } });
  auto stop = std::exchange(mStop, nullptr);
  stop();
}

void ProcessRuntime::Reload()
{
  if (!mReload) {
    LogEvent(LogLevel::Info, "reload_ignored", {});
    return;
  }
  mReload();
}

void ProcessRuntime::OnReload(std::function<void()> aReload)
{
  mReload = std::move(aReload);
}

void ProcessRuntime::Run(std::uint32_t aThreads)
{
  for (std::uint32_t i = 1; i < aThreads; ++i) {
    mThreads.emplace_back([this] { mContext.run(); });
  }
  mContext.run();
  for (auto& it : mThreads) {
    it.join();
  }
}

void ProcessRuntime::Quit()
{
  mContext.stop();
}

} // namespace heatherplank
