#pragma once

#include <boost/intrusive/list.hpp>

#include "include/heatherplank/Clock.h"
#include "src/membership/MemberRecord.h"

namespace heatherplank {

using MemberHook = boost::intrusive::list_member_hook<>;

/** How this process monitors the heartbeats of a member. */
enum class MonitorState : std::uint8_t
{
  Unmonitored,
  /** Its last heartbeat to this process is recent enough. */
  Responsive,
  /** It has sent no heartbeat to this process since monitoring began, and may
   * not know yet that this process monitors it. */
  InGracePeriod,
  /** Its heartbeat is overdue. */
  Unresponsive,
};

/** A member in a table, with the hooks of the lists that contain it. */
struct MemberEntry
{
  MemberEntry() = default;
  MemberEntry(const MemberEntry&) = delete;
  MemberEntry& operator=(const MemberEntry&) = delete;

  MemberRecord mRecord;
  /** When the latest new heartbeat became known, directly or through a peer, or
   * when monitoring began. */
  Time mLastHeartbeatAt{};
  Time mSuspectedAt{};
  Time mServingSince{};
  Time mGoneSince{};
  /** The slow-start step by which the view reduces the weight. */
  std::uint16_t mSlowStartStep = 0;
  /** Determines the list that contains mMonitorHook. */
  MonitorState mMonitorState = MonitorState::Unmonitored;
  /** It has sent a heartbeat to this process since monitoring began. */
  bool mSendsHeartbeatsHere = false;
  /** The verdict was reached by this table, not received from a peer. */
  bool mVerdictIsLocal = false;
  MemberHook mMonitorHook;
  MemberHook mPeerChangeHook;
  MemberHook mSlowStartHook;
  MemberHook mGoneHook;

  /** Left or declared dead: the entry is a tombstone. */
  bool IsGone() const
  {
    return mRecord.mVerdict == Verdict::Dead ||
           mRecord.mMember.mState == HostState::Leaving;
  }
};

template<MemberHook MemberEntry::*Hook>
using MemberList = boost::intrusive::list<
  MemberEntry, boost::intrusive::member_hook<MemberEntry, MemberHook, Hook>>;

using MonitorList = MemberList<&MemberEntry::mMonitorHook>;
using PeerChangeList = MemberList<&MemberEntry::mPeerChangeHook>;
using SlowStartList = MemberList<&MemberEntry::mSlowStartHook>;
using GoneList = MemberList<&MemberEntry::mGoneHook>;

/** Removes an entry from the list if the list contains it. Precondition: the
 * hook is linked in aList or unlinked. */
template<typename List>
void Unlink(List& aList, MemberEntry& aEntry, const MemberHook& aHook)
{
  if (aHook.is_linked()) {
    aList.erase(aList.iterator_to(aEntry));
  }
}

} // namespace heatherplank
