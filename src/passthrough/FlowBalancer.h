#pragma once

#include <functional>
#include <memory>

#include "include/heatherplank/Error.h"
#include "src/passthrough/PassthroughSettings.h"
#include "src/passthrough/PlatformAdapter.h"

namespace heatherplank {

/** A balancer process for opaque flows: its sockets, timers and parts, and how
 * they are joined. Everything runs on one thread. Decisions are made elsewhere:
 * FlowSteering, InventoryWatch, BalancerMembership.
 */
class FlowBalancer
{
public:
  /** Reads the settings again. */
  using Reread = std::function<Result<FlowBalancerSettings>()>;

  /** Opens every port; System with the remedy if one can't be had. aAdapter
   * must outlive it. aReread is called when the settings may have changed. */
  static Result<std::unique_ptr<FlowBalancer>> Make(
    const FlowBalancerSettings& aSettings, const PlatformAdapter& aAdapter,
    Reread aReread);

  ~FlowBalancer();

  /** Runs until a planned stop has ended. */
  void Run();

private:
  struct Impl;
  explicit FlowBalancer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
