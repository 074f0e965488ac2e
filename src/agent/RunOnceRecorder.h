#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/agent/GrantRecorder.h"
#include "src/record/RunOnce.h"
#include "src/steer/ServiceView.h"
#include "src/wire/Frame.h"

namespace heatherplank {

class ControlLinks;
class DatagramSocket;
class MetricsRegistry;
struct KeyAnswer;
struct KeyQuestion;

/** Drives RunOnce: performs its platform calls and queries between agents, and
 * passes it the time. Thread safe; one lock suffices for the few hundred keys a
 * second that occur at most.
 */
class RunOnceRecorder final : public GrantRecorder
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    /** Shared, since calls may be in flight when the recorder is destroyed. */
    std::shared_ptr<ObjectStore> mStore;
    DatagramSocket& mTunnel;
    ControlLinks& mLinks;
    /** Returns the current view of the service, which may be null. */
    std::function<ServiceViewPtr()> mView;
  };

  RunOnceRecorder(Parts aParts, const Member& aSelf,
                  const RunOnceOptions& aOptions);
  ~RunOnceRecorder() override;

  void RequestGrant(const std::string& aKey, const std::string& aRequestId,
                    Time aDeadline, DecisionCallback aOnDecision) override;
  bool MayDispatch(std::uint64_t aNonce) override;
  void OnAnswered(std::uint64_t aNonce, const Answer& aAnswer) override;
  void OnNotRun(std::uint64_t aNonce, const Answer& aAnswer,
                std::function<void(Answer)> aDone) override;
  void OnOutcomeUnknown(std::uint64_t aNonce) override;

  /** Handles another agent's query about a key, or its reply. Returns false if
   * the datagram is of another kind. Malformed datagrams are counted. */
  bool OnDatagram(const Frame& aFrame, const Address& aFrom);

  /** Handles a frame about grant shards. Returns false if it is of another
   * kind. Malformed frames are counted. */
  bool OnFrame(const Frame& aFrame);

  /** Updates the hosts that grant shards are assigned to. */
  void OnView(const ServiceView& aView);

  /** Call every few milliseconds. */
  void Tick();

private:
  /** A request of RequestGrant; mNonce is zero until it is granted. */
  struct OpenRequest
  {
    DecisionCallback mOnDecision;
    Nonce mNonce = 0;
  };
  struct Attempt
  {
    RequestToken mToken = 0;
    std::string mKey;
    bool mMayHaveRun = false;
    /** The final answer, if RunOnce decided "not run" before OnNotRun. */
    std::optional<Answer> mNotRun;
  };
  /** A query about a key that was sent to all peers. */
  struct PendingPeerQuery
  {
    std::string mKey;
    std::size_t mPendingReplies = 0;
    KeyReply mStrongest;
    Time mDeadline{};
  };
  /** Calls, messages and callbacks to perform after the lock is released. */
  struct Effects
  {
    std::vector<StoreCall> mCalls;
    std::vector<std::pair<Address, Bytes>> mDatagrams;
    std::vector<HomeMessage> mHomeMessages;
    std::vector<std::function<void()>> mCallbacks;
  };

  /** Runs aChange under the lock, then performs the effects. */
  template<typename Change>
  void Apply(const Change& aChange);
  void Collect(Effects& aEffects);
  void Handle(const Granted& aAction, Effects& aEffects);
  void Handle(const Duplicate& aAction, Effects& aEffects);
  void Handle(const NotRun& aAction, Effects& aEffects);
  void Handle(const Unknown& aAction, Effects& aEffects);
  void Handle(const HolderQuery& aAction, Effects& aEffects);
  void Handle(const PeerQuery& aAction, Effects& aEffects);
  void Handle(const StoreCall& aAction, Effects& aEffects);
  void Resolve(RequestToken aToken, Answer aAnswer, Effects& aEffects);
  void Perform(Effects& aEffects);
  void Send(const SendToHome& aMessage);
  void Send(const ReplyToAgent& aMessage);
  void SendTo(HostId aHost, MessageKind aKind, const Bytes& aPayload);
  void Send(const StoreCall& aCall);
  void OnKeyQuestion(const KeyQuestion& aQuestion, const Address& aFrom);
  void OnKeyAnswer(const KeyAnswer& aAnswer);
  void ExportCounters();

  Parts mParts;
  const Member mSelf;
  const RunOnceOptions mOptions;
  std::mutex mLock;
  RunOnce mRunOnce;
  RequestToken mNextToken = 1;
  std::uint64_t mNextTicket = 1;
  std::unordered_map<RequestToken, OpenRequest> mOpenRequests;
  std::unordered_map<Nonce, Attempt> mAttempts;
  std::map<std::uint64_t, PendingPeerQuery> mPeerQueries;
  std::vector<std::uint64_t> mExported;
  std::uint64_t mExportedWrites = 0;
  std::uint64_t mExportedReads = 0;
  std::uint64_t mTicks = 0;
};

} // namespace heatherplank
