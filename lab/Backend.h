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

/** One execution of a request by a backend server. */
struct Execution
{
  std::string mService;
  std::string mHost;
  std::string mRequestId;
  std::string mKey;
  Time mStart;
  Time mEnd;
  /** False while it runs, and also afterwards if it was cancelled. */
  bool mDone = false;
};

/** The executions of all backend servers, in the order of their starts. */
using ExecutionLog = std::deque<Execution>;

/** Simulates the backend server of one host (docs/CONTRACTS.md). Each execution
 * is logged at its start, so that duplicates are counted even if the answer is
 * lost. Not thread safe: used only on the thread of the executor.
 */
class Backend
{
public:
  /** Listens on a free loopback port. Precondition: aLog outlives it. */
  static Result<std::unique_ptr<Backend>> Make(
    const boost::asio::any_io_executor& aExecutor, const std::string& aService,
    const std::string& aHost, const BackendSpec& aSpec, std::uint64_t aSeed,
    ExecutionLog* aLog);

  ~Backend();

  /** The address that it listens on. */
  Address Local() const { return mLocal; }

  /** Ends the server and all its executions, without an answer. */
  void Kill();

  /** Starts again on the same port, cold. System if the port is in use. */
  Result<void> Start();

  /** Rejects new requests and finishes the current ones. */
  void Drain() { mDraining = true; }

  /** Multiplies the duration of each request from now on. */
  void SetSlowness(double aFactor) { mSlowness = aFactor; }

private:
  class Connection;
  struct Work;
  /** The state that the hint endpoints report from mAt on. */
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
