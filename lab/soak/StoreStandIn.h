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

/** Faults that the stand-in injects into its responses. */
struct StoreFaults
{
  /** Answers 503 without processing the request. */
  bool mBusy = false;
  /** Answers 429 without processing the request. */
  bool mMany = false;
  /** Neither processes requests nor answers them. */
  bool mSilent = false;
  /** Applies writes without answering them. */
  bool mLosesAnswers = false;
  /** Responses state an era this much below the present one, as a lagging
   * replica does. */
  std::uint64_t mErasBehind = 0;
  /** Delay before a request is processed. */
  Duration mDelay{};
};

/** An in-memory object store with the HTTP interface of the platform's
 * contract: objects by kind and name with revisions, paged lists, watches and
 * conditional writes. Keeps every change until Compact. Single-threaded: used
 * only on its executor's thread.
 */
class StoreStandIn
{
public:
  explicit StoreStandIn(boost::asio::any_io_executor aExecutor);
  ~StoreStandIn();

  /** Port 0 picks a free port. Returns ErrorKind::System if the address can't
   * be bound. */
  Result<void> Listen(const Address& aAddress);
  Address Local() const { return mServer->Local(); }

  /** Writes an object directly, as an operator would; faults do not apply. */
  void Write(const std::string& aKind, const std::string& aName,
             boost::json::value aSpec);

  void SetFaults(const StoreFaults& aFaults) { mFaults = aFaults; }

  /** Discards the history. New watches from an earlier revision get 410. */
  void Compact();

  /** Keeps a copy of the objects for RestoreFromCopy. */
  void KeepCopy();

  /** Replaces the objects and the history by the copy, as after the loss of the
   * store: writes since the copy are gone, their revisions are assigned again,
   * and the era increases. Waiting watches are dropped without an answer. A
   * watch from a revision above the present one gets 410. */
  void RestoreFromCopy();

  /** Drops every waiting watch without answering it. */
  void CutWatches();

  std::uint64_t Calls() const { return mCalls; }

private:
  struct StoredObject
  {
    std::uint64_t mRevision = 0;
    boost::json::value mSpec;
  };
  struct Copy
  {
    std::map<std::string, std::map<std::string, StoredObject>> mObjects;
    std::uint64_t mRevision = 0;
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
    std::uint64_t mAfterRevision = 0;
    HttpServer::Respond mRespond;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  void Handle(const HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  void Serve(const HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  HttpResponse Read(const HttpRequest& aRequest, const std::string& aKind,
                    const std::string& aName, const std::string& aAfterName);
  HttpResponse ApplyWrite(const HttpRequest& aRequest, const std::string& aKind,
                          const std::string& aName);
  void BeginWatch(const HttpRequest& aRequest, const std::string& aKind,
                  std::uint64_t aAfterRevision, Duration aWait,
                  HttpServer::Respond aRespond);
  bool AnswerWatch(Watch& aWatch, bool aTimedOut);
  void RecordChange(const std::string& aKind, const std::string& aName,
                    bool aDeleted);
  HttpResponse Respond(const HttpRequest& aRequest, http::status aStatus,
                       const boost::json::value& aBody) const;
  boost::json::value ToJson(const std::string& aName,
                            const StoredObject& aObject) const;

  boost::asio::any_io_executor mExecutor;
  std::shared_ptr<HttpServer> mServer;
  StoreFaults mFaults;
  std::map<std::string, std::map<std::string, StoredObject>> mObjects;
  std::deque<Change> mHistory;
  std::uint64_t mCompactedRevision = 0;
  std::uint64_t mRevision = 100;
  std::uint64_t mEra = 1;
  Copy mCopy;
  std::list<Watch> mWatches;
  std::uint64_t mCalls = 0;
};

} // namespace heatherplank::lab
