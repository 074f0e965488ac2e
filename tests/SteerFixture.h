#pragma once

#include <string>
#include <vector>

#include "src/steer/ServiceView.h"

namespace heatherplank {

/** Members and flows for the tests of steering and ownership. */
inline Member TestMember(std::uint64_t aNumber, std::uint16_t aWeight = 100)
{
  Member member;
  member.mHost = MakeHostId("host-" + std::to_string(aNumber));
  member.mService = MakeServiceId("agenda");
  member.mIncarnation = 1;
  member.mState = HostState::Serving;
  member.mWeight = aWeight;
  member.mTunnel.mPort = static_cast<std::uint16_t>(aNumber + 1);
  return member;
}

inline std::vector<Member> TestMembers(std::size_t aCount)
{
  std::vector<Member> members;
  for (std::size_t i = 0; i < aCount; ++i) {
    members.push_back(TestMember(i));
  }
  return members;
}

inline ServiceViewPtr TestView(std::uint64_t aVersion,
                               std::vector<Member> aMembers)
{
  return MakeServiceView(MakeServiceId("agenda"), aVersion,
                         std::move(aMembers));
}

inline FlowKey TestFlow(std::uint16_t aPort)
{
  FlowKey flow;
  flow.mCaller.mPort = aPort;
  flow.mService.mPort = 80;
  return flow;
}

} // namespace heatherplank
