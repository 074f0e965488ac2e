#include "src/agent/RunOnceRecorder.h"

#include <utility>

#include "src/caller/AnswerCodec.h"
#include "src/metrics/Metrics.h"
#include "src/net/DatagramSocket.h"
#include "src/process/ControlLinks.h"
#include "src/wire/HomeCodec.h"
#include "src/wire/KeyCodec.h"

namespace heatherplank {

namespace {

/** At 5 ms a tick: half a second. */
constexpr std::uint64_t kTicksPerExport = 100;

/** Which of two replies must be believed: that it ran before that it may have,
 * and that before that it did not. */
int Gravity(KeyKnowledge aKnowledge)
{
  switch (aKnowledge) {
    case KeyKnowledge::Answered:
      return 5;
    case KeyKnowledge::Ended:
      return 4;
    case KeyKnowledge::Running:
      return 3;
    case KeyKnowledge::Unsure:
      return 2;
    case KeyKnowledge::GivenUp:
      return 1;
    case KeyKnowledge::None:
      return 0;
  }
  return 0;
}

} // namespace

RunOnceRecorder::RunOnceRecorder(Parts aParts, const Member& aSelf,
                                 const RunOnceOptions& aOptions)
  : mParts(std::move(aParts))
  , mSelf(aSelf)
  , mOptions(aOptions)
  , mRunOnce(aSelf.mHost, aSelf.mIncarnation, aOptions,
             MixHash(aSelf.mHost.mValue, aSelf.mIncarnation),
             mParts.mClock.Now())
  , mExported(static_cast<std::size_t>(RunOnceReason::Last) + 1)
{
}

RunOnceRecorder::~RunOnceRecorder() = default;

template<typename Change>
void RunOnceRecorder::Do(const Change& aChange)
{
  Effects effects;
  {
    std::lock_guard lock(mLock);
    aChange(effects);
    Collect(effects);
  }
  Perform(effects);
}

void RunOnceRecorder::Request(const std::string& aKey, const std::string&,
                              Time aDeadline, Decided aDecided)
{
  Do([&](Effects&) {
    RequestToken token = mNextToken++;
    mOpen[token].mDecided = std::move(aDecided);
    mRunOnce.Request(token, aKey, aDeadline, mParts.mClock.Now());
  });
}

bool RunOnceRecorder::MayDispatch(std::uint64_t aNonce)
{
  bool allowed = false;
  Do([&](Effects&) {
    auto it = mAttempts.find(aNonce);
    if (it == mAttempts.end()) {
      return;
    }
    allowed =
      mRunOnce.MayDispatch(it->second.mKey, aNonce, mParts.mClock.Now());
    it->second.mMayHaveRun = allowed;
  });
  return allowed;
}

void RunOnceRecorder::OnAnswered(std::uint64_t aNonce, const Answer& aAnswer)
{
  Do([&](Effects&) {
    auto attempt = mAttempts.extract(aNonce);
    if (!attempt.empty()) {
      mOpen.erase(attempt.mapped().mToken);
      mRunOnce.Answered(attempt.mapped().mKey, aNonce, PackAnswer(aAnswer),
                        mParts.mClock.Now());
    }
  });
}

void RunOnceRecorder::OnNotRun(std::uint64_t aNonce, const Answer& aAnswer,
                               std::function<void(Answer)> aDone)
{
  Do([&](Effects& aEffects) {
    auto it = mAttempts.find(aNonce);
    if (it == mAttempts.end()) {
      aEffects.mCallbacks.push_back(
        [done = std::move(aDone), aAnswer] { done(aAnswer); });
      return;
    }
    Attempt& attempt = it->second;
    if (attempt.mNotRun) {
      aEffects.mCallbacks.push_back(
        [done = std::move(aDone), answer = *attempt.mNotRun] { done(answer); });
      mAttempts.erase(it);
      return;
    }
    // Nothing was run under this nonce, and from here on nothing will be.
    mRunOnce.RefusedByServer(attempt.mKey, aNonce, mParts.mClock.Now());
    mOpen.erase(attempt.mToken);
    mAttempts.erase(it);
    aEffects.mCallbacks.push_back(
      [done = std::move(aDone), aAnswer] { done(aAnswer); });
  });
}

void RunOnceRecorder::OnUnknown(std::uint64_t aNonce)
{
  Do([&](Effects&) {
    auto attempt = mAttempts.extract(aNonce);
    if (!attempt.empty()) {
      mOpen.erase(attempt.mapped().mToken);
      mRunOnce.LostSight(attempt.mapped().mKey, aNonce, mParts.mClock.Now());
    }
  });
}

void RunOnceRecorder::Tick()
{
  Do([&](Effects&) {
    Time now = mParts.mClock.Now();
    mRunOnce.OnTick(now);
    for (auto it = mRounds.begin(); it != mRounds.end();) {
      if (it->second.mUntil > now) {
        ++it;
        continue;
      }
      mRunOnce.OnPeers(it->second.mKey, it->second.mGravest, false, now);
      it = mRounds.erase(it);
    }
  });
  if (++mTicks % kTicksPerExport == 0) {
    ExportCounters();
  }
}

bool RunOnceRecorder::OnDatagram(const Frame& aFrame, const Address& aFrom)
{
  if (aFrame.mKind == MessageKind::KeyQuestion) {
    if (auto question = DecodeKeyQuestion(aFrame.mPayload)) {
      OnQuestion(*question, aFrom);
      return true;
    }
  } else if (aFrame.mKind == MessageKind::KeyAnswer) {
    if (auto answer = DecodeKeyAnswer(aFrame.mPayload)) {
      OnKeyAnswer(*answer);
      return true;
    }
  } else {
    return false;
  }
  mParts.mMetrics.GetCounter("packets_refused_total", "reason=\"malformed\"")
    .Add();
  return true;
}

bool RunOnceRecorder::OnFrame(const Frame& aFrame)
{
  if (aFrame.mKind == MessageKind::ShardWishes) {
    if (auto wishes = DecodeShardWishes(aFrame.mPayload)) {
      Do([&](Effects&) {
        mRunOnce.OnWishes(wishes->mWishes, mParts.mClock.Now());
      });
      return true;
    }
  } else if (aFrame.mKind == MessageKind::ShardOutcomes) {
    if (auto outcomes = DecodeShardOutcomes(aFrame.mPayload)) {
      Do([&](Effects&) {
        mRunOnce.OnOutcomes(outcomes->mOutcomes, outcomes->mRetryAfter,
                            mParts.mClock.Now());
      });
      return true;
    }
  } else {
    return false;
  }
  mParts.mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\"")
    .Add();
  return true;
}

