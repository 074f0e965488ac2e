#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "src/net/HttpClient.h"

namespace heatherplank::lab {

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

/** Suspends the coroutine for aTime. */
Awaitable<void> Sleep(Duration aTime);

/** Sends a request and waits for the response; the errors are those of
 * HttpClient::Send. */
Awaitable<Result<HttpResponse>> Fetch(std::shared_ptr<HttpClient> aClient,
                                      HttpRequest aRequest, Duration aTimeout);

/** Runs a command, appends its output to the file aLog, and returns its exit
 * code; -1 if it did not start, was ended by a signal or exceeded aTimeout. */
Awaitable<int> RunCommand(std::vector<std::string> aArguments, std::string aLog,
                          Duration aTimeout);

} // namespace heatherplank::lab
