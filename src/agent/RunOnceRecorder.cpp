#include "src/agent/RunOnceRecorder.h"

#include <utility>

#include "src/caller/AnswerCodec.h"
#include "src/metrics/Metrics.h"
#include "src/net/DatagramSocket.h"
#include "src/process/ControlLinks.h"
#include "src/record/HomeCodec.h"
#include "src/record/KeyCodec.h"

namespace heatherplank {

namespace {

/** Half a second at 5 ms a tick. */
constexpr std::uint64_t kTicksPerExport = 100;

/** Orders replies by what they report: a final answer; ended without an answer;
 * running; not sure (restarted recently); given up before dispatch; key not
 * known. The earliest in this list wins. */
int Precedence(KeyKnowledge aKnowledge)
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
void RunOnceRecorder::Apply(const Change& aChange)
{
  Effects effects;
  {
    std::lock_guard lock(mLock);
    aChange(effects);
    Collect(effects);
  }
  Perform(effects);
}

void RunOnceRecorder::RequestGrant(const std::string& aKey, const std::string&,
                                   Time aDeadline, DecisionCallback aOnDecision)
{
  Apply([&](Effects&) {
    RequestToken token = mNextToken++;
    mOpenRequests[token].mOnDecision = std::move(aOnDecision);
    mRunOnce.Request(token, aKey, aDeadline, mParts.mClock.Now());
  });
}

bool RunOnceRecorder::MayDispatch(std::uint64_t aNonce)
{
  bool allowed = false;
  Apply([&](Effects&) {
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
  Apply([&](Effects&) {
    auto attempt = mAttempts.extract(aNonce);
    if (!attempt.empty()) {
      mOpenRequests.erase(attempt.mapped().mToken);
      mRunOnce.OnAnswered(attempt.mapped().mKey, aNonce, PackAnswer(aAnswer),
                          mParts.mClock.Now());
    }
  });
}

void RunOnceRecorder::OnNotRun(std::uint64_t aNonce, const Answer& aAnswer,
                               std::function<void(Answer)> aDone)
{
  Apply([&](Effects& aEffects) {
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
    // No request ran under this nonce, and none will from now on.
    mRunOnce.OnRefusedByServer(attempt.mKey, aNonce, mParts.mClock.Now());
    mOpenRequests.erase(attempt.mToken);
    mAttempts.erase(it);
    aEffects.mCallbacks.push_back(
      [done = std::move(aDone), aAnswer] { done(aAnswer); });
  });
}

void RunOnceRecorder::OnOutcomeUnknown(std::uint64_t aNonce)
{
  Apply([&](Effects&) {
    auto attempt = mAttempts.extract(aNonce);
    if (!attempt.empty()) {
      mOpenRequests.erase(attempt.mapped().mToken);
      mRunOnce.OnOutcomeUnknown(attempt.mapped().mKey, aNonce,
                                mParts.mClock.Now());
    }
  });
}

void RunOnceRecorder::Tick()
{
  Apply([&](Effects&) {
    Time now = mParts.mClock.Now();
    mRunOnce.OnTick(now);
    for (auto it = mPeerQueries.begin(); it != mPeerQueries.end();) {
      if (it->second.mDeadline > now) {
        ++it;
        continue;
      }
      mRunOnce.OnPeerReplies(it->second.mKey, it->second.mStrongest, false,
                             now);
      it = mPeerQueries.erase(it);
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
      OnKeyQuestion(*question, aFrom);
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
    if (auto writes = DecodePendingShardWrites(aFrame.mPayload)) {
      Apply([&](Effects&) {
        mRunOnce.OnPendingWrites(writes->mPendingWrites, mParts.mClock.Now());
      });
      return true;
    }
  } else if (aFrame.mKind == MessageKind::ShardOutcomes) {
    if (auto outcomes = DecodeShardOutcomes(aFrame.mPayload)) {
      Apply([&](Effects&) {
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
  Apply([&](Effects&) { mRunOnce.SetHomes(hosts); });
}

void RunOnceRecorder::Send(const SendToHome& aMessage)
{
  SendTo(aMessage.mHome, MessageKind::ShardWishes,
         EncodePayload(
           PendingShardWrites{ mSelf.mService, aMessage.mPendingWrites }));
}

void RunOnceRecorder::Send(const ReplyToAgent& aMessage)
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

void RunOnceRecorder::OnKeyQuestion(const KeyQuestion& aQuestion,
                                    const Address& aFrom)
{
  Apply([&](Effects& aEffects) {
    KeyAnswer answer{ aQuestion.mTicket, mSelf.mService, aQuestion.mKey, {} };
    answer.mReply =
      mRunOnce.OnKeyQuery(aQuestion.mKey, aQuestion.mNonce,
                          aQuestion.mIncarnation, mParts.mClock.Now());
    aEffects.mDatagrams.emplace_back(
      aFrom, EncodeDatagram(MessageKind::KeyAnswer, EncodePayload(answer)));
  });
}

void RunOnceRecorder::OnKeyAnswer(const KeyAnswer& aAnswer)
{
  Apply([&](Effects&) {
    Time now = mParts.mClock.Now();
    auto it = mPeerQueries.find(aAnswer.mTicket);
    if (it == mPeerQueries.end()) {
      mRunOnce.OnHolderReply(aAnswer.mKey, aAnswer.mReply, now);
      return;
    }
    PendingPeerQuery& query = it->second;
    if (Precedence(aAnswer.mReply.mKnowledge) >
        Precedence(query.mStrongest.mKnowledge)) {
      query.mStrongest = aAnswer.mReply;
    }
    if (--query.mPendingReplies == 0) {
      mRunOnce.OnPeerReplies(query.mKey, query.mStrongest, true, now);
      mPeerQueries.erase(it);
    }
  });
}

void RunOnceRecorder::Collect(Effects& aEffects)
{
  for (auto actions = mRunOnce.TakeActions(); !actions.empty();
       actions = mRunOnce.TakeActions()) {
    for (const auto& it : actions) {
      std::visit([&](const auto& aAction) { Handle(aAction, aEffects); }, it);
    }
  }
  aEffects.mHomeMessages = mRunOnce.TakeHomeMessages();
}

void RunOnceRecorder::Handle(const Granted& aAction, Effects& aEffects)
{
  auto it = mOpenRequests.find(aAction.mRequest);
  if (it == mOpenRequests.end()) {
    return;
  }
  it->second.mNonce = aAction.mNonce;
  mAttempts[aAction.mNonce] = { aAction.mRequest, aAction.mKey, false, {} };
  GrantDecision decision;
  decision.mKind = GrantDecision::Kind::Granted;
  decision.mNonce = aAction.mNonce;
  aEffects.mCallbacks.push_back([decided = std::move(it->second.mOnDecision),
                                 decision] { decided(decision); });
}

void RunOnceRecorder::Handle(const Duplicate& aAction, Effects& aEffects)
{
  auto answer = UnpackAnswer(aAction.mAnswer);
  Resolve(aAction.mRequest,
          answer ? std::move(*answer) : MakeUnknown("kept_answer_unreadable"),
          aEffects);
}

void RunOnceRecorder::Handle(const NotRun& aAction, Effects& aEffects)
{
  Duration retryAfter = aAction.mRetryAfter;
  Resolve(aAction.mRequest,
          MakeNotRun(503, ToString(aAction.mReason), retryAfter), aEffects);
}

void RunOnceRecorder::Handle(const Unknown& aAction, Effects& aEffects)
{
  Resolve(aAction.mRequest, MakeUnknown(ToString(aAction.mReason)), aEffects);
}

void RunOnceRecorder::Resolve(RequestToken aToken, Answer aAnswer,
                              Effects& aEffects)
{
  auto open = mOpenRequests.extract(aToken);
  if (open.empty()) {
    return;
  }
  OpenRequest& request = open.mapped();
  if (request.mNonce == 0) {
    GrantDecision decision;
    decision.mAnswer = std::move(aAnswer);
    aEffects.mCallbacks.push_back([decided = std::move(request.mOnDecision),
                                   decision] { decided(decision); });
    return;
  }
  // Granted earlier; RunOnce has decided since that it did not run.
  mAttempts[request.mNonce].mNotRun = std::move(aAnswer);
}

void RunOnceRecorder::Handle(const HolderQuery& aAction, Effects& aEffects)
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

void RunOnceRecorder::Handle(const PeerQuery& aAction, Effects& aEffects)
{
  ServiceViewPtr view = mParts.mView();
  Time now = mParts.mClock.Now();
  std::uint64_t ticket = mNextTicket++;
  PendingPeerQuery query;
  query.mKey = aAction.mKey;
  query.mDeadline = now + mOptions.mPeerTimeout;
  KeyQuestion question{ ticket, mSelf.mService, aAction.mKey, 0, 0 };
  Bytes datagram =
    EncodeDatagram(MessageKind::KeyQuestion, EncodePayload(question));
  if (view) {
    for (const auto& it : view->Members()) {
      if (it.mHost != mSelf.mHost && it.mState != HostState::Leaving) {
        ++query.mPendingReplies;
        aEffects.mDatagrams.emplace_back(it.mTunnel, datagram);
      }
    }
  }
  if (query.mPendingReplies == 0) {
    // Only with a view is it known that there are no peers.
    mRunOnce.OnPeerReplies(aAction.mKey, {}, view != nullptr, now);
    return;
  }
  mPeerQueries[ticket] = std::move(query);
}

void RunOnceRecorder::Handle(const StoreCall& aAction, Effects& aEffects)
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
                       [this, ticket](const Result<StoreVersion>& aResult) {
                         Apply([&](Effects&) {
                           mRunOnce.OnPut(ticket, aResult, mParts.mClock.Now());
                         });
                       });
    return;
  }
  mParts.mStore->Get(aCall.mObject,
                     [this, ticket](const Result<Object>& aResult) {
                       Apply([&](Effects&) {
                         mRunOnce.OnGet(ticket, aResult, mParts.mClock.Now());
                       });
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
