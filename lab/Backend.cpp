#include "lab/Backend.h"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "lab/Content.h"
#include "src/net/Endpoint.h"
#include "src/net/HttpServer.h"

namespace heatherplank::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

std::string_view View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::uint64_t ReadNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/** Returns the body size that a target requests by "bytes=N", or 0. */
std::size_t AskedBytes(std::string_view aTarget)
{
  constexpr std::string_view kName = "bytes=";
  auto at = aTarget.find(kName);
  return at == std::string_view::npos
           ? 0
           : ReadNumber(aTarget.substr(at + kName.size()));
}

bool IsLate(const HttpRequest& aRequest)
{
  auto deadline = ReadNumber(View(aRequest["Request-Deadline"]));
  auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  return deadline != 0 && deadline < static_cast<std::uint64_t>(now.count());
}

} // namespace

/** A connection from the agent. It keeps reading while a request is executed,
 * so that a closed connection cancels the request at once.
 */
class Backend::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::ip::tcp::socket aSocket, Backend* aBackend)
    : mStream(std::move(aSocket))
    , mBackend(aBackend)
  {
  }

  void Read()
  {
    mRequest = {};
    http::async_read(mStream, mBuffer, mRequest,
                     [self = shared_from_this()](error_code aEc, std::size_t) {
                       self->OnRead(aEc);
                     });
  }

  void Write(HttpResponse aResponse)
  {
    auto response = std::make_shared<HttpResponse>(std::move(aResponse));
    response->prepare_payload();
    http::async_write(
      mStream, *response,
      [self = shared_from_this(), response](error_code, std::size_t) {});
  }

  /** Closes the connection without notifying the backend server. */
  void Close()
  {
    mBackend = nullptr;
    mStream.close();
  }

private:
  void OnRead(error_code aEc)
  {
    if (!mBackend) {
      return;
    }
    if (aEc) {
      mBackend->Cancel(this);
      return;
    }
    auto request = std::move(mRequest);
    Read();
    mBackend->OnRequest(shared_from_this(), std::move(request));
  }

  beast::tcp_stream mStream;
  Backend* mBackend;
  beast::flat_buffer mBuffer;
  HttpRequest mRequest;
};

struct Backend::Work
{
  Work(std::shared_ptr<Connection> aConnection, HttpRequest aRequest,
       const asio::any_io_executor& aExecutor)
    : mConnection(std::move(aConnection))
    , mRequest(std::move(aRequest))
    , mTimer(aExecutor)
  {
  }

  std::shared_ptr<Connection> mConnection;
  HttpRequest mRequest;
  asio::steady_timer mTimer;
  Execution* mExecution = nullptr;
};

Result<std::unique_ptr<Backend>> Backend::Make(
  const asio::any_io_executor& aExecutor, const std::string& aService,
  const std::string& aHost, const BackendSpec& aSpec, std::uint64_t aSeed,
  ExecutionLog* aLog)
{
  std::unique_ptr<Backend> backend(
    new Backend(aExecutor, aService, aHost, aSpec, aSeed, aLog));
  if (auto started = backend->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return backend;
}

Backend::Backend(const asio::any_io_executor& aExecutor, std::string aService,
                 std::string aHost, BackendSpec aSpec, std::uint64_t aSeed,
                 ExecutionLog* aLog)
  : mExecutor(aExecutor)
  , mService(std::move(aService))
  , mHost(std::move(aHost))
  , mSpec(std::move(aSpec))
  , mRandom(aSeed)
  , mLog(aLog)
  , mAcceptor(aExecutor)
  , mLocal(*ParseAddress("127.0.0.1:0"))
{
}

Backend::~Backend()
{
  Kill();
}

Result<void> Backend::Start()
{
  mStarted = std::chrono::steady_clock::now();
  mDraining = false;
  NoteHint();
  return Listen();
}

Result<void> Backend::Listen()
{
  auto endpoint = ToEndpoint<asio::ip::tcp>(mLocal);
  error_code ec;
  mAcceptor.open(endpoint.protocol(), ec);
  mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  mAcceptor.bind(endpoint, ec);
  if (!ec) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Fail(ErrorKind::System,
                "no backend server at " + mLocal.ToString() + ": " +
                  ec.message(),
                "free the port");
  }
  mLocal = FromEndpoint(mAcceptor.local_endpoint());
  Accept();
  return {};
}

void Backend::Accept()
{
  mAcceptor.async_accept([this](error_code aEc, asio::ip::tcp::socket aSocket) {
    if (aEc) {
      return;
    }
    auto connection = std::make_shared<Connection>(std::move(aSocket), this);
    std::erase_if(mConnections, [](const auto& aIt) { return aIt.expired(); });
    mConnections.push_back(connection);
    connection->Read();
    Accept();
  });
}

