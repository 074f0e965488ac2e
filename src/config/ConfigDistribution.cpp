#include "src/config/ConfigDistribution.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** Remembered heads that failed the check; a bound on hostile input. */
constexpr std::size_t kMaxRefused = 64;
/** Parts named in one request; more are asked for when these are there. */
constexpr std::size_t kMaxWanted = 1024;

} // namespace

ConfigDistribution::ConfigDistribution(const Options& aOptions, Time aNow)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mPeers(aOptions.mSelf, aOptions.mWatchers, aOptions.mFanout)
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
  // Half to one and a half periods, so that balancers that started together
  // do not stay in step.
  auto period = mOptions.mDigestPeriod.count();
  std::uniform_int_distribution<Duration::rep> draw(period / 2, 3 * period / 2);
  mDigestAt = aNow + Duration(draw(mRandom));
  ConfigOffer digest;
  digest.mVersion = Version();
  digest.mRoot = mHeld.Root();
  for (auto it : mPeers.DigestTargets(mRandom)) {
    Send(it, digest);
  }
}

/** Guards the promise that an accepted configuration never reverts. A balancer
 * that was cut off, frozen or started from a stale replica offers what it
 * holds; taken, it would end a drain or send packets to an address's former
 * service. Versions only grow, so whatever is not higher is refused, from any
 * source.
 */
bool ConfigDistribution::IsNews(std::uint64_t aVersion, const PartHash& aRoot)
{
  std::uint64_t mine = Version();
  if (aVersion < mine) {
    // A balancer that has none yet offers 0; that is a question.
    mCounters.mRefusedOlder += aVersion != 0 ? 1 : 0;
    return !mOptions.mRefuseOlder && aVersion != 0;
  }
  if (aVersion == mine) {
    bool differs = mine != 0 && aRoot != mHeld.Root();
    mCounters.mRefusedDifferent += differs ? 1 : 0;
    return false;
  }
  return !mRefused.contains(aRoot);
}

void ConfigDistribution::Handle(HostId aFrom, const ConfigOffer& aOffer,
                                Time aNow)
{
  if (aOffer.mVersion < Version()) {
    Send(aFrom, mOffer);
  }
  if (!IsNews(aOffer.mVersion, aOffer.mRoot)) {
    return;
  }
  if (mTarget && aOffer.mVersion <= mTarget->Version() &&
      mOptions.mRefuseOlder) {
    // Being completed already; a watcher whose platform is slow takes the rest
    // from this balancer.
    if (mAsked.IsNone() && aOffer.mVersion == mTarget->Version()) {
      AskForMissing(aFrom, aNow);
    }
    return;
  }
  auto head = mHeld.ApplyOffer(aOffer);
  if (!head && mTarget) {
    head = mTarget->ApplyOffer(aOffer);
  }
  if (head) {
    mAsked = aFrom;
    Begin(std::move(*head), aNow);
    return;
  }
  if (!mAsked.IsNone() && mAskedVersion >= aOffer.mVersion) {
    return;
  }
  mAsked = aFrom;
  mAskedVersion = aOffer.mVersion;
  mAskedAt = aNow;
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
    out.mText = mHeld.Text();
  }
  std::size_t size = 0;
  for (const auto& it : aRequest.mParts) {
    auto part = mHeld.Find(it);
    if (part && (size == 0 || size + part->size() <= mOptions.mMaxMessage)) {
      size += part->size();
      out.mParts.push_back(*part);
    }
  }
  if (!out.mText.empty() || !out.mParts.empty()) {
    Send(aFrom, std::move(out));
  } else if (mInForce) {
    // It wants parts of a version that was replaced here.
    Send(aFrom, mOffer);
  }
}

void ConfigDistribution::Handle(HostId aFrom, const ConfigObjects& aObjects,
                                Time aNow)
{
  if (!aObjects.mText.empty()) {
    mAsked = aFrom;
    mAskedVersion = 0;
    BeginText(aObjects.mText, aNow);
  }
  bool added = false;
  for (const auto& it : aObjects.mParts) {
    added = (mTarget && mTarget->Add(it)) || added;
  }
  if (!added) {
    return;
  }
  if (mTarget->IsComplete()) {
    Complete(aNow);
  } else if (aFrom == mAsked) {
    AskForMissing(aFrom, aNow);
  }
}

