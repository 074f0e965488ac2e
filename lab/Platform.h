#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "lab/Scenario.h"
#include "src/net/HttpServer.h"

namespace heatherplank::lab {

/** Simulates the platform's object API (docs/CONTRACTS.md) in memory. Not
 * thread safe: used only on the thread of the executor.
 */
class Platform
{
public:
  /** Listens on a free loopback port. */
  static Result<std::unique_ptr<Platform>> Make(
    const boost::asio::any_io_executor& aExecutor, const PlatformSpec& aSpec,
    std::uint64_t aSeed);

  ~Platform();

  /** The address that it listens on. */
  Address Local() const { return mServer->Local(); }

  /** Starts or ends an outage: every call, also a pending watch, ends without
   * an answer and without an effect. */
  void SetDown(bool aDown);

  /** Sets the delay of each answer. */
  void SetDelay(Duration aDelay) { mSpec.mDelay = aDelay; }

  /** Sets the fraction of writes that take effect without an answer. */
  void LoseAnswers(double aShare) { mLostShare = aShare; }

  /** Number of calls by kind (get, put, delete, watch, list) and by result
   * (conflict, limited, down, lost). */
  const std::map<std::string, std::uint64_t>& Calls() const { return mCalls; }

private:
  struct Stored
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };
  struct Watch
  {
    std::string mKey;
    std::uint64_t mAfter = 0;
    HttpRequest mRequest;
    HttpServer::Respond mRespond;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  Platform(const boost::asio::any_io_executor& aExecutor,
           const PlatformSpec& aSpec, std::uint64_t aSeed);

  void Handle(const HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  void Read(const std::string& aKey, const HttpRequest& aRequest,
            const HttpServer::Respond& aRespond);
  void Write(const std::string& aKey, const HttpRequest& aRequest,
             const HttpServer::Respond& aRespond);
  void List(const std::string& aPrefix, const HttpRequest& aRequest,
            const HttpServer::Respond& aRespond);
  void BeginWatch(const std::string& aKey, std::uint64_t aAfter, Duration aWait,
                  const HttpRequest& aRequest,
                  const HttpServer::Respond& aRespond);
  void EndWatches(const std::string& aKey);
  bool Allowed(const HttpRequest& aRequest) const;
  bool OverLimit(bool aWrite);
  void Later(const HttpServer::Respond& aRespond, HttpResponse aResponse);

  boost::asio::any_io_executor mExecutor;
  PlatformSpec mSpec;
  std::mt19937_64 mRandom;
  std::shared_ptr<HttpServer> mServer;
  std::map<std::string, Stored> mObjects;
  std::map<std::uint64_t, Watch> mWatches;
  std::uint64_t mNextWatch = 0;
  std::map<std::string, std::uint64_t> mCalls;
  std::uint64_t mVersion = 0;
  bool mDown = false;
  double mLostShare = 0;
  Time mSecond;
  std::size_t mReads = 0;
  std::size_t mWrites = 0;
};

} // namespace heatherplank::lab