void Backend::Kill()
{
  error_code ec;
  mAcceptor.close(ec);
  for (const auto& it : mConnections) {
    if (auto connection = it.lock()) {
      connection->Close();
    }
  }
  mConnections.clear();
  mQueue.clear();
  mRunning.clear();
}

void Backend::OnRequest(const std::shared_ptr<Connection>& aConnection,
                        HttpRequest aRequest)
{
  if (AnswerHint(*aConnection, aRequest)) {
    return;
  }
  auto work =
    std::make_shared<Work>(aConnection, std::move(aRequest), mExecutor);
  if (mDraining) {
    Refuse(*work, "draining");
  } else if (mRunning.size() < mSpec.mSlots) {
    Run(work);
  } else if (mQueue.size() < mSpec.mQueue) {
    mQueue.push_back(work);
  } else {
    Refuse(*work, "shed");
  }
}

bool Backend::AnswerHint(Connection& aConnection, const HttpRequest& aRequest)
{
  NoteHint();
  std::string body;
  Hint hint = mHints.front();
  if (mSpec.mLies) {
    hint = { {}, "serving", 0 };
  }
  if (aRequest.target() == "/-/health") {
    body = R"({"state": ")" + hint.mState + "\"}";
  } else if (aRequest.target() == "/-/load") {
    body = R"({"slots": )" + std::to_string(mSpec.mSlots) + R"(, "busy": )" +
           std::to_string(hint.mBusy) + "}";
  } else {
    return false;
  }
  aConnection.Write(MakeResponse(aRequest, http::status::ok, "application/json",
                                 std::move(body)));
  return true;
}

void Backend::NoteHint()
{
  auto now = std::chrono::steady_clock::now();
  const char* state = IsCold() ? "cold" : "serving";
  mHints.push_back({ now, mDraining ? "draining" : state, mRunning.size() });
  while (mHints.size() > 1 && mHints[1].mAt <= now - mSpec.mHintLag) {
    mHints.pop_front();
  }
}

bool Backend::IsCold() const
{
  return std::chrono::steady_clock::now() < mStarted + mSpec.mCold;
}

Duration Backend::PickTime(std::string_view aTarget)
{
  ServiceTime time;
  for (const auto& it : mSpec.mTimes) {
    if (aTarget.starts_with(it.mPrefix)) {
      time = it;
      break;
    }
  }
  std::uniform_real_distribution<> factor(1 - time.mSpread, 1 + time.mSpread);
  double scale =
    factor(mRandom) * mSlowness * (IsCold() ? mSpec.mColdFactor : 1);
  return std::chrono::duration_cast<Duration>(time.mMean * scale);
}

void Backend::Run(const std::shared_ptr<Work>& aWork)
{
  if (IsLate(aWork->mRequest)) {
    Refuse(*aWork, "late");
    RunNext();
    return;
  }
  auto now = std::chrono::steady_clock::now();
  mLog->push_back({ mService, mHost, std::string(aWork->mRequest["Request-Id"]),
                    std::string(aWork->mRequest["Idempotency-Key"]), now, now,
                    false });
  aWork->mExecution = &mLog->back();
  mRunning.push_back(aWork);
  NoteHint();
  aWork->mTimer.expires_after(PickTime(View(aWork->mRequest.target())));
  aWork->mTimer.async_wait([this, weak = std::weak_ptr(aWork)](error_code aEc) {
    auto work = weak.lock();
    if (!aEc && work && std::erase(mRunning, work) > 0) {
      Finish(work);
    }
  });
}

void Backend::Finish(const std::shared_ptr<Work>& aWork)
{
  aWork->mExecution->mEnd = std::chrono::steady_clock::now();
  aWork->mExecution->mDone = true;
  ContentSpec content{ mService, aWork->mExecution->mRequestId,
                       aWork->mExecution->mKey,
                       AskedBytes(View(aWork->mRequest.target())) };
  aWork->mConnection->Write(MakeResponse(aWork->mRequest, http::status::ok,
                                         "text/plain", MakeContent(content)));
  RunNext();
}

void Backend::RunNext()
{
  NoteHint();
  if (!mQueue.empty() && mRunning.size() < mSpec.mSlots) {
    auto next = mQueue.front();
    mQueue.pop_front();
    Run(next);
  }
}

void Backend::Refuse(Work& aWork, std::string_view aWhy)
{
  auto response =
    MakeResponse(aWork.mRequest, http::status::service_unavailable,
                 "text/plain", std::string(aWhy) + "\n");
  response.set(http::field::retry_after, "1");
  response.set("Outcome", "not-run");
  aWork.mConnection->Write(std::move(response));
}

void Backend::Cancel(const Connection* aConnection)
{
  auto ofIt = [aConnection](const auto& aWork) {
    return aWork->mConnection.get() == aConnection;
  };
  std::erase_if(mQueue, ofIt);
  std::erase_if(mRunning, ofIt);
  RunNext();
}

} // namespace heatherplank::lab
