#include "src/passthrough/PassthroughTraffic.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "platform/MakePlatformAdapter.h"
#include "src/membership/MemberRecord.h"
#include "src/net/Endpoint.h"
#include "src/net/HttpClient.h"
#include "src/passthrough/PassthroughProcess.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

Address At(const std::string& aText)
{
  return ParseAddress(aText).value();
}

Member MakeMember(const Address& aAddress, const char* aDataCentre)
{
  Member member;
  member.mTunnel = aAddress;
  member.mControl = aAddress;
  member.mDataCentre = MakeDataCentreId(aDataCentre);
  return member;
}

/** A loopback address that no other process uses. */
std::string OwnLoopback()
{
  auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + (pid >> 16U) % 64) + "." +
         std::to_string((pid >> 8U) & 255U) + "." +
         std::to_string(1 + (pid & 127U));
}

struct CauseOfKind
{
  MessageKind mKind;
  const char* mCause;
};

const CauseOfKind kCausesOfKinds[] = {
  { MessageKind::Heartbeat, "heartbeat" },
  { MessageKind::MemberDelta, "view" },
  { MessageKind::MemberDigest, "view" },
  { MessageKind::MemberSnapshotRequest, "view" },
  { MessageKind::MemberSnapshot, "view" },
  { MessageKind::InventoryNotice, "document" },
  { MessageKind::InventoryDocument, "document" },
  { MessageKind::DrainNotice, "document" },
  { MessageKind::FlowRecords, "record" },
  { MessageKind::FlowQuery, "query" },
  { MessageKind::FlowQueryReply, "query" },
  { MessageKind::PlacementReport, "report" },
  { MessageKind::Hello, "other" },
};

struct CauseOfPurpose
{
  SteerPurpose mPurpose;
  const char* mCause;
};

const CauseOfPurpose kCausesOfPurposes[] = {
  { SteerPurpose::Place, "offer" },     { SteerPurpose::Deliver, "forward" },
  { SteerPurpose::Search, "search" },   { SteerPurpose::NotHere, "search" },
  { SteerPurpose::FanOut, "search" },   { SteerPurpose::Locate, "record" },
  { SteerPurpose::Located, "forward" },
};

/** Records what is sent through it. */
struct RecordingSender final
  : MessageSender
  , SendObserver
{
  void Send(const Address&, MessageKind, ByteView) override { ++mPassed; }
  void OnSent(const Address&, MessageKind aKind, std::size_t aBytes) override
  {
    mKind = aKind;
    mBytes += aBytes;
  }

  int mPassed = 0;
  MessageKind mKind{};
  std::size_t mBytes = 0;
};

} // namespace

TEST_GROUP(PassthroughTraffic)
{
  ManualClock mClock;
  MetricsRegistry mMetrics;
  PassthroughTraffic mTraffic{ mMetrics, MakeDataCentreId("hall-a"),
                               mClock.Now() };
  const Address mNear = At("10.0.0.1:7000");
  const Address mFar = At("10.0.1.1:7000");

  void setup() override
  {
    std::vector<Member> members{ MakeMember(mNear, "hall-a"),
                                 MakeMember(mFar, "hall-b") };
    mTraffic.SetMembers(BalancerService(), members);
  }

  void EverySecond()
  {
    mClock.Advance(std::chrono::seconds(1));
    mTraffic.EverySecond(mClock.Now());
  }

  std::uint64_t Sent(const char* aName, const std::string& aCause,
                     const std::string& aBoundary)
  {
    return mMetrics
      .GetCounter(aName,
                  "cause=\"" + aCause + "\",boundary=\"" + aBoundary + "\"")
      .Value();
  }
};

TEST(PassthroughTraffic, EachKindIsCountedUnderItsCause)
{
  for (const auto& it : kCausesOfKinds) {
    auto before = Sent("sent_bytes", it.mCause, "own");
    mTraffic.OnSent(mNear, it.mKind, 100);
    EverySecond();
    CHECK_EQUAL(before + 100, Sent("sent_bytes", it.mCause, "own"));
  }
}

TEST(PassthroughTraffic, SteeredPacketsAreCountedByPurpose)
{
  for (const auto& it : kCausesOfPurposes) {
    auto before = Sent("sent_messages", it.mCause, "other");
    mTraffic.OnSteered(mFar, it.mPurpose, 100);
    EverySecond();
    CHECK_EQUAL(before + 1, Sent("sent_messages", it.mCause, "other"));
  }
}

TEST(PassthroughTraffic, MetricsHaveSeriesOnlyForTrafficThatOccurred)
{
  mTraffic.OnSteered(mFar, SteerPurpose::Search, 700);
  mTraffic.OnSteered(mFar, SteerPurpose::Search, 300);
  EverySecond();
  STRCMP_EQUAL("# TYPE sent_bytes counter\n"
               "sent_bytes{cause=\"search\",boundary=\"other\"} 1000\n"
               "# TYPE sent_messages counter\n"
               "sent_messages{cause=\"search\",boundary=\"other\"} 2\n",
               mMetrics.ToPrometheus().c_str());
}

