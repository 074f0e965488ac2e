#include "src/passthrough/PastServiceExchange.h"

#include <algorithm>

#include "src/base/Log.h"
#include "src/process/MessageSender.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

PastServiceExchange::PastServiceExchange(const Options& aOptions,
                                         MessageSender& aMessages,
                                         RouteServices& aServices)
  : mOptions(aOptions)
  , mMessages(aMessages)
  , mServices(aServices)
  , mRequests(aOptions.mSeed)
  , mNotices(aOptions.mLinkBytesPerSecond)
{
}

void PastServiceExchange::OnRoutes(std::uint64_t aVersion, Time aNow)
{
  mVersion = aVersion;
  mKnownSince = mKnownSince.value_or(aNow);
  mRequests.OnRoutes(aVersion, aNow);
}

void PastServiceExchange::SetNewestSkipped(std::uint64_t aVersion, Time aNow)
{
  if (aVersion <= mNewestSkipped) {
    return;
  }
  mNewestSkipped = aVersion;
  mRequests.OnSkippedRoutes(aNow);
}

PastServices PastServiceExchange::MakeList(ServiceId aOnly, Time aNow) const
{
  return { aOnly, mVersion, mKnownSince ? aNow - *mKnownSince : Duration{},
           mServices.ListPast(aNow, aOnly) };
}

void PastServiceExchange::OnRequest(const PastServicesRequest& aRequest,
                                    Time aNow)
{
  if (mVersion != 0) {
    mMessages.Send(aRequest.mSender, MessageKind::PastServices,
                   EncodePayload(MakeList({}, aNow)));
  }
}

void PastServiceExchange::OnList(const PastServices& aList, Time aNow)
{
  bool wasAsking = mRequests.IsAsking(aNow);
  mServices.OnPeer(aList.mServices, aNow);
  mRequests.OnList(aList, aNow);
  bool isFromBalancer = aList.mService.IsNone() && aList.mVersion >= mVersion;
  if (isFromBalancer && mKnownSince) {
    mKnownSince = std::min(*mKnownSince, aNow - aList.mKnownFor);
  }
  if (wasAsking) {
    LogEvent(LogLevel::Info, "past_services_heard",
             { { "services", aList.mServices.size() },
               { "is_all", !mRequests.IsAsking(aNow) } });
  }
}

void PastServiceExchange::OnTick(
  std::span<const Member> aBalancers,
  const std::unordered_map<HostId, Member>& aHosts, Time aNow)
{
  for (const Address& it : mRequests.OnTick(aBalancers, aHosts, aNow)) {
    mMessages.Send(it, MessageKind::PastServicesRequest,
                   EncodePayload(PastServicesRequest{ mOptions.mSelf }));
  }
  mNotices.OnTick(aNow);
  if (!mKnownSince || mRequests.IsAsking(aNow)) {
    return;
  }
  while (auto to = mNotices.Next(mServices, aNow)) {
    Bytes list = EncodePayload(MakeList(to->mService, aNow));
    mNotices.OnSent(list.size());
    mMessages.Send(to->mControl, MessageKind::PastServices, list);
  }
}

} // namespace heatherplank
