#include <boost/asio/io_context.hpp>

#include "lab/Backend.h"
#include "src/net/HttpClient.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::lab;
using namespace std::chrono_literals;

TEST_GROUP(LabBackend)
{
  boost::asio::io_context mContext;
  BackendSpec mSpec;
  ExecutionLog mLog;
  std::unique_ptr<Backend> mBackend;
  std::shared_ptr<HttpClient> mClient;
  /** Status codes as they came; 0 for a connection that broke. */
  std::vector<unsigned> mSeen;

  void setup() override
  {
    mSpec.mSlots = 1;
    mSpec.mQueue = 1;
    mBackend = Backend::Make(mContext.get_executor(), "cover-desk",
                             "cover-desk-1", mSpec, 1, &mLog)
                 .value();
    mClient = HttpClient::Make(mContext.get_executor(), mBackend->Local(), 4);
  }

  HttpClient::Ticket Send(const std::string& aDeadline = {})
  {
    HttpRequest request(http::verb::post, "/claims?bytes=100", 11);
    request.set("Request-Id", "cover-desk.0.0.1");
    if (!aDeadline.empty()) {
      request.set("Request-Deadline", aDeadline);
    }
    return mClient->Send(std::move(request), 5s,
                         [this](const Result<HttpResponse>& aResult) {
                           mSeen.push_back(aResult ? aResult->result_int() : 0);
                         });
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    while (!aDone()) {
      mContext.restart();
      mContext.run_one();
    }
  }
};

TEST(LabBackend, RunsQueuesAndSheds)
{
  Send();
  Send();
  Send();
  RunUntil([this] { return mSeen.size() == 3; });
  CHECK_EQUAL(503, mSeen[0]);
  CHECK_EQUAL(200, mSeen[1]);
  CHECK_EQUAL(200, mSeen[2]);
  CHECK_EQUAL(2, mLog.size());
  CHECK_TRUE(mLog[0].mDone);
}

TEST(LabBackend, RefusesWhatIsLateOrComesWhileItDrains)
{
  Send("1000");
  RunUntil([this] { return mSeen.size() == 1; });
  mBackend->Drain();
  Send();
  RunUntil([this] { return mSeen.size() == 2; });
  CHECK_EQUAL(503, mSeen[0]);
  CHECK_EQUAL(503, mSeen[1]);
  CHECK_EQUAL(0, mLog.size());
}

// The agent closes the connection: the request is cancelled, its slot is free
// for the next one, and the log shows that it had begun.
TEST(LabBackend, TakesAClosedConnectionAsACancellation)
{
  mBackend->SetSlowness(1000);
  auto ticket = Send();
  RunUntil([this] { return mLog.size() == 1; });
  mClient->Cancel(ticket);
  mBackend->SetSlowness(1);
  Send();
  RunUntil([this] { return mSeen.size() == 2; });
  CHECK_EQUAL(0, mSeen[0]);
  CHECK_EQUAL(200, mSeen[1]);
  CHECK_FALSE(mLog[0].mDone);
  CHECK_TRUE(mLog[1].mDone);
}

TEST(LabBackend, DiesInTheMiddleOfWorkAndComesBack)
{
  mBackend->SetSlowness(1000);
  Send();
  RunUntil([this] { return mLog.size() == 1; });
  mBackend->Kill();
  RunUntil([this] { return mSeen.size() == 1; });
  CHECK_TRUE(mBackend->Start().has_value());
  mBackend->SetSlowness(1);
  Send();
  RunUntil([this] { return mSeen.size() == 2; });
  CHECK_EQUAL(0, mSeen[0]);
  CHECK_EQUAL(200, mSeen[1]);
}
