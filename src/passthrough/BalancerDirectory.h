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

/** Addresses of balancers in the object store, for processes that reach no
 * other process through their seeds.
 *
 * Guards against: the seeds in the settings were replaced or are cut off when a
 * process starts. A balancer would route to no host, and the host of an agent
 * would get no flow, until an operator edits the settings. Some balancers
 * (HasDirectoryEntry) write their address as the name of an object, once and
 * again after the store was restored from a copy, which may lack the entry. So
 * does a balancer that finds no peers: nobody would find it. A process without
 * peers lists the entries, with backoff, and uses them as additional seeds. An
 * entry may be stale or written by others: it costs some datagrams, and nothing
 * is trusted because of it.
 *
 * Runs on one thread, that of the store's executor. */
class BalancerDirectory : public std::enable_shared_from_this<BalancerDirectory>
{
public:
  /** Maximum number of addresses used from one listing, picked at random. */
  static constexpr std::size_t kMaxFound = 16;
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(10);
  /** After a restore of the store, balancers register again at random times
   * within this span: all of them learn of it at about the same time. */
  static constexpr Duration kRestoreSpread = std::chrono::milliseconds(1500);

  /** Receives control addresses of balancers other than this process. */
  using OnFound = std::function<void(std::vector<Address>)>;

  struct Options
  {
    /** Kind of the store's objects that hold balancer addresses; their keys
     * are mKind/NameOf(address). */
    std::string mKind;
    /** This balancer's control address; none in an agent. */
    std::optional<Address> mSelf;
    std::uint64_t mSeed = 1;
  };

  /** aStore must outlive this object and its pending calls. */
  static std::shared_ptr<BalancerDirectory> Make(ObjectStore& aStore,
                                                 Options aOptions,
                                                 OnFound aOnFound);

  /** The situation of this process. */
  struct Situation
  {
    /** No message of another process of this system arrived for a while. */
    bool mHasNoPeers = false;
    /** This balancer is one of those with an entry. */
    bool mHasEntry = false;
    /** The newest known era of the store (StoreVersion); an entry written in an
     * earlier one may be gone. */
    std::uint64_t mStoreEra = 0;
  };

  /** Call several times a second. */
  void OnTick(const Situation& aSituation, Time aNow);

  /** Call at a planned stop: deletes the entry of this balancer. */
  void Leave();

  /** Convert an address to the name of its entry and back. Parse returns none
   * if aName is not a valid name. Thread safe. */
  static std::string NameOf(const Address& aAddress);
  static std::optional<Address> Parse(std::string_view aName);

private:
  BalancerDirectory(ObjectStore& aStore, Options aOptions, OnFound aOnFound);

  std::string SelfKey() const;
  void RegisterIfDue(const Situation& aSituation, Time aNow);
  void Register(Time aNow);
  void ListEntries(Time aNow);
  void OnListed(const std::vector<ObjectName>& aNames);

  ObjectStore& mStore;
  const Options mOptions;
  const OnFound mOnFound;
  std::mt19937_64 mRandom;
  Backoff mRegisterBackoff;
  Backoff mListBackoff;
  /** The store's era in which this balancer's entry is known to exist. */
  std::optional<std::uint64_t> mRegisteredEra;
  bool mRegistering = false;
  bool mListing = false;
  bool mLeft = false;
  Time mNextRegisterAt{};
  Time mNextListAt{};
};

} // namespace heatherplank
