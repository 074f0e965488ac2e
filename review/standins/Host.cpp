#include "review/standins/Host.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace heatherplank::review {

namespace {

using std::chrono::milliseconds;
namespace json = boost::json;

/** A ping is acknowledged by a 2xx within a second. */
constexpr auto kPingTimeout = milliseconds(1000);
constexpr auto kFirstRetransmit = milliseconds(200);
constexpr Duration kMaxRetransmit = milliseconds(1600);
constexpr int kMaxRetransmits = 8;
constexpr std::uint32_t kWindow = 76800;
constexpr int kOk = 2;

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** The value of a header in the text of a request. */
std::string HeaderOf(const std::string& aText, const std::string& aName)
{
  auto at = aText.find(aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  at += aName.size() + 2;
  return aText.substr(at, aText.find("\r\n", at) - at);
}

} // namespace

Host::Host(boost::asio::any_io_executor aExecutor, const Settings& aSettings,
           Record& aRecord, Observer aObserver, std::uint64_t aSeed)
  : mExecutor(std::move(aExecutor))
  , mSettings(aSettings)
  , mRecord(aRecord)
  , mObserver(std::move(aObserver))
  , mRandom(aSeed)
  , mAgent(HttpClient::Make(mExecutor, aSettings.mControl, 1))
  , mPingTimer(mExecutor)
{
}

Host::~Host()
{
  if (mSocket) {
    mSocket->Stop();
  }
}

bool Host::Listen()
{
  auto socket = DatagramSocket::Make(mExecutor, mSettings.mApp, nullptr);
  if (!socket) {
    return false;
  }
  mSocket = *socket;
  mSocket->Start([this](ByteView aBytes, const Address&) {
    if (mAlive) {
      OnDatagram(aBytes);
    }
  });
  return true;
}

void Host::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, aDelay);
  timer->async_wait([this, timer, boot = mBoot,
                     task = std::move(aTask)](boost::system::error_code aEc) {
    if (!aEc && mAlive && boot == mBoot) {
      task();
    }
  });
}

void Host::Start()
{
  ++mBoot;
  mFlows.clear();
  mQueue.clear();
  mRunning = 0;
  mAlive = true;
  mDraining = false;
  mDrainAckAt.reset();
  mBorn = UnixMs();
  mPings = 0;
  mRecord.Line("host " + mSettings.mName + " starts, id " + mSettings.mId +
               ", service " + mSettings.mService + ", born " +
               std::to_string(mBorn));
  Ping();
}

void Host::Drain()
{
  mDraining = true;
  mRecord.Line("host " + mSettings.mName + " reports draining");
  Ping();
}

void Host::End()
{
  HttpRequest request(http::verb::delete_, "/api/instances/" + mSettings.mId,
                      11);
  request.set(http::field::host, "agent");
  request.set(http::field::content_type, "application/json");
  request.body() = json::serialize(json::object{ { "born", mBorn } });
  request.prepare_payload();
  mAgent->Send(std::move(request), kPingTimeout,
               [](const Result<HttpResponse>&) {});
  mRecord.Line("host " + mSettings.mName + " sends DELETE and exits");
  mPingTimer.cancel();
  mAlive = false;
}

bool Host::HoldsOpen(const FlowKey& aFlow) const
{
  auto it = mFlows.find(aFlow);
  return mAlive && it != mFlows.end() && it->second.mOpen &&
         !it->second.mPeerClosed && !it->second.mClosed && !it->second.mReset;
}

bool Host::HasReset(const FlowKey& aFlow) const
{
  auto it = mFlows.find(aFlow);
  return it != mFlows.end() && it->second.mReset;
}

