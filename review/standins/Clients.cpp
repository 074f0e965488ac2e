#include "review/standins/Clients.h"

#include <algorithm>
#include <utility>

namespace heatherplank::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCopyDelays[] = { milliseconds(200), milliseconds(600) };
constexpr auto kOpeningTimeout = milliseconds(1400);
constexpr auto kTimeBudget = milliseconds(2000);
constexpr auto kFirstRetransmit = milliseconds(200);
constexpr Duration kMaxRetransmit = milliseconds(1600);
/** A reset's seq is within this of the client's last ack. */
constexpr std::uint32_t kResetWindow = 76800;
/** How long a client waits for the end of a flow that it has closed. */
constexpr auto kCloseTimeout = milliseconds(3000);

} // namespace

const char* ToString(Clients::Outcome aOutcome)
{
  switch (aOutcome) {
    case Clients::Outcome::Pending:
      return "pending";
    case Clients::Outcome::Answered:
      return "answered";
    case Clients::Outcome::NotOpened:
      return "not opened";
    case Clients::Outcome::Reset:
      return "reset while open";
    case Clients::Outcome::TimedOut:
      return "no answer within its time budget";
  }
  return "unknown";
}

Clients::Clients(boost::asio::any_io_executor aExecutor,
                 const Address& aAddress, Record& aRecord, Observer aObserver,
                 std::uint64_t aSeed)
  : mExecutor(std::move(aExecutor))
  , mAddress(aAddress)
  , mRecord(aRecord)
  , mObserver(std::move(aObserver))
  , mRandom(aSeed)
{
}

Clients::~Clients()
{
  if (mSocket) {
    mSocket->Stop();
  }
}

bool Clients::Listen()
{
  auto socket = DatagramSocket::Make(mExecutor, mAddress, nullptr);
  if (!socket) {
    return false;
  }
  mSocket = *socket;
  mSocket->Start(
    [this](ByteView aBytes, const Address&) { OnDatagram(aBytes); });
  return true;
}

void Clients::RunAfter(Duration aDelay, const Flow& aFlow,
                       std::function<void(Flow&)> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, aDelay);
  timer->async_wait([this, timer, key = aFlow.mKey, as = aFlow.mOpenedAs,
                     task = std::move(aTask)](boost::system::error_code aEc) {
    auto it = mFlows.find(key);
    if (!aEc && it != mFlows.end() && it->second.mOpenedAs == as &&
        !it->second.mDone) {
      task(it->second);
    }
  });
}

void Clients::Open(std::uint16_t aPort, const Address& aRoute, int aRequests)
{
  FlowKey key{ mAddress, aRoute };
  key.mCaller.mPort = aPort;
  Flow& flow = mFlows[key];
  flow = {};
  flow.mKey = key;
  flow.mRequestsLeft = aRequests;
  flow.mOpenedAs = ++mOpened;
  flow.mAttempt = "attempt-" + std::to_string(++mAttempts);
  flow.mInitial = static_cast<std::uint32_t>(mRandom());
  flow.mNext = flow.mInitial + 1;
  mRecord.Line("client opens " + key.ToString() + " for " + flow.mAttempt);
  SendOpening(flow, 0);
  std::uint32_t copy = 1;
  for (auto delay : kCopyDelays) {
    RunAfter(delay, flow, [this, copy](Flow& aFlow) {
      if (!aFlow.mAccepted) {
        SendOpening(aFlow, copy);
      }
    });
    ++copy;
  }
  RunAfter(kOpeningTimeout, flow, [this](Flow& aFlow) {
    if (!aFlow.mAccepted) {
      End(aFlow, Outcome::NotOpened);
      Close(aFlow);
    }
  });
}

bool Clients::IsFree(std::uint16_t aPort, const Address& aRoute,
                     Duration aFor) const
{
  FlowKey key{ mAddress, aRoute };
  key.mCaller.mPort = aPort;
  auto it = mFlows.find(key);
  return it == mFlows.end() ||
         (it->second.mDone &&
          std::chrono::steady_clock::now() - it->second.mEndedAt >= aFor);
}

