// What agents ask one another about a key.
#include "src/record/RunOnce.h"

namespace heatherplank {

void RunOnce::Ask(const std::string& aKey, KeyState& aState, Time aNow)
{
  aState.mSince = aNow;
  ++aState.mUnanswered;
  mActions.emplace_back(AskHolder{ aKey, aState.mHolder });
}

KeyReply RunOnce::OnQuestion(const std::string& aKey, Nonce aNonce,
                             Incarnation aIncarnation, Time aNow) const
{
  // A process that started lately can't tell whether the key ran here before.
  KeyKnowledge none = Vouches(aNow) ? KeyKnowledge::None : KeyKnowledge::Unsure;
  auto it = mKeys.find(aKey);
  bool known =
    it != mKeys.end() && (aNonce == 0 || it->second.mNonce == aNonce);
  if (!known && aNonce != 0) {
    // Of our own attempts only those that may still run are kept here.
    bool own = aIncarnation == mIncarnation;
    return { own ? KeyKnowledge::GivenUp : KeyKnowledge::None, {} };
  }
  if (!known) {
    return { none, {} };
  }
  const KeyState& state = it->second;
  if (state.mPhase == Phase::Ended) {
    return { state.mAnswer ? KeyKnowledge::Answered : KeyKnowledge::Ended,
             state.mAnswer.value_or("") };
  }
  bool idle = state.mPhase == Phase::AskingPeers;
  return { idle ? none : KeyKnowledge::Running, {} };
}

void RunOnce::OnReply(const std::string& aKey, const KeyReply& aReply,
                      Time aNow)
{
  KeyState* state = Find(aKey, Phase::Asking);
  if (state == nullptr) {
    return;
  }
  state->mUnanswered = 0;
  switch (aReply.mKnowledge) {
    case KeyKnowledge::Running:
      return;
    case KeyKnowledge::GivenUp:
      Claim(aKey, *state, state->mHolder.mNonce, aNow);
      Pump(aNow);
      return;
    case KeyKnowledge::Answered:
      AnswerAll(*state, aReply.mAnswer);
      break;
    case KeyKnowledge::Ended:
      UnknownToAll(*state, RunOnceReason::NoAnswerKept);
      break;
    default:
      UnknownToAll(*state, RunOnceReason::HolderLost);
      break;
  }
  Drop(aKey);
}

void RunOnce::StartAskingPeers(const std::string& aKey, KeyState& aState,
                               RunOnceReason aWhy, Time aNow)
{
  if (!mOptions.mAskPeers) {
    NotRunToAll(aState, aWhy, aNow);
    Drop(aKey);
    return;
  }
  aState.mPhase = Phase::AskingPeers;
  aState.mWhy = aWhy;
  aState.mSince = aNow;
  mActions.emplace_back(AskPeers{ aKey });
}

/** Failure met: a key ran on another host, its caller repeats it here during
 * an outage, and is told "not run". Shown as false not-run. It holds as far as
 * the peers' memory goes; where one is silent the truth is "unknown". */
void RunOnce::OnPeers(const std::string& aKey, const KeyReply& aReply,
                      bool aAllAnswered, Time aNow)
{
  KeyState* state = Find(aKey, Phase::AskingPeers);
  if (state == nullptr) {
    return;
  }
  switch (aReply.mKnowledge) {
    case KeyKnowledge::Answered:
      AnswerAll(*state, aReply.mAnswer);
      break;
    case KeyKnowledge::Running:
      UnknownToAll(*state, RunOnceReason::StillRunning);
      break;
    case KeyKnowledge::Ended:
      UnknownToAll(*state, RunOnceReason::NoAnswerKept);
      break;
    default:
      if (aAllAnswered && aReply.mKnowledge == KeyKnowledge::None &&
          Vouches(aNow)) {
        NotRunToAll(*state, state->mWhy, aNow);
      } else {
        UnknownToAll(*state, RunOnceReason::PeersSilent);
      }
      break;
  }
  Drop(aKey);
}

} // namespace heatherplank
