#include "lab/Await.h"

#include <sys/wait.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "lab/Process.h"

namespace heatherplank::lab {

namespace asio = boost::asio;

namespace {

constexpr auto kPollTime = std::chrono::milliseconds(10);

} // namespace

Awaitable<void> Sleep(Duration aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

Awaitable<Result<HttpResponse>> Fetch(std::shared_ptr<HttpClient> aClient,
                                      HttpRequest aRequest, Duration aTimeout)
{
  auto start = [client = std::move(aClient), request = std::move(aRequest),
                aTimeout](auto aHandler) mutable {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    client->Send(std::move(request), aTimeout,
                 [handler](Result<HttpResponse> aResult) {
                   (*handler)(std::move(aResult));
                 });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&,
                                          void(Result<HttpResponse>)>(
    std::move(start), asio::use_awaitable);
}

Awaitable<int> RunCommand(std::vector<std::string> aArguments, std::string aLog,
                          Duration aTimeout)
{
  auto process = Process::Start(aArguments, aLog);
  if (!process) {
    co_return -1;
  }
  auto end = std::chrono::steady_clock::now() + aTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (auto status = (*process)->Poll()) {
      co_return WIFEXITED(*status) ? WEXITSTATUS(*status) : -1;
    }
    co_await Sleep(kPollTime);
  }
  co_return -1;
}

} // namespace heatherplank::lab