void ConfigDistribution::OnWatched(Result<std::optional<Object>> aResult,
                                   Time aNow)
{
  auto object = mPlatform.OnWatched(std::move(aResult), aNow);
  if (object) {
    mAsked = {};
    mFetchAt = aNow + mOptions.mFetchStep * mPeers.WatcherRank();
    BeginText(object->mValue, aNow);
  }
}

void ConfigDistribution::OnFetched(const PartHash& aHash,
                                   Result<Object> aResult, Time aNow)
{
  auto text = mPlatform.OnFetched(aHash, std::move(aResult), aNow);
  if (text && mTarget && mTarget->Add(std::move(*text)) &&
      mTarget->IsComplete()) {
    Complete(aNow);
  }
}

void ConfigDistribution::BeginText(const std::string& aText, Time aNow)
{
  auto head = ParseHead(aText);
  if (!head) {
    ++mCounters.mRefusedMalformed;
    return;
  }
  bool higher =
    !mTarget || head->mVersion > mTarget->Version() || !mOptions.mRefuseOlder;
  if (IsNews(head->mVersion, HashPart(aText)) && higher) {
    Begin(std::move(*head), aNow);
  }
}

/** Starts to complete a version; its parts come from mAsked or, if that is
 * none, from the platform. */
void ConfigDistribution::Begin(ConfigurationHead aHead, Time aNow)
{
  mTarget.emplace(std::move(aHead), mHeld);
  if (mTarget->IsComplete()) {
    Complete(aNow);
  } else if (!mAsked.IsNone()) {
    AskForMissing(mAsked, aNow);
  }
}

void ConfigDistribution::AskForMissing(HostId aFrom, Time aNow)
{
  mAsked = aFrom;
  mAskedVersion = mTarget->Version();
  mAskedAt = aNow;
  ConfigRequest request;
  request.mVersion = mTarget->Version();
  for (const auto& it : mTarget->Missing()) {
    if (request.mParts.size() >= kMaxWanted) {
      break;
    }
    request.mParts.push_back(it.first);
  }
  Send(aFrom, std::move(request));
}

/** An asked balancer that died, or lost our request, would leave us behind
 * until the next digest; another one is asked instead. A watcher whose
 * platform does not answer asks its peers as well. */
void ConfigDistribution::RetryRequest(Time aNow)
{
  if (mAskedVersion == 0 || aNow < mAskedAt + mOptions.mAnswerTimeout) {
    return;
  }
  ++mCounters.mRetriedRequests;
  HostId other = mPeers.Another(mAsked, mRandom);
  mAsked = {};
  mAskedVersion = 0;
  if (!other.IsNone() && mTarget) {
    AskForMissing(other, aNow);
  }
}

void ConfigDistribution::Complete(Time)
{
  ConfigTransfer done = std::move(*mTarget);
  mTarget.reset();
  mAsked = {};
  mAskedVersion = 0;
  // What arrives may be damaged, or come from a release with other checks.
  // Without the check here a process would run with two services at one
  // address, and packets would reach the wrong one; so it keeps what it has.
  auto whole = done.Assemble(mAssembler);
  if (!whole && mOptions.mCheckWhole) {
    ++mCounters.mRefusedInvalid;
    if (mRefused.size() >= kMaxRefused) {
      mRefused.clear();
    }
    mRefused.insert(done.Root());
    return;
  }
  auto empty = std::make_shared<Configuration>();
  empty->mVersion = done.Version();
  mInForce = whole ? *whole : std::move(empty);
  mOffer = done.MakeOffer(mHeld);
  mHeld = std::move(done);
  ++mCounters.mAdopted;
  mActions.emplace_back(ConfigInForce{ mInForce });
  for (auto it : mPeers.PushTargets(Version())) {
    Send(it, mOffer);
  }
  mSubscribers.OnInForce(mInForce, mActions);
}

} // namespace heatherplank
