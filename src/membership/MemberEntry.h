#pragma once

#include <boost/intrusive/list.hpp>

#include "include/heatherplank/Clock.h"
#include "src/membership/MemberRecord.h"

namespace heatherplank {

using MemberHook = boost::intrusive::list_member_hook<>;

/** How the silence of a member counts. */
enum class Watched : std::uint8_t
{
  No,
  /** It beat to this process. */
  Heard,
  /** It has yet to learn that it must. */
  Forgiven,
  /** It should have beaten by now. */
  Silent,
};

/** A member in a table, with the lists that it stands in. */
struct MemberEntry
{
  MemberEntry() = default;
  MemberEntry(const MemberEntry&) = delete;
  MemberEntry& operator=(const MemberEntry&) = delete;

  MemberRecord mRecord;
  /** When the latest new beat came, by whatever way. */
  Time mHeardAt{};
  Time mSuspectedAt{};
  Time mServingSince{};
  Time mGoneAt{};
  /** The slow-start step that the view shows. */
  std::uint16_t mStep = 0;
  /** The list that mSilenceHook stands in. */
  Watched mWatched = Watched::No;
  /** A heartbeat came straight from it since it is watched here. */
  bool mBeatsHere = false;
  /** The verdict is this table's own. */
  bool mJudgedHere = false;
  MemberHook mSilenceHook;
  MemberHook mChangeHook;
  MemberHook mStartHook;
  MemberHook mGoneHook;

  bool IsGone() const
  {
    return mRecord.mVerdict == Verdict::Dead ||
           mRecord.mMember.mState == HostState::Leaving;
  }
};

template<MemberHook MemberEntry::*Hook>
using MemberList = boost::intrusive::list<
  MemberEntry, boost::intrusive::member_hook<MemberEntry, MemberHook, Hook>>;

using SilenceList = MemberList<&MemberEntry::mSilenceHook>;
using ChangeList = MemberList<&MemberEntry::mChangeHook>;
using StartList = MemberList<&MemberEntry::mStartHook>;
using GoneList = MemberList<&MemberEntry::mGoneHook>;

/** Takes an entry out of the list if it stands in it. Precondition: the hook
 * is linked in aList or in none. */
template<typename List>
void Unlink(List& aList, MemberEntry& aEntry, const MemberHook& aHook)
{
  if (aHook.is_linked()) {
    aList.erase(aList.iterator_to(aEntry));
  }
}

} // namespace heatherplank
