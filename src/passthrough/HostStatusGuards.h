#pragma once

namespace heatherplank {

/** Safety checks of HostStatus. All are on in production; tests switch one off
 * to reproduce the failure that it prevents. */
struct HostStatusGuards
{
  /** Only a host that began after its agent counts as observed from its start;
   * having heard an earlier incarnation does not show it. */
  bool mObserveOnlyLaterStarts = true;
  /** An incarnation that may have begun before the known one was last heard has
   * to go on before it replaces it. */
  bool mConfirmSuccessor = true;
  /** An incarnation that was replaced and goes on replaces the known one. */
  bool mHearContinuedHosts = true;
  /** A host that sends its start time always sends it. */
  bool mRequireStartTime = true;
  /** A Gone announcement ends only the incarnation that it names. */
  bool mCheckGoneIncarnation = true;
  /** A host that may have been replaced by a cold one counts as cold. */
  bool mHeedColdSuccessor = true;
  /** The number of a single announcement is no bound for those that follow. */
  bool mCheckNumber = true;
};

} // namespace heatherplank