void RunOnceRecorder::OnView(const ServiceView& aView)
{
  std::vector<HostId> hosts;
  for (const auto& it : aView.Members()) {
    if (CanAdopt(it)) {
      hosts.push_back(it.mHost);
    }
  }
  Do([&](Effects&) { mRunOnce.SetHomes(hosts); });
}

void RunOnceRecorder::Send(const AskHome& aMessage)
{
  SendTo(aMessage.mHome, MessageKind::ShardWishes,
         EncodePayload(ShardWishes{ mSelf.mService, aMessage.mWishes }));
}

void RunOnceRecorder::Send(const TellAgent& aMessage)
{
  SendTo(aMessage.mAgent, MessageKind::ShardOutcomes,
         EncodePayload(ShardOutcomes{ mSelf.mService, aMessage.mOutcomes,
                                      aMessage.mRetryAfter }));
}

void RunOnceRecorder::SendTo(HostId aHost, MessageKind aKind,
                             const Bytes& aPayload)
{
  ServiceViewPtr view = mParts.mView();
  const Member* member = view ? view->Find(aHost) : nullptr;
  if (member != nullptr) {
    mParts.mLinks.Send(member->mControl, aKind, aPayload);
  }
}

void RunOnceRecorder::OnQuestion(const KeyQuestion& aQuestion,
                                 const Address& aFrom)
{
  Do([&](Effects& aEffects) {
    KeyAnswer answer{ aQuestion.mTicket, mSelf.mService, aQuestion.mKey, {} };
    answer.mReply =
      mRunOnce.OnQuestion(aQuestion.mKey, aQuestion.mNonce,
                          aQuestion.mIncarnation, mParts.mClock.Now());
    aEffects.mDatagrams.emplace_back(
      aFrom, EncodeDatagram(MessageKind::KeyAnswer, EncodePayload(answer)));
  });
}

