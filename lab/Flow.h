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

/** A caller's flow: one UDP socket towards one address of a service, on which
 * it sends requests, one or many at once (docs/CONTRACTS.md). It repeats what
 * got no answer, comes back after refusals, and checks each answer. Not thread
 * safe: belongs to an executor of one thread.
 */
class Flow : public std::enable_shared_from_this<Flow>
{
public:
  /** Called with the record once the request has its last word. */
  using Done = std::function<void(const RequestRecord&)>;

  /** Precondition: aLoad and aRecord outlive it. aTaken says which ports are
   * promised to processes; the flow binds none of them.
   */
  static std::shared_ptr<Flow> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aService,
    const LoadSpec& aLoad, Duration aGrace,
    const std::function<bool(std::uint16_t)>& aTaken, CallerRecord* aRecord);

  /** Sends a request; aKey is empty where it may be repeated. */
  void Submit(const std::string& aKey, Done aDone);

  /** Requests that it was given so far. */
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
  /** What all ids of this flow begin with. */
  std::string mPrefix;
  std::map<std::string, std::shared_ptr<Pending>, std::less<>> mPending;
  std::size_t mSubmitted = 0;
};

} // namespace heatherplank::lab
