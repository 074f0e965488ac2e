#pragma once

#include <functional>
#include <memory>

#include "include/heatherplank/Error.h"
#include "src/passthrough/PassthroughSettings.h"
#include "src/passthrough/PlatformAdapter.h"

namespace heatherplank {

/** A balancer process for opaque flows: creates and connects its sockets,
 * timers and components. Everything runs on one thread. FlowSteering,
 * InventoryWatch and BalancerMembership make the decisions. */
class FlowBalancer
{
public:
  /** Reads the settings again. */
  using ReloadSettings = std::function<Result<FlowBalancerSettings>()>;

  /** Opens all ports. Returns ErrorKind::System with a remedy if a port cannot
   * be opened. aAdapter must outlive this object. aReloadSettings is called
   * when the settings may have changed. */
  static Result<std::unique_ptr<FlowBalancer>> Make(
    const FlowBalancerSettings& aSettings, const PlatformAdapter& aAdapter,
    ReloadSettings aReloadSettings);

  ~FlowBalancer();

  /** Runs until a planned stop has completed. */
  void Run();

private:
  struct Impl;
  explicit FlowBalancer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