void RunOnceRecorder::OnKeyAnswer(const KeyAnswer& aAnswer)
{
  Do([&](Effects&) {
    Time now = mParts.mClock.Now();
    auto it = mRounds.find(aAnswer.mTicket);
    if (it == mRounds.end()) {
      mRunOnce.OnReply(aAnswer.mKey, aAnswer.mReply, now);
      return;
    }
    Round& round = it->second;
    if (Gravity(aAnswer.mReply.mKnowledge) >
        Gravity(round.mGravest.mKnowledge)) {
      round.mGravest = aAnswer.mReply;
    }
    if (--round.mWaiting == 0) {
      mRunOnce.OnPeers(round.mKey, round.mGravest, true, now);
      mRounds.erase(it);
    }
  });
}

void RunOnceRecorder::Collect(Effects& aEffects)
{
  for (auto actions = mRunOnce.TakeActions(); !actions.empty();
       actions = mRunOnce.TakeActions()) {
    for (const auto& it : actions) {
      std::visit([&](const auto& aAction) { Take(aAction, aEffects); }, it);
    }
  }
  aEffects.mHomeMessages = mRunOnce.TakeHomeMessages();
}

void RunOnceRecorder::Take(const Granted& aAction, Effects& aEffects)
{
  auto it = mOpen.find(aAction.mRequest);
  if (it == mOpen.end()) {
    return;
  }
  it->second.mNonce = aAction.mNonce;
  mAttempts[aAction.mNonce] = { aAction.mRequest, aAction.mKey, false, {} };
  GrantDecision decision;
  decision.mKind = GrantDecision::Kind::Granted;
  decision.mNonce = aAction.mNonce;
  aEffects.mCallbacks.push_back([decided = std::move(it->second.mDecided),
                                 decision] { decided(decision); });
}

void RunOnceRecorder::Take(const Duplicate& aAction, Effects& aEffects)
{
  auto answer = UnpackAnswer(aAction.mAnswer);
  Settle(aAction.mRequest,
         answer ? std::move(*answer) : MakeUnknown("kept_answer_unreadable"),
         aEffects);
}

void RunOnceRecorder::Take(const NotRun& aAction, Effects& aEffects)
{
  Duration retryAfter = aAction.mRetryAfter;
  Settle(aAction.mRequest,
         MakeNotRun(503, ToString(aAction.mReason), retryAfter), aEffects);
}

void RunOnceRecorder::Take(const Unknown& aAction, Effects& aEffects)
{
  Settle(aAction.mRequest, MakeUnknown(ToString(aAction.mReason)), aEffects);
}

void RunOnceRecorder::Settle(RequestToken aToken, Answer aAnswer,
                             Effects& aEffects)
{
  auto open = mOpen.extract(aToken);
  if (open.empty()) {
    return;
  }
  OpenRequest& request = open.mapped();
  if (request.mNonce == 0) {
    GrantDecision decision;
    decision.mAnswer = std::move(aAnswer);
    aEffects.mCallbacks.push_back(
      [decided = std::move(request.mDecided), decision] { decided(decision); });
    return;
  }
  // Granted before, and now known not to have run.
  mAttempts[request.mNonce].mNotRun = std::move(aAnswer);
}