void Clients::SendOpening(const Flow& aFlow, std::uint32_t aCopy)
{
  Packet packet = MakePacket(aFlow, kSyn);
  packet.mSequence = aFlow.mInitial;
  packet.mAcknowledged = aCopy;
  mObserver.mSend(aFlow.mKey, Encode(packet));
}

Packet Clients::MakePacket(const Flow& aFlow, std::uint8_t aFlags) const
{
  Packet out;
  out.mSource = aFlow.mKey.mCaller;
  out.mDestination = aFlow.mKey.mService;
  out.mFlags = aFlags;
  out.mSequence = aFlow.mNext;
  out.mAcknowledged = aFlow.mReceived;
  return out;
}

void Clients::OnDatagram(ByteView aBytes)
{
  auto packet = Parse(aBytes);
  auto it = packet
              ? mFlows.find(FlowKey{ packet->mDestination, packet->mSource })
              : mFlows.end();
  if (it == mFlows.end()) {
    return;
  }
  Flow& flow = it->second;
  if (packet->Has(kReset)) {
    OnReset(flow, *packet);
  } else if (packet->mSum != SumOf(*packet)) {
    mRecord.Line("client gets a forged packet on " + flow.mKey.ToString());
  } else if (packet->Has(kSyn)) {
    if (!flow.mAccepted && !flow.mDone &&
        packet->mAcknowledged == flow.mInitial + 1) {
      flow.mAccepted = true;
      flow.mReceived = packet->mSequence + 1;
      SendRequest(flow);
    }
  } else if (flow.mAccepted) {
    OnPacket(flow, *packet);
  }
}

void Clients::OnReset(Flow& aFlow, const Packet& aPacket)
{
  std::uint32_t ahead = aPacket.mSequence - aFlow.mReceived;
  bool isNear = ahead <= kResetWindow || 0U - ahead <= kResetWindow;
  if (aFlow.mDone || (aFlow.mAccepted && !isNear)) {
    return;
  }
  mRecord.Line("client gets a reset on " + aFlow.mKey.ToString() + ", sum " +
               std::to_string(aPacket.mSum) + ", flow " +
               (aFlow.mAccepted ? "open" : "not open"));
  mObserver.mOnReset(aFlow, aPacket.mSum == 0);
  if (aFlow.mOutcome == Outcome::Pending) {
    End(aFlow, aFlow.mAccepted ? Outcome::Reset : Outcome::NotOpened);
  }
  Close(aFlow);
}

void Clients::SendRequest(Flow& aFlow)
{
  aFlow.mOutcome = Outcome::Pending;
  Packet packet = MakePacket(aFlow, kAck);
  packet.mData = "POST /claim HTTP/1.1\r\nAttempt-Id: " + aFlow.mAttempt +
                 "\r\nContent-Length: 0\r\n\r\n";
  mRecord.Line("client sends " + aFlow.mAttempt + " on " +
               aFlow.mKey.ToString());
  SendReliably(aFlow, std::move(packet));
  RunAfter(kTimeBudget, aFlow, [this, attempt = aFlow.mAttempt](Flow& aIt) {
    if (aIt.mAttempt == attempt && aIt.mOutcome == Outcome::Pending) {
      End(aIt, Outcome::TimedOut);
      mObserver.mSend(aIt.mKey, Encode(MakePacket(aIt, kReset | kAck)));
      Close(aIt);
    }
  });
}

void Clients::SendReliably(Flow& aFlow, Packet aPacket)
{
  aFlow.mNext += static_cast<std::uint32_t>(aPacket.mData.size()) +
                 (aPacket.Has(kFin) ? 1U : 0U);
  aFlow.mIsAcked = false;
  aFlow.mUnacked = std::move(aPacket);
  mObserver.mSend(aFlow.mKey, Encode(aFlow.mUnacked));
  Retransmit(aFlow.mKey, aFlow.mOpenedAs, aFlow.mUnacked.mSequence,
             kFirstRetransmit);
}

