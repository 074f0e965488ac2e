#include "review/standins-2/Callers.h"

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "lab/soak/PacketMaker.h"

namespace heatherplank::review {

using lab::kAck;
using lab::kFin;
using lab::kSyn;
using std::chrono::milliseconds;

namespace {

constexpr std::uint8_t kRequestBytes = 90;
constexpr auto kOpeningTimeout = milliseconds(1400);
constexpr auto kFirstRepeat = milliseconds(200);
constexpr Duration kLongestRepeat = milliseconds(1600);
constexpr auto kTimeBudget = milliseconds(3000);
constexpr auto kShortestPause = milliseconds(600);
constexpr auto kLongestPause = milliseconds(1000);

} // namespace

Callers::Callers(const boost::asio::any_io_executor& aExecutor,
                 const Address& aAddress, std::uint64_t aSeed, Fabric& aFabric,
                 Record& aRecord, OnReset aOnReset)
  : mExecutor(aExecutor)
  , mAddress(aAddress)
  , mFabric(aFabric)
  , mRecord(aRecord)
  , mOnReset(std::move(aOnReset))
  , mRandom(aSeed)
{
}

Callers::~Callers()
{
  if (mSocket) {
    mSocket->Stop();
  }
}

Result<void> Callers::Listen()
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

void Callers::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](boost::system::error_code aEc) {
      if (!aEc) {
        task();
      }
    });
}

void Callers::Send(const Flow& aFlow, ByteView aPacket)
{
  mFabric.Forward(aFlow.mKey, aPacket);
}

Time Callers::OpenedAt(const FlowKey& aFlow) const
{
  auto it = mFlows.find(aFlow);
  return it == mFlows.end() ? Time{} : it->second.mOpenedAt;
}

void Callers::Open(const Address& aRoute, Habit aHabit)
{
  FlowKey key{ mAddress, aRoute };
  key.mCaller.mPort = mNextPort++;
  Flow& flow = mFlows[key];
  flow.mKey = key;
  flow.mHabit = aHabit;
  Begin(flow);
}

void Callers::Begin(Flow& aFlow)
{
  FlowKey key = aFlow.mKey;
  int number = aFlow.mNumber + 1;
  Habit habit = aFlow.mHabit;
  aFlow = {};
  aFlow.mKey = key;
  aFlow.mHabit = habit;
  aFlow.mNumber = number;
  aFlow.mOpenedAt = std::chrono::steady_clock::now();
  aFlow.mSequence = static_cast<std::uint32_t>(mRandom());
  aFlow.mNext = aFlow.mSequence + 1;
  ++mRequests;
  mRecord.Line("caller opens " + key.ToString() + " number " +
               std::to_string(number) + " by node " + mFabric.NodeOf(key));
  SendOpening(key, number, 0);
  RunAfter(milliseconds(200),
           [this, key, number] { SendOpening(key, number, 1); });
  RunAfter(milliseconds(600),
           [this, key, number] { SendOpening(key, number, 2); });
  RunAfter(kOpeningTimeout, [this, key, number] {
    Flow& flow = mFlows[key];
    if (flow.mNumber == number && !flow.mAccepted && !flow.mEnded) {
      mRecord.Line("caller gives up opening " + key.ToString());
      End(flow);
    }
  });
}

void Callers::SendOpening(const FlowKey& aKey, int aNumber, std::uint32_t aCopy)
{
  const Flow& flow = mFlows[aKey];
  if (flow.mNumber == aNumber && !flow.mAccepted && !flow.mEnded) {
    Send(flow, lab::MakePacket(aKey.mCaller, aKey.mService, kSyn,
                               flow.mSequence, aCopy, 0));
  }
}

void Callers::SendRequest(Flow& aFlow)
{
  aFlow.mWaits = true;
  ++aFlow.mRequest;
  aFlow.mLastRequest =
    lab::MakePacket(aFlow.mKey.mCaller, aFlow.mKey.mService, kAck, aFlow.mNext,
                    aFlow.mExpected, kRequestBytes);
  aFlow.mNext += kRequestBytes;
  Send(aFlow, aFlow.mLastRequest);
  FlowKey key = aFlow.mKey;
  int number = aFlow.mNumber;
  int request = aFlow.mRequest;
  Repeat(key, number, request, kFirstRepeat);
  RunAfter(kTimeBudget, [this, key, number, request] {
    Flow& flow = mFlows[key];
    if (flow.mNumber == number && flow.mRequest == request && flow.mWaits) {
      mRecord.Line("caller gives up a request of " + key.ToString());
      End(flow);
    }
  });
}

