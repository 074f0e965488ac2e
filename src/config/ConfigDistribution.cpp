#include "src/config/ConfigDistribution.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** Bounds the memory that invalid heads from a hostile sender take. */
constexpr std::size_t kMaxRefusedRoots = 64;
/** Maximum parts in one request; the rest is requested afterwards. */
constexpr std::size_t kMaxRequestedParts = 1024;

} // namespace

ConfigDistribution::ConfigDistribution(const Options& aOptions, Time aNow)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mPeers(aOptions.mSelf, aOptions.mWatchersPerDataCentre, aOptions.mFanout)
  , mPlatform(aOptions.mPlatform, mRandom(), aNow)
{
}

void ConfigDistribution::SetPeers(std::span<const ConfigPeer> aPeers)
{
  mPeers.Set(aPeers);
}

std::vector<ConfigAction> ConfigDistribution::TakeActions()
{
  return std::exchange(mActions, {});
}

ConfigCounters ConfigDistribution::Counters() const
{
  ConfigCounters out = mCounters;
  out.mPlatformCalls = mPlatform.Calls();
  out.mPlatformFailures = mPlatform.Failures();
  return out;
}

void ConfigDistribution::Send(HostId aTo, ConfigMessage aMessage)
{
  mActions.emplace_back(ConfigSend{ aTo, std::move(aMessage) });
}

void ConfigDistribution::OnMessage(HostId aFrom, const ConfigMessage& aMessage,
                                   Time aNow)
{
  std::visit([&](const auto& aIt) { Handle(aFrom, aIt, aNow); }, aMessage);
}

void ConfigDistribution::Tick(Time aNow)
{
  static const std::map<PartHash, PartRef> kNone;
  bool fetches = mTarget && aNow >= mFetchAt;
  mPlatform.Tick(aNow, mPeers.IsWatcher(), fetches ? mTarget->Missing() : kNone,
                 mActions);
  RetryRequest(aNow);
  if (mOptions.mDigests && aNow >= mDigestAt) {
    SendDigest(aNow);
  }
}

void ConfigDistribution::SendDigest(Time aNow)
{
  // Draws 0.5 to 1.5 intervals, so that balancers that started together do not
  // send their digests at the same time.
  auto interval = mOptions.mDigestInterval.count();
  std::uniform_int_distribution<Duration::rep> draw(interval / 2,
                                                    3 * interval / 2);
  mDigestAt = aNow + Duration(draw(mRandom));
  ConfigOffer digest;
  digest.mVersion = Version();
  digest.mRoot = mCurrent.Root();
  for (auto it : mPeers.DigestTargets(mRandom)) {
    Send(it, digest);
  }
}

/** Guards against reverting an accepted configuration. A balancer that was
 * isolated, suspended or started from a stale replica offers an older version,
 * which would end a drain or send packets to an address's former service.
 * Versions only increase, so a version that is not higher is refused from any
 * source.
 */
bool ConfigDistribution::ShouldAdopt(std::uint64_t aVersion,
                                     const PartHash& aRoot)
{
  std::uint64_t current = Version();
  if (aVersion < current) {
    // A balancer without a configuration offers version 0 to request one.
    mCounters.mRefusedOlder += aVersion != 0 ? 1 : 0;
    return !mOptions.mRefuseOlder && aVersion != 0;
  }
  if (aVersion == current) {
    bool differs = current != 0 && aRoot != mCurrent.Root();
    mCounters.mRefusedDifferent += differs ? 1 : 0;
    return false;
  }
  return !mRefusedRoots.contains(aRoot);
}

void ConfigDistribution::Handle(HostId aFrom, const ConfigOffer& aOffer,
                                Time aNow)
{
  if (aOffer.mVersion < Version()) {
    Send(aFrom, mOffer);
  }
  if (!ShouldAdopt(aOffer.mVersion, aOffer.mRoot)) {
    return;
  }
  if (mTarget && aOffer.mVersion <= mTarget->Version() &&
      mOptions.mRefuseOlder) {
    // This version is being transferred already. A watcher that waits for a
    // slow platform requests the missing parts from this balancer.
    if (mRequestedFrom.IsNone() && aOffer.mVersion == mTarget->Version()) {
      RequestMissingParts(aFrom, aNow);
    }
    return;
  }
  auto head = mCurrent.ApplyOffer(aOffer);
  if (!head && mTarget) {
    head = mTarget->ApplyOffer(aOffer);
  }
  if (head) {
    mRequestedFrom = aFrom;
    BeginTransfer(std::move(*head), aNow);
    return;
  }
  if (!mRequestedFrom.IsNone() && mRequestedVersion >= aOffer.mVersion) {
    return;
  }
  mRequestedFrom = aFrom;
  mRequestedVersion = aOffer.mVersion;
  mRequestedAt = aNow;
  ConfigRequest request;
  request.mVersion = Version();
  request.mWantsHead = true;
  Send(aFrom, std::move(request));
}

