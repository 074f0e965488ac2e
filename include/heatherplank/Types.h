#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace heatherplank {

/** An IP address and port. IPv4 is stored as an IPv4-mapped IPv6 address. */
struct Address
{
  std::array<std::uint8_t, 16> mIp{};
  std::uint16_t mPort = 0;

  auto operator<=>(const Address&) const = default;

  /** True for the all-zero address, which means "none". */
  bool IsNone() const { return *this == Address{}; }

  /** "10.0.0.1:80" or "[::1]:80". */
  std::string ToString() const;
};

/** Identifies a flow: the caller's address and the called service address. */
struct FlowKey
{
  Address mCaller;
  Address mService;

  auto operator<=>(const FlowKey&) const = default;

  /** "10.0.0.1:4000>10.0.0.2:80", the id of a flow in logs. */
  std::string ToString() const;
};

/** A 64-bit hash of a name; Tag separates the kinds of names by type. */
template<typename Tag>
struct NameHash
{
  std::uint64_t mValue = 0;

  auto operator<=>(const NameHash&) const = default;

  /** True if no name was hashed; no name hashes to 0. */
  bool IsNone() const { return mValue == 0; }
};

struct ServiceTag;
struct HostTag;
struct DataCentreTag;

/** Identifies a service, by the hash of its name (see MakeServiceId). */
using ServiceId = NameHash<ServiceTag>;
/** Identifies a backend server's host, by the hash of its name. */
using HostId = NameHash<HostTag>;
/** Identifies a data centre, by the hash of its name. */
using DataCentreId = NameHash<DataCentreTag>;

/** Hashes a service's name. The inventory check rejects collisions. */
ServiceId MakeServiceId(std::string_view aName);
/** Hashes a host's name. */
HostId MakeHostId(std::string_view aName);
/** Hashes a data centre's name. */
DataCentreId MakeDataCentreId(std::string_view aName);

/** Seeded 64-bit hash of bytes (XXH3). */
std::uint64_t HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);
/** Seeded 64-bit hash of a flow's key, the same on every machine. */
std::uint64_t HashFlow(const FlowKey& aFlow, std::uint64_t aSeed = 0);
/** Mixes two hashes into one (XXH3 of both). */
std::uint64_t MixHash(std::uint64_t aLeft, std::uint64_t aRight);

/** Identifies one start of a process on a host, in microseconds since the Unix
 * epoch at that start; a later start has a larger value. The host's clock must
 * not step back across a restart. */
using Incarnation = std::uint64_t;

/** Lifecycle of a host; within one incarnation, the later state prevails. */
enum class HostState : std::uint8_t
{
  /** Started recently; receives work by slow start only. */
  Cold = 0,
  /** Receives its full share of work. */
  Serving = 1,
  /** Finishes the work that it has; accepts no new flow. */
  Draining = 2,
  /** About to stop; has no work left. */
  Leaving = 3,
};

/** Returns the name of a state, as used in logs and reports. */
std::string_view ToString(HostState aState);

} // namespace heatherplank

template<>
struct std::hash<heatherplank::FlowKey>
{
  std::size_t operator()(const heatherplank::FlowKey& aFlow) const noexcept
  {
    return heatherplank::HashFlow(aFlow);
  }
};

template<>
struct std::hash<heatherplank::Address>
{
  std::size_t operator()(const heatherplank::Address& aAddress) const noexcept;
};

template<typename Tag>
struct std::hash<heatherplank::NameHash<Tag>>
{
  std::size_t operator()(heatherplank::NameHash<Tag> aId) const noexcept
  {
    return aId.mValue;
  }
};
