#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/ObjectStore.h"
#include "include/heatherplank/Types.h"
#include "src/store/CallLimits.h"

namespace heatherplank {

/** Balancers' addresses in the store, for processes that find nobody by their
 * seeds.
 *
 * Failure met: the seeds of the settings were replaced or are cut off, and a
 * process starts. A balancer would route to no host, and an agent's host would
 * get no flow, until somebody edits settings. Each balancer writes its address
 * as the name of an object, once at its start and again when the store comes
 * back, in case entries were dropped; who is lost lists them, with pauses that
 * grow, and takes them for more seeds. An entry may be stale or of another
 * writer: it costs some datagrams, and nothing is believed because of it.
 *
 * Runs on one thread, that of the store's executor. */
class BalancerDirectory : public std::enable_shared_from_this<BalancerDirectory>
{
public:
  /** Addresses taken from one listing at most, picked at random. */
  static constexpr std::size_t kMostFound = 16;
  static constexpr Duration kFirstPause = std::chrono::milliseconds(500);
  static constexpr Duration kLongestPause = std::chrono::seconds(10);

  /** Control addresses of balancers, not this process's own. */
  using OnFound = std::function<void(std::vector<Address>)>;

  struct Options
  {
    /** The part of the store's keys before the slash. */
    std::string mKind;
    /** This balancer's control address; none in an agent. */
    std::optional<Address> mSelf;
    std::uint64_t mSeed = 1;
  };

  /** aStore must outlive it and its calls. */
  static std::shared_ptr<BalancerDirectory> Make(ObjectStore& aStore,
                                                 Options aOptions,
                                                 OnFound aOnFound);

  /** aIsLost: no other process of ours was heard for a while. Call it some
   * times a second. */
  void OnTick(bool aIsLost, Time aNow);

  /** The store answers again: this balancer's entry may be gone. */
  void RegisterAgain();

  /** A planned stop: takes the entry off. */
  void Leave();

  /** The name of an entry, and what it stands for; none if it is no name of
   * ours. Thread safe. */
  static std::string NameOf(const Address& aAddress);
  static std::optional<Address> Parse(std::string_view aName);

private:
  BalancerDirectory(ObjectStore& aStore, Options aOptions, OnFound aOnFound);

  std::string OwnKey() const;
  void Register(Time aNow);
  void Look(Time aNow);
  void OnListed(const std::vector<ObjectName>& aNames);

  ObjectStore& mStore;
  const Options mOptions;
  const OnFound mOnFound;
  std::mt19937_64 mRandom;
  Backoff mRegisterPause;
  Backoff mLookPause;
  bool mRegistered = false;
  bool mRegistering = false;
  bool mLooking = false;
  bool mLeft = false;
  Time mRegisterAt{};
  Time mLookAt{};
};

} // namespace heatherplank
