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

/** What the backend server made of a request. */
enum class BackendResult : std::uint8_t
{
  /** It answered. */
  Answered,
  /** It refused, and says that it did not run the request. */
  Refused,
  /** It could not be reached; the request was never written. */
  NotSent,
  /** The request was written, and no answer came. */
  Lost,
};

/** A result with the answer that goes to the caller. */
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

  /** aConnections: requests at once, the host's slots and some for a backend
   * server that takes more while it finishes. */
  BackendClient(const boost::asio::any_io_executor& aExecutor,
                const Address& aBackend, std::size_t aConnections);
  ~BackendClient();

  /** Sends a request that must be answered within aTimeout; aDone runs once.
   * The deadline goes with it, so that a backend server which takes it late
   * (this process was paused in between) does not run it.
   */
  Ticket Send(const CallerRequest& aRequest, Duration aTimeout, Done aDone);

  /** Gives a request up: the connection closes, which the backend server takes
   * as a cancellation. aDone of it gets Lost, or NotSent. */
  void Cancel(Ticket aTicket);

private:
  std::shared_ptr<HttpClient> mClient;
};

} // namespace heatherplank
