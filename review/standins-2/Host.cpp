#include "review/standins-2/Host.h"

#include <algorithm>

#include <boost/json.hpp>

#include "lab/soak/PacketMaker.h"

namespace heatherplank::review {

namespace json = boost::json;
using lab::kAck;
using lab::kFin;
using lab::kSyn;

namespace {

constexpr std::uint8_t kReset = 8;
constexpr std::uint8_t kAnswerBytes = 200;
constexpr auto kPingTimeout = std::chrono::milliseconds(1000);
/** A packet is of a flow if it acknowledges at most this much of it. */
constexpr std::uint32_t kWindow = 76800;

std::int64_t UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

Host::Host(const boost::asio::any_io_executor& aExecutor,
           const Settings& aSettings, std::uint64_t aSeed, Record& aRecord)
  : mSettings(aSettings)
  , mExecutor(aExecutor)
  , mRecord(aRecord)
  , mClient(HttpClient::Make(aExecutor, aSettings.mControl, 1))
  , mPingTimer(aExecutor)
  , mRandom(aSeed)
{
}

Host::~Host()
{
  if (mSocket) {
    mSocket->Stop();
  }
}

Result<void> Host::Listen()
{
  auto socket = DatagramSocket::Make(mExecutor, mSettings.mInbox, nullptr);
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  mSocket = *socket;
  mSocket->Start([this](ByteView aDatagram, const Address&) {
    if (mAlive) {
      HandleDatagram(aDatagram);
    }
  });
  return {};
}

void Host::Start(bool aIsDuringTraffic)
{
  mFlows.clear();
  mQueue.clear();
  mRunning = 0;
  mAlive = true;
  mDraining = false;
  ++mBoot;
  mId = mSettings.mName + "-" + std::to_string(mBoot);
  mBorn = UnixMilliseconds();
  mSequence = 0;
  mDrainAckAt.reset();
  mColdUntil = aIsDuringTraffic
                 ? std::chrono::steady_clock::now() + mSettings.mColdTime
                 : Time{};
  mRecord.Line("host " + mSettings.mName + " starts, boot " +
               std::to_string(mBoot));
  Ping();
}

void Host::Crash()
{
  mAlive = false;
  mPingTimer.cancel();
  mRecord.Line("host " + mSettings.mName + " crashes");
}

void Host::Drain()
{
  mDraining = true;
  mRecord.Line("host " + mSettings.mName + " drains");
  Ping();
}

bool Host::HoldsOpen(const FlowKey& aFlow, std::uint32_t aHostSequence) const
{
  auto it = mFlows.find(aFlow);
  return mAlive && it != mFlows.end() && it->second.mOpen &&
         !it->second.HasEnded() && it->second.mSequence == aHostSequence;
}

bool Host::IsCold() const
{
  return std::chrono::steady_clock::now() < mColdUntil;
}

void Host::Send(const FlowKey& aFlow, std::uint8_t aFlags,
                std::uint32_t aSequence, std::uint32_t aAcknowledged,
                std::uint8_t aData)
{
  mSocket->Send(lab::MakePacket(aFlow.mService, aFlow.mCaller, aFlags,
                                aSequence, aAcknowledged, aData),
                mSettings.mOutbox);
}

void Host::HandleOpening(const FlowKey& aKey, std::uint32_t aSequence)
{
  auto it = mFlows.find(aKey);
  bool isRepeated = it != mFlows.end() && !it->second.HasEnded() &&
                    it->second.mCallerSequence == aSequence;
  if (!isRepeated) {
    Flow flow;
    flow.mSequence = static_cast<std::uint32_t>(mRandom());
    flow.mCallerSequence = aSequence;
    flow.mExpected = aSequence + 1;
    flow.mNext = flow.mSequence + 1;
    it = mFlows.insert_or_assign(aKey, flow).first;
    mOpenings.push_back(
      { aKey, mBoot, std::chrono::steady_clock::now(), IsCold() });
    mRecord.Line("host " + mSettings.mName + " boot " + std::to_string(mBoot) +
                 (IsCold() ? " (cold)" : "") +
                 (mDraining ? " (draining)" : "") +
                 " takes the opening packet of " + aKey.ToString());
  }
  Send(aKey, kSyn | kAck, it->second.mSequence, aSequence + 1);
}

void Host::HandleDatagram(ByteView aDatagram)
{
  auto packet = PlatformPackets().Parse(aDatagram);
  if (!packet) {
    return;
  }
  FlowKey key = packet->FlowFromCaller();
  if (packet->mSyn) {
    HandleOpening(key, packet->mSequence);
    return;
  }
  auto it = mFlows.find(key);
  bool isHeld = it != mFlows.end() &&
                packet->mAcknowledged - it->second.mSequence <= kWindow;
  if (!isHeld) {
    mRecord.Line("host " + mSettings.mName + " returns a packet of " +
                 key.ToString());
    mSocket->Send(lab::MakeBounced({ aDatagram.begin(), aDatagram.end() }),
                  mSettings.mOutbox);
    return;
  }
  Flow& flow = it->second;
  if (packet->mReset) {
    mFlows.erase(it);
    return;
  }
  if (flow.HasEnded()) {
    if (packet->mFin) {
      Send(key, kAck, flow.mNext, flow.mExpected);
    } else if (packet->mDataLength > 0) {
      Send(key, kReset, flow.mNext, flow.mExpected);
    }
    return;
  }
  flow.mOpen = true;
  if (packet->mDataLength > 0) {
    if (packet->mSequence == flow.mExpected) {
      flow.mExpected += packet->mDataLength;
      flow.mBusy = true;
      mQueue.push_back({ key, flow.mSequence });
      RunNext();
    } else if (!flow.mBusy && !flow.mLastAnswer.empty()) {
      mSocket->Send(flow.mLastAnswer, mSettings.mOutbox);
    }
  }
  if (packet->mFin && !flow.mFinReceived) {
    flow.mFinReceived = true;
    flow.mExpected += 1;
    if (flow.mFinSent) {
      Send(key, kAck, flow.mNext, flow.mExpected);
    } else {
      Send(key, kAck | kFin, flow.mNext, flow.mExpected);
      flow.mFinSent = true;
      flow.mNext += 1;
    }
  }
}

void Host::RunNext()
{
  if (mRunning >= mSettings.mSlots || mQueue.empty()) {
    return;
  }
  Job job = mQueue.front();
  mQueue.erase(mQueue.begin());
  ++mRunning;
  mRecord.Line("host " + mSettings.mName + " runs a request of " +
               job.mFlow.ToString());
  std::uniform_real_distribution<double> spread(0.7, 1.3);
  double factor = spread(mRandom) * (IsCold() ? mSettings.mColdFactor : 1);
  auto work = std::chrono::duration_cast<Duration>(mSettings.mWork * factor);
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, work);
  timer->async_wait(
    [this, timer, job, boot = mBoot](boost::system::error_code aEc) {
      if (aEc || !mAlive || boot != mBoot) {
        return;
      }
      --mRunning;
      Answer(job);
      RunNext();
    });
}

/** A draining host closes the flow with the response. */
void Host::Answer(const Job& aJob)
{
  auto it = mFlows.find(aJob.mFlow);
  if (it == mFlows.end() || it->second.mSequence != aJob.mSequence) {
    return;
  }
  Flow& flow = it->second;
  flow.mBusy = false;
  bool closes = mDraining && !flow.mFinSent;
  std::uint8_t flags = closes ? kAck | kFin : kAck;
  flow.mLastAnswer =
    lab::MakePacket(aJob.mFlow.mService, aJob.mFlow.mCaller, flags, flow.mNext,
                    flow.mExpected, kAnswerBytes);
  flow.mNext += kAnswerBytes + (closes ? 1 : 0);
  flow.mFinSent = flow.mFinSent || closes;
  mSocket->Send(flow.mLastAnswer, mSettings.mOutbox);
}

void Host::Ping()
{
  mLastPingAt = std::chrono::steady_clock::now();
  auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max<Duration>(mColdUntil - mLastPingAt, Duration::zero()));
  json::object body{
    { "Service", mSettings.mService },
    { "Address", mSettings.mInbox.ToString() },
    { "Zone", mSettings.mZone },
    { "Version", "v1" },
    { "Slots", mSettings.mSlots },
    { "State", mDraining ? "draining" : "ready" },
    { "ColdLeftMs", mColdUntil == Time{} ? 0 : cold.count() },
    { "Seq", ++mSequence },
    { "born", mBorn },
  };
  HttpRequest request(http::verb::put, "/api/instances/" + mId, 11);
  request.set(http::field::host, "node");
  request.set(http::field::content_type, "application/json");
  request.body() = json::serialize(body);
  request.prepare_payload();
  std::string text = "ping of host " + mId + " " + request.body();
  mClient->Send(
    std::move(request), kPingTimeout,
    [this, text, draining = mDraining,
     boot = mBoot](const Result<HttpResponse>& aAnswer) {
      bool acknowledged = aAnswer && aAnswer->result_int() / 100 == 2;
      mRecord.Line(text + " -> " +
                   (aAnswer ? std::to_string(aAnswer->result_int())
                            : std::string("no answer")));
      if (acknowledged && draining && boot == mBoot && !mDrainAckAt) {
        mDrainAckAt = std::chrono::steady_clock::now();
        mRecord.Line("host " + mSettings.mName + " has its drain acknowledged");
      }
    });
  mPingTimer.expires_after(mSettings.mHeartbeatInterval);
  mPingTimer.async_wait([this](boost::system::error_code aEc) {
    if (!aEc && mAlive) {
      Ping();
    }
  });
}

} // namespace heatherplank::review
