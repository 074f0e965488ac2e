#pragma once

#include <memory>

#include "include/heatherplank/Error.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

/** A balancer process: its sockets, timers and parts, and how they are joined.
 * Decisions are made elsewhere: Steer, MemberTable, configuration.
 */
class Balancer
{
public:
  /** Opens every port; System with the remedy if one can't be had. */
  static Result<std::unique_ptr<Balancer>> Make(
    const BalancerSettings& aSettings, bool aFaultInjection);

  ~Balancer();

  /** Runs until a planned stop has ended. */
  void Run();

private:
  struct Impl;
  explicit Balancer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
