#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "src/record/Grant.h"

namespace heatherplank {

/** The grants of the keys that hash to one shard: the value of one platform
 * object. A plain value; not thread safe.
 *
 * Retention goes by generations: a rotation drops the grants of the generation
 * before and keeps a hash of each of their keys, and drops the oldest hashes.
 */
class GrantShard
{
public:
  /** Most hashes kept of faded keys: 320 KB. */
  static constexpr std::size_t kMaxFaded = 40000;

  /** Reads a value; an empty one is a shard without grants. */
  static Result<GrantShard> Decode(std::string_view aValue);
  std::string Encode() const;

  /** The grant of a key, or null. */
  const Grant* Find(const std::string& aKey) const;
  /** True if the key had a grant whose record has faded to a hash. */
  bool HasFaded(const std::string& aKey) const;
  /** Sets the grant of a key, in place if it has one. */
  void Set(const std::string& aKey, const Grant& aGrant);
  void Remove(const std::string& aKey);
  /** Starts a new generation. */
  void Rotate();
  std::uint64_t Generation() const { return mGeneration; }
  std::size_t Size() const { return mCurrent.size() + mPrevious.size(); }
  /** Bytes of the encoded value, at most. */
  std::size_t EncodedBound() const;

private:
  using Grants = std::map<std::string, Grant>;

  Grants mCurrent;
  Grants mPrevious;
  std::vector<std::uint64_t> mFaded;
  std::uint64_t mGeneration = 0;
};

} // namespace heatherplank