void Callers::Repeat(const FlowKey& aKey, int aNumber, int aRequest,
                     Duration aAfter)
{
  RunAfter(aAfter, [this, aKey, aNumber, aRequest, aAfter] {
    const Flow& flow = mFlows[aKey];
    if (flow.mNumber != aNumber || flow.mRequest != aRequest || !flow.mWaits) {
      return;
    }
    Send(flow, flow.mLastRequest);
    Repeat(aKey, aNumber, aRequest, std::min(2 * aAfter, kLongestRepeat));
  });
}

void Callers::HandleDatagram(ByteView aDatagram)
{
  auto packet = PlatformPackets().Parse(aDatagram);
  auto it = packet ? mFlows.find(packet->FlowFromHost()) : mFlows.end();
  if (it != mFlows.end() && !it->second.mEnded) {
    HandlePacket(it->second, *packet);
  }
}

void Callers::HandlePacket(Flow& aFlow, const FlowPacket& aPacket)
{
  if (aPacket.mReset) {
    mRecord.Line("caller gets a reset of " + aFlow.mKey.ToString() +
                 " number " + std::to_string(aFlow.mNumber));
    if (aFlow.mAccepted) {
      mOnReset(aFlow, aPacket.mSequence);
    }
    End(aFlow);
    return;
  }
  if (aPacket.mSyn) {
    bool isForThis = aPacket.mAcknowledged == aFlow.mSequence + 1;
    if (!aFlow.mAccepted && isForThis) {
      aFlow.mAccepted = true;
      aFlow.mHostSequence = aPacket.mSequence;
      aFlow.mExpected = aPacket.mSequence + 1;
      SendRequest(aFlow);
    }
    return;
  }
  if (!aFlow.mAccepted || aPacket.mSequence != aFlow.mExpected) {
    return;
  }
  aFlow.mExpected += aPacket.mDataLength + (aPacket.mFin ? 1U : 0U);
  if (aPacket.mDataLength > 0 && aFlow.mWaits) {
    OnAnswer(aFlow);
  }
  bool closes = aPacket.mFin || (aFlow.mHabit == Habit::Single &&
                                 aPacket.mDataLength > 0 && !aFlow.mFinSent);
  if (closes && !aFlow.mFinSent) {
    Send(aFlow, lab::MakePacket(aFlow.mKey.mCaller, aFlow.mKey.mService,
                                kAck | kFin, aFlow.mNext, aFlow.mExpected, 0));
    aFlow.mFinSent = true;
    aFlow.mNext += 1;
  }
  if (aPacket.mFin) {
    End(aFlow);
  }
}

void Callers::OnAnswer(Flow& aFlow)
{
  aFlow.mWaits = false;
  ++mAnswered;
  mRecord.Line("caller gets the answer to request " +
               std::to_string(aFlow.mRequest) + " of " + aFlow.mKey.ToString() +
               " number " + std::to_string(aFlow.mNumber));
  if (aFlow.mHabit == Habit::Kept) {
    NextRequestAfterPause(aFlow);
  }
}

void Callers::NextRequestAfterPause(Flow& aFlow)
{
  auto pause =
    kShortestPause +
    milliseconds(mRandom() % static_cast<std::uint64_t>(
                               (kLongestPause - kShortestPause).count()));
  RunAfter(pause, [this, key = aFlow.mKey, number = aFlow.mNumber] {
    Flow& flow = mFlows[key];
    if (mStopped || flow.mNumber != number) {
      return;
    }
    if (flow.mEnded && mUsesNewPorts) {
      ++flow.mNumber;
      Open(flow.mKey.mService, Habit::Kept);
    } else if (flow.mEnded) {
      Begin(flow);
    } else if (!flow.mWaits) {
      ++mRequests;
      SendRequest(flow);
    }
  });
}

void Callers::End(Flow& aFlow)
{
  bool hadNext = aFlow.mAccepted && !aFlow.mWaits && aFlow.mRequest > 0;
  aFlow.mEnded = true;
  aFlow.mWaits = false;
  // After an answer the next request is due already.
  if (aFlow.mHabit == Habit::Kept && !hadNext) {
    NextRequestAfterPause(aFlow);
  }
}

} // namespace heatherplank::review
