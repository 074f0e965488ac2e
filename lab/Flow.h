#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Types.h"
#include "lab/Content.h"
#include "lab/Record.h"
#include "src/net/Http.h"

namespace heatherplank::lab {

/** A caller's flow: a UDP socket that sends requests, also concurrent ones, to
 * one address of a service (docs/CONTRACTS.md). It retries requests without an
 * answer and refused ones, and checks each answer. Not thread safe: used only
 * on the thread of the executor.
 */
class Flow : public std::enable_shared_from_this<Flow>
{
public:
  /** Called with the record once the request has its final outcome. */
  using Done = std::function<void(const RequestRecord&)>;

  /** Precondition: aLoad and aRecord outlive it. aTaken returns whether a port
   * is reserved for a process; the flow binds no such port.
   */
  static std::shared_ptr<Flow> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aService,
    const LoadSpec& aLoad, Duration aGrace,
    const std::function<bool(std::uint16_t)>& aTaken, CallerRecord* aRecord);

  /** Sends a request; aKey is empty if it is idempotent. */
  void Submit(const std::string& aKey, Done aDone);

  /** Number of requests submitted so far. */
  std::size_t Submitted() const { return mSubmitted; }

private:
  struct Pending;

  Flow(const boost::asio::any_io_executor& aExecutor, const Address& aService,
       const LoadSpec& aLoad, Duration aGrace, CallerRecord* aRecord);

  void Bind(const std::function<bool(std::uint16_t)>& aTaken);
  void Receive();
  void OnDatagram(std::string_view aDatagram);
  void OnAnswer(const std::shared_ptr<Pending>& aPending,
                HttpResponse aResponse);
  void OnRun(const std::shared_ptr<Pending>& aPending, std::string_view aBody,
             const HttpResponse& aResponse);
  void OnNotRun(const std::shared_ptr<Pending>& aPending,
                const HttpResponse& aResponse);
  bool TakePart(const std::shared_ptr<Pending>& aPending,
                HttpResponse& aResponse);
  void NoteEpoch(const HttpResponse& aResponse);
  void BeginAttempt(const std::shared_ptr<Pending>& aPending);
  void Send(Pending& aPending);
  void Arm(const std::shared_ptr<Pending>& aPending, Time aAt);
  void OnTimer(const std::shared_ptr<Pending>& aPending);
  void Finish(const std::shared_ptr<Pending>& aPending, FinalAnswer aFinal);
  void Break(std::string_view aWhy);

  boost::asio::any_io_executor mExecutor;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mService;
  boost::asio::ip::udp::endpoint mFrom;
  std::string mBuffer;
  const LoadSpec& mLoad;
  Duration mGrace;
  CallerRecord* mRecord;
  std::size_t mNumber;
  /** Prefix of all request ids of this flow. */
  std::string mPrefix;
  std::map<std::string, std::shared_ptr<Pending>, std::less<>> mPending;
  std::size_t mSubmitted = 0;
};

} // namespace heatherplank::lab
