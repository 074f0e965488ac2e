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

/** Drives RunOnce: platform calls, questions between agents, time. Thread safe,
 * by one lock: at most a few hundred keys a second.
 */
class RunOnceRecorder final : public GrantRecorder
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    /** Shared, since calls may be under way when the recorder ends. */
    std::shared_ptr<ObjectStore> mStore;
    DatagramSocket& mTunnel;
    ControlLinks& mLinks;
    /** The present view of the service; may be null. */
    std::function<ServiceViewPtr()> mView;
  };

  RunOnceRecorder(Parts aParts, const Member& aSelf,
                  const RunOnceOptions& aOptions);
  ~RunOnceRecorder() override;

  void Request(const std::string& aKey, const std::string& aRequestId,
               Time aDeadline, Decided aDecided) override;
  bool MayDispatch(std::uint64_t aNonce) override;
  void OnAnswered(std::uint64_t aNonce, const Answer& aAnswer) override;
  void OnNotRun(std::uint64_t aNonce, const Answer& aAnswer,
                std::function<void(Answer)> aDone) override;
  void OnUnknown(std::uint64_t aNonce) override;

  /** Takes a question or an answer of another agent; false if the datagram is
   * of another kind. Malformed ones are counted. */
  bool OnDatagram(const Frame& aFrame, const Address& aFrom);

  /** Takes a frame about shards of grants; false if it is of another kind.
   * Malformed ones are counted. */
  bool OnFrame(const Frame& aFrame);

  /** The members of the service changed. */
  void OnView(const ServiceView& aView);

  /** Call every few milliseconds. */
  void Tick();

private:
  struct OpenRequest
  {
    Decided mDecided;
    /** Set once it was granted. */
    Nonce mNonce = 0;
  };
  struct Attempt
  {
    RequestToken mToken = 0;
    std::string mKey;
    bool mMayHaveRun = false;
    /** "Not run" was decided before it was asked for. */
    std::optional<Answer> mNotRun;
  };
  /** A round of questions to all peers about a key. */
  struct Round
  {
    std::string mKey;
    std::size_t mWaiting = 0;
    KeyReply mGravest;
    Time mUntil{};
  };
  /** What is left to do once the lock is free. */
  struct Effects
  {
    std::vector<StoreCall> mCalls;
    std::vector<std::pair<Address, Bytes>> mDatagrams;
    std::vector<HomeMessage> mHomeMessages;
    std::vector<std::function<void()>> mCallbacks;
  };

  template<typename Change>
  void Do(const Change& aChange);
  void Collect(Effects& aEffects);
  void Take(const Granted& aAction, Effects& aEffects);
  void Take(const Duplicate& aAction, Effects& aEffects);
  void Take(const NotRun& aAction, Effects& aEffects);
  void Take(const Unknown& aAction, Effects& aEffects);
  void Take(const AskHolder& aAction, Effects& aEffects);
  void Take(const AskPeers& aAction, Effects& aEffects);
  void Take(const StoreCall& aAction, Effects& aEffects);
  void Settle(RequestToken aToken, Answer aAnswer, Effects& aEffects);
  void Perform(Effects& aEffects);
  void Send(const AskHome& aMessage);
  void Send(const TellAgent& aMessage);
  void SendTo(HostId aHost, MessageKind aKind, const Bytes& aPayload);
  void Send(const StoreCall& aCall);
  void OnQuestion(const KeyQuestion& aQuestion, const Address& aFrom);
  void OnKeyAnswer(const KeyAnswer& aAnswer);
  void ExportCounters();

  Parts mParts;
  const Member mSelf;
  const RunOnceOptions mOptions;
  std::mutex mLock;
  RunOnce mRunOnce;
  RequestToken mNextToken = 1;
  std::uint64_t mNextTicket = 1;
  std::unordered_map<RequestToken, OpenRequest> mOpen;
  std::unordered_map<Nonce, Attempt> mAttempts;
  std::map<std::uint64_t, Round> mRounds;
  std::vector<std::uint64_t> mExported;
  std::uint64_t mExportedWrites = 0;
  std::uint64_t mExportedReads = 0;
  std::uint64_t mTicks = 0;
};

} // namespace heatherplank
