#include "src/passthrough/DataCentreLookup.h"

#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

Address At(const char* aText)
{
  return ParseAddress(aText).value();
}

Member MakeMember(const char* aTunnel, const char* aDataCentre)
{
  Member member;
  member.mTunnel = At(aTunnel);
  member.mControl = member.mTunnel;
  member.mControl.mPort += 1;
  member.mDataCentre = MakeDataCentreId(aDataCentre);
  return member;
}

} // namespace

TEST_GROUP(DataCentreLookup)
{
  const ServiceId mDesk = MakeServiceId("desk");
  const ServiceId mArchive = MakeServiceId("archive");
  DataCentreLookup mLookup{ MakeDataCentreId("hall-a"), 4 };

  void Set(ServiceId aService, const std::vector<Member>& aMembers)
  {
    mLookup.SetMembers(aService, aMembers);
  }

  void CheckBoundary(TrafficBoundary aExpected, const char* aAddress)
  {
    STRCMP_EQUAL(
      std::string(ToString(aExpected)).c_str(),
      std::string(ToString(mLookup.BoundaryOf(At(aAddress)))).c_str());
  }
};

TEST(DataCentreLookup, MemberIsFoundAtAnyOfItsPorts)
{
  Set(mDesk, { MakeMember("10.0.0.1:7000", "hall-a"),
               MakeMember("10.0.1.1:7000", "hall-b") });
  CheckBoundary(TrafficBoundary::Own, "10.0.0.1:7000");
  CheckBoundary(TrafficBoundary::Own, "10.0.0.1:9");
  CheckBoundary(TrafficBoundary::Other, "10.0.1.1:7001");
  CheckBoundary(TrafficBoundary::Unknown, "10.0.2.1:7000");
}

TEST(DataCentreLookup, ControlAddressOnAnotherInterfaceIsFound)
{
  Member member = MakeMember("10.0.0.1:7000", "hall-b");
  member.mControl = At("10.9.0.1:7001");
  Set(mDesk, { member });
  CheckBoundary(TrafficBoundary::Other, "10.0.0.1:7000");
  CheckBoundary(TrafficBoundary::Other, "10.9.0.1:7001");
}

TEST(DataCentreLookup, MemberWithoutADataCentreIsUnknown)
{
  Member member = MakeMember("10.0.0.1:7000", "hall-b");
  member.mDataCentre = {};
  Set(mDesk, { member });
  CheckBoundary(TrafficBoundary::Unknown, "10.0.0.1:7000");
}

TEST(DataCentreLookup, MemberThatLeftIsUnknown)
{
  Set(mDesk, { MakeMember("10.0.0.1:7000", "hall-a"),
               MakeMember("10.0.0.2:7000", "hall-a") });
  Set(mDesk, { MakeMember("10.0.0.2:7000", "hall-a") });
  CheckBoundary(TrafficBoundary::Unknown, "10.0.0.1:7000");
  CheckBoundary(TrafficBoundary::Own, "10.0.0.2:7000");
}

// An address moves to a host of another service. The old service's view changes
// last, and must not remove the new host.
TEST(DataCentreLookup, AddressReusedByAnotherServiceStaysKnown)
{
  Set(mDesk, { MakeMember("10.0.0.1:7000", "hall-a") });
  Set(mArchive, { MakeMember("10.0.0.1:7000", "hall-b") });
  Set(mDesk, {});
  CheckBoundary(TrafficBoundary::Other, "10.0.0.1:7000");
}

// Members whose addresses change for days must not fill the memory.
TEST(DataCentreLookup, AddressesAreBoundedAndThoseOfMembersThatLeftAreFreed)
{
  for (int i = 1; i < 100; ++i) {
    std::vector<Member> members;
    for (int j = 0; j < 6; ++j) {
      auto address =
        "10.0." + std::to_string(i) + "." + std::to_string(j) + ":7000";
      members.push_back(MakeMember(address.c_str(), "hall-a"));
    }
    Set(mDesk, members);
    CHECK_EQUAL(4, mLookup.Size());
  }
  CheckBoundary(TrafficBoundary::Own, "10.0.99.0:7000");
  CheckBoundary(TrafficBoundary::Unknown, "10.0.99.5:7000");
  Set(mDesk, {});
  CHECK_EQUAL(0, mLookup.Size());
}
