// How agents let one of them write a shard for all.
#include <algorithm>
#include <map>

#include "src/record/RunOnce.h"

namespace heatherplank {

void RunOnce::SetHomes(std::span<const HostId> aHosts)
{
  mHomes.assign(aHosts.begin(), aHosts.end());
}

HostId RunOnce::HomeOf(const std::string& aKey) const
{
  std::uint32_t shard = ShardOf(aKey);
  auto home = std::ranges::max_element(
    mHomes, {}, [shard](HostId aHost) { return MixHash(aHost.mValue, shard); });
  return home == mHomes.end() ? mHost : *home;
}

bool RunOnce::IsHome(const std::string& aKey) const
{
  return HomeOf(aKey) == mHost;
}

void RunOnce::Want(const std::string& aKey, const ShardChange& aChange)
{
  RemoteWish wish{ aKey, aChange, {}, 0 };
  if (IsHome(aKey)) {
    mRemote.erase(aChange.mGrant.mNonce);
    WriteHere(wish);
  } else {
    mRemote[aChange.mGrant.mNonce] = wish;
  }
}

void RunOnce::WriteHere(const RemoteWish& aWish)
{
  WriterOf(aWish.mKey).Want(aWish.mKey, aWish.mChange);
}

/** Failure met: the home of a shard is dead or out of reach, and claims wait
 * for it until their deadlines. Any agent may write any shard, since writes
 * are conditional; homes only spare the conflicts. So after a few tries the
 * shard is written from here. */
void RunOnce::SendWishes(Time aNow)
{
  std::map<HostId, std::vector<ShardWish>> byHome;
  for (auto it = mRemote.begin(); it != mRemote.end();) {
    RemoteWish& wish = it->second;
    bool due = wish.mSendAt <= aNow;
    if (!due) {
      ++it;
      continue;
    }
    if (wish.mTries >= mOptions.mHomeTries) {
      WriteHere(wish);
      it = mRemote.erase(it);
      continue;
    }
    ++wish.mTries;
    wish.mSendAt = aNow + mOptions.mHomeWait;
    const ShardChange& change = wish.mChange;
    byHome[HomeOf(wish.mKey)].push_back({ wish.mKey, change.mKind,
                                          change.mGrant, change.mReplaces,
                                          change.mUntil - aNow });
    ++it;
  }
  for (auto& [home, wishes] : byHome) {
    mHomeMessages.emplace_back(AskHome{ home, std::move(wishes) });
  }
}

/** Failure met: a wish that was long on its way, or came twice, undoes what
 * its agent did since. It can't: each names one nonce, a claim replaces only a
 * nonce that its agent declared dead, and a claim that is written too late is
 * for a nonce that its agent no longer knows, and withdraws again. */
void RunOnce::OnWishes(const std::vector<ShardWish>& aWishes, Time aNow)
{
  std::vector<ShardOutcome> answers;
  for (const ShardWish& it : aWishes) {
    ShardOutcome said;
    said.mKey = it.mKey;
    said.mKind = it.mKind;
    said.mHolder = it.mGrant.mHost;
    said.mIncarnation = it.mGrant.mIncarnation;
    said.mNonce = it.mGrant.mNonce;
    said.mResult = ChangeResult::Down;
    bool claim = it.mKind == ChangeKind::Claim;
    if (claim && mGate.Refuses(aNow)) {
      answers.push_back(said);
      continue;
    }
    if (claim && IsTooSlowFor(it.mKey, aNow + it.mWithin, aNow)) {
      said.mResult = ChangeResult::Slow;
      answers.push_back(said);
      continue;
    }
    Time until = claim ? aNow + it.mWithin : Time::max();
    Time due = claim ? aNow : aNow + mOptions.mAnswerLinger;
    bool isNew = WriterOf(it.mKey).Want(
      it.mKey, { it.mKind, it.mGrant, it.mReplaces, due, until });
    if (!isNew) {
      said.mResult = ChangeResult::Queued;
      answers.push_back(said);
    }
  }
  Tell(answers, aNow);
  Pump(aNow);
}

void RunOnce::Tell(const std::vector<ShardOutcome>& aOutcomes, Time aNow)
{
  std::map<HostId, std::vector<ShardOutcome>> byAgent;
  for (const ShardOutcome& it : aOutcomes) {
    if (it.mHolder != mHost) {
      byAgent[it.mHolder].push_back(it);
    }
  }
  Duration retryAfter = mGate.IsOpen() ? mGate.RetryAfter(aNow) : Duration{};
  for (auto& [agent, outcomes] : byAgent) {
    mHomeMessages.emplace_back(
      TellAgent{ agent, std::move(outcomes), retryAfter });
  }
}

void RunOnce::OnOutcomes(const std::vector<ShardOutcome>& aOutcomes,
                         Duration aRetryAfter, Time aNow)
{
  for (const ShardOutcome& it : aOutcomes) {
    // What a process before a restart may have dispatched is not ours to undo.
    if (it.mIncarnation != mIncarnation) {
      continue;
    }
    auto wish = mRemote.find(it.mNonce);
    bool ours = wish != mRemote.end() && wish->second.mChange.mKind == it.mKind;
    if (it.mResult == ChangeResult::Queued) {
      if (ours) {
        wish->second.mTries = 0;
        wish->second.mSendAt = aNow + mOptions.mHomeQueuedWait;
      }
      continue;
    }
    if (ours) {
      mRemote.erase(wish);
    }
    bool down = it.mResult == ChangeResult::Down;
    mHomeDownUntil =
      down ? std::max(mHomeDownUntil, aNow + aRetryAfter) : mHomeDownUntil;
    OnOutcome(it, aNow);
    WithdrawStray(it, aNow);
  }
  Pump(aNow);
}

/** A grant that came for an attempt that is no longer known here. */
void RunOnce::WithdrawStray(const ShardOutcome& aOutcome, Time aNow)
{
  bool granted = aOutcome.mKind == ChangeKind::Claim &&
                 aOutcome.mResult == ChangeResult::Committed;
  auto it = mKeys.find(aOutcome.mKey);
  bool known = it != mKeys.end() && it->second.mNonce == aOutcome.mNonce;
  if (granted && !known) {
    Grant grant{ mHost, mIncarnation, aOutcome.mNonce, false, std::nullopt };
    Want(aOutcome.mKey,
         { ChangeKind::Withdraw, grant, 0, aNow + mOptions.mAnswerLinger });
  }
}

} // namespace heatherplank
