#pragma once

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "lab/Scenario.h"
#include "src/net/Http.h"

namespace heatherplank::lab {

/** One run of a request by a backend server. */
struct Execution
{
  std::string mService;
  std::string mHost;
  std::string mRequestId;
  std::string mKey;
  Time mStart;
  Time mEnd;
  /** False while it runs, and for good if it was cancelled or cut. */
  bool mDone = false;
};

/** What all backend servers ran, in the order of their starts. */
using ExecutionLog = std::deque<Execution>;

/** Stand-in of the backend server of one host (docs/CONTRACTS.md). Each
 * request that it runs is logged at its start, so that doubles are counted
 * also when the answer gets lost. Not thread safe: belongs to an executor of
 * one thread.
 */
class Backend
{
public:
  /** Listens at a free loopback port. Precondition: aLog outlives it. */
  static Result<std::unique_ptr<Backend>> Make(
    const boost::asio::any_io_executor& aExecutor, const std::string& aService,
    const std::string& aHost, const BackendSpec& aSpec, std::uint64_t aSeed,
    ExecutionLog* aLog);

  ~Backend();

  /** Where it listens. */
  Address Local() const { return mLocal; }

  /** Dies with all that it runs. */
  void Kill();

  /** Comes back at the same port, cold. System if the port is taken. */
  Result<void> Start();

  /** Refuses new requests and finishes the present ones. */
  void Drain() { mDraining = true; }

  /** How much longer each request takes from now on. */
  void SetSlowness(double aFactor) { mSlowness = aFactor; }

private:
  class Connection;
  struct Work;
  /** What the hint endpoints tell, and since when. */
  struct Hint
  {
    Time mAt;
    std::string mState;
    std::size_t mBusy = 0;
  };

  Backend(const boost::asio::any_io_executor& aExecutor, std::string aService,
          std::string aHost, BackendSpec aSpec, std::uint64_t aSeed,
          ExecutionLog* aLog);

  Result<void> Listen();
  void Accept();
  void OnRequest(const std::shared_ptr<Connection>& aConnection,
                 HttpRequest aRequest);
  bool AnswerHint(Connection& aConnection, const HttpRequest& aRequest);
  void Run(const std::shared_ptr<Work>& aWork);
  void Finish(const std::shared_ptr<Work>& aWork);
  void Refuse(Work& aWork, std::string_view aWhy);
  void Cancel(const Connection* aConnection);
  void RunNext();
  void NoteHint();
  bool IsCold() const;
  Duration PickTime(std::string_view aTarget);

  boost::asio::any_io_executor mExecutor;
  std::string mService;
  std::string mHost;
  BackendSpec mSpec;
  std::mt19937_64 mRandom;
  ExecutionLog* mLog;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Address mLocal;
  std::vector<std::weak_ptr<Connection>> mConnections;
  std::vector<std::shared_ptr<Work>> mRunning;
  std::deque<std::shared_ptr<Work>> mQueue;
  std::deque<Hint> mHints;
  Time mStarted;
  bool mDraining = false;
  double mSlowness = 1;
};

} // namespace heatherplank::lab