void Host::OnDatagram(ByteView aBytes)
{
  auto packet = Parse(aBytes);
  if (!packet || packet->mSum != SumOf(*packet)) {
    mRecord.Line("host " + mSettings.mName + " gets a forged packet");
    return;
  }
  FlowKey key{ packet->mSource, packet->mDestination };
  if (packet->Has(kSyn)) {
    OnOpening(key, *packet);
    return;
  }
  if (mObserver.mOnPacket) {
    mObserver.mOnPacket(*this, key);
  }
  auto it = mFlows.find(key);
  bool holds = it != mFlows.end() &&
               packet->mAcknowledged - it->second.mInitial <= kWindow;
  if (!holds) {
    mSocket->Send(MakeBounced(aBytes), mSettings.mOutbound);
    return;
  }
  OnPacket(key, *packet, it->second);
}

/** A copy of the opening packet gets the same answer as the first one. */
void Host::OnOpening(const FlowKey& aKey, const Packet& aPacket)
{
  auto it = mFlows.find(aKey);
  bool isCopy =
    it != mFlows.end() && it->second.mClientInitial == aPacket.mSequence;
  if (!isCopy) {
    Flow flow;
    flow.mInitial = static_cast<std::uint32_t>(mRandom());
    flow.mClientInitial = aPacket.mSequence;
    flow.mReceived = aPacket.mSequence + 1;
    flow.mNext = flow.mAcked = flow.mInitial + 1;
    it = mFlows.insert_or_assign(aKey, std::move(flow)).first;
    mObserver.mOnOpening(*this, aKey);
  }
  Packet answer = MakePacket(aKey, it->second, kSyn | kAck);
  answer.mSequence = it->second.mInitial;
  mSocket->Send(Encode(answer), mSettings.mOutbound);
}

Packet Host::MakePacket(const FlowKey& aKey, const Flow& aFlow,
                        std::uint8_t aFlags) const
{
  Packet out;
  out.mSource = aKey.mService;
  out.mDestination = aKey.mCaller;
  out.mFlags = aFlags;
  out.mSequence = aFlow.mNext;
  out.mAcknowledged = aFlow.mReceived;
  return out;
}

void Host::OnPacket(const FlowKey& aKey, const Packet& aPacket, Flow& aFlow)
{
  aFlow.mAcked = aPacket.mAcknowledged;
  std::erase_if(aFlow.mUnacked, [&](const Packet& aIt) {
    auto size =
      static_cast<std::uint32_t>(aIt.mData.size()) + (aIt.Has(kFin) ? 1U : 0U);
    return static_cast<std::int32_t>(aFlow.mAcked - aIt.mSequence - size) >= 0;
  });
  if (aFlow.IsEnded()) {
    std::uint8_t flags = aPacket.Has(kFin) ? kAck : kReset;
    if (aPacket.Has(kFin) || !aPacket.mData.empty()) {
      aFlow.mReset = aFlow.mReset || flags == kReset;
      mSocket->Send(Encode(MakePacket(aKey, aFlow, flags)),
                    mSettings.mOutbound);
    }
    return;
  }
  aFlow.mOpen = true;
  if (aPacket.Has(kReset)) {
    aFlow.mPeerClosed = aFlow.mClosed = true;
    aFlow.mUnacked.clear();
    return;
  }
  bool isNext = aPacket.mSequence == aFlow.mReceived;
  if (isNext && !aPacket.mData.empty()) {
    aFlow.mReceived += static_cast<std::uint32_t>(aPacket.mData.size());
    OnRequest(aKey, aPacket.mData);
  }
  bool closes = isNext && aPacket.Has(kFin) && !aFlow.mPeerClosed;
  if (closes) {
    ++aFlow.mReceived;
    aFlow.mPeerClosed = true;
  }
  if (!aPacket.mData.empty() || aPacket.Has(kFin)) {
    mSocket->Send(Encode(MakePacket(aKey, aFlow, kAck)), mSettings.mOutbound);
  }
  if (closes && !aFlow.mClosed) {
    SendReliably(aKey, aFlow, MakePacket(aKey, aFlow, kAck | kFin));
  }
}

void Host::OnRequest(const FlowKey& aKey, const std::string& aText)
{
  mQueue.push_back({ aKey, HeaderOf(aText, "Attempt-Id") });
  RunNext();
}

