// Queries between agents about a key.
#include "src/record/RunOnce.h"

namespace heatherplank {

void RunOnce::QueryHolder(const std::string& aKey, KeyState& aState, Time aNow)
{
  aState.mSince = aNow;
  ++aState.mUnansweredQueries;
  mActions.emplace_back(HolderQuery{ aKey, aState.mHolder });
}

KeyReply RunOnce::OnKeyQuery(const std::string& aKey, Nonce aNonce,
                             Incarnation aIncarnation, Time aNow) const
{
  // A process that started recently can't know whether the key ran here before.
  KeyKnowledge unknown =
    CanConfirmNeverRan(aNow) ? KeyKnowledge::None : KeyKnowledge::Unsure;
  auto it = mKeys.find(aKey);
  bool known =
    it != mKeys.end() && (aNonce == 0 || it->second.mNonce == aNonce);
  if (!known && aNonce != 0) {
    // mKeys holds every attempt of this process that may still run.
    bool fromThisProcess = aIncarnation == mIncarnation;
    return { fromThisProcess ? KeyKnowledge::GivenUp : KeyKnowledge::None, {} };
  }
  if (!known) {
    return { unknown, {} };
  }
  const KeyState& state = it->second;
  if (state.mPhase == Phase::Ended) {
    return { state.mAnswer ? KeyKnowledge::Answered : KeyKnowledge::Ended,
             state.mAnswer.value_or("") };
  }
  bool isUnclaimed = state.mPhase == Phase::QueryingPeers;
  return { isUnclaimed ? unknown : KeyKnowledge::Running, {} };
}

void RunOnce::OnHolderReply(const std::string& aKey, const KeyReply& aReply,
                            Time aNow)
{
  KeyState* state = Find(aKey, Phase::QueryingHolder);
  if (state == nullptr) {
    return;
  }
  state->mUnansweredQueries = 0;
  switch (aReply.mKnowledge) {
    case KeyKnowledge::Running:
      return;
    case KeyKnowledge::GivenUp:
      Claim(aKey, *state, state->mHolder.mNonce, aNow);
      StartDueCalls(aNow);
      return;
    case KeyKnowledge::Answered:
      AnswerAll(*state, aReply.mAnswer);
      break;
    case KeyKnowledge::Ended:
      AnswerUnknownToAll(*state, RunOnceReason::NoAnswerKept);
      break;
    default:
      AnswerUnknownToAll(*state, RunOnceReason::HolderLost);
      break;
  }
  Drop(aKey);
}

void RunOnce::StartQueryingPeers(const std::string& aKey, KeyState& aState,
                                 RunOnceReason aReason, Time aNow)
{
  if (!mOptions.mQueryPeers) {
    AnswerNotRunToAll(aState, aReason, aNow);
    Drop(aKey);
    return;
  }
  aState.mPhase = Phase::QueryingPeers;
  aState.mReason = aReason;
  aState.mSince = aNow;
  mActions.emplace_back(PeerQuery{ aKey });
}

/** Guards against: a key ran on another host, its caller repeats it here during
 * a platform outage, and is wrongly answered NotRun. NotRun requires that all
 * peers reply that they don't know the key, and holds for as long as they
 * retain keys. If a peer does not reply, the answer is Unknown. */
void RunOnce::OnPeerReplies(const std::string& aKey, const KeyReply& aReply,
                            bool aAllAnswered, Time aNow)
{
  KeyState* state = Find(aKey, Phase::QueryingPeers);
  if (state == nullptr) {
    return;
  }
  switch (aReply.mKnowledge) {
    case KeyKnowledge::Answered:
      AnswerAll(*state, aReply.mAnswer);
      break;
    case KeyKnowledge::Running:
      AnswerUnknownToAll(*state, RunOnceReason::StillRunning);
      break;
    case KeyKnowledge::Ended:
      AnswerUnknownToAll(*state, RunOnceReason::NoAnswerKept);
      break;
    default:
      if (aAllAnswered && aReply.mKnowledge == KeyKnowledge::None &&
          CanConfirmNeverRan(aNow)) {
        AnswerNotRunToAll(*state, state->mReason, aNow);
      } else {
        AnswerUnknownToAll(*state, RunOnceReason::PeersSilent);
      }
      break;
  }
  Drop(aKey);
}

} // namespace heatherplank