void ConfigDistribution::Handle(HostId aFrom, const ConfigRequest& aRequest,
                                Time)
{
  if (!aRequest.mService.IsNone()) {
    mSubscribers.OnRequest(aFrom, aRequest, mInForce, mActions);
    return;
  }
  ConfigObjects out;
  out.mVersion = Version();
  if (aRequest.mWantsHead) {
    out.mText = mCurrent.Text();
  }
  std::size_t size = 0;
  for (const auto& it : aRequest.mParts) {
    auto part = mCurrent.FindPart(it);
    if (part &&
        (size == 0 || size + part->size() <= mOptions.mMaxMessageBytes)) {
      size += part->size();
      out.mParts.push_back(*part);
    }
  }
  if (!out.mText.empty() || !out.mParts.empty()) {
    Send(aFrom, std::move(out));
  } else if (mInForce) {
    // The requested parts belong to a version that was replaced here.
    Send(aFrom, mOffer);
  }
}

void ConfigDistribution::Handle(HostId aFrom, const ConfigObjects& aObjects,
                                Time aNow)
{
  if (!aObjects.mText.empty()) {
    mRequestedFrom = aFrom;
    mRequestedVersion = 0;
    BeginTransferFromText(aObjects.mText, aNow);
  }
  bool added = false;
  for (const auto& it : aObjects.mParts) {
    added = (mTarget && mTarget->AddPart(it)) || added;
  }
  if (!added) {
    return;
  }
  if (mTarget->IsComplete()) {
    FinishTransfer(aNow);
  } else if (aFrom == mRequestedFrom) {
    RequestMissingParts(aFrom, aNow);
  }
}

void ConfigDistribution::OnWatched(Result<std::optional<Object>> aResult,
                                   Time aNow)
{
  auto object = mPlatform.OnWatched(std::move(aResult), aNow);
  if (object) {
    mRequestedFrom = {};
    mFetchAt = aNow + mOptions.mFetchDelayPerRank * mPeers.WatcherRank();
    BeginTransferFromText(object->mValue, aNow);
  }
}

void ConfigDistribution::OnFetched(const PartHash& aHash,
                                   Result<Object> aResult, Time aNow)
{
  auto text = mPlatform.OnFetched(aHash, std::move(aResult), aNow);
  if (text && mTarget && mTarget->AddPart(std::move(*text)) &&
      mTarget->IsComplete()) {
    FinishTransfer(aNow);
  }
}

void ConfigDistribution::BeginTransferFromText(const std::string& aText,
                                               Time aNow)
{
  auto head = ParseHead(aText);
  if (!head) {
    ++mCounters.mRefusedMalformed;
    return;
  }
  bool higher =
    !mTarget || head->mVersion > mTarget->Version() || !mOptions.mRefuseOlder;
  if (ShouldAdopt(head->mVersion, HashPart(aText)) && higher) {
    BeginTransfer(std::move(*head), aNow);
  }
}

/** Starts the transfer of a version. Its parts come from mRequestedFrom or, if
 * mRequestedFrom is none, from the platform. */
void ConfigDistribution::BeginTransfer(ConfigurationHead aHead, Time aNow)
{
  mTarget.emplace(std::move(aHead), mCurrent);
  if (mTarget->IsComplete()) {
    FinishTransfer(aNow);
  } else if (!mRequestedFrom.IsNone()) {
    RequestMissingParts(mRequestedFrom, aNow);
  }
}

void ConfigDistribution::RequestMissingParts(HostId aFrom, Time aNow)
{
  mRequestedFrom = aFrom;
  mRequestedVersion = mTarget->Version();
  mRequestedAt = aNow;
  ConfigRequest request;
  request.mVersion = mTarget->Version();
  for (const auto& it : mTarget->Missing()) {
    if (request.mParts.size() >= kMaxRequestedParts) {
      break;
    }
    request.mParts.push_back(it.first);
  }
  Send(aFrom, std::move(request));
}

/** After a timeout, repeats the request at another balancer. Otherwise, if the
 * first balancer died or the request was lost, this one would not catch up
 * until the next digest. A watcher whose platform does not answer requests from
 * its peers in the same way. */
void ConfigDistribution::RetryRequest(Time aNow)
{
  if (mRequestedVersion == 0 || aNow < mRequestedAt + mOptions.mAnswerTimeout) {
    return;
  }
  ++mCounters.mRetriedRequests;
  HostId other = mPeers.PickOther(mRequestedFrom, mRandom);
  mRequestedFrom = {};
  mRequestedVersion = 0;
  if (!other.IsNone() && mTarget) {
    RequestMissingParts(other, aNow);
  }
}

void ConfigDistribution::FinishTransfer(Time)
{
  ConfigTransfer done = std::move(*mTarget);
  mTarget.reset();
  mRequestedFrom = {};
  mRequestedVersion = 0;
  // A received version may be damaged, or come from a release that validates
  // differently. Without validation here a process could run with two services
  // at one address, and packets would reach the wrong one. The version in force
  // stays instead.
  auto whole = done.Assemble(mAssembler);
  if (!whole && mOptions.mValidate) {
    ++mCounters.mRefusedInvalid;
    if (mRefusedRoots.size() >= kMaxRefusedRoots) {
      mRefusedRoots.clear();
    }
    mRefusedRoots.insert(done.Root());
    return;
  }
  auto empty = std::make_shared<Configuration>();
  empty->mVersion = done.Version();
  mInForce = whole ? *whole : std::move(empty);
  mOffer = done.MakeOffer(mCurrent);
  mCurrent = std::move(done);
  ++mCounters.mAdopted;
  mActions.emplace_back(ConfigInForce{ mInForce });
  for (auto it : mPeers.PushTargets(Version())) {
    Send(it, mOffer);
  }
  mSubscribers.OnInForce(mInForce, mActions);
}

} // namespace heatherplank