void RunOnceRecorder::Take(const AskHolder& aAction, Effects& aEffects)
{
  ServiceViewPtr view = mParts.mView();
  const Member* holder = view ? view->Find(aAction.mGrant.mHost) : nullptr;
  if (holder == nullptr) {
    return;
  }
  KeyQuestion question{ mNextTicket++, mSelf.mService, aAction.mKey,
                        aAction.mGrant.mNonce, aAction.mGrant.mIncarnation };
  aEffects.mDatagrams.emplace_back(
    holder->mTunnel,
    EncodeDatagram(MessageKind::KeyQuestion, EncodePayload(question)));
}

void RunOnceRecorder::Take(const AskPeers& aAction, Effects& aEffects)
{
  ServiceViewPtr view = mParts.mView();
  Time now = mParts.mClock.Now();
  std::uint64_t ticket = mNextTicket++;
  Round round;
  round.mKey = aAction.mKey;
  round.mUntil = now + mOptions.mPeerWait;
  KeyQuestion question{ ticket, mSelf.mService, aAction.mKey, 0, 0 };
  Bytes datagram =
    EncodeDatagram(MessageKind::KeyQuestion, EncodePayload(question));
  if (view) {
    for (const auto& it : view->Members()) {
      if (it.mHost != mSelf.mHost && it.mState != HostState::Leaving) {
        ++round.mWaiting;
        aEffects.mDatagrams.emplace_back(it.mTunnel, datagram);
      }
    }
  }
  if (round.mWaiting == 0) {
    // Without a view nobody can say that there are no peers.
    mRunOnce.OnPeers(aAction.mKey, {}, view != nullptr, now);
    return;
  }
  mRounds[ticket] = std::move(round);
}

void RunOnceRecorder::Take(const StoreCall& aAction, Effects& aEffects)
{
  aEffects.mCalls.push_back(aAction);
}

void RunOnceRecorder::Perform(Effects& aEffects)
{
  for (const auto& it : aEffects.mCalls) {
    Send(it);
  }
  for (const auto& [to, bytes] : aEffects.mDatagrams) {
    mParts.mTunnel.Send(bytes, to);
  }
  for (const auto& it : aEffects.mHomeMessages) {
    std::visit([this](const auto& aMessage) { Send(aMessage); }, it);
  }
  for (const auto& it : aEffects.mCallbacks) {
    it();
  }
}

void RunOnceRecorder::Send(const StoreCall& aCall)
{
  CallTicket ticket = aCall.mTicket;
  if (aCall.mIsWrite) {
    mParts.mStore->Put(aCall.mObject, aCall.mValue, aCall.mCondition,
                       [this, ticket](const Result<std::uint64_t>& aResult) {
                         Do([&](Effects&) {
                           mRunOnce.OnPut(ticket, aResult, mParts.mClock.Now());
                         });
                       });
    return;
  }
  mParts.mStore->Get(aCall.mObject, [this,
                                     ticket](const Result<Object>& aResult) {
    Do([&](Effects&) { mRunOnce.OnGet(ticket, aResult, mParts.mClock.Now()); });
  });
}

void RunOnceRecorder::ExportCounters()
{
  std::lock_guard lock(mLock);
  for (std::size_t i = 0; i < mExported.size(); ++i) {
    auto reason = static_cast<RunOnceReason>(i);
    auto total = mRunOnce.Count(reason);
    std::string label = "reason=\"" + std::string(ToString(reason)) + "\"";
    mParts.mMetrics.GetCounter("grants_refused_total", label)
      .Add(total - mExported[i]);
    mExported[i] = total;
  }
  mParts.mMetrics.GetCounter("platform_calls_total", "kind=\"grant_write\"")
    .Add(mRunOnce.Writes() - mExportedWrites);
  mParts.mMetrics.GetCounter("platform_calls_total", "kind=\"grant_read\"")
    .Add(mRunOnce.Reads() - mExportedReads);
  mExportedWrites = mRunOnce.Writes();
  mExportedReads = mRunOnce.Reads();
}

} // namespace heatherplank