void Clients::Retransmit(const FlowKey& aKey, std::uint64_t aOpenedAs,
                         std::uint32_t aSequence, Duration aDelay)
{
  auto flow = mFlows.find(aKey);
  if (flow == mFlows.end() || flow->second.mOpenedAs != aOpenedAs) {
    return;
  }
  RunAfter(aDelay, flow->second, [this, aSequence, aDelay](Flow& aFlow) {
    if (aFlow.mIsAcked || aFlow.mUnacked.mSequence != aSequence) {
      return;
    }
    aFlow.mUnacked.mAcknowledged = aFlow.mReceived;
    mObserver.mSend(aFlow.mKey, Encode(aFlow.mUnacked));
    Retransmit(aFlow.mKey, aFlow.mOpenedAs, aSequence,
               std::min(2 * aDelay, kMaxRetransmit));
  });
}

void Clients::SendAck(Flow& aFlow)
{
  mObserver.mSend(aFlow.mKey, Encode(MakePacket(aFlow, kAck)));
}

void Clients::OnPacket(Flow& aFlow, const Packet& aPacket)
{
  if (aPacket.mAcknowledged == aFlow.mNext) {
    aFlow.mIsAcked = true;
  }
  bool isNext = aPacket.mSequence == aFlow.mReceived;
  bool hasAnswer = isNext && !aPacket.mData.empty();
  if (hasAnswer) {
    aFlow.mReceived += static_cast<std::uint32_t>(aPacket.mData.size());
  }
  if (isNext && aPacket.Has(kFin)) {
    ++aFlow.mReceived;
    aFlow.mGotFin = true;
  }
  if (!aPacket.mData.empty() || aPacket.Has(kFin)) {
    SendAck(aFlow);
  }
  if (aFlow.mDone) {
    return;
  }
  bool isOwn = aPacket.mData.find("Attempt-Id: " + aFlow.mAttempt + "\r\n") !=
               std::string::npos;
  if (hasAnswer && isOwn && aFlow.mOutcome == Outcome::Pending) {
    End(aFlow, Outcome::Answered);
    --aFlow.mRequestsLeft;
    if (aFlow.mRequestsLeft > 0 && !aFlow.mGotFin) {
      auto spread = static_cast<std::uint64_t>((mMaxPause - mMinPause).count());
      Duration pause = mMinPause + Duration(static_cast<Duration::rep>(
                                     spread == 0 ? 0 : mRandom() % spread));
      RunAfter(pause, aFlow, [this](Flow& aIt) {
        aIt.mAttempt = "attempt-" + std::to_string(++mAttempts);
        SendRequest(aIt);
      });
    }
  }
  bool mayClose = aFlow.mOutcome == Outcome::Answered && !aFlow.mSentFin &&
                  (aFlow.mRequestsLeft == 0 || aFlow.mGotFin);
  if (mayClose) {
    aFlow.mSentFin = true;
    SendReliably(aFlow, MakePacket(aFlow, kAck | kFin));
    RunAfter(kCloseTimeout, aFlow, [this](Flow& aIt) { Close(aIt); });
  }
  if (aFlow.mSentFin && aFlow.mGotFin && aFlow.mIsAcked) {
    Close(aFlow);
  }
}

void Clients::End(Flow& aFlow, Outcome aOutcome)
{
  aFlow.mOutcome = aOutcome;
  ++mCounts[aOutcome];
  mRecord.Line("client: " + aFlow.mAttempt + " on " + aFlow.mKey.ToString() +
               " " + ToString(aOutcome));
  mObserver.mOnEnd(aFlow);
}

void Clients::Close(Flow& aFlow)
{
  aFlow.mDone = true;
  aFlow.mEndedAt = std::chrono::steady_clock::now();
}

} // namespace heatherplank::review
