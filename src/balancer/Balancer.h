#pragma once

#include <memory>

#include "include/heatherplank/Error.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

/** A balancer process: owns its sockets, timers and components and connects
 * them. Decisions are made in Steer, MemberTable and ConfigDistribution. */
class Balancer
{
public:
  /** Opens all ports; System, with a remedy, if a port can't be opened. */
  static Result<std::unique_ptr<Balancer>> Make(
    const BalancerSettings& aSettings, bool aFaultInjection);

  ~Balancer();

  /** Runs until a planned stop has completed. */
  void Run();

private:
  struct Impl;
  explicit Balancer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
