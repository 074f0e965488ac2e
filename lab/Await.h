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

/** Waits. */
Awaitable<void> Sleep(Duration aTime);

/** Sends a request and waits for the answer. */
Awaitable<Result<HttpResponse>> Fetch(std::shared_ptr<HttpClient> aClient,
                                      HttpRequest aRequest, Duration aTimeout);

/** Runs a command to its end, its output appended to aLog, and gives its exit
 * code; -1 if it could not start, died of a signal or ran past aTimeout. */
Awaitable<int> RunCommand(std::vector<std::string> aArguments, std::string aLog,
                          Duration aTimeout);

} // namespace heatherplank::lab
