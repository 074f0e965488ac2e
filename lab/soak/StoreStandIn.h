#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include "include/heatherplank/Clock.h"
#include "src/net/HttpServer.h"

namespace heatherplank::lab {

/** What the stand-in does with calls. */
struct StoreFaults
{
  /** Answers 503 without doing anything. */
  bool mBusy = false;
  /** Answers 429 without doing anything. */
  bool mMany = false;
  /** Does nothing and never answers. */
  bool mSilent = false;
  /** Does what a write says, and never answers. */
  bool mLosesAnswers = false;
  /** Answers this much later. */
  Duration mDelay{};
};

/** A small store that speaks the platform's contract: objects by kind and name
 * with revisions, lists, watches, conditional writes. Keeps a bounded history.
 * Runs on one thread, that of its executor.
 */
class StoreStandIn
{
public:
  explicit StoreStandIn(boost::asio::any_io_executor aExecutor);
  ~StoreStandIn();

  /** System if the address can't be bound. Port 0 takes a free one. */
  Result<void> Listen(const Address& aAddress);
  Address Local() const { return mServer->Local(); }

  /** Writes as the operator does, past all faults. */
  void Write(const std::string& aKind, const std::string& aName,
             boost::json::value aSpec);

  void SetFaults(const StoreFaults& aFaults) { mFaults = aFaults; }

  /** Forgets the changes so far: watches from before get 410. */
  void Compact();

  /** Cuts off every waiting watch. */
  void CutWatches();

  std::uint64_t Calls() const { return mCalls; }

private:
  struct Stored
  {
    std::uint64_t mRevision = 0;
    boost::json::value mSpec;
  };
  struct Change
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    boost::json::value mEvent;
  };
  struct Watch
  {
    HttpRequest mRequest;
    std::string mKind;
    std::uint64_t mAfter = 0;
    HttpServer::Respond mRespond;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  void Handle(const HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  void Serve(const HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  HttpResponse Read(const HttpRequest& aRequest, const std::string& aKind,
                    const std::string& aName, const std::string& aAfter);
  HttpResponse Change(const HttpRequest& aRequest, const std::string& aKind,
                      const std::string& aName);
  void BeginWatch(const HttpRequest& aRequest, const std::string& aKind,
                  std::uint64_t aAfter, Duration aWait,
                  HttpServer::Respond aRespond);
  bool AnswerWatch(Watch& aWatch, bool aTimeIsUp);
  void Note(const std::string& aKind, const std::string& aName, bool aDeleted);
  boost::json::value ToJson(const std::string& aName,
                            const Stored& aStored) const;

  boost::asio::any_io_executor mExecutor;
  std::shared_ptr<HttpServer> mServer;
  StoreFaults mFaults;
  std::map<std::string, std::map<std::string, Stored>> mObjects;
  std::deque<struct Change> mHistory;
  std::uint64_t mForgotten = 0;
  std::uint64_t mRevision = 100;
  std::list<Watch> mWatches;
  std::uint64_t mCalls = 0;
};

} // namespace heatherplank::lab
