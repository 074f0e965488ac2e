#include "src/steer/Steering.h"
#include "tests/SteerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(Steering){};

TEST(Steering, RoutesToTheArbiterAndDeliversByHint)
{
  auto view = TestView(1, TestMembers(5));
  HintCache hints(64);
  std::uint64_t hash = MixHash(1, 2);
  auto target = std::get<SteerTarget>(Steer(hash, view.get(), hints));
  CHECK_TRUE(target.mMember == view->Arbiter(hash));
  CHECK_TRUE(target.mDirective == PacketDirective::Route);

  const Member* owner = view->Candidates(hash)[2];
  hints.Put(hash, { owner->mHost, owner->mIncarnation });
  target = std::get<SteerTarget>(Steer(hash, view.get(), hints));
  CHECK_TRUE(target.mMember == owner);
  CHECK_TRUE(target.mDirective == PacketDirective::Deliver);
}

// A host restarts at the same address while a hint names its earlier
// incarnation. Following the hint would send the flow to a process without its
// state.
TEST(Steering, DropsTheHintOfAnEarlierIncarnation)
{
  auto members = TestMembers(5);
  auto view = TestView(1, members);
  HintCache hints(64);
  std::uint64_t hash = MixHash(1, 2);
  hints.Put(hash, { view->Candidates(hash)[2]->mHost, 0 });
  auto target = std::get<SteerTarget>(Steer(hash, view.get(), hints));
  CHECK_TRUE(target.mDirective == PacketDirective::Route);
  CHECK_FALSE(hints.Find(hash).has_value());
}

TEST(Steering, RefusesWithoutAServiceOrMembers)
{
  HintCache hints(64);
  CHECK_TRUE(std::get<SteerRefusal>(Steer(1, nullptr, hints)) ==
             SteerRefusal::UnknownService);
  auto view = TestView(1, {});
  CHECK_TRUE(std::get<SteerRefusal>(Steer(1, view.get(), hints)) ==
             SteerRefusal::NoMember);
}
