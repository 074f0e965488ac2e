#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>

#include "lab/Fabric.h"
#include "lab/Flow.h"
#include "src/net/Endpoint.h"
#include "src/wire/PacketCodec.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::lab;

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

/** Answers in place of a balancer, agent and backend server, by mAnswer. */
class Responder
{
public:
  using Answer =
    std::function<std::vector<HttpResponse>(const HttpRequest& aRequest)>;

  explicit Responder(const asio::any_io_executor& aExecutor)
    : mSocket(aExecutor, Udp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mBuffer(65536)
  {
    Receive();
  }

  Address Local() const { return FromEndpoint(mSocket.local_endpoint()); }

  Answer mAnswer;
  std::vector<HttpRequest> mSeen;

private:
  void Receive()
  {
    mSocket.async_receive_from(
      asio::buffer(mBuffer), mFrom,
      [this](boost::system::error_code aEc, std::size_t aSize) {
        if (!aEc) {
          OnPacket(ByteView(mBuffer).first(aSize));
          Receive();
        }
      });
  }

  void OnPacket(ByteView aDatagram)
  {
    auto packet = DecodePacket(DecodeDatagram(aDatagram)->mPayload).value();
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code ec;
    parser.put(asio::buffer(packet.mPayload.data(), packet.mPayload.size()),
               ec);
    mSeen.push_back(parser.release());
    packet.mDirective = PacketDirective::Answer;
    for (auto& it : mAnswer(mSeen.back())) {
      it.prepare_payload();
      std::ostringstream text;
      text << it;
      auto bytes = text.str();
      packet.mPayload = ByteView(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
      auto datagram = EncodePacket(packet);
      mSocket.send_to(asio::buffer(datagram),
                      ToEndpoint<Udp>(packet.mReturnTo));
    }
  }

  Udp::socket mSocket;
  Udp::endpoint mFrom;
  Bytes mBuffer;
};

HttpResponse MakeAnswer(const HttpRequest& aRequest, http::status aStatus,
                        std::string_view aOutcome)
{
  HttpResponse response(aStatus, 11);
  response.set("Request-Id", aRequest["Request-Id"]);
  response.set("Service", "doc-archive");
  response.set("Outcome", std::string(aOutcome));
  response.set("Flow-Epoch", "5");
  return response;
}

std::string MakeBody(const HttpRequest& aRequest, std::size_t aBytes)
{
  return MakeContent({ "doc-archive", std::string(aRequest["Request-Id"]),
                       std::string(aRequest["Idempotency-Key"]), aBytes });
}

} // namespace

TEST_GROUP(LabFlow)
{
  asio::io_context mContext;
  FabricSpec mFabricSpec;
  LoadSpec mLoad;
  CallerRecord mRecord;
  Responder mResponder{ mContext.get_executor() };

  void setup() override
  {
    mLoad.mService = "doc-archive";
    mLoad.mClass = "documents";
    mLoad.mAnswerBytes = 300;
  }

  /** Plays one request to its last word. */
  const RequestRecord& Play(const std::string& aKey = {})
  {
    Fabric fabric(mContext.get_executor(), mFabricSpec, 1);
    fabric.SetBalancers({ mResponder.Local() });
    auto flow = Flow::Make(
      mContext.get_executor(), fabric.AddService(), mLoad,
      std::chrono::milliseconds(100), [](std::uint16_t) { return false; },
      &mRecord);
    flow->Submit(aKey, [this](const RequestRecord&) { mContext.stop(); });
    mContext.run();
    return mRecord.mRequests.back();
  }
};

// A document comes in three datagrams and the middle one is lost: the caller
// asks for just that range again and puts the whole together.
TEST(LabFlow, AsksForMissingRanges)
{
  mResponder.mAnswer = [](const HttpRequest& aRequest) {
    std::vector<HttpResponse> parts;
    auto body = MakeBody(aRequest, 300);
    bool again = aRequest.count(http::field::range) > 0;
    for (std::size_t at : { 200, 100, 0 }) {
      if (again == (at == 100)) {
        auto part = MakeAnswer(aRequest, http::status::partial_content, "run");
        part.set(http::field::content_range, "bytes " + std::to_string(at) +
                                               "-" + std::to_string(at + 99) +
                                               "/300");
        part.body() = body.substr(at, 100);
        parts.push_back(part);
      }
    }
    return parts;
  };
  const auto& seen = Play();
  CHECK_TRUE(seen.mFinal == FinalAnswer::Run);
  CHECK_FALSE(seen.mWrongAnswer);
  CHECK_EQUAL(2, mResponder.mSeen.size());
  STRCMP_EQUAL("bytes=100-199",
               std::string(mResponder.mSeen[1][http::field::range]).c_str());
}

// A refusal says when to come back: the caller comes back then, as a new
// request under the same key.
TEST(LabFlow, ComesBackWithTheSameKeyAfterARefusal)
{
  mResponder.mAnswer = [this](const HttpRequest& aRequest) {
    bool first = mResponder.mSeen.size() == 1;
    auto answer = MakeAnswer(
      aRequest, first ? http::status::service_unavailable : http::status::ok,
      first ? "not-run" : "run");
    answer.set("Retry-After-Ms", "30");
    answer.set("Refusal-Reason", "queue-full");
    answer.body() = MakeBody(aRequest, 300);
    return std::vector{ answer };
  };
  const auto& seen = Play("claim-1");
  CHECK_TRUE(seen.mFinal == FinalAnswer::Run);
  CHECK_TRUE(seen.mEnd - seen.mStart >= std::chrono::milliseconds(30));
  CHECK_EQUAL(1, mRecord.mRetries["queue-full"]);
  CHECK_TRUE(mResponder.mSeen[0]["Request-Id"] !=
             mResponder.mSeen[1]["Request-Id"]);
  CHECK_TRUE(mResponder.mSeen[0]["Idempotency-Key"] ==
             mResponder.mSeen[1]["Idempotency-Key"]);
}

// Nothing answers: the same request is sent again and again until the
// deadline, and then counts as lost.
TEST(LabFlow, RepeatsUntilTheDeadlineAndThenCountsALoss)
{
  mLoad.mTimeout = std::chrono::milliseconds(300);
  mResponder.mAnswer = [](const HttpRequest&) {
    return std::vector<HttpResponse>();
  };
  const auto& seen = Play();
  CHECK_TRUE(seen.mFinal == FinalAnswer::None);
  CHECK_EQUAL(3, mResponder.mSeen.size());
  CHECK_TRUE(mResponder.mSeen[0]["Request-Id"] ==
             mResponder.mSeen[2]["Request-Id"]);
}

// A backend server's answer to somebody else's request is never taken.
TEST(LabFlow, CountsAnswersThatAreNotItsOwn)
{
  mResponder.mAnswer = [](const HttpRequest& aRequest) {
    auto answer = MakeAnswer(aRequest, http::status::ok, "run");
    answer.body() = MakeContent({ "doc-archive", "another", "", 300 });
    return std::vector{ answer };
  };
  CHECK_TRUE(Play().mWrongAnswer);
}
