#include "lab/soak/FlowCallers.h"

#include <algorithm>

#include "lab/soak/PacketMaker.h"

namespace heatherplank::lab {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCopiesAfter[] = { milliseconds(200),
                                          milliseconds(600) };
constexpr auto kGivesUpOpeningAfter = milliseconds(1400);
constexpr auto kFirstRepeat = milliseconds(200);
constexpr Duration kLongestRepeat = milliseconds(1600);
constexpr int kTries = 5;
constexpr std::uint32_t kFirstSequence = 1;
constexpr std::uint8_t kRequestBytes = 5;

} // namespace

FlowCallers::FlowCallers(const boost::asio::any_io_executor& aExecutor,
                         const Address& aAddress, ToFabric aToFabric,
                         OnReset aOnReset)
  : mExecutor(aExecutor)
  , mAddress(aAddress)
  , mToFabric(std::move(aToFabric))
  , mOnReset(std::move(aOnReset))
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
    [this](ByteView aDatagram, const Address&) { Take(aDatagram); });
  return {};
}

void FlowCallers::Later(Duration aAfter, std::function<void()> aWhat)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, aAfter);
  timer->async_wait(
    [timer, what = std::move(aWhat)](boost::system::error_code aEc) {
      if (!aEc) {
        what();
      }
    });
}

FlowKey FlowCallers::Begin(const Address& aService)
{
  FlowKey flow{ mAddress, aService };
  flow.mCaller.mPort = mNextPort++;
  Call& call = mCalls[flow];
  call.mFlow = flow;
  call.mBegan = std::chrono::steady_clock::now();
  SendOpening(flow, 0);
  int copy = 1;
  for (auto after : kCopiesAfter) {
    Later(after, [this, flow, copy] {
      const Call& it = mCalls[flow];
      if (!it.mAccepted && !it.mEnded) {
        SendOpening(flow, copy);
      }
    });
    ++copy;
  }
  Later(kGivesUpOpeningAfter, [this, flow] {
    Call& it = mCalls[flow];
    it.mEnded = it.mEnded || !it.mAccepted;
  });
  return flow;
}

void FlowCallers::SendOpening(const FlowKey& aFlow, int aCopy)
{
  mToFabric(aFlow,
            MakePacket(aFlow.mCaller, aFlow.mService, kSyn, kFirstSequence - 1,
                       static_cast<std::uint32_t>(aCopy), 0));
}

void FlowCallers::SendRequest(const FlowKey& aFlow, int aTries,
                              Duration aAgainAfter)
{
  const Call& call = mCalls[aFlow];
  if (call.mAnswered || call.mEnded || aTries == 0) {
    return;
  }
  Ask(aFlow);
  Later(aAgainAfter, [this, aFlow, aTries, aAgainAfter] {
    SendRequest(aFlow, aTries - 1, std::min(2 * aAgainAfter, kLongestRepeat));
  });
}

void FlowCallers::Ask(const FlowKey& aFlow)
{
  mToFabric(aFlow,
            MakePacket(aFlow.mCaller, aFlow.mService, kAck, kFirstSequence,
                       mCalls[aFlow].mHostSequence + 1, kRequestBytes));
}

void FlowCallers::Take(ByteView aDatagram)
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
    SendRequest(call.mFlow, kTries, kFirstRepeat);
  } else if (packet->mDataLength > 0 && !call.mAnswered) {
    call.mAnswered = true;
    ++mAnswered;
  }
}

} // namespace heatherplank::lab