void Host::RunNext()
{
  if (mRunning >= mSettings.mSlots || mQueue.empty()) {
    return;
  }
  Work work = std::move(mQueue.front());
  mQueue.pop_front();
  ++mRunning;
  mRecord.Line("host " + mSettings.mName + " runs " + work.mAttempt);
  mObserver.mOnRun(*this, work.mFlow, work.mAttempt);
  RunAfter(mSettings.mWork, [this, work] {
    --mRunning;
    Finish(work);
    RunNext();
  });
}

/** Sends the answer. A draining host closes the flow after it. */
void Host::Finish(const Work& aWork)
{
  auto it = mFlows.find(aWork.mFlow);
  if (it == mFlows.end() || it->second.IsEnded()) {
    return;
  }
  Packet answer = MakePacket(aWork.mFlow, it->second, kAck);
  answer.mData = "HTTP/1.1 200 OK\r\nAttempt-Id: " + aWork.mAttempt +
                 "\r\nResponse-Signature: " + mSettings.mId +
                 "\r\nContent-Length: 2\r\n\r\nok";
  if (mDraining && !it->second.mClosed) {
    answer.mFlags |= kFin;
  }
  SendReliably(aWork.mFlow, it->second, std::move(answer));
}

void Host::SendReliably(const FlowKey& aKey, Flow& aFlow, Packet aPacket)
{
  if (aPacket.Has(kFin)) {
    aFlow.mClosed = true;
  }
  aFlow.mNext += static_cast<std::uint32_t>(aPacket.mData.size()) +
                 (aPacket.Has(kFin) ? 1U : 0U);
  std::uint32_t sequence = aPacket.mSequence;
  mSocket->Send(Encode(aPacket), mSettings.mOutbound);
  aFlow.mUnacked.push_back(std::move(aPacket));
  Retransmit(aKey, sequence, 1, kFirstRetransmit);
}

void Host::Retransmit(const FlowKey& aKey, std::uint32_t aSequence, int aTry,
                      Duration aDelay)
{
  RunAfter(aDelay, [this, aKey, aSequence, aTry, aDelay] {
    auto flow = mFlows.find(aKey);
    if (flow == mFlows.end() || aTry > kMaxRetransmits) {
      return;
    }
    for (Packet& it : flow->second.mUnacked) {
      if (it.mSequence == aSequence) {
        it.mAcknowledged = flow->second.mReceived;
        mSocket->Send(Encode(it), mSettings.mOutbound);
        Retransmit(aKey, aSequence, aTry + 1,
                   std::min(2 * aDelay, kMaxRetransmit));
        return;
      }
    }
  });
}

void Host::Ping()
{
  mPingTimer.expires_after(mSettings.mHeartbeat);
  mPingTimer.async_wait([this](boost::system::error_code aEc) {
    if (!aEc && mAlive) {
      Ping();
    }
  });
  json::object body{ { "Service", mSettings.mService },
                     { "Address", mSettings.mApp.ToString() },
                     { "Zone", mSettings.mZone },
                     { "Version", "v1" },
                     { "Slots", mSettings.mSlots },
                     { "State", mDraining ? "draining" : "ready" },
                     { "ColdLeftMs", 0 },
                     { "Seq", ++mPings },
                     { "born", mBorn } };
  HttpRequest request(http::verb::put, "/api/instances/" + mSettings.mId, 11);
  request.set(http::field::host, "agent");
  request.set(http::field::content_type, "application/json");
  request.body() = json::serialize(body);
  request.prepare_payload();
  mAgent->Send(std::move(request), kPingTimeout,
               [this, boot = mBoot,
                draining = mDraining](const Result<HttpResponse>& aAnswer) {
                 bool ok = aAnswer && aAnswer->result_int() / 100 == kOk;
                 if (!ok || !draining || boot != mBoot || mDrainAckAt) {
                   return;
                 }
                 mDrainAckAt = std::chrono::steady_clock::now();
                 mRecord.Line("host " + mSettings.mName +
                              " has the answer 200 to its draining ping");
                 RunAfter(mSettings.mServesAfterDrain, [this] { End(); });
               });
}

} // namespace heatherplank::review
