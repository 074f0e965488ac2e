#pragma once

#include <string>

#include "review/standins/Deployment.h"
#include "review/standins/Record.h"

namespace heatherplank::review {

/** The result of a case, which is its exit code. */
enum class Verdict : int
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

/** aTrouble: whether the disruption takes place. */
Verdict RunForeignPingReset(const Deployment::Options& aOptions,
                            Record& aRecord, bool aTrouble);
Verdict RunForeignPingDrain(const Deployment::Options& aOptions,
                            Record& aRecord, bool aTrouble);
Verdict RunRollAfterRouteChange(const Deployment::Options& aOptions,
                                Record& aRecord, bool aTrouble);

} // namespace heatherplank::review