TEST(PassthroughTraffic, StatusShowsRatesByCauseAndBoundary)
{
  mTraffic.OnSent(mNear, MessageKind::Heartbeat, 2000);
  mTraffic.OnSent(mFar, MessageKind::Heartbeat, 1000);
  mTraffic.OnSteered(At("10.0.2.1:7000"), SteerPurpose::Place, 500);
  STRCMP_EQUAL(R"({"control_bytes_per_s":300,)"
               R"("bytes_per_s":{"heartbeat":{"own":200,"other":100},)"
               R"("offer":{"unknown":50}},)"
               R"("messages_per_min":{"heartbeat":{"own":6,"other":6},)"
               R"("offer":{"unknown":6}}})",
               boost::json::serialize(mTraffic.Status(mClock.Now())).c_str());
}

// An operator reads the section on one screen of 80 columns and 24 lines, also
// when every cause crosses every boundary.
TEST(PassthroughTraffic, LargestStatusFitsOneScreen)
{
  const Address unknown = At("10.0.2.1:7000");
  for (const Address& to : { mNear, mFar, unknown }) {
    for (const auto& it : kCausesOfKinds) {
      mTraffic.OnSent(to, it.mKind, 12345670);
    }
    for (const auto& it : kCausesOfPurposes) {
      mTraffic.OnSteered(to, it.mPurpose, 12345670);
    }
  }
  auto text = boost::json::serialize(mTraffic.Status(mClock.Now()));
  constexpr std::size_t kScreen = 1920;
  CHECK_TRUE(text.size() <= kScreen);
}

TEST(PassthroughTraffic, DatagramIsCountedWithItsHeaderAndALargeOneIsNot)
{
  boost::asio::io_context context;
  auto address = At("127.0.0.1:0");
  CutList cuts;
  RecordingSender sender;
  DatagramMessages messages(sender, &sender);
  messages.SetSocket(
    DatagramSocket::Make(context.get_executor(), address, &cuts).value());
  Address to = At("127.0.0.1:9");
  messages.Send(to, MessageKind::MemberDelta, Bytes(100));
  CHECK(sender.mKind == MessageKind::MemberDelta);
  CHECK_EQUAL(100 + kDatagramHeaderSize, sender.mBytes);
  messages.Send(to, MessageKind::MemberSnapshot, Bytes(2000));
  CHECK_EQUAL(1, sender.mPassed);
  CHECK_EQUAL(100 + kDatagramHeaderSize, sender.mBytes);
}

TEST(PassthroughTraffic, DatagramThatIsNotSentIsNotCounted)
{
  boost::asio::io_context context;
  CutList cuts;
  Address to = At("127.0.0.1:9");
  cuts.Set(std::span(&to, 1));
  RecordingSender sender;
  DatagramMessages messages(sender, &sender);
  messages.SetSocket(
    DatagramSocket::Make(context.get_executor(), At("127.0.0.1:0"), &cuts)
      .value());
  messages.Send(to, MessageKind::Heartbeat, Bytes(100));
  CHECK_EQUAL(0, sender.mBytes);
}

TEST(PassthroughTraffic, ProcessAnswersStatusWithWhatItSent)
{
  PassthroughSettings settings;
  std::string ip = OwnLoopback();
  settings.mName = "front-1";
  settings.mDataCentre = "hall-a";
  settings.mTunnel = At(ip + ":7000");
  settings.mControl = At(ip + ":7001");
  settings.mAdmin = At(ip + ":7002");
  settings.mPlatform = At(ip + ":7003");
  auto adapter = MakePlatformAdapter();
  PassthroughProcess process({ settings, *adapter, MakeHostId("front-1"), 1,
                               std::nullopt, [] { return Result<void>{}; },
                               [](const Frame&) {},
                               [](const std::vector<Address>&) {} });
  CHECK_TRUE(process.Open().has_value());
  std::vector<Member> members{ MakeMember(At(ip + ":7000"), "hall-b") };
  process.mTraffic.SetMembers(BalancerService(), members);
  SteeredPacket packet;
  packet.mPurpose = SteerPurpose::Deliver;
  packet.mPacket = Bytes(1000);
  process.Steer(At(ip + ":7000"), packet);
  process.Report(At(ip + ":7000"), {});
  process.mMessages.Send(At(ip + ":7001"), MessageKind::MemberDigest,
                         Bytes(2000));
  std::string body;
  int attempts = 0;
  auto client =
    HttpClient::Make(process.mRuntime.Executor(), settings.mAdmin, 1);
  process.mRuntime.Every(std::chrono::milliseconds(20), [&] {
    HttpRequest request(http::verb::get, "/status", 11);
    request.set(http::field::host, "test");
    client->Send(
      request, std::chrono::seconds(5), [&](Result<HttpResponse> aResult) {
        body = aResult ? aResult->body() : aResult.error().Describe();
        // The control connection needs some milliseconds to open.
        if (body.find("view") != std::string::npos || ++attempts == 200) {
          process.mRuntime.Quit();
        }
      });
  });
  process.mRuntime.Run(1);
  auto status = boost::json::parse(body).as_object();
  STRCMP_EQUAL("front-1", status["name"].as_string().c_str());
  STRCMP_EQUAL("hall-a", status["data_centre"].as_string().c_str());
  auto sent = status["traffic"].as_object()["bytes_per_s"].as_object();
  CHECK_TRUE(sent["forward"].as_object().contains("other"));
  CHECK_TRUE(sent["report"].as_object().contains("other"));
  // The Hello that opens the control connection.
  CHECK_TRUE(sent["other"].as_object().contains("other"));
  CHECK_EQUAL(201, sent["view"].as_object()["other"].as_int64());
}
