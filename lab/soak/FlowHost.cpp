#include "lab/soak/FlowHost.h"

#include <boost/json.hpp>

#include "lab/soak/PacketMaker.h"

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr auto kCallTimeout = std::chrono::milliseconds(1000);
constexpr int kMinWorkMs = 5;
constexpr int kMaxWorkMs = 25;
/** A packet belongs to a flow if its acknowledgement is at most this far above
 * the flow's sequence number. */
constexpr std::uint32_t kAcknowledgementWindow = 76800;

} // namespace

FlowHost::FlowHost(const boost::asio::any_io_executor& aExecutor,
                   const Settings& aSettings, std::uint64_t aSeed,
                   OnPacket aOnPacket)
  : mSettings(aSettings)
  , mExecutor(aExecutor)
  , mOnPacket(std::move(aOnPacket))
  , mClient(HttpClient::Make(aExecutor, aSettings.mAgentApi, 1))
  , mHeartbeatTimer(aExecutor)
  , mRandom(aSeed)
{
}

FlowHost::~FlowHost()
{
  if (mSocket) {
    mSocket->Stop();
  }
}

Result<void> FlowHost::Listen()
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

void FlowHost::Start()
{
  mFlows.clear();
  mAlive = true;
  ++mIncarnation;
  mHeartbeats = 0;
  mPhase = HostPhase::Ready;
  mDrainAcknowledgedAt.reset();
  Announce();
}

void FlowHost::Crash()
{
  mAlive = false;
  mHeartbeatTimer.cancel();
}

void FlowHost::Drain()
{
  if (mAlive) {
    mPhase = HostPhase::Draining;
    Announce();
  }
}

int FlowHost::OpenFlowIncarnation(const FlowKey& aFlow) const
{
  auto it = mFlows.find(aFlow);
  return mAlive && it != mFlows.end() && it->second.mOpen ? mIncarnation : 0;
}

void FlowHost::HandleDatagram(ByteView aDatagram)
{
  auto packet = PlatformPackets().Parse(aDatagram);
  if (!packet) {
    return;
  }
  mOnPacket(aDatagram);
  FlowKey key = packet->FlowFromCaller();
  if (packet->mSyn) {
    auto [it, isNew] = mFlows.try_emplace(key);
    if (isNew) {
      it->second.mSequence = static_cast<std::uint32_t>(mRandom());
    }
    mSocket->Send(MakePacket(key.mService, key.mCaller, kSyn | kAck,
                             it->second.mSequence, packet->mSequence + 1, 0),
                  mSettings.mOutbox);
    return;
  }
  auto it = mFlows.find(key);
  bool matches =
    it != mFlows.end() &&
    packet->mAcknowledged - it->second.mSequence <= kAcknowledgementWindow;
  if (!matches) {
    mSocket->Send(MakeBounced({ aDatagram.begin(), aDatagram.end() }),
                  mSettings.mOutbox);
    return;
  }
  it->second.mOpen = true;
  mReceived.insert(key);
  if (packet->mDataLength > 0) {
    SendResponse(key, packet->mAcknowledged, packet->mSequence + kRequestBytes);
  }
}

void FlowHost::SendResponse(const FlowKey& aFlow, std::uint32_t aSequence,
                            std::uint32_t aAcknowledged)
{
  auto work = std::chrono::milliseconds(
    kMinWorkMs + static_cast<int>(mRandom() % (kMaxWorkMs - kMinWorkMs)));
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, work);
  timer->async_wait(
    [this, timer, aFlow, aSequence, aAcknowledged,
     incarnation = mIncarnation](boost::system::error_code aEc) {
      if (!aEc && mAlive && mIncarnation == incarnation) {
        mSocket->Send(MakePacket(aFlow.mService, aFlow.mCaller, kAck, aSequence,
                                 aAcknowledged, kAnswerBytes),
                      mSettings.mOutbox);
      }
    });
}

void FlowHost::Announce()
{
  json::object body{
    { "Service", mSettings.mService },
    { "Address", mSettings.mInbox.ToString() },
    { "Zone", "z" },
    { "Version", "v1" },
    { "Slots", 2 },
    { "State", mPhase == HostPhase::Draining ? "draining" : "ready" },
    { "ColdLeftMs", 0 },
    { "Seq", ++mHeartbeats },
    // A distinct start time (ms) for each incarnation; only the order matters.
    { "born", 1700000000000 + mIncarnation },
  };
  HttpRequest request(http::verb::put, "/api/instances/" + mSettings.mName, 11);
  request.set(http::field::host, "agent");
  request.body() = json::serialize(body);
  request.prepare_payload();
  bool draining = mPhase == HostPhase::Draining;
  mClient->Send(
    std::move(request), kCallTimeout,
    [this, draining, incarnation = mIncarnation](Result<HttpResponse> aAnswer) {
      bool acknowledged = aAnswer && aAnswer->result() == http::status::ok;
      if (acknowledged && draining && incarnation == mIncarnation &&
          !mDrainAcknowledgedAt) {
        mDrainAcknowledgedAt = std::chrono::steady_clock::now();
      }
    });
  ScheduleAnnouncement();
}

void FlowHost::ScheduleAnnouncement()
{
  mHeartbeatTimer.expires_after(mSettings.mHeartbeatInterval);
  mHeartbeatTimer.async_wait([this](boost::system::error_code aEc) {
    if (!aEc && mAlive) {
      Announce();
    }
  });
}

} // namespace heatherplank::lab
