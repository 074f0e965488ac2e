// Assigns each shard a home, the agent that writes it on behalf of all agents.
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

void RunOnce::EnqueueWrite(const std::string& aKey, const ShardChange& aChange)
{
  RemoteWrite write{ aKey, aChange, {}, 0 };
  if (IsHome(aKey)) {
    mRemoteWrites.erase(aChange.mGrant.mNonce);
    WriteLocally(write);
  } else {
    mRemoteWrites[aChange.mGrant.mNonce] = write;
  }
}

void RunOnce::WriteLocally(const RemoteWrite& aWrite)
{
  WriterOf(aWrite.mKey).Enqueue(aWrite.mKey, aWrite.mChange);
}

/** Guards against: a shard's home is dead or unreachable, and claims wait for
 * it until their deadlines. After a few tries the shard is written locally.
 * This is safe since writes are conditional; homes only avoid conflicts. */
void RunOnce::SendRemoteWrites(Time aNow)
{
  std::map<HostId, std::vector<PendingShardWrite>> byHome;
  for (auto it = mRemoteWrites.begin(); it != mRemoteWrites.end();) {
    RemoteWrite& write = it->second;
    bool due = write.mSendAt <= aNow;
    if (!due) {
      ++it;
      continue;
    }
    if (write.mTries >= mOptions.mMaxHomeTries) {
      WriteLocally(write);
      it = mRemoteWrites.erase(it);
      continue;
    }
    ++write.mTries;
    write.mSendAt = aNow + mOptions.mHomeRetryInterval;
    const ShardChange& change = write.mChange;
    byHome[HomeOf(write.mKey)].push_back({ write.mKey, change.mKind,
                                           change.mGrant, change.mReplaces,
                                           change.mExpiresAt - aNow });
    ++it;
  }
  for (auto& [home, writes] : byHome) {
    mHomeMessages.emplace_back(SendToHome{ home, std::move(writes) });
  }
}

/** Guards against: a delayed or duplicated request to write undoes a later
 * change of the same agent. Each request names one nonce, and a claim replaces
 * only a nonce that its holder gave up. A claim that is written too late is for
 * a nonce that its agent no longer knows and then withdraws. */
void RunOnce::OnPendingWrites(const std::vector<PendingShardWrite>& aWrites,
                              Time aNow)
{
  std::vector<ShardOutcome> answers;
  for (const PendingShardWrite& it : aWrites) {
    ShardOutcome outcome;
    outcome.mKey = it.mKey;
    outcome.mKind = it.mKind;
    outcome.mHolder = it.mGrant.mHost;
    outcome.mIncarnation = it.mGrant.mIncarnation;
    outcome.mNonce = it.mGrant.mNonce;
    outcome.mResult = ChangeResult::Down;
    bool isClaim = it.mKind == ChangeKind::Claim;
    if (isClaim && mGate.Refuses(aNow)) {
      answers.push_back(outcome);
      continue;
    }
    if (isClaim && IsPlatformTooSlow(it.mKey, aNow + it.mTimeout, aNow)) {
      outcome.mResult = ChangeResult::Slow;
      answers.push_back(outcome);
      continue;
    }
    Time expiresAt = isClaim ? aNow + it.mTimeout : Time::max();
    Time due = isClaim ? aNow : aNow + mOptions.mAnswerLinger;
    bool isNew = WriterOf(it.mKey).Enqueue(
      it.mKey, { it.mKind, it.mGrant, it.mReplaces, due, expiresAt });
    if (!isNew) {
      outcome.mResult = ChangeResult::Queued;
      answers.push_back(outcome);
    }
  }
  SendOutcomes(answers, aNow);
  StartDueCalls(aNow);
}

void RunOnce::SendOutcomes(const std::vector<ShardOutcome>& aOutcomes,
                           Time aNow)
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
      ReplyToAgent{ agent, std::move(outcomes), retryAfter });
  }
}

void RunOnce::OnOutcomes(const std::vector<ShardOutcome>& aOutcomes,
                         Duration aRetryAfter, Time aNow)
{
  for (const ShardOutcome& it : aOutcomes) {
    // An earlier incarnation may have dispatched the key, so that this one must
    // not withdraw its grant.
    if (it.mIncarnation != mIncarnation) {
      continue;
    }
    auto write = mRemoteWrites.find(it.mNonce);
    bool isPending =
      write != mRemoteWrites.end() && write->second.mChange.mKind == it.mKind;
    if (it.mResult == ChangeResult::Queued) {
      if (isPending) {
        write->second.mTries = 0;
        write->second.mSendAt = aNow + mOptions.mHomeQueuedRetryInterval;
      }
      continue;
    }
    if (isPending) {
      mRemoteWrites.erase(write);
    }
    bool down = it.mResult == ChangeResult::Down;
    mHomeDownUntil =
      down ? std::max(mHomeDownUntil, aNow + aRetryAfter) : mHomeDownUntil;
    OnOutcome(it, aNow);
    WithdrawUnknownGrant(it, aNow);
  }
  StartDueCalls(aNow);
}

/** Withdraws a grant that was committed for an attempt that is no longer known
 * here. */
void RunOnce::WithdrawUnknownGrant(const ShardOutcome& aOutcome, Time aNow)
{
  bool granted = aOutcome.mKind == ChangeKind::Claim &&
                 aOutcome.mResult == ChangeResult::Committed;
  auto it = mKeys.find(aOutcome.mKey);
  bool known = it != mKeys.end() && it->second.mNonce == aOutcome.mNonce;
  if (granted && !known) {
    Grant grant{ mHost, mIncarnation, aOutcome.mNonce, false, std::nullopt };
    EnqueueWrite(aOutcome.mKey, { ChangeKind::Withdraw, grant, 0,
                                  aNow + mOptions.mAnswerLinger });
  }
}

} // namespace heatherplank
