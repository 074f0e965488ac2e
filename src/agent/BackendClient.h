#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/caller/Answer.h"
#include "src/caller/CallerRequest.h"

namespace heatherplank {

class HttpClient;

/** Result of sending a request to the backend server. */
enum class BackendResult : std::uint8_t
{
  /** The backend server answered. */
  Answered,
  /** The backend server refused the request and reports that it did not run. */
  Refused,
  /** The backend server was unreachable; the request was never written. */
  NotSent,
  /** The request was written and no answer arrived. */
  Lost,
};

/** A result with the answer to send to the caller. */
struct BackendAnswer
{
  BackendResult mResult = BackendResult::Lost;
  Answer mAnswer;
};

/** Sends requests to the backend server beside this agent. Thread safe. */
class BackendClient
{
public:
  using Done = std::function<void(BackendAnswer)>;
  using Ticket = std::uint64_t;

  /** aConnections: limit of concurrent requests; the host's slots and some
   * spare ones for requests that the backend server is still finishing. */
  BackendClient(const boost::asio::any_io_executor& aExecutor,
                const Address& aBackend, std::size_t aConnections);
  ~BackendClient();

  /** Sends a request that must be answered within aTimeout; aDone runs once.
   * The request carries its deadline, so that a backend server that receives it
   * late (this process was paused in between) does not run it.
   */
  Ticket Send(const CallerRequest& aRequest, Duration aTimeout, Done aDone);

  /** Cancels a request by closing its connection, which the backend server
   * treats as a cancellation. Its aDone gets Lost or NotSent. */
  void Cancel(Ticket aTicket);

private:
  std::shared_ptr<HttpClient> mClient;
};

} // namespace heatherplank
