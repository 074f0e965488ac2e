#include "lab/soak/FlowCallers.h"

#include <algorithm>
#include <limits>

#include "lab/soak/PacketMaker.h"

namespace heatherplank::lab {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOpeningCopyDelays[] = { milliseconds(200),
                                                milliseconds(600) };
constexpr auto kOpeningTimeout = milliseconds(1400);
constexpr auto kFirstRetryDelay = milliseconds(200);
constexpr Duration kMaxRetryDelay = milliseconds(1600);
constexpr int kMaxTries = 5;
constexpr auto kMinPause = milliseconds(200);
constexpr auto kMaxPause = milliseconds(1200);

} // namespace

FlowCallers::FlowCallers(const boost::asio::any_io_executor& aExecutor,
                         const Address& aAddress, std::uint64_t aSeed,
                         FabricSender aSendToFabric, OnReset aOnReset)
  : mExecutor(aExecutor)
  , mAddress(aAddress)
  , mSendToFabric(std::move(aSendToFabric))
  , mOnReset(std::move(aOnReset))
  , mRandom(aSeed)
{
}

FlowCallers::~FlowCallers()
{
  if (mSocket) {
    mSocket->Stop();
  }
}

Result<void> FlowCallers::Listen()
{
  auto socket = DatagramSocket::Make(mExecutor, mAddress, nullptr);
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  mSocket = *socket;
  mSocket->Start(
    [this](ByteView aDatagram, const Address&) { HandleDatagram(aDatagram); });
  return {};
}

void FlowCallers::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](boost::system::error_code aEc) {
      if (!aEc) {
        task();
      }
    });
}

FlowKey FlowCallers::OpenFlow(const Address& aService, bool aIsLong)
{
  FlowKey flow{ mAddress, aService };
  flow.mCaller.mPort = mNextPort++;
  Call& call = mCalls[flow];
  call.mFlow = flow;
  call.mIsLong = aIsLong;
  call.mStartTime = std::chrono::steady_clock::now();
  SendOpening(flow, 0);
  int copy = 1;
  for (auto delay : kOpeningCopyDelays) {
    RunAfter(delay, [this, flow, copy] {
      const Call& it = mCalls[flow];
      if (!it.mAccepted && !it.mEnded) {
        SendOpening(flow, copy);
      }
    });
    ++copy;
  }
  RunAfter(kOpeningTimeout, [this, flow] {
    Call& it = mCalls[flow];
    it.mEnded = it.mEnded || !it.mAccepted;
  });
  return flow;
}

void FlowCallers::SendOpening(const FlowKey& aFlow, int aCopy)
{
  mSendToFabric(aFlow, MakePacket(aFlow.mCaller, aFlow.mService, kSyn,
                                  kFirstSequence - 1,
                                  static_cast<std::uint32_t>(aCopy), 0));
}

void FlowCallers::StartRequest(Call& aCall)
{
  aCall.mRequestAnswered = false;
  aCall.mRequestTime = std::chrono::steady_clock::now();
  int tries = aCall.mIsLong ? std::numeric_limits<int>::max() : kMaxTries;
  SendRequestWithRetries(aCall.mFlow, aCall.mRequest, tries, kFirstRetryDelay);
}

void FlowCallers::SendRequestWithRetries(const FlowKey& aFlow,
                                         std::uint32_t aRequest, int aTriesLeft,
                                         Duration aRetryDelay)
{
  const Call& call = mCalls[aFlow];
  if (call.mRequestAnswered || call.mRequest != aRequest || call.mEnded ||
      aTriesLeft == 0) {
    return;
  }
  SendRequest(aFlow);
  RunAfter(aRetryDelay, [this, aFlow, aRequest, aTriesLeft, aRetryDelay] {
    SendRequestWithRetries(aFlow, aRequest, aTriesLeft - 1,
                           std::min(2 * aRetryDelay, kMaxRetryDelay));
  });
}

void FlowCallers::SendRequest(const FlowKey& aFlow)
{
  const Call& call = mCalls[aFlow];
  mSendToFabric(
    aFlow, MakePacket(aFlow.mCaller, aFlow.mService, kAck,
                      kFirstSequence + call.mRequest * kRequestBytes,
                      call.mHostSequence + 1 + call.mRequest * kAnswerBytes,
                      kRequestBytes));
}

void FlowCallers::HandleDatagram(ByteView aDatagram)
{
  auto packet = PlatformPackets().Parse(aDatagram);
  auto it = packet ? mCalls.find(packet->FlowFromHost()) : mCalls.end();
  if (it == mCalls.end() || it->second.mEnded) {
    return;
  }
  Call& call = it->second;
  if (packet->mReset) {
    mOnReset(call);
    mRefused += call.mAccepted ? 0 : 1;
    call.mEnded = true;
  } else if (packet->mSyn && !call.mAccepted) {
    call.mAccepted = true;
    call.mHostSequence = packet->mSequence;
    StartRequest(call);
  } else if (packet->mDataLength > 0 && !call.mRequestAnswered &&
             packet->mSequence ==
               call.mHostSequence + 1 + call.mRequest * kAnswerBytes) {
    HandleAnswer(call);
  }
}

void FlowCallers::HandleAnswer(Call& aCall)
{
  mAnswered += aCall.mAnswered ? 0 : 1;
  aCall.mAnswered = aCall.mRequestAnswered = true;
  if (!aCall.mIsLong) {
    return;
  }
  auto pause =
    kMinPause + milliseconds(mRandom() % static_cast<std::uint64_t>(
                                           (kMaxPause - kMinPause).count()));
  RunAfter(pause, [this, &aCall] {
    if (!aCall.mEnded) {
      ++mRequests;
      ++aCall.mRequest;
      StartRequest(aCall);
    }
  });
}

} // namespace heatherplank::lab
